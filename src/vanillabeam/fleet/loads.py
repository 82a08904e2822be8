"""What the entry VMs have open at targets, as each of them last said."""

from typing import NamedTuple

__all__ = ["EntryLoads", "Room", "Work"]

#: Entry VMs that have not asked for so long no longer count.
ENTRY_SILENCE_S = 5.0
#: What an entry VM had open counts no longer: it asks several times in this
#: time, and where it is gone, so are its connections.
LOAD_SILENCE_S = 1.5

#: Tokens of open work by target and rank.
Work = dict[str, dict[int, int]]
#: Tokens of memory that open requests take, by target.
Room = dict[str, int]


class _Load(NamedTuple):
    work: Work
    room: Room
    said_s: float


class EntryLoads:
    """Loads by entry VM, for each of them the sum of all others.

    >>> loads = EntryLoads()
    >>> loads.take("entry-1", {"t-1": {0: 900}}, {"t-1": 1_200}, now_s=1.0)
    >>> loads.room_but_of("entry-2", now_s=1.2)
    {'t-1': 1200}
    """

    def __init__(self):
        self._loads: dict[str, _Load] = {}

    def take(self, vm: str, work: Work, room: Room, now_s: float) -> None:
        """Take what an entry VM says of itself."""
        self._loads[vm] = _Load(work, room, now_s)

    def entries(self, now_s: float) -> list[str]:
        """Return the entry VMs that were heard lately, and forget the others."""
        limit_s = now_s - ENTRY_SILENCE_S
        self._loads = {
            vm: load for vm, load in self._loads.items() if load.said_s > limit_s
        }
        return sorted(self._loads)

    def work_but_of(self, vm: str, now_s: float) -> Work:
        """Return the open work of all other entry VMs."""
        total: Work = {}
        for load in self._others(vm, now_s):
            for target, by_rank in load.work.items():
                sums = total.setdefault(target, {})
                for rank, tokens in by_rank.items():
                    sums[rank] = sums.get(rank, 0) + tokens
        return total

    def room_but_of(self, vm: str, now_s: float) -> Room:
        """Return the memory that the requests of all other entry VMs take."""
        total: Room = {}
        for load in self._others(vm, now_s):
            for target, tokens in load.room.items():
                total[target] = total.get(target, 0) + tokens
        return total

    def _others(self, vm: str, now_s: float) -> list[_Load]:
        limit_s = now_s - LOAD_SILENCE_S
        return [
            load
            for other, load in self._loads.items()
            if other != vm and load.said_s > limit_s
        ]
