"""Open work of the entry VMs at targets, as each VM last reported it."""

from enum import StrEnum
from itertools import zip_longest
from typing import NamedTuple, NotRequired, Protocol, TypedDict

__all__ = [
    "ENTRY_SILENCE_S",
    "LOAD_SILENCE_S",
    "EntryLoad",
    "EntryLoads",
    "LoadScope",
    "LoadView",
    "LoadsByGroup",
    "NoLoad",
    "WorkByRank",
    "accumulate",
    "add_loads",
    "make_load",
    "open_work",
]

#: Seconds without a request after which an entry VM is no longer counted.
ENTRY_SILENCE_S = 5.0
#: Seconds after which an entry VM's report is ignored: a live VM sends several in
#: this time, and the connections of a stopped one are closed.
LOAD_SILENCE_S = 1.5

#: Tokens of open work by rank; 0 is the most urgent.
WorkByRank = dict[int, int]


class LoadScope(StrEnum):
    """Control VMs that an entry VM reports its load to.

    :cvar ALL: every one of them.
    :cvar HOME: only the one that is asked, which tells the others.
    :cvar NONE: another one than the one that is asked.
    """

    ALL = "all"
    HOME = "home"
    NONE = "none"


class EntryLoad(TypedDict):
    """Load that one entry VM, or several together, put on targets.

    The counts are of the last seconds.

    :param work: tokens of open work by target and rank.
    :param room: tokens of memory that open requests occupy, by target.
    :param answers: requests that were answered or failed, by target.
    :param failures: those of them without a valid answer, by target.
    :param calls: requests that are open now, by target.
    :param overloaded: 1 for each entry VM that is short of processor time, 2 if it also
        reports itself not ready, by its name.
    :param prefills: sums over prompts answered in the last second, by target; see
        :class:`vanillabeam.capacity.counts.Sums`.
    :param ended: the same of plain calls.
    """

    work: dict[str, WorkByRank]
    room: dict[str, int]
    answers: NotRequired[dict[str, int]]
    failures: NotRequired[dict[str, int]]
    calls: NotRequired[dict[str, int]]
    prefills: NotRequired[dict[str, list[int]]]
    ended: NotRequired[dict[str, list[int]]]
    overloaded: NotRequired[dict[str, int]]


#: Fields of a load that map a name to a number.
COUNTS = ("room", "answers", "failures", "calls", "overloaded")
#: Fields of a load that map a name to several numbers.
SUMS = ("prefills", "ended")

#: Open work by the group of entry VMs that tell each other directly what is open.
LoadsByGroup = dict[str, EntryLoad]


class _Report(NamedTuple):
    load: EntryLoad
    at_s: float
    groups: LoadsByGroup


class EntryLoads:
    """Latest load reports by entry VM, summed over all others for each VM.

    The sum over all VMs is kept up to date with each report, so a reply costs the
    same however many entry VMs there are.

    >>> loads = EntryLoads()
    >>> loads.update("entry-1", make_load(room={"t-1": 1_200}), now_s=1.0)
    >>> loads.total_except("entry-2", now_s=1.2)["room"]
    {'t-1': 1200}
    """

    def __init__(self):
        #: Newest report of each active VM, the one reported longest ago first.
        self._reports: dict[str, _Report] = {}
        #: VMs whose report is part of the sum.
        self._summed: set[str] = set()
        self._total = make_load()
        self._groups: LoadsByGroup = {}

    def update(
        self,
        vm: str,
        load: EntryLoad,
        now_s: float,
        groups: LoadsByGroup | None = None,
    ) -> None:
        """Record an entry VM's own load.

        :param groups: the open work in it by group; none of VMs without a group.
        """
        self.forget(vm)
        report = _Report(load, now_s, groups or {})
        self._reports[vm] = report
        self._summed.add(vm)
        self._add(report, 1)

    def forget(self, vm: str) -> None:
        """Drop an entry VM's report."""
        self._drop(vm)
        self._reports.pop(vm, None)

    def active_vms(self, now_s: float) -> list[str]:
        """Return the entry VMs that reported recently, and forget the others."""
        limit_s = now_s - ENTRY_SILENCE_S
        while self._reports:
            vm, report = next(iter(self._reports.items()))
            if report.at_s > limit_s:
                break
            self._drop(vm)
            del self._reports[vm]
        return sorted(self._reports)

    def total_except(self, vm: str, now_s: float, group: str = "") -> EntryLoad:
        """Return the summed load of all entry VMs but ``vm``.

        :param group: group whose open work ``vm`` knows; only the outcomes that its
            VMs have observed are part of the sum.
        """
        self._drop_expired(now_s)
        total = _copy(self._total)
        self._subtract(total, vm, group)
        return total

    def add_to(self, total: EntryLoad, vm: str, now_s: float, group: str = "") -> None:
        """Add the summed load of all entry VMs but ``vm`` to ``total``.

        :param group: as in :meth:`total_except`.
        """
        self._drop_expired(now_s)
        accumulate(total, self._total)
        self._subtract(total, vm, group)

    def _subtract(self, total: EntryLoad, vm: str, group: str) -> None:
        own = self._reports[vm] if vm in self._summed else None
        if own is not None:
            accumulate(total, own.load, -1)
        if group in self._groups:
            accumulate(total, self._groups[group], -1)
            if own is not None and group in own.groups:
                accumulate(total, own.groups[group])

    def group_totals(self, now_s: float) -> LoadsByGroup:
        """Return the summed open work of each group."""
        self._drop_expired(now_s)
        return self._groups

    def _drop_expired(self, now_s: float) -> None:
        """Take reports out of the sum that are too old to be relied on."""
        limit_s = now_s - LOAD_SILENCE_S
        for vm, report in self._reports.items():
            if report.at_s > limit_s:
                break
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        if vm in self._summed:
            self._summed.discard(vm)
            self._add(self._reports[vm], -1)

    def _add(self, report: _Report, sign: int) -> None:
        """Add a report to the sums, or subtract it where ``sign`` is -1."""
        accumulate(self._total, report.load, sign)
        for group, load in report.groups.items():
            total = self._groups.setdefault(group, make_load())
            accumulate(total, load, sign)
            if not any(total.values()):
                del self._groups[group]


