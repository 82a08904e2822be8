"""Detection of targets that a control VM hears and that this VM doesn't list."""

from collections.abc import Mapping

from vanillabeam.decisions import TargetUnlisted, log_record
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.polling import ControlVm

__all__ = ["note_unlisted"]

#: Seconds after which a difference is logged: by then the replies of all control VMs
#: have arrived.
LOGGED_AFTER_S = 1.0


def note_unlisted(
    directory: Directory,
    ages_s: Mapping[str, float],
    control_vm: ControlVm,
    silence_s: float,
    now_s: float,
) -> None:
    """Record the targets of a reply that this VM doesn't list, and log lasting ones.

    :param ages_s: age of each target's newest announcement, by the reply.
    :param silence_s: seconds without an announcement after which a target is dropped.
    """
    before = control_vm.unlisted_since_s
    control_vm.unlisted_since_s = {
        name: before.get(name, now_s)
        for name, age_s in ages_s.items()
        if name not in directory.records
        and age_s < silence_s
        and not directory.has_ended_start(name)
    }
    for name, since_s in control_vm.unlisted_since_s.items():
        unlisted_s = now_s - since_s
        was_logged = control_vm.last_seen_s - since_s >= LOGGED_AFTER_S
        if unlisted_s >= LOGGED_AFTER_S and not was_logged:
            log_record(
                TargetUnlisted(
                    name, control_vm.address, ages_s[name], round(unlisted_s, 3)
                )
            )
