"""Versions of a service that one entry VM has heard of, and since when."""

from collections.abc import Iterable, Sequence
from typing import Protocol

__all__ = ["HOLD_S", "Sightings", "VersionedTarget"]

#: Seconds for which a version gets nothing after it appears beside another one that no
#: rollout names: the order of its rollout may be in transit.
HOLD_S = 3.0
#: Seconds without a target after which a version is forgotten.
FORGET_S = 30.0


class VersionedTarget(Protocol):
    """Facts about a target that rollouts need."""

    @property
    def name(self) -> str:
        """Id of the target."""

    @property
    def born_ms(self) -> int:
        """Start of its process, in Unix milliseconds."""

    @property
    def draining(self) -> bool:
        """Whether it gets no new requests."""

    @property
    def software(self) -> str:
        """Version of its software."""


class Sightings:
    """When one entry VM heard first of each version of one service."""

    def __init__(self):
        self._first_s: dict[str, float] = {}
        #: Time at which it was noticed that a version has no target any more.
        self._gone_s: dict[str, float] = {}

    def update(self, targets: Iterable[VersionedTarget], now_s: float) -> list[str]:
        """Record the versions of the known targets; return those that are new.

        A version that appears without another one is no news. Of several that are
        heard of first together, as after a start of this VM, the one of most targets is
        taken for the established one, or of the oldest target if that is equal.
        """
        by_version: dict[str, list[VersionedTarget]] = {}
        for target in targets:
            if not target.draining:
                by_version.setdefault(target.software, []).append(target)
        for version in self._first_s.keys() - by_version.keys():
            if now_s - self._gone_s.setdefault(version, now_s) > FORGET_S:
                del self._first_s[version], self._gone_s[version]
        for version in by_version:
            self._gone_s.pop(version, None)
        new = [version for version in by_version if version not in self._first_s]
        if new and not any(version in self._first_s for version in by_version):
            established = max(new, key=lambda name: _seniority(by_version[name]))
            self._first_s[established] = float("-inf")
            new.remove(established)
        for version in new:
            self._first_s[version] = now_s
        return new

    def held(self, news_s: float) -> set[str]:
        """Return the versions of which an order may still be in transit.

        :param news_s: monotonic time of the last news of the leader. Without news after
            the hold a version stays held, as its order may have been missed.
        """
        return {
            version
            for version, first_s in self._first_s.items()
            if news_s - first_s < HOLD_S
        }


def _seniority(targets: Sequence[VersionedTarget]) -> tuple[int, int]:
    return len(targets), -min(target.born_ms for target in targets)
