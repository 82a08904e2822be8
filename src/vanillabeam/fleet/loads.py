"""Open work of the entry VMs at targets, as each VM last reported it."""

from typing import NamedTuple, TypedDict

__all__ = ["EntryLoad", "EntryLoads", "WorkByRank", "make_load"]

#: Seconds without a request after which an entry VM is no longer counted.
ENTRY_SILENCE_S = 5.0
#: Seconds after which an entry VM's report is ignored: a live VM sends several in
#: this time, and the connections of a stopped one are closed.
LOAD_SILENCE_S = 1.5

#: Tokens of open work by rank; 0 is the most urgent.
WorkByRank = dict[int, int]


class EntryLoad(TypedDict):
    """Load that one entry VM, or several together, put on targets.

    :param work: tokens of open work by target and rank.
    :param room: tokens of memory that open requests occupy, by target.
    """

    work: dict[str, WorkByRank]
    room: dict[str, int]


class _Report(NamedTuple):
    load: EntryLoad
    at_s: float


class EntryLoads:
    """Latest load reports by entry VM, summed over all others for each VM.

    >>> loads = EntryLoads()
    >>> loads.update("entry-1", make_load(room={"t-1": 1_200}), now_s=1.0)
    >>> loads.total_except("entry-2", now_s=1.2)["room"]
    {'t-1': 1200}
    """

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def update(self, vm: str, load: EntryLoad, now_s: float) -> None:
        """Record an entry VM's own load."""
        self._reports[vm] = _Report(load, now_s)

    def active_vms(self, now_s: float) -> list[str]:
        """Return the entry VMs that reported recently, and forget the others."""
        limit_s = now_s - ENTRY_SILENCE_S
        self._reports = {
            vm: report for vm, report in self._reports.items() if report.at_s > limit_s
        }
        return sorted(self._reports)

    def total_except(self, vm: str, now_s: float) -> EntryLoad:
        """Return the summed load of all entry VMs but ``vm``."""
        total = make_load()
        limit_s = now_s - LOAD_SILENCE_S
        for other, report in self._reports.items():
            if other != vm and report.at_s > limit_s:
                _add(total, report.load)
        return total


def make_load(
    work: dict[str, WorkByRank] | None = None,
    room: dict[str, int] | None = None,
) -> EntryLoad:
    """Return a load; an omitted part is empty."""
    return EntryLoad(work=work or {}, room=room or {})


def _add(total: EntryLoad, load: EntryLoad) -> None:
    for target, by_rank in load["work"].items():
        sums = total["work"].setdefault(target, {})
        for rank, tokens in by_rank.items():
            sums[rank] = sums.get(rank, 0) + tokens
    for target, tokens in load["room"].items():
        total["room"][target] = total["room"].get(target, 0) + tokens
