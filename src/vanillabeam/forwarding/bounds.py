"""Bounds over all entry VMs, kept by shares: nobody asks anybody.

Each entry VM keeps to a share that, summed over as many as are known, stays
within the bound. So they hold also while VMs can't see each other.
"""

from collections import deque
from collections.abc import Sequence

from vanillabeam.fleet import Bounds
from vanillabeam.rendezvous import rank

__all__ = ["ColdTargetLimiter", "RetryBudget"]


class RetryBudget:
    """Repeats of one service's requests that this entry VM may send.

    :param bounds: of all entry VMs together.

    >>> budget = RetryBudget(bounds)
    >>> budget.request(now_s)
    >>> budget.take(now_s, entries=9)
    True
    """

    def __init__(self, bounds: Bounds):
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)

    def try_take(self, now_s: float, entries: int) -> bool:
        """Return whether one more repeat is within the share, and count it."""
        limit_s = now_s - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < limit_s:
                times.popleft()
        floor = self._bounds.retry_floor / max(1, entries)
        if (
            len(self._repeats) + 1
            > self._bounds.retry_ratio * len(self._requests) + floor
        ):
            return False
        self._repeats.append(now_s)
        return True


class ColdTargetLimiter:
    """Requests that this entry VM may send to one cold target.

    A few entry VMs, chosen by rendezvous, share the target's rate; each
    spaces its requests evenly, so that in any second no more come together
    than one from each of them and the rate.
    """

    def __init__(self, bounds: Bounds):
        self._bounds = bounds
        self._next_s: dict[str, float] = {}

    def may_send(
        self, target: str, rate: float, vm: str, entries: Sequence[str], now_s: float
    ) -> bool:
        """Return whether a request to the cold target is within the share.

        :param rate: requests a second that the target takes while cold.
        """
        holders = self._holders(target, rate, entries)
        return vm in holders and now_s >= self._next_s.get(target, 0.0)

    def record_sent(
        self, target: str, rate: float, entries: Sequence[str], now_s: float
    ) -> None:
        """Count a request to the cold target."""
        count = len(self._holders(target, rate, entries))
        self._next_s[target] = now_s + count / rate

    def _holders(self, target: str, rate: float, entries: Sequence[str]) -> list[str]:
        spare = (self._bounds.cold_factor - 1) * rate + self._bounds.cold_requests
        return rank(target, entries)[: max(1, int(spare))]