def make_load(
    work: dict[str, WorkByRank] | None = None,
    room: dict[str, int] | None = None,
    **counts: dict,
) -> EntryLoad:
    """Return a load; an omitted part is empty.

    :param counts: the other fields of a load.
    """
    load = EntryLoad(work=work or {}, room=room or {})
    for name in (*COUNTS[1:], *SUMS):
        load[name] = counts.get(name, {})
    return load


def open_work(load: EntryLoad) -> EntryLoad:
    """Return a load without the outcomes that were observed."""
    return make_load(load["work"], load["room"], calls=load.get("calls", {}))


def add_loads(*loads: EntryLoad) -> EntryLoad:
    """Return the sum of loads."""
    total = make_load()
    for load in loads:
        accumulate(total, load)
    return total


def _copy(load: EntryLoad) -> EntryLoad:
    """Return a copy of a sum, which has every field and no count of 0."""
    copy = EntryLoad(
        work={target: by_rank.copy() for target, by_rank in load["work"].items()},
        room=load["room"].copy(),
    )
    for name in (*COUNTS[1:], *SUMS):
        copy[name] = load[name].copy()
    return copy


def accumulate(total: EntryLoad, load: EntryLoad, sign: int = 1) -> None:
    """Add a load to ``total`` in place, or subtract it where ``sign`` is -1."""
    for target, by_rank in load["work"].items():
        sums = total["work"].setdefault(target, {})
        _add(sums, by_rank, sign)
        if not sums:
            del total["work"][target]
    for name in COUNTS:
        counts = load.get(name)
        if counts:
            _add(total[name], counts, sign)
    for name in SUMS:
        lists = load.get(name)
        if lists:
            _add_lists(total[name], lists, sign)


def _add_lists(sums: dict, counts: dict, sign: int) -> None:
    """Add lists of numbers to ``sums``, or subtract them; those of 0 are dropped.

    A list is replaced and never changed, so that sums may share it.
    """
    if not sums and sign > 0:
        sums.update(counts)
        return
    for key, numbers in counts.items():
        pairs = zip_longest(sums.get(key, ()), numbers, fillvalue=0)
        totals = [total + sign * number for total, number in pairs]
        if any(totals):
            sums[key] = totals
        else:
            sums.pop(key, None)


def _add(sums: dict, tokens: dict, sign: int) -> None:
    """Add ``tokens`` to ``sums``, or subtract them; sums of 0 are dropped."""
    if not sums and sign > 0 and all(tokens.values()):
        sums.update(tokens)
        return
    for key, count in tokens.items():
        total = sums.get(key, 0) + sign * count
        if total:
            sums[key] = total
        else:
            sums.pop(key, None)


class LoadView(Protocol):
    """Open work at targets, of this entry VM and of all others."""

    def own(self, now_s: float) -> EntryLoad:
        """Return this VM's open work."""

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the open work of all other entry VMs."""


class NoLoad:
    """Load of a VM that sends no work to targets."""

    def own(self, now_s: float) -> EntryLoad:
        """Return no load."""
        return make_load()

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Ignore the load of other VMs."""
