"""Rate limit of the link between a data centre and a store."""

from vanillabeam.exceptions import InvariantBroken

__all__ = ["Link"]

#: Size of the bucket in seconds at the limit.
BURST_S = 1.0
#: Share of the bucket that prefetches and exports leave to waited-for imports.
RESERVED_SHARE = 0.25
#: Weight of a new measurement in the moving average of the rate.
RATE_SMOOTHING = 0.3
#: Age in seconds at which a running transfer starts to bound the rate estimate.
OVERDUE_S = 1.0
MIN_RATE_BYTES_S = 1_000.0
#: Seconds without a measurement after which the rate estimate doubles: at a low one no
#: transfer pays, so that none would show that the link is fast again.
UNMEASURED_S = 60.0


class Link:
    """Token bucket in bytes, refilled at the lower of limit and estimated rate.

    The bucket's size depends on the limit alone: otherwise a falling rate estimate
    would make a bucket that was just emptied count as full. A transfer larger
    than the bucket starts when the bucket is full and leaves a negative level.

    :param limit_bytes_s: limit of this VM's transfers in bytes a second.
    :param now_s: monotonic time in seconds.
    :ivar estimated_bytes_s: rate of the link, estimated from transfers.
    :ivar level: bytes in the bucket; negative after a large transfer.
    :ivar refilled_s: monotonic time of the last refill in seconds.

    >>> link = Link(limit_bytes_s=1_000.0, now_s=0.0)
    >>> link.take(800, reserve=False, now_s=0.0)
    True
    >>> link.take(800, reserve=False, now_s=0.1)
    False
    """

    def __init__(self, limit_bytes_s: float, now_s: float):
        self.limit_bytes_s = limit_bytes_s
        self.estimated_bytes_s = limit_bytes_s
        self.level = self.burst
        self.refilled_s = now_s
        self._is_measured = False
        self._measured_s = now_s

    @property
    def rate_bytes_s(self) -> float:
        """Rate in bytes a second at which the bucket is refilled."""
        return max(MIN_RATE_BYTES_S, min(self.limit_bytes_s, self.estimated_bytes_s))

    @property
    def burst(self) -> float:
        """Size of the bucket: bytes that may be sent at once after an idle time."""
        return self.limit_bytes_s * BURST_S

    def set_limit(self, limit_bytes_s: float) -> None:
        """Change the limit and keep the bucket's relative fill level."""
        if self.level > 0:
            self.level *= limit_bytes_s / self.limit_bytes_s
        self.limit_bytes_s = limit_bytes_s

    def take(self, size: int, reserve: bool, now_s: float) -> bool:
        """Take ``size`` bytes from the bucket if it holds enough.

        :param reserve: leave a share of the bucket for imports that a request
            waits for.
        :returns: whether the bytes were taken.
        :raises InvariantBroken: if the bucket's level falls below its bound.
        """
        self._refill(now_s)
        reserved = self.burst * RESERVED_SHARE if reserve else 0.0
        if self.level < min(size, self.burst - reserved) + reserved:
            return False
        self.level -= size
        if self.level < min(0.0, self.burst - size) - 1e-6 * self.burst:
            raise InvariantBroken("more bytes on a link than its bucket had")
        return True

    def refund(self, size: int) -> None:
        """Put back bytes that were taken but not transferred."""
        self.level = min(self.burst, self.level + max(0, size))

    def expected_s(self, size: int, ahead: int, now_s: float) -> float:
        """Return the expected seconds until ``size`` bytes have been transferred.

        :param ahead: bytes of imports that are queued before this one.
        """
        self._refill(now_s)
        debt = max(0.0, min(size + ahead, self.burst) - self.level)
        return debt / self.rate_bytes_s + (size + ahead) / self.rate_bytes_s

    def record_transfer(self, size: int, seconds: float, sharing: int) -> None:
        """Update the rate estimate from a completed transfer.

        :param size: bytes transferred.
        :param seconds: duration of the transfer.
        :param sharing: concurrent transfers on the link, including this one.
        """
        if size <= 0 or seconds <= 0:
            return
        measured = size * sharing / seconds
        self.estimated_bytes_s += RATE_SMOOTHING * (measured - self.estimated_bytes_s)
        self._is_measured = True

    def record_overdue(self, size: int, elapsed_s: float, sharing: int) -> None:
        """Lower the rate estimate if a running transfer takes too long.

        The elapsed time of an unfinished transfer gives an upper bound of the
        rate.

        :param size: bytes of the transfer.
        :param elapsed_s: seconds since its start.
        :param sharing: concurrent transfers on the link, including this one.
        """
        if elapsed_s < OVERDUE_S:
            return
        bound = size * sharing / elapsed_s
        self.estimated_bytes_s = min(self.estimated_bytes_s, bound)
        self._is_measured = True

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        self.level = min(self.burst, self.level + elapsed_s * self.rate_bytes_s)
        self._raise_unmeasured(now_s)

    def _raise_unmeasured(self, now_s: float) -> None:
        """Double the estimate if nothing has shown the rate for some time."""
        if self._is_measured:
            self._is_measured, self._measured_s = False, now_s
        if now_s - self._measured_s >= UNMEASURED_S:
            raised = max(2 * self.estimated_bytes_s, MIN_RATE_BYTES_S)
            self.estimated_bytes_s = max(
                self.estimated_bytes_s, min(self.limit_bytes_s, raised)
            )
            self._measured_s = now_s
