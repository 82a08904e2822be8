"""Sums of what all entry VMs have reported of one rollout."""

from itertools import zip_longest
from operator import sub
from typing import NamedTuple

from vanillabeam.canary.records import (
    BUCKETS,
    RolloutReport,
    RouteCounts,
    TargetCounts,
)

__all__ = ["Counts", "Sums", "Tally", "add_counts"]


class Counts(NamedTuple):
    """Requests to one version, of one route, target or VM, or of several together.

    :param slowness: answers by bucket of their slowness.
    """

    sent: int = 0
    answers: int = 0
    failures: int = 0
    slowness: tuple[int, ...] = (0,) * BUCKETS

    def minus(self, earlier: "Counts") -> "Counts":
        """Return what has been counted since ``earlier``."""
        return Counts(
            self.sent - earlier.sent,
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            tuple(map(sub, self.slowness, earlier.slowness)),
        )


_NOTHING = Counts()


class Sums(NamedTuple):
    """Counts of a rollout over all entry VMs.

    :param new: counts of the new version, by route.
    :param old: counts of all other versions, by route.
    :param targets: counts by target of the new version; they have no ``sent``.
    :param vms: counts of the new version, by entry VM and route.
    :param open_old: requests that are open at targets of other versions.
    """

    new: dict[str, Counts] = {}
    old: dict[str, Counts] = {}
    targets: dict[str, Counts] = {}
    vms: dict[str, dict[str, Counts]] = {}
    open_old: int = 0

    def minus(self, earlier: "Sums") -> "Sums":
        """Return what has been counted since ``earlier``, but for the VMs' counts."""
        return Sums(
            _minus(self.new, earlier.new),
            _minus(self.old, earlier.old),
            _minus(self.targets, earlier.targets),
            {},
            self.open_old,
        )

    @property
    def all_new(self) -> Counts:
        """Counts of the new version on all routes."""
        return add_counts(*self.new.values())

    @property
    def all_old(self) -> Counts:
        """Counts of all other versions on all routes."""
        return add_counts(*self.old.values())


class _Vm:
    """Reports of one entry VM.

    :ivar newest: newest report of each process, by its id.
    :ivar boot: process that reported last.
    :ivar at_s: monotonic time of the last report.
    :ivar index: index of the fleet state that the VM held then.
    """

    def __init__(self):
        self.newest: dict[str, RolloutReport] = {}
        self.boot = ""
        self.at_s = 0.0
        self.index = 0


class Tally:
    """Reports of all entry VMs on one rollout.

    Reports are cumulative for one process. The last one of a process that has ended
    stays in the sum, so a restart takes away no evidence.

    >>> tally = Tally()
    >>> tally.update("entry-1", report, now_s=1.0)
    >>> tally.sums().all_new.sent
    12
    """

    def __init__(self):
        self._vms: dict[str, _Vm] = {}
        self._sums: Sums | None = Sums()

    def update(
        self, vm: str, report: RolloutReport, now_s: float, index: int = 0
    ) -> None:
        """Record a report; an older one of the same process changes nothing.

        :param index: index of the fleet state that the VM held at the report.
        """
        known = self._vms.setdefault(vm, _Vm())
        boot = report["boot"]
        previous = known.newest.get(boot)
        if previous is not None and _progress(report) < _progress(previous):
            return
        if previous is not None and boot != known.boot:
            # A late report of a process that has ended.
            known.newest[boot] = report
            self._sums = None
            return
        known.newest[boot] = report
        known.boot, known.at_s, known.index = boot, now_s, index
        self._sums = None

    def sums(self) -> Sums:
        """Return the sums over all VMs and their processes."""
        if self._sums is None:
            self._sums = self._add_up()
        return self._sums

    def is_drained(self, vms: list[str], since_s: float, index: int) -> bool:
        """Return whether no VM has a request open at another version.

        :param vms: entry VMs that are in contact.
        :param since_s: time before which reports don't count.
        :param index: index of the fleet state since which a VM sends other versions
            nothing; reports of VMs that held an older one don't count.
        """
        for vm in vms:
            known = self._vms.get(vm)
            if known is None or known.at_s < since_s or known.index < index:
                return False
            if known.newest[known.boot]["open_old"]:
                return False
        return True

    def _add_up(self) -> Sums:
        new: dict[str, list[RouteCounts]] = {}
        old: dict[str, list[RouteCounts]] = {}
        targets: dict[str, list[TargetCounts]] = {}
        by_vm: dict[str, dict[str, Counts]] = {}
        open_old = 0
        for vm, known in self._vms.items():
            own: dict[str, list[RouteCounts]] = {}
            for report in known.newest.values():
                _collect(own, report["new"])
                _collect(old, report["old"])
                _collect(targets, report.get("targets", {}))
            for route, counts in own.items():
                new.setdefault(route, []).extend(counts)
            by_vm[vm] = {route: _add_routes(of) for route, of in own.items()}
            # Requests of a process that has ended are open no more.
            open_old += known.newest[known.boot]["open_old"]
        return Sums(
            {route: _add_routes(of) for route, of in new.items()},
            {route: _add_routes(of) for route, of in old.items()},
            {name: _add_targets(of) for name, of in targets.items()},
            by_vm,
            open_old,
        )


def add_counts(*counts: Counts) -> Counts:
    """Return the sum of counts."""
    return Counts(
        sum(of.sent for of in counts),
        sum(of.answers for of in counts),
        sum(of.failures for of in counts),
        _add_buckets([of.slowness for of in counts]),
    )


def _progress(report: RolloutReport) -> int:
    """Return a number that never falls from one report of a process to the next."""
    return sum(
        counts["sent"] + counts["answers"]
        for by_route in (report["new"], report["old"])
        for counts in by_route.values()
    )


def _collect(lists: dict[str, list], counts: dict) -> None:
    for name, of in counts.items():
        lists.setdefault(name, []).append(of)


def _add_routes(counts: list[RouteCounts]) -> Counts:
    return Counts(
        sum(of["sent"] for of in counts),
        sum(of["answers"] for of in counts),
        sum(of["failures"] for of in counts),
        _add_buckets([of["slowness"] for of in counts]),
    )


def _add_targets(counts: list[TargetCounts]) -> Counts:
    return Counts(
        0,
        sum(of["answers"] for of in counts),
        sum(of["failures"] for of in counts),
        _add_buckets([of["slow"] for of in counts]),
    )


def _add_buckets(histograms: list) -> tuple[int, ...]:
    columns = zip_longest(*histograms, fillvalue=0)
    total = [sum(column) for column in columns][:BUCKETS]
    return (*total, *[0] * (BUCKETS - len(total)))


def _minus(now: dict[str, Counts], earlier: dict[str, Counts]) -> dict[str, Counts]:
    return {
        name: counts.minus(earlier.get(name, _NOTHING)) for name, counts in now.items()
    }
