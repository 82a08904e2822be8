"""Targets that one control VM has sent, kept so that none is lost to the directory.

A reply holds the records that have changed since the reply before, and the age of every
target. A VM drops a target that it takes for silent, and refuses a record while another
one contradicts it; the control VM sends that record only once.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.records import Target
from vanillabeam.fleet.watch import TargetReport

__all__ = ["SentTargets"]


class _Sent(NamedTuple):
    """A record as it was sent.

    :param cold_until_s: monotonic time until which the target is cold.
    """

    target: Target
    cold_until_s: float


class SentTargets:
    """Newest record of each target that a control VM's process has sent.

    >>> sent = SentTargets()
    >>> sent.apply(reply["targets"], reply["ages_s"], directory, 4.0, now_s)
    [(target, 0.2)]
    """

    def __init__(self):
        self._records: dict[str, _Sent] = {}

    def apply(
        self,
        reports: Iterable[TargetReport],
        ages_s: Mapping[str, float],
        directory: Directory,
        silence_s: float,
        now_s: float,
    ) -> list[tuple[Target, float]]:
        """Apply a reply to the directory; offer it again what it doesn't list.

        :param reports: records that have changed.
        :param ages_s: age in seconds of each target's newest announcement.
        :param silence_s: seconds without an announcement after which a target is
            dropped.
        :returns: the targets whose records in the directory have changed, with the age
            of their announcement in seconds.
        """
        offered: list[tuple[Target, float]] = []
        for report in reports:
            target, age_s = report["target"], report["age_s"]
            cold_until_s = now_s - age_s + target.cold_ms / 1000
            self._records[target.name] = _Sent(target, cold_until_s)
            offered.append((target, age_s))
        self._forget_all_but(ages_s)
        for name, age_s in ages_s.items():
            sent = self._records.get(name)
            if sent is None or _lists(directory, sent.target):
                directory.refresh(name, now_s - age_s)
            elif age_s < silence_s:
                cold_ms = max(0.0, 1000 * (sent.cold_until_s - now_s + age_s))
                offered.append((sent.target._replace(cold_ms=cold_ms), age_s))
        return [
            (target, age_s)
            for target, age_s in offered
            if directory.update(target, now_s - age_s)
        ]

    def _forget_all_but(self, names: Mapping[str, float]) -> None:
        gone = [name for name in self._records if name not in names]
        for name in gone:
            del self._records[name]


def _lists(directory: Directory, target: Target) -> bool:
    record = directory.records.get(target.name)
    return record is not None and record.target.incarnation == target.incarnation
