"""Replicated records of version rollouts and the changes that replace them."""

from math import ceil

from vanillabeam.canary.records import (
    RolloutChange,
    Rollouts,
    Step,
    VersionRollout,
    is_running,
    step_rank,
)

__all__ = [
    "DUPLICATE_MS",
    "MAX_ROLLOUTS",
    "apply_rollout",
    "basis",
    "is_duplicate",
    "make_order",
    "make_step",
    "trial_targets",
]

#: An order to the same version, read within this time of the record's order, is a copy
#: of it. Operators resend an order for 5 s, and clocks of control VMs differ.
DUPLICATE_MS = 10_000
#: Services whose newest rollout is kept; the oldest ended one gives way.
MAX_ROLLOUTS = 256


def make_order(
    service: str, to: str, duration_s: float, started_ms: int
) -> RolloutChange:
    """Return the change of an operator's order.

    :param started_ms: Unix milliseconds at which it was read.
    """
    record = VersionRollout(
        service=service,
        to=to,
        order=0,
        started_ms=started_ms,
        duration_s=duration_s,
        step=Step.WAITING,
        share=0.0,
        reason="",
        evidence="",
    )
    return RolloutChange(basis=None, record=record)


def make_step(
    record: VersionRollout,
    step: Step,
    share: float,
    reason: str = "",
    evidence: str = "",
) -> RolloutChange:
    """Return the change from a record to its next step, or to a higher share."""
    changed = VersionRollout(
        **record
        | {"step": step, "share": share, "reason": reason}
        | {"evidence": evidence}
    )
    return RolloutChange(basis=basis(record), record=changed)


def basis(record: VersionRollout) -> tuple[int, int]:
    """Return the basis of a change that replaces ``record``."""
    return (record["order"], step_rank(record["step"]))


def trial_targets(record: VersionRollout, targets: int) -> int:
    """Return how many targets of the new version requests go to.

    :param targets: number of targets of the new version.
    """
    return ceil(record["share"] * targets)


def is_duplicate(record: VersionRollout | None, to: str, started_ms: int) -> bool:
    """Return whether an order to ``to`` is a copy of the one of ``record``."""
    if record is None or record["to"] != to:
        return False
    return abs(started_ms - record["started_ms"]) <= DUPLICATE_MS


def apply_rollout(known: Rollouts, change: RolloutChange, index: int) -> Rollouts:
    """Return the rollouts after a change; an outdated one has no effect.

    :param index: index of the change in the log; it identifies the rollout that an
        order begins.
    """
    new = change["record"]
    current = known.get(new["service"])
    if change["basis"] is None:
        is_ignored = current is not None and (
            is_running(current) or is_duplicate(current, new["to"], new["started_ms"])
        )
        return known if is_ignored else _add(known, _begin(new, index))
    if current is None or tuple(change["basis"]) != basis(current):
        return known
    if not _is_forward(current, new):
        return known
    # The identity and the time limit of a rollout never change.
    kept = ("service", "to", "order", "started_ms", "duration_s")
    merged = VersionRollout(**new | {key: current[key] for key in kept})
    return known | {new["service"]: merged}


def _begin(record: VersionRollout, index: int) -> VersionRollout:
    return VersionRollout(
        **record
        | {"order": index, "step": Step.WAITING, "share": 0.0}
        | {"reason": "", "evidence": ""}
    )


def _is_forward(current: VersionRollout, new: VersionRollout) -> bool:
    if not is_running(current):
        return False
    if step_rank(new["step"]) != step_rank(current["step"]):
        return step_rank(new["step"]) > step_rank(current["step"])
    return new["share"] > current["share"]


def _add(known: Rollouts, record: VersionRollout) -> Rollouts:
    kept = {k: v for k, v in known.items() if k != record["service"]}
    ended = [other for other in kept.values() if not is_running(other)]
    if len(kept) >= MAX_ROLLOUTS and ended:
        del kept[min(ended, key=lambda other: other["order"])["service"]]
    return kept | {record["service"]: record}
