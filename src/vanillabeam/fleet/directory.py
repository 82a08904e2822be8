"""Directory of targets: the newest announcement of each and its age.

A control VM fills a directory from announcements, an entry VM from the replies
of control VMs; both apply the same rules.
"""

from typing import NamedTuple

from vanillabeam.fleet.records import Target

__all__ = ["Directory", "TargetRecord"]

#: Ended incarnations that are kept, so that a delayed announcement of one does
#: not add it again.
MAX_ENDED_INCARNATIONS = 4_096


class TargetRecord(NamedTuple):
    """A target's newest announcement and when it was made.

    :param last_seen_s: monotonic time of the newest announcement.
    :param version: version of the directory at which the record last changed.
    :param cold_until_s: monotonic time until which the target is cold.
    """

    target: Target
    last_seen_s: float
    version: int
    cold_until_s: float


class Directory:
    """Targets by name, each with its newest incarnation only.

    :ivar version: increases with each change that watchers must receive.

    >>> directory = Directory()
    >>> directory.update(target, now_s=1.0)
    True
    >>> directory.mark_ended(target.incarnation)
    """

    def __init__(self):
        self.version = 0
        self.records: dict[str, TargetRecord] = {}
        self._ended: dict[tuple[str, int], int] = {}

    def update(self, target: Target, now_s: float) -> bool:
        """Apply a target's announcement; return whether anything has changed.

        An announcement is ignored if it is older than the recorded one, if its
        incarnation has ended, or if a later-started target now has its address. That
        a target drains is true at any age, until it starts again.

        :param now_s: monotonic time at which the target made the announcement.
        """
        record = self.records.get(target.name)
        if target.incarnation in self._ended or self._is_superseded(target):
            return False
        if record is not None and _order(target) <= _order(record.target):
            return target.draining and self.mark_draining(target.incarnation)
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
        self._end_predecessors(target)
        return changed

    def update_weight_version(
        self, incarnation: tuple[str, int], model: str, version: int
    ) -> bool:
        """Record a weight version that was read between two announcements.

        :returns: whether the record has changed.
        """
        record = self.records.get(incarnation[0])
        if record is None or record.target.incarnation != incarnation:
            return False
        if record.target.versions.get(model, version) >= version:
            return False
        self.version += 1
        target = record.target._replace(
            versions=record.target.versions | {model: version}
        )
        self.records[incarnation[0]] = record._replace(
            target=target, version=self.version
        )
        return True

    def mark_draining(self, incarnation: tuple[str, int]) -> bool:
        """Record that a target drains; return whether the record has changed."""
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
        if incarnation in self._ended:
            return True
        record = self.records.get(incarnation[0])
        is_known = record is not None and record.target.incarnation == incarnation
        return is_known and record.target.draining

    def refresh(self, name: str, last_seen_s: float) -> None:
        """Record a later announcement that changed nothing else.

        :param last_seen_s: monotonic time of that announcement.
        """
        record = self.records.get(name)
        if record is not None and last_seen_s > record.last_seen_s:
            self.records[name] = record._replace(last_seen_s=last_seen_s)

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

    def _is_superseded(self, target: Target) -> bool:
        return any(
            other.target.address == target.address
            and other.target.name != target.name
            and other.target.born_ms > target.born_ms
            for other in self.records.values()
        )

    def _end_predecessors(self, target: Target) -> None:
        for other in list(self.records.values()):
            same_address = other.target.address == target.address
            if same_address and other.target.name != target.name:
                self.mark_ended(other.target.incarnation)


def _order(target: Target) -> tuple[int, int]:
    return (target.born_ms, target.sequence)


def _differs(record: TargetRecord, target: Target, now_s: float) -> bool:
    """Return whether the announcement must be passed on to watchers at once."""
    before = record.target._replace(sequence=0, cold_ms=0.0)
    after = target._replace(sequence=0, cold_ms=0.0)
    was_cold = record.cold_until_s > now_s
    return before != after or (target.cold_ms > 0 and not was_cold)
