"""The cold window: how many requests a target may run at once."""

__all__ = ["Window"]

SLOW_FACTOR = 4.0
SLOW_MIN_S = 1.0
SLOW_RUNS = 2


class Window:
    """Opens with completions, never with time; shuts at once.

    :param capacity: requests at once when warm.
    :param cold_capacity: requests at once just after a start.

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
        """Return whether the window has not opened fully."""
        return self.size < self.capacity

    def reset(self, now_s: float) -> None:
        """Go back to the cold size; runs granted before do not open it."""
        self.size = self.cold_capacity
        self.reset_s = now_s
        self.slow_runs = 0

    def resize(self, capacity: int, cold_capacity: int) -> None:
        """Take over announced limits without opening the window."""
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
        """Count a completed run: open by one, or shut if it was cold-slow.

        :param granted_s: when its permit was given.
        :param first_token_s: seconds to its first token, if it was seen.
        :param expected_s: seconds that were expected of it.
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
