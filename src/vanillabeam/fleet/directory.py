"""Directory of targets: the newest announcement of each and its age.

A control VM fills a directory from announcements, an entry VM from the replies
of control VMs; both apply the same rules.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from vanillabeam.fleet.departures import Departures
from vanillabeam.fleet.records import Target

__all__ = ["READ_MARGIN_S", "Directory", "Incarnation", "TargetRecord"]

#: Ended incarnations that are kept, so that a delayed announcement of one does
#: not add it again.
MAX_ENDED_INCARNATIONS = 4_096
#: Names of which the start that was listed last is kept.
MAX_NAMES = 4_096

#: Seconds after an announcement within which a later one may have been made before a
#: weight version was read from the target.
READ_MARGIN_S = 3.0

#: Name and start time of a target.
Incarnation = tuple[str, int]


class TargetRecord(NamedTuple):
    """A target's newest announcement and when it was made.

    :param last_seen_s: monotonic time of the newest announcement.
    :param version: version of the directory at which the record last changed.
    :param cold_until_s: monotonic time until which the target is cold.
    :param read_after: the newest announcement before a weight version of ``target`` was
        read from it; ``None`` if all its versions were announced.
    """

    target: Target
    last_seen_s: float
    version: int
    cold_until_s: float
    read_after: "_Announced | None" = None

    @property
    def announced_versions(self) -> dict[str, int]:
        """Weight versions by the newest announcement."""
        before = self.read_after
        return self.target.versions if before is None else before.versions


class _Announced(NamedTuple):
    """Weight versions that a target announced, and when it was last seen."""

    versions: dict[str, int]
    seen_s: float


class Directory:
    """Targets by name, each with its newest incarnation only.

    An announcement with a service that the deployment in force doesn't name may come
    from another writer. Its target is listed, as this VM may not know the newest
    deployment yet, but it changes nothing of a target of a named service.

    :param is_named: returns whether the deployment in force names a service.
    :ivar version: increases with each change that watchers must receive.
    :ivar leaving: targets that have told a control VM that they leave. Unlike an
        announcement that a target drains, this may be taken back.

    >>> directory = Directory()
    >>> directory.update(target, now_s=1.0)
    True
    >>> directory.mark_ended(target.incarnation)
    """

    def __init__(self, is_named: Callable[[str], bool] = lambda service: True):
        self.is_named = is_named
        self.version = 0
        self.records: dict[str, TargetRecord] = {}
        self.leaving: frozenset[Incarnation] = frozenset()
        self._ended: dict[tuple[str, int], int] = {}
        #: Incarnations that drain, also those that aren't listed.
        self._draining: dict[Incarnation, None] = {}
        #: Start time that was listed last, by name, and whether another one was before.
        self._starts: dict[str, tuple[int, bool]] = {}
        #: Targets by service at :attr:`_listed_version`.
        self._by_service: dict[str, list[Target]] = {}
        self._listed_version = -1

    def update(self, target: Target, now_s: float) -> bool:
        """Apply a target's announcement; return whether anything has changed.

        An announcement is ignored if it is older than the recorded one, if its
        incarnation has ended, if a later-started target now has its address, or if it
        contradicts the record. That a target drains is true at any age, until it starts
        again.

        :param now_s: monotonic time at which the target made the announcement.
        """
        record = self.records.get(target.name)
        if target.incarnation in self._ended or self._is_superseded(target):
            return False
        if self.contradicts(target):
            return False
        if self.is_of_unnamed(target.name) and self.is_named(target.service):
            # The record may be of another writer, with any start time and number.
            record = None
        if target.incarnation in self._draining:
            target = target._replace(draining=True)
        if record is not None and _order(target) <= _order(record.target):
            is_drain = target.draining and self.is_named(target.service)
            return is_drain and self.mark_draining(target.incarnation)
        if record is not None and record.target.incarnation == target.incarnation:
            # A draining target stays draining until it restarts.
            target = target._replace(draining=target.draining or record.target.draining)
            now_s = max(now_s, record.last_seen_s)
        changed = record is None or _differs(record, target, now_s)
        if changed:
            self.version += 1
        version = self.version if changed else record.version
        cold_until_s = now_s + target.cold_ms / 1000
        self.records[target.name] = TargetRecord(target, now_s, version, cold_until_s)
        self._listed_version = -1
        self._record_start(target)
        self._drop_predecessors(target)
        return changed

    def contradicts(self, target: Target) -> bool:
        """Return whether an announcement can't be one of the target on record.

        The service and the address of a start don't change, and a service that isn't
        named doesn't replace one that is.
        """
        record = self.records.get(target.name)
        if record is None:
            return False
        known, was_named = record.target, self.is_named(record.target.service)
        if was_named != self.is_named(target.service):
            return was_named
        if known.incarnation != target.incarnation:
            return False
        return (known.service, known.address) != (target.service, target.address)

    def update_weight_version(
        self, incarnation: tuple[str, int], model: str, version: int
    ) -> bool:
        """Record a weight version that was read between two announcements.

        What the target announces counts again from :data:`READ_MARGIN_S` after the last
        call on.

        :returns: whether the record has changed.
        """
        record = self.records.get(incarnation[0])
        if record is None or record.target.incarnation != incarnation:
            return False
        known = record.target.versions.get(model, version)
        if known > version or (known == version and record.read_after is None):
            return False
        announced = _Announced(record.announced_versions, record.last_seen_s)
        record = record._replace(read_after=announced)
        if known < version:
            self.version += 1
            versions = record.target.versions | {model: version}
            target = record.target._replace(versions=versions)
            record = record._replace(target=target, version=self.version)
        self.records[incarnation[0]] = record
        return known < version

    def apply_departures(self, committed: Departures) -> None:
        """Record the departures that the control VMs have agreed on."""
        for incarnation in committed["ended"]:
            self.mark_ended(incarnation)
        for incarnation in committed["draining"]:
            if incarnation not in self._draining:
                self.mark_draining(incarnation)

    def mark_draining(self, incarnation: tuple[str, int]) -> bool:
        """Record that a target drains; return whether the record has changed.

        It also holds for an announcement of before that comes later.
        """
        self._draining[incarnation] = None
        if len(self._draining) > MAX_ENDED_INCARNATIONS:
            del self._draining[next(iter(self._draining))]
        record = self.records.get(incarnation[0])
        if record is None or record.target.incarnation != incarnation:
            return False
        if record.target.draining:
            return False
        self.version += 1
        target = record.target._replace(draining=True)
        self.records[target.name] = record._replace(target=target, version=self.version)
        return True

    def has_ended(self, incarnation: tuple[str, int]) -> bool:
        """Return whether an incarnation is known to have ended."""
        return incarnation in self._ended

    def is_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Return whether a target drains, or its incarnation has left already."""
        if incarnation in self._ended or incarnation in self.leaving:
            return True
        record = self.records.get(incarnation[0])
        is_known = record is not None and record.target.incarnation == incarnation
        return is_known and record.target.draining

    def set_leaving(self, incarnations: frozenset[Incarnation]) -> bool:
        """Replace :attr:`leaving`; return whether it has changed."""
        if incarnations == self.leaving:
            return False
        self.leaving = incarnations
        self.version += 1
        return True

    def mark_changed(self) -> None:
        """Record a change of something else that watchers must receive at once."""
        self.version += 1

    def targets(self) -> list[Target]:
        """Return the targets; those that leave by their answers count as draining."""
        targets = [record.target for record in self.records.values()]
        if not self.leaving:
            return targets
        return [
            target._replace(draining=True)
            if target.incarnation in self.leaving
            else target
            for target in targets
        ]

    def targets_of(self, service: str) -> Sequence[Target]:
        """Return the targets of a service, as :meth:`targets` does.

        They are listed anew after a change only: each request asks several times.
        """
        if self._listed_version != self.version:
            by_service: dict[str, list[Target]] = {}
            for target in self.targets():
                by_service.setdefault(target.service, []).append(target)
            self._by_service, self._listed_version = by_service, self.version
        return self._by_service.get(service, ())

    def last_start(self, name: str) -> int | None:
        """Return the start time that was listed last under a name, if any was."""
        record = self.records.get(name)
        if record is not None:
            return record.target.born_ms
        return self._starts[name][0] if name in self._starts else None

    def is_of_unnamed(self, name: str) -> bool:
        """Return whether the target on record belongs to a service that isn't named."""
        record = self.records.get(name)
        return record is not None and not self.is_named(record.target.service)

    def is_only_start(self, incarnation: Incarnation) -> bool:
        """Return whether no other start of this name was ever listed."""
        name, born_ms = incarnation
        return self._starts.get(name, (born_ms, False)) == (born_ms, False)

    def has_ended_start(self, name: str) -> bool:
        """Return whether some incarnation of this name is known to have ended."""
        return any(ended == name for ended, _ in self._ended)

    def refresh(self, name: str, last_seen_s: float) -> None:
        """Record a later announcement that changed nothing else.

        :param last_seen_s: monotonic time of that announcement.
        """
        record = self.records.get(name)
        if record is None or last_seen_s <= record.last_seen_s:
            return
        record = record._replace(last_seen_s=last_seen_s)
        before = record.read_after
        if before is not None and last_seen_s > before.seen_s + READ_MARGIN_S:
            self.version += 1
            target = record.target._replace(versions=before.versions)
            record = record._replace(
                target=target, version=self.version, read_after=None
            )
        self.records[name] = record

    def mark_ended(self, incarnation: tuple[str, int]) -> None:
        """Record that an incarnation has ended, and drop its target."""
        if incarnation in self._ended:
            return
        self.version += 1
        self._ended[incarnation] = self.version
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]
        record = self.records.get(incarnation[0])
        if record is not None and record.target.incarnation == incarnation:
            del self.records[incarnation[0]]

    def silent_since(self, limit_s: float) -> list[tuple[str, int]]:
        """Return the incarnations without an announcement since ``limit_s``."""
        records = self.records.values()
        return [r.target.incarnation for r in records if r.last_seen_s < limit_s]

    def forget(self, name: str) -> None:
        """Drop a silent target; its next announcement adds it again."""
        if self.records.pop(name, None) is not None:
            self.version += 1

    def changed_after(self, version: int) -> list[TargetRecord]:
        """Return the records that have changed after ``version``."""
        return [record for record in self.records.values() if record.version > version]

    def ended_after(self, version: int) -> list[tuple[str, int]]:
        """Return the incarnations that ended after ``version``."""
        return [incarnation for incarnation, at in self._ended.items() if at > version]

    def _record_start(self, target: Target) -> None:
        born_ms, has_restarted = self._starts.get(target.name, (target.born_ms, False))
        has_restarted = has_restarted or born_ms != target.born_ms
        self._starts[target.name] = (target.born_ms, has_restarted)
        if len(self._starts) > MAX_NAMES:
            del self._starts[next(iter(self._starts))]

    def _is_superseded(self, target: Target) -> bool:
        return any(
            other.target.address == target.address
            and other.target.name != target.name
            and other.target.born_ms > target.born_ms
            and self.may_drop(other.target, target)
            for other in self.records.values()
        )

    def _drop_predecessors(self, target: Target) -> None:
        """Drop other targets at the address of a target, until they are heard again.

        It is no proof that they have ended: the clocks that tell starts apart differ.
        """
        for other in list(self.records.values()):
            same_address = other.target.address == target.address
            is_other = same_address and other.target.name != target.name
            if is_other and self.may_drop(target, other.target):
                self.forget(other.target.name)

    def may_drop(self, target: Target, other: Target) -> bool:
        """Return whether a target may stand for another one at its address."""
        return self.is_named(target.service) or not self.is_named(other.service)


def _order(target: Target) -> tuple[int, int]:
    return (target.born_ms, target.sequence)


def _differs(record: TargetRecord, target: Target, now_s: float) -> bool:
    """Return whether the announcement must be passed on to watchers at once."""
    before = record.target._replace(sequence=0, cold_ms=0.0)
    after = target._replace(sequence=0, cold_ms=0.0)
    was_cold = record.cold_until_s > now_s
    return before != after or (target.cold_ms > 0 and not was_cold)
