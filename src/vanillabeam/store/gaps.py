"""Return gaps: how soon and how likely idle work is asked for again.

Gaps fall into bins that double in width. From the counts follows, for work
that has been idle for some time, the return rate: the best ratio, over all
times to keep it, of the chance that it returns to the time it is kept.
"""

from bisect import bisect_right
from math import log2

__all__ = ["Gaps", "GapTable"]

FIRST_EDGE_S = 30.0
BIN_COUNT = 16
EDGES_S = tuple(FIRST_EDGE_S * 2**k for k in range(BIN_COUNT))

PRIOR_WEIGHT = 8.0
PRIOR_RETURN_CHANCE = 0.5
REFRESH_EVERY = 32
HALVE_AT = 4_096.0


class Gaps:
    """Counts of one workspace, or of all together.

    :ivar idles: idle periods begun.
    :ivar returns: idle periods that ended by a return, by bin of the gap.
    """

    __slots__ = ("idles", "rates", "returns", "stale")

    def __init__(self) -> None:
        self.idles = 0.0
        self.returns = [0.0] * BIN_COUNT
        self.rates: tuple[float, ...] = ()
        self.stale = 0

    def began(self) -> None:
        """Count an idle period that begins."""
        self.idles += 1.0
        self._changed()

    def returned(self, gap_s: float) -> None:
        """Count an idle period that ended after ``gap_s`` seconds."""
        self.returns[_bin(gap_s)] += 1.0
        self._changed()

    def _changed(self) -> None:
        self.stale += 1
        if self.idles > HALVE_AT:
            self.idles /= 2
            self.returns = [count / 2 for count in self.returns]


class GapTable:
    """Gaps of every workspace, each blended with all of them together.

    >>> table = GapTable()
    >>> table.began("ws")
    >>> table.returned("ws", gap_s=60.0)
    >>> table.rate("ws", idle_s=0.0) > table.rate("ws", idle_s=86_400.0)
    True
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, Gaps] = {}
        self.overall = Gaps()

    def began(self, workspace: str) -> None:
        """Count an idle period that begins."""
        self._gaps(workspace).began()
        self.overall.began()

    def returned(self, workspace: str, gap_s: float) -> None:
        """Count a return after ``gap_s`` seconds."""
        self._gaps(workspace).returned(gap_s)
        self.overall.returned(gap_s)

    def rate(self, workspace: str, idle_s: float) -> float:
        """Return the rate of return, per second that the work is kept.

        :param idle_s: seconds since it was last asked for.
        """
        gaps = self._gaps(workspace)
        if not gaps.rates or gaps.stale >= REFRESH_EVERY:
            gaps.rates = _rates(*self._blend(gaps))
            gaps.stale = 0
        return _between(gaps.rates, idle_s)

    def chance(self, workspace: str) -> float:
        """Return the chance that work just used returns at all."""
        idles, returned = self._blend(self._gaps(workspace))
        return min(1.0, sum(returned) / idles)

    def forget(self, workspace: str) -> None:
        """Drop the counts of a workspace that is no longer in force."""
        self.workspaces.pop(workspace, None)

    def _gaps(self, workspace: str) -> Gaps:
        gaps = self.workspaces.get(workspace)
        if gaps is None:
            gaps = self.workspaces[workspace] = Gaps()
        return gaps

    def _blend(self, gaps: Gaps) -> tuple[float, list[float]]:
        overall = self.overall
        total = overall.idles + PRIOR_WEIGHT
        even = PRIOR_WEIGHT * PRIOR_RETURN_CHANCE / BIN_COUNT
        shares = [(count + even) / total for count in overall.returns]
        blended = [
            own + PRIOR_WEIGHT * share
            for own, share in zip(gaps.returns, shares, strict=True)
        ]
        return gaps.idles + PRIOR_WEIGHT, blended


def _rates(idles: float, returns: list[float]) -> tuple[float, ...]:
    """Return the best return rate for each bin of idle time."""
    idles = max(idles, sum(returns) * 1.01)
    rates: list[float] = []
    for start in range(BIN_COUNT):
        left = idles - sum(returns[:start])
        rates.append(_best_rate(left, returns, start))
    return tuple(rates)


def _best_rate(left: float, returns: list[float], start: int) -> float:
    best = kept_s = returned = 0.0
    for bin_ in range(start, BIN_COUNT):
        width_s = EDGES_S[bin_] - (EDGES_S[bin_ - 1] if bin_ else 0.0)
        count = returns[bin_]
        kept_s += (left - returned - count / 2) * width_s
        returned += count
        best = max(best, returned / kept_s)
    return best


def _between(rates: tuple[float, ...], idle_s: float) -> float:
    """Return the rate at ``idle_s``, between the middles of two bins."""
    if idle_s <= FIRST_EDGE_S:
        return rates[0]
    place = min(log2(idle_s / FIRST_EDGE_S) + 0.5, BIN_COUNT - 1)
    lower = min(int(place), BIN_COUNT - 2)
    part = place - lower
    return rates[lower] * (1.0 - part) + rates[lower + 1] * part


def _bin(gap_s: float) -> int:
    return min(bisect_right(EDGES_S, gap_s), BIN_COUNT - 1)
