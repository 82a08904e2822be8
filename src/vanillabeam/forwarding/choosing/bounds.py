"""Limits over all entry VMs, enforced without coordination.

Each entry VM keeps to its share of a limit. The shares of all known entry VMs
add up to the limit at most, so it holds even while the VMs can't reach each other.
"""

from collections import deque
from collections.abc import Sequence

from vanillabeam.fleet import Bounds
from vanillabeam.rendezvous import rank

__all__ = ["ColdTargetLimiter", "ServiceRetryBudget"]


class ServiceRetryBudget:
    """Budget of this entry VM for retries of one service's requests.

    :param bounds: limits that all entry VMs keep together.

    >>> budget = ServiceRetryBudget(bounds)
    >>> budget.record_request(now_s)
    >>> budget.try_take(now_s, entries=9)
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
        """Return whether one more retry is within the share, and count it if so.

        :param entries: number of entry VMs that share the limit.
        """
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
    """Limits the requests that this entry VM sends to targets that are cold.

    A few entry VMs, chosen by rendezvous hashing, share the rate of a target.
    Each spaces its requests evenly, so in any second the target receives at most
    its rate and one more request from each of them.

    :param bounds: limits that all entry VMs keep together.
    """

    def __init__(self, bounds: Bounds):
        self._bounds = bounds
        self._next_s: dict[str, float] = {}
        #: Holders of each target, with the entry VMs that they were chosen from.
        self._chosen: dict[str, tuple[Sequence[str], list[str]]] = {}

    def may_send(
        self, target: str, rate: float, vm: str, entries: Sequence[str], now_s: float
    ) -> bool:
        """Return whether a request to the cold target is within the share.

        :param rate: requests per second that the target accepts while cold.
        :param vm: name of this entry VM.
        :param entries: names of all entry VMs.
        """
        holders = self._holders(target, rate, entries)
        return vm in holders and now_s >= self._next_s.get(target, 0.0)

    def record_sent(
        self, target: str, rate: float, entries: Sequence[str], now_s: float
    ) -> None:
        """Count a request to the cold target."""
        count = len(self._holders(target, rate, entries))
        self._next_s[target] = now_s + count / rate

    def keep_only(self, targets: set[str]) -> None:
        """Forget what is recorded of all other targets."""
        self._next_s = {
            name: at_s for name, at_s in self._next_s.items() if name in targets
        }
        self._chosen.clear()

    def _holders(self, target: str, rate: float, entries: Sequence[str]) -> list[str]:
        ranked_from, ranked = self._chosen.get(target, ((), []))
        if ranked_from is not entries:
            ranked = rank(target, entries)
            self._chosen[target] = (entries, ranked)
        spare = (self._bounds.cold_factor - 1) * rate + self._bounds.cold_requests
        return ranked[: max(1, int(spare))]
