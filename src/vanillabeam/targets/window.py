"""The cold window, which limits the concurrent runs of a target."""

__all__ = ["Window"]

#: A first token is slow if it takes longer than the expected time by this factor,
#: and at least ``SLOW_MIN_S``.
SLOW_FACTOR = 4.0
SLOW_MIN_S = 1.0
#: Slow runs in a row that reset the window.
SLOW_RUNS = 2


class Window:
    """Limit of concurrent runs that grows with completed runs.

    The window never grows with time alone, and a reset takes effect at once.

    :param capacity: concurrent runs of a warm target.
    :param cold_capacity: concurrent runs of a target that has just started.

    >>> window = Window(capacity=4, cold_capacity=1)
    >>> window.size
    1
    >>> window.record_completion(
    ...     granted_s=0.0, first_token_s=0.2, expected_s=0.2, now_s=1.0
    ... )
    >>> window.size
    2
    """

    def __init__(self, capacity: int, cold_capacity: int):
        self.capacity = max(1, capacity)
        self.cold_capacity = max(1, min(cold_capacity, self.capacity))
        self.size = self.cold_capacity
        self.reset_s = float("-inf")
        self.slow_runs = 0

    @property
    def cold(self) -> bool:
        """Return whether the window is smaller than the capacity."""
        return self.size < self.capacity

    def reset(self, now_s: float) -> None:
        """Go back to the cold size; runs granted before do not enlarge the window."""
        self.size = self.cold_capacity
        self.reset_s = now_s
        self.slow_runs = 0

    def resize(self, capacity: int, cold_capacity: int) -> None:
        """Set the announced limits without enlarging the window."""
        self.capacity = max(1, capacity)
        self.cold_capacity = max(1, min(cold_capacity, self.capacity))
        self.size = min(self.size, self.capacity)
        self.size = max(self.size, self.cold_capacity)

    def record_completion(
        self,
        granted_s: float,
        first_token_s: float | None,
        expected_s: float,
        now_s: float,
    ) -> None:
        """Enlarge the window by one for a completed run, or count a slow run.

        :param granted_s: monotonic time at which its permit was granted.
        :param first_token_s: seconds to its first token, ``None`` if unknown.
        :param expected_s: expected seconds to its first token.
        """
        if granted_s < self.reset_s:
            return
        if self._is_slow(first_token_s, expected_s):
            self._count_slow(now_s)
            return
        self.slow_runs = 0
        self.size = min(self.capacity, self.size + 1)

    def _is_slow(self, first_token_s: float | None, expected_s: float) -> bool:
        if first_token_s is None:
            return False
        return first_token_s > max(SLOW_MIN_S, SLOW_FACTOR * expected_s)

    def _count_slow(self, now_s: float) -> None:
        self.slow_runs += 1
        if self.slow_runs >= SLOW_RUNS:
            self.reset(now_s)
