"""The backlog of an entry VM's own process: a functional core."""

from collections import deque
from math import inf

from vanillabeam.pauses import PAUSE_S, SETTLE_S

__all__ = ["TICK_S", "Backlog"]

#: Period of the timer whose lateness is recorded.
TICK_S = 0.05
#: Time over which a delay must persist. A burst that is worked off within it is no
#: backlog, as with the interval of CoDel (RFC 8289).
WINDOW_S = 0.5
#: Fewest values to judge by. An event loop whose turns are long gives few, so older
#: ones count up to the longest age.
MIN_SAMPLES = 3
MAX_AGE_S = 4.0
#: Lateness of a timer up to which the event loop was idle as it was due.
ON_TIME_S = 0.02
#: Lateness that a quarter of the timers must stay below for processor time to spare.
IDLE_SHARE = 0.25
#: Least wait of all recent requests that shows a queue.
QUEUED_S = 0.05
#: Turns of the event loop from a request's first step until it is sent.
TURNS = 8
#: Share of a long lateness in which the process must have run. Otherwise it was held
#: up; a process with 0.12 of a core and work to do runs for 0.12 of the time.
MIN_RUN_SHARE = 0.05
#: Longest Retry-After. Later returns are put between those that are planned already.
MAX_RETRY_S = 5.0


class _Window:
    """The recent values of a measurement."""

    def __init__(self):
        self._values: deque[tuple[float, float]] = deque()

    def add(self, value: float, now_s: float) -> None:
        """Add a value."""
        self._values.append((now_s, value))

    def clear(self) -> None:
        """Drop all values."""
        self._values.clear()

    def sorted(self, now_s: float) -> list[float]:
        """Return the recent values in order; none if they are too few to judge by."""
        values = self._values
        while values and values[0][0] < now_s - WINDOW_S:
            if len(values) <= MIN_SAMPLES and values[0][0] >= now_s - MAX_AGE_S:
                break
            values.popleft()
        if len(self._values) < MIN_SAMPLES:
            return []
        return sorted(value for _, value in self._values)

    def rate(self) -> float:
        """Return the number of values a second, at the last look."""
        return len(self._values) / WINDOW_S


class Backlog:
    """Delay of new requests in this process, and what can't be served because of it.

    The delay is positive only if this VM has no processor time to spare: most timers
    are late, or every request has waited, for :data:`WINDOW_S` or longer.

    :ivar refused: number of requests that were refused.

    >>> backlog = Backlog()
    >>> for tick in range(20):
    ...     backlog.record_lag(0.05, now_s=tick * 0.1)
    >>> backlog.refusal_s(needed_s=0.0, left_s=5.0, now_s=1.9) is None
    True
    """

    def __init__(self):
        self.refused = 0
        self._lags = _Window()
        self._waits = _Window()
        self._paused_s = -inf
        #: Time at which the last refused caller was told to return.
        self._returns_s = -inf

    def record_lag(self, lag_s: float, now_s: float, ran_s: float = inf) -> None:
        """Record how late a timer of period :data:`TICK_S` was.

        :param ran_s: processor time that this process has used since the last timer.
        """
        if lag_s > PAUSE_S and ran_s < MIN_RUN_SHARE * lag_s:
            # Requests that arrived meanwhile waited, but there is time for them now.
            self._lags.clear()
            self._waits.clear()
            self._paused_s = now_s
            return
        self._lags.add(max(0.0, lag_s), now_s)

    def record_start(self, waited_s: float, now_s: float) -> None:
        """Record the time from a request's arrival to its first step here."""
        if now_s - self._paused_s < SETTLE_S:
            return
        self._waits.add(max(0.0, waited_s), now_s)

    def lag_s(self, now_s: float) -> float:
        """Return the median lateness of timers, 0 with processor time to spare."""
        lags = self._lags.sorted(now_s)
        if not lags or lags[int(IDLE_SHARE * len(lags))] < ON_TIME_S:
            return 0.0
        return lags[len(lags) // 2]

    def waited_s(self, now_s: float) -> float:
        """Return the least wait of the recent requests, 0 without a queue."""
        waits = self._waits.sorted(now_s)
        return waits[0] if waits and waits[0] >= QUEUED_S else 0.0

    def delay_s(self, now_s: float) -> float:
        """Return the seconds until a request that is read now is sent to a target.

        :returns: 0 if this VM has processor time to spare.
        """
        # A timer is late by half a turn in the mean.
        return max(2 * TURNS * self.lag_s(now_s), self.waited_s(now_s))

    def refusal_s(self, needed_s: float, left_s: float, now_s: float) -> float | None:
        """Return the seconds after which a caller that is refused should return.

        The returns are spread evenly, at the rate at which requests begin here.

        :param needed_s: seconds that the request needs once it is sent.
        :param left_s: seconds until its objective or time limit.
        :returns: ``None`` if the request may be served in time.
        """
        delay_s = self.delay_s(now_s)
        if delay_s <= 0.0 or delay_s + needed_s <= left_s:
            return None
        self.refused += 1
        first_s = now_s + delay_s
        rate = max(1.0, self._waits.rate())
        returns_s = max(first_s, self._returns_s + 1 / rate)
        if returns_s > now_s + max(delay_s, MAX_RETRY_S):
            returns_s = first_s
        self._returns_s = returns_s
        return max(delay_s, returns_s - now_s)
