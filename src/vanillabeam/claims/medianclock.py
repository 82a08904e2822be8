"""Clock of the claims log, computed from the wall clocks of proposers."""

from collections import deque

__all__ = ["MedianClock"]

#: Latest samples from which the median is taken.
MAX_SAMPLES = 31


class MedianClock:
    """Lower median of the latest wall clock of each recent proposer.

    One wrong clock among three or more proposers doesn't move the median, so that
    it can't make records expire.

    :param samples: pairs of proposer and its wall clock in ms, oldest first.
    :ivar now_ms: the median in ms; 0 before the first sample.

    >>> clock = QuorumClock()
    >>> for entry, now_ms in (("a", 100), ("b", 101), ("c", 999_999)):
    ...     clock.observe(entry, now_ms)
    >>> clock.now_ms
    101
    """

    def __init__(self, samples: list[tuple[str, int]] | None = None):
        self.samples = deque(samples or [], maxlen=MAX_SAMPLES)
        self.now_ms = self._median()

    def observe(self, entry: str, now_ms: int) -> None:
        """Add a sample of the wall clock of ``entry``."""
        self.samples.append((entry, now_ms))
        self.now_ms = self._median()

    def _median(self) -> int:
        latest = sorted(dict(self.samples).values())
        if not latest:
            return 0
        return latest[(len(latest) - 1) // 2]
