"""Places of plain calls at targets, as far as this entry VM knows of them."""

from collections.abc import Iterable

from vanillabeam.fleet import Target
from vanillabeam.fleet.loads import LOAD_SILENCE_S
from vanillabeam.forwarding.choosing.load import Load

__all__ = ["are_all_full", "others_calls", "uses_part"]

#: This VM's part of a target's slots while the calls of others are unknown, as a
#: multiple of an equal part: VMs have unequal numbers of callers, and calls must not
#: wait while others leave their parts unused.
PART_FACTOR = 2.0

#: Part of the slots that a VM uses whatever targets refuse, as a share of an equal one.
#: Less than 1, as VMs don't spread their calls evenly over the targets together.
SURE_PART = 0.75


def others_calls(load: Load, target: str, now_s: float) -> int | None:
    """Return the calls of all other VMs at a target; ``None`` while it is unknown."""
    age_s = load.others_age_s(now_s)
    calls = load.others.get("calls")
    if calls is None or age_s is None or age_s > LOAD_SILENCE_S:
        return None
    return calls.get(target, 0)


def are_all_full(
    load: Load, targets: Iterable[Target], entries: int, now_s: float
) -> bool:
    """Return whether no target has a place for one more call of this VM.

    A VM always has its equal part of the slots, at least one, whatever others send.

    :param targets: the targets that may take the call.
    :param entries: number of entry VMs, this one included.
    """
    own_calls = slots = 0
    for target in targets:
        if not target.slots or not _is_full(load, target, entries, now_s):
            return False
        own_calls += load.open_requests(target.name)
        slots += target.slots
    return own_calls >= max(1.0, slots / max(1, entries))


def uses_part(load: Load, targets: Iterable[Target], entries: int) -> bool:
    """Return whether the calls of this VM fill its sure part of the slots.

    :param targets: the targets that may take a call.
    :param entries: number of entry VMs, this one included.
    """
    known = list(targets)
    own_calls = sum(load.open_requests(target.name) for target in known)
    slots = sum(target.slots for target in known)
    return own_calls + 1 > SURE_PART * slots / max(1, entries)


def _is_full(load: Load, target: Target, entries: int, now_s: float) -> bool:
    own, others = (
        load.open_requests(target.name),
        others_calls(load, target.name, now_s),
    )
    if others is not None:
        return own + others >= target.slots
    return own >= max(1.0, PART_FACTOR * target.slots / max(1, entries))
