"""Rate at which places become free, and the times at which callers should return."""

from collections import deque

__all__ = ["MIN_RETURN_S", "OBSERVE_S", "PlaceRate", "Returns"]

#: Seconds over which places that were taken are counted. Long enough for some ends of
#: streams of several seconds, short enough to follow a target that is lost.
WINDOW_S = 4.0
#: Seconds of a shortage before its rate is relied on: a burst at an idle VM has seen no
#: place become free yet.
OBSERVE_S = 0.5
#: Places that must have been taken before the rate is relied on, unless a whole window
#: had fewer: where long requests took all places at once, none becomes free until the
#: first of these has ended.
MIN_TAKEN = 3
#: Shortest time after which a refused caller is asked to return.
MIN_RETURN_S = 0.2


class PlaceRate:
    """Counts the places taken while requests of a service wait.

    >>> rate = PlaceRate()
    >>> rate.record_waiting(0.0)
    >>> for tenth in range(20):
    ...     rate.record_taken(tenth / 10)
    >>> rate.per_s(2.0)
    10.5
    """

    def __init__(self):
        self._taken: deque[float] = deque()
        self._short_since_s = float("-inf")
        self._short_until_s = float("-inf")

    def record_waiting(self, now_s: float) -> None:
        """Record that some request waits now."""
        if now_s - self._short_until_s > WINDOW_S:
            self._short_since_s = now_s
            self._taken.clear()
        self._short_until_s = now_s

    def record_taken(self, now_s: float) -> None:
        """Record that a request has got a place."""
        if now_s - self._short_until_s <= WINDOW_S:
            self._taken.append(now_s)

    def per_s(self, now_s: float) -> float | None:
        """Return the places that become free a second; ``None`` if it is unknown.

        The next place counts as due now, as a rate that is too low would refuse
        requests that could be served.
        """
        since_s = max(self._short_since_s, now_s - WINDOW_S)
        while self._taken and self._taken[0] < since_s:
            self._taken.popleft()
        seen_s = now_s - since_s
        if seen_s < OBSERVE_S:
            return None
        if len(self._taken) < MIN_TAKEN and seen_s < WINDOW_S:
            return None
        return (len(self._taken) + 1) / seen_s


class Returns:
    """Times at which refused callers were asked to return, by rank.

    Each is asked to return one place later than the one before, so that they come back
    in the order in which they were refused and no faster than they can be served.
    """

    def __init__(self):
        self._last_s: dict[int, float] = {}

    def add(self, rank: int, first_s: float, spacing_s: float, span_s: float) -> float:
        """Return the monotonic time at which one more caller should return.

        :param first_s: earliest time at which it might be served.
        :param spacing_s: seconds between two places.
        :param span_s: longest time after ``first_s``, after which the times begin
            again: callers that were told a later one seldom return.
        """
        at_s = max(first_s, self._last_s.get(rank, float("-inf")) + spacing_s)
        if at_s > first_s + span_s:
            at_s = first_s
        self._last_s[rank] = at_s
        return at_s
