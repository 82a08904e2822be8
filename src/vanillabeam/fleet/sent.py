"""Targets that one control VM has sent, kept so that none is lost to the directory.

A reply holds the records that have changed since the reply before, and the age of every
target. A VM drops a target that it takes for silent, and refuses a record while another
one contradicts it; the control VM sends that record only once.
"""

from collections.abc import Mapping
from typing import NamedTuple

from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.records import Target
from vanillabeam.fleet.watch import TargetReport, WatchReply

__all__ = ["SentTargets"]


class _Sent(NamedTuple):
    """A record as it was sent.

    :param cold_until_s: monotonic time until which the target is cold.
    """

    target: Target
    cold_until_s: float

    def at(self, age_s: float, now_s: float) -> Target:
        """Return the record with the rest of the cold window from an announcement on.

        :param age_s: age of that announcement in seconds.
        """
        cold_ms = 0.0
        if self.cold_until_s > now_s:
            cold_ms = round(1000 * (self.cold_until_s - now_s + age_s), 1)
        return self.target._replace(cold_ms=cold_ms)


class SentTargets:
    """Newest record of each target that a control VM's process has sent.

    >>> sent = SentTargets()
    >>> sent.apply(reply, directory, 4.0, now_s)
    [(target, 0.2)]
    """

    def __init__(self):
        self._records: dict[str, _Sent] = {}

    def apply(
        self, reply: WatchReply, directory: Directory, silence_s: float, now_s: float
    ) -> list[tuple[Target, float]]:
        """Apply a reply to the directory; offer it again what it doesn't list.

        :param silence_s: seconds without an announcement after which a target is
            dropped.
        :returns: the targets whose records in the directory have changed, with the age
            of their announcement in seconds.
        """
        offered = [self._record(report, now_s) for report in reply["targets"]]
        self._forget_all_but(reply["ages_s"])
        starts = reply.get("starts", {})
        for name, age_s in reply["ages_s"].items():
            born_ms, seen_s = starts.get(name), now_s - age_s
            sent = self._records.get(name)
            if sent is None or born_ms not in (None, sent.target.born_ms):
                _refresh(directory, name, born_ms, seen_s)
            elif _has(directory, sent.target):
                directory.refresh(name, seen_s)
            elif age_s < silence_s and not _is_replaced(directory, sent.target, seen_s):
                offered.append((sent.at(age_s, now_s), age_s))
        return [
            (target, age_s)
            for target, age_s in offered
            if directory.update(target, now_s - age_s)
        ]

    def _record(self, report: TargetReport, now_s: float) -> tuple[Target, float]:
        target, age_s = report["target"], report["age_s"]
        target = Target(*target)._replace(software=report.get("software", ""))
        cold_until_s = now_s + target.cold_ms / 1000 if target.cold_ms else 0.0
        sent = _Sent(target, cold_until_s)
        self._records[target.name] = sent
        return sent.at(age_s, now_s), age_s

    def _forget_all_but(self, names: Mapping[str, float]) -> None:
        gone = [name for name in self._records if name not in names]
        for name in gone:
            del self._records[name]


def _has(directory: Directory, target: Target) -> bool:
    """Return whether a directory lists this start, as it is or as announced later."""
    record = directory.records.get(target.name)
    if record is None or record.target.incarnation != target.incarnation:
        return False
    return record.target.sequence >= target.sequence


def _refresh(
    directory: Directory, name: str, born_ms: int | None, seen_s: float
) -> None:
    """Apply an age, if it belongs to the start that is listed.

    :param born_ms: start that it belongs to; ``None`` if only one was ever listed.
    """
    record = directory.records.get(name)
    if record is not None and born_ms in (None, record.target.born_ms):
        directory.refresh(name, seen_s)


def _is_replaced(directory: Directory, target: Target, seen_s: float) -> bool:
    """Return whether another target was heard at the same address later."""
    return any(
        other.target.address == target.address
        and other.target.name != target.name
        and other.last_seen_s > seen_s
        and directory.may_drop(other.target, target)
        for other in directory.records.values()
    )
