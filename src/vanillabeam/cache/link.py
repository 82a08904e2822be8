"""One link between a data centre and a store: its bucket and its learnt rate."""

from vanillabeam.exceptions import InvariantBroken

__all__ = ["Link"]

BURST_S = 1.0
RESERVE_PART = 0.25
LEARN_PART = 0.3
OVERDUE_S = 1.0
LEAST_BYTES_S = 1_000.0


class Link:
    """A token bucket in bytes, refilled at the lower of limit and learnt rate.

    Its size goes by the limit alone: a learnt rate that falls must not make a
    bucket that was just emptied count as full. A transfer larger than the
    bucket starts from a full one and leaves a debt.

    :param limit_bytes_s: most bytes a second that this VM may move.
    :param now_s: monotonic time in seconds.

    >>> link = Link(limit_bytes_s=1_000.0, now_s=0.0)
    >>> link.take(800, reserve=False, now_s=0.0)
    True
    >>> link.take(800, reserve=False, now_s=0.1)
    False
    """

    def __init__(self, limit_bytes_s: float, now_s: float):
        self.limit_bytes_s = limit_bytes_s
        self.learnt_bytes_s = limit_bytes_s
        self.level = self.burst
        self.refilled_s = now_s

    @property
    def rate_bytes_s(self) -> float:
        """Rate at which the bucket is refilled."""
        return max(LEAST_BYTES_S, min(self.limit_bytes_s, self.learnt_bytes_s))

    @property
    def burst(self) -> float:
        """Bytes that may start at once after a pause."""
        return self.limit_bytes_s * BURST_S

    def set_limit(self, limit_bytes_s: float) -> None:
        """Change the limit; the bucket stays as full as it is."""
        if self.level > 0:
            self.level *= limit_bytes_s / self.limit_bytes_s
        self.limit_bytes_s = limit_bytes_s

    def take(self, size: int, reserve: bool, now_s: float) -> bool:
        """Take ``size`` bytes out of the bucket if it has enough.

        :param reserve: leave a part for imports that someone waits for.
        """
        self._refill(now_s)
        left = self.burst * RESERVE_PART if reserve else 0.0
        if self.level < min(size, self.burst - left) + left:
            return False
        self.level -= size
        if self.level < min(0.0, self.burst - size) - 1e-6 * self.burst:
            raise InvariantBroken("more bytes on a link than its bucket had")
        return True

    def give_back(self, size: int) -> None:
        """Return bytes that were taken and not moved."""
        self.level = min(self.burst, self.level + max(0, size))

    def expected_s(self, size: int, ahead: int, now_s: float) -> float:
        """Return seconds until ``size`` bytes, asked for now, are over.

        :param ahead: bytes of imports that were asked for before.
        """
        self._refill(now_s)
        debt = max(0.0, min(size + ahead, self.burst) - self.level)
        return debt / self.rate_bytes_s + (size + ahead) / self.rate_bytes_s

    def moved(self, size: int, seconds: float, sharing: int) -> None:
        """Learn from a transfer that ended.

        :param sharing: transfers on the link, this one included.
        """
        if size <= 0 or seconds <= 0:
            return
        seen = size * sharing / seconds
        self.learnt_bytes_s += LEARN_PART * (seen - self.learnt_bytes_s)

    def overdue(self, size: int, elapsed_s: float, sharing: int) -> None:
        """Learn from a transfer that has not ended: it is no faster than this.

        :param sharing: transfers on the link, this one included.
        """
        if elapsed_s < OVERDUE_S:
            return
        bound = size * sharing / elapsed_s
        self.learnt_bytes_s = min(self.learnt_bytes_s, bound)

    def _refill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        self.level = min(self.burst, self.level + passed_s * self.rate_bytes_s)
