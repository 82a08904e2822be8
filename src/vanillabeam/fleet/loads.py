"""What the entry VMs have open at targets, as each of them last said."""

from typing import NamedTuple, TypedDict

__all__ = ["EntryLoad", "EntryLoads", "WorkByRank", "make_load"]

#: Entry VMs that have not asked for so long no longer count.
ENTRY_SILENCE_S = 5.0
#: What an entry VM had open counts no longer: it asks several times in this
#: time, and where it is gone, so are its connections.
LOAD_SILENCE_S = 1.5

#: Tokens of open work by rank; 0 is the most urgent.
WorkByRank = dict[int, int]


class EntryLoad(TypedDict):
    """What one entry VM, or several together, have at targets.

    :param work: tokens of open work by target and rank.
    :param room: tokens of memory that open requests take, by target.
    """

    work: dict[str, WorkByRank]
    room: dict[str, int]


class _Report(NamedTuple):
    load: EntryLoad
    at_s: float


class EntryLoads:
    """Loads by entry VM, for each of them the sum of all others.

    >>> loads = EntryLoads()
    >>> loads.update("entry-1", make_load(room={"t-1": 1_200}), now_s=1.0)
    >>> loads.total_except("entry-2", now_s=1.2)["room"]
    {'t-1': 1200}
    """

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def update(self, vm: str, load: EntryLoad, now_s: float) -> None:
        """Take what an entry VM says of itself."""
        self._reports[vm] = _Report(load, now_s)

    def active_vms(self, now_s: float) -> list[str]:
        """Return the entry VMs that were heard lately, and forget the others."""
        limit_s = now_s - ENTRY_SILENCE_S
        self._reports = {
            vm: said for vm, said in self._reports.items() if said.at_s > limit_s
        }
        return sorted(self._reports)

    def total_except(self, vm: str, now_s: float) -> EntryLoad:
        """Return what all other entry VMs have together."""
        total = make_load()
        limit_s = now_s - LOAD_SILENCE_S
        for other, said in self._reports.items():
            if other != vm and said.at_s > limit_s:
                _add(total, said.load)
        return total


def make_load(
    work: dict[str, WorkByRank] | None = None,
    room: dict[str, int] | None = None,
) -> EntryLoad:
    """Return a load; what is not given is nothing."""
    return EntryLoad(work=work or {}, room=room or {})


def _add(total: EntryLoad, load: EntryLoad) -> None:
    for target, by_rank in load["work"].items():
        sums = total["work"].setdefault(target, {})
        for rank, tokens in by_rank.items():
            sums[rank] = sums.get(rank, 0) + tokens
    for target, tokens in load["room"].items():
        total["room"][target] = total["room"].get(target, 0) + tokens
