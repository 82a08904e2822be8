"""Reuse statistics: how soon and how likely idle blocks are requested again.

A reuse interval is the time between two requests for the same prompt. The
intervals are counted in a histogram whose bin edges double. The reuse rate of
blocks that have been idle for some time follows from the counts: it is the
largest ratio, over all retention times, of the probability of a reuse to the
expected time for which the blocks are retained.
"""

from bisect import bisect_right
from math import log2

__all__ = ["ReuseHistogram", "ReuseModel"]

#: Upper edge of the first histogram bin; each next edge is twice the one before.
FIRST_BIN_EDGE_S = 30.0
BIN_COUNT = 16
BIN_EDGES_S = tuple(FIRST_BIN_EDGE_S * 2**k for k in range(BIN_COUNT))

#: Idle periods that the prior counts for, in each workspace and overall.
PRIOR_WEIGHT = 8.0
PRIOR_REUSE_PROBABILITY = 0.5
#: Updates of a histogram after which its cached rates are computed again.
REFRESH_AFTER_UPDATES = 32
#: Idle periods above which all counts are halved, so that old ones fade.
HALVE_ABOVE_PERIODS = 4_096.0


class ReuseHistogram:
    """Idle periods and reuse intervals of one workspace or of all workspaces.

    :ivar idles: number of idle periods that began.
    :ivar rates: cached reuse rate for each bin of idle time; empty before the
        first use.
    :ivar reuses: number of idle periods that ended in a reuse, by bin.
    :ivar updates: number of updates since ``rates`` was computed.
    """

    __slots__ = ("idles", "rates", "reuses", "updates")

    def __init__(self) -> None:
        self.idles = 0.0
        self.reuses = [0.0] * BIN_COUNT
        self.rates: tuple[float, ...] = ()
        self.updates = 0

    def record_idle_start(self) -> None:
        """Count the beginning of an idle period."""
        self.idles += 1.0
        self._record_update()

    def record_reuse(self, interval_s: float) -> None:
        """Count a reuse after ``interval_s`` idle seconds."""
        self.reuses[_bin_index(interval_s)] += 1.0
        self._record_update()

    def _record_update(self) -> None:
        self.updates += 1
        if self.idles > HALVE_ABOVE_PERIODS:
            self.idles /= 2
            self.reuses = [count / 2 for count in self.reuses]


class ReuseModel:
    """Reuse statistics by workspace, with all workspaces together as the prior.

    Workspaces are identified by their tag.

    :ivar workspaces: histogram of each workspace.
    :ivar overall: histogram over all workspaces.

    >>> model = ReuseModel()
    >>> model.record_idle_start("ws")
    >>> model.record_reuse("ws", interval_s=60.0)
    >>> model.rate("ws", idle_s=0.0) > model.rate("ws", idle_s=86_400.0)
    True
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, ReuseHistogram] = {}
        self.overall = ReuseHistogram()

    def record_idle_start(self, workspace: str) -> None:
        """Count the beginning of an idle period."""
        self._histogram(workspace).record_idle_start()
        self.overall.record_idle_start()

    def record_reuse(self, workspace: str, interval_s: float) -> None:
        """Count a reuse after ``interval_s`` idle seconds."""
        self._histogram(workspace).record_reuse(interval_s)
        self.overall.record_reuse(interval_s)

    def rate(self, workspace: str, idle_s: float) -> float:
        """Return the expected reuses per second of retention.

        :param idle_s: seconds since the last request for the block.
        """
        histogram = self._histogram(workspace)
        if not histogram.rates or histogram.updates >= REFRESH_AFTER_UPDATES:
            histogram.rates = _reuse_rates(*self._blend(histogram))
            histogram.updates = 0
        return _interpolate(histogram.rates, idle_s)

    def chance(self, workspace: str) -> float:
        """Return the probability that blocks just used are ever used again."""
        idles, reused = self._blend(self._histogram(workspace))
        return min(1.0, sum(reused) / idles)

    def forget(self, workspace: str) -> None:
        """Drop the counts of a workspace that is no longer in force."""
        self.workspaces.pop(workspace, None)

    def _histogram(self, workspace: str) -> ReuseHistogram:
        histogram = self.workspaces.get(workspace)
        if histogram is None:
            histogram = self.workspaces[workspace] = ReuseHistogram()
        return histogram

    def _blend(self, histogram: ReuseHistogram) -> tuple[float, list[float]]:
        overall = self.overall
        total = overall.idles + PRIOR_WEIGHT
        prior = PRIOR_WEIGHT * PRIOR_REUSE_PROBABILITY / BIN_COUNT
        shares = [(count + prior) / total for count in overall.reuses]
        blended = [
            own + PRIOR_WEIGHT * share
            for own, share in zip(histogram.reuses, shares, strict=True)
        ]
        return histogram.idles + PRIOR_WEIGHT, blended


def _reuse_rates(idles: float, reuses: list[float]) -> tuple[float, ...]:
    """Return the best reuse rate for each bin of idle time."""
    idles = max(idles, sum(reuses) * 1.01)
    rates: list[float] = []
    for start in range(BIN_COUNT):
        remaining = idles - sum(reuses[:start])
        rates.append(_best_reuse_rate(remaining, reuses, start))
    return tuple(rates)


def _best_reuse_rate(remaining: float, reuses: list[float], start: int) -> float:
    best = retained_s = reused = 0.0
    for bin_ in range(start, BIN_COUNT):
        width_s = BIN_EDGES_S[bin_] - (BIN_EDGES_S[bin_ - 1] if bin_ else 0.0)
        count = reuses[bin_]
        retained_s += (remaining - reused - count / 2) * width_s
        reused += count
        best = max(best, reused / retained_s)
    return best


def _interpolate(rates: tuple[float, ...], idle_s: float) -> float:
    """Return the rate at ``idle_s``, interpolated between two bin centres."""
    if idle_s <= FIRST_BIN_EDGE_S:
        return rates[0]
    position = min(log2(idle_s / FIRST_BIN_EDGE_S) + 0.5, BIN_COUNT - 1)
    lower = min(int(position), BIN_COUNT - 2)
    weight = position - lower
    return rates[lower] * (1.0 - weight) + rates[lower + 1] * weight


def _bin_index(interval_s: float) -> int:
    return min(bisect_right(BIN_EDGES_S, interval_s), BIN_COUNT - 1)
