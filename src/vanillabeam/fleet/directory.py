"""What a VM believes of the targets: the newest word of each, by its age.

A control VM fills one from announcements, an entry VM from what the control
VMs tell it; both judge by the same rules.
"""

from typing import NamedTuple

from vanillabeam.fleet.records import Target

__all__ = ["Directory", "TargetRecord"]

#: Lives that have ended and are remembered, so that late news revive none.
MAX_ENDED_INCARNATIONS = 4_096


class TargetRecord(NamedTuple):
    """A target and when it was last heard.

    :param heard_s: monotonic time of its newest announcement.
    :param version: of the directory, when the record last changed.
    :param cold_until_s: monotonic time until which it is cold.
    """

    target: Target
    last_seen_s: float
    version: int
    cold_until_s: float


class Directory:
    """Targets by name; one life of each, the newest.

    :ivar version: rises with each change that others must hear of.

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
        """Take a target's own word; return whether anything has changed.

        Late words, those of an ended life and those of a start before the one
        that is now at the same address change nothing.

        :param now_s: monotonic time at which the target said so.
        """
        held = self.records.get(target.name)
        if target.incarnation in self._ended or self._is_superseded(target):
            return False
        if held is not None and _order(target) <= _order(held.target):
            return False
        if held is not None and held.target.incarnation == target.incarnation:
            # A target that drains never comes back within one life.
            target = target._replace(draining=target.draining or held.target.draining)
            now_s = max(now_s, held.last_seen_s)
        changed = held is None or _differs(held, target, now_s)
        if changed:
            self.version += 1
        version = self.version if changed else held.version
        cold_until_s = now_s + target.cold_ms / 1000
        self.records[target.name] = TargetRecord(target, now_s, version, cold_until_s)
        self._end_predecessors(target)
        return changed

    def update_weight_version(
        self, incarnation: tuple[str, int], model: str, version: int
    ) -> bool:
        """Take what a target was asked between two of its announcements.

        :returns: whether that was news.
        """
        held = self.records.get(incarnation[0])
        if held is None or held.target.incarnation != incarnation:
            return False
        if held.target.versions.get(model, version) >= version:
            return False
        self.version += 1
        target = held.target._replace(versions=held.target.versions | {model: version})
        self.records[incarnation[0]] = held._replace(
            target=target, version=self.version
        )
        return True

    def refresh(self, name: str, last_seen_s: float) -> None:
        """Take the age of a target's newest word from a VM that heard it."""
        held = self.records.get(name)
        if held is not None and last_seen_s > held.last_seen_s:
            self.records[name] = held._replace(last_seen_s=last_seen_s)

    def mark_ended(self, incarnation: tuple[str, int]) -> None:
        """Remember that this life of a target has ended, or ends now."""
        if incarnation in self._ended:
            return
        self.version += 1
        self._ended[incarnation] = self.version
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]
        held = self.records.get(incarnation[0])
        if held is not None and held.target.incarnation == incarnation:
            del self.records[incarnation[0]]

    def silent_since(self, limit_s: float) -> list[tuple[str, int]]:
        """Return the lives that nobody has heard since ``limit_s``."""
        found = self.records.values()
        return [each.target.incarnation for each in found if each.last_seen_s < limit_s]

    def forget(self, name: str) -> None:
        """Drop a silent target; its next word brings it back."""
        if self.records.pop(name, None) is not None:
            self.version += 1

    def changed_after(self, version: int) -> list[TargetRecord]:
        """Return the sightings whose records changed after ``version``."""
        return [each for each in self.records.values() if each.version > version]

    def ended_after(self, version: int) -> list[tuple[str, int]]:
        """Return the lives that have ended after ``version``."""
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
            same_place = other.target.address == target.address
            if same_place and other.target.name != target.name:
                self.mark_ended(other.target.incarnation)


def _order(target: Target) -> tuple[int, int]:
    return (target.born_ms, target.sequence)


def _differs(held: TargetRecord, target: Target, now_s: float) -> bool:
    """Return whether others must hear of the new word at once."""
    before = held.target._replace(sequence=0, cold_ms=0.0)
    after = target._replace(sequence=0, cold_ms=0.0)
    was_cold = held.cold_until_s > now_s
    return before != after or (target.cold_ms > 0 and not was_cold)
