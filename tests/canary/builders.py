from vanillabeam.canary.records import Step, VersionRollout
from vanillabeam.fleet import Target


def make_target(name, software="v1", **changes):
    fields = {
        "born_ms": 1_000,
        "sequence": 1,
        "service": "app",
        "address": "10.0.0.1:80",
        "data_centre": "a",
        "slots": 6,
    }
    return Target(name, **(fields | {"software": software} | changes))


def make_targets(old=4, new=4):
    """Return targets of an old and a new version, ``v1`` and ``v2``."""
    return [make_target(f"o-{i}") for i in range(old)] + [
        make_target(f"n-{i}", "v2") for i in range(new)
    ]


def make_record(step=Step.TRIAL, share=0.06, **changes):
    fields = {
        "service": "app",
        "to": "v2",
        "order": 9,
        "started_ms": 1_000,
        "duration_s": 12.0,
        "step": step,
        "share": share,
        "reason": "",
        "evidence": "",
    }
    return VersionRollout(**(fields | changes))
