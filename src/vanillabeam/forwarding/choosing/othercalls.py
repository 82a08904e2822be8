"""Requests that other entry VMs have open at each target, as expected now.

A reported sum is about 0.3 s old. Calls that last longer are mostly still open; of
shorter ones the sum tells little about the present, and their mean number more.
"""

import math
from collections.abc import Mapping

from vanillabeam.fleet.loads import LOAD_SILENCE_S

__all__ = ["OtherCalls"]

#: Time constant of the mean of the reported sums.
MEAN_S = 2.0
#: Age of a sum when it arrives.
ARRIVAL_AGE_S = 0.3
#: Means below this are dropped.
MIN_MEAN = 0.01


class OtherCalls:
    """Newest reported sums of open requests and their means.

    >>> calls = OtherCalls()
    >>> calls.update({"t-1": 4}, now_s=1.0)
    >>> calls.expected("t-1", held_s=1.0, now_s=1.0)
    4.0
    """

    def __init__(self):
        self._newest: Mapping[str, int] = {}
        self._means: dict[str, float] = {}
        self._seen_s: float | None = None

    def update(self, calls: Mapping[str, int], now_s: float) -> None:
        """Replace the reported sums."""
        if self._seen_s is None or now_s - self._seen_s > LOAD_SILENCE_S:
            self._means = {name: float(count) for name, count in calls.items()}
        else:
            share = 1.0 - math.exp((self._seen_s - now_s) / MEAN_S)
            means = {name: mean * (1 - share) for name, mean in self._means.items()}
            for name, count in calls.items():
                means[name] = means.get(name, 0.0) + share * count
            self._means = {name: n for name, n in means.items() if n > MIN_MEAN}
        self._newest, self._seen_s = calls, now_s

    def expected(self, target: str, held_s: float, now_s: float) -> float:
        """Return the requests that the others probably have open at a target.

        :param held_s: seconds for which a request is open.
        :returns: 0 if no sum has arrived lately.
        """
        if self._seen_s is None or now_s - self._seen_s > LOAD_SILENCE_S:
            return 0.0
        mean = self._means.get(target, 0.0)
        newest = self._newest.get(target, 0)
        if newest == mean:
            return mean
        age_s = ARRIVAL_AGE_S + now_s - self._seen_s
        return mean + (newest - mean) * math.exp(-age_s / max(held_s, 0.001))
