"""A clock for the claims log, made of the times that proposers state."""

from collections import deque

__all__ = ["QuorumClock"]

SAMPLES = 31


class QuorumClock:
    """The lower median of what the latest proposers said the time is.

    One proposer with a wrong clock among three or more does not move it, so
    that it can't make records expire.

    :param samples: ``(proposer, wall clock in ms)``, the oldest first.

    >>> clock = QuorumClock()
    >>> for entry, now_ms in (("a", 100), ("b", 101), ("c", 999_999)):
    ...     clock.observe(entry, now_ms)
    >>> clock.now_ms
    101
    """

    def __init__(self, samples: list[tuple[str, int]] | None = None):
        self.samples = deque(samples or [], maxlen=SAMPLES)
        self.now_ms = self._median()

    def observe(self, entry: str, now_ms: int) -> None:
        """Take in the time that ``entry`` states."""
        self.samples.append((entry, now_ms))
        self.now_ms = self._median()

    def _median(self) -> int:
        latest = sorted(dict(self.samples).values())
        if not latest:
            return 0
        return latest[(len(latest) - 1) // 2]
