"""Calls that an entry VM has open at a service while its targets refuse some."""

__all__ = ["CallWindow"]

#: Factor on the open calls when a target refuses one, and the shortest time between two
#: such cuts: refusals of calls that were open together tell the same.
CUT_FACTOR = 0.7
CUT_INTERVAL_S = 0.1
#: Growth of the window by the answers of one whole window, for each second since the
#: last refusal and one more. Slow at first, as all VMs grow at the same time and have a
#: few calls each; faster where one refusal was chance.
GROWTH = 0.25
#: Seconds without a refusal after which there is no window: the shortage is over.
FORGET_S = 10.0


class CallWindow:
    """Limits the calls that are open at a service, after targets refused some.

    Reports of the calls of other VMs are older than most calls last. A refusal tells at
    once that all VMs together send too much, so each sends less; answers let it send
    more again.

    :ivar open_calls: calls that are open now.
    :ivar limit: calls that may be; ``None`` while no target refuses any.

    >>> window = CallWindow()
    >>> window.record_sent()
    >>> window.record_refused(now_s=1.0)
    >>> window.limit
    1.0
    """

    def __init__(self):
        self.open_calls = 0
        self.limit: float | None = None
        self._cut_s = float("-inf")
        self._refused_s = float("-inf")

    def record_sent(self) -> None:
        """Record a call that is sent."""
        self.open_calls += 1

    def record_refused(self, now_s: float) -> None:
        """Record that a target refused a call as it has no place."""
        if now_s - self._cut_s >= CUT_INTERVAL_S:
            self._cut_s = now_s
            self.limit = max(1.0, CUT_FACTOR * self.open_calls)
        self._refused_s = now_s
        self.open_calls -= 1

    def record_ended(self, now_s: float) -> None:
        """Record the end of a call that was not refused."""
        if self.limit is not None:
            quiet_s = now_s - self._refused_s
            if self.open_calls + 1 > self.limit:
                self.limit += GROWTH * (1.0 + quiet_s) / self.limit
            if quiet_s > FORGET_S:
                self.limit = None
        self.open_calls -= 1

    def is_full(self) -> bool:
        """Return whether no further call may be sent now."""
        return self.limit is not None and self.open_calls + 1 > self.limit
