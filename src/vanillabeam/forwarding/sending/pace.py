"""Times at which the parts of an answer arrived."""

__all__ = ["Pace"]


class Pace:
    """Arrival of an answer's parts, over all attempts of a request.

    >>> pace = Pace()
    >>> for now_s in (1.2, 1.3, 2.0):
    ...     pace.record(now_s)
    >>> pace.first_s(1.0), pace.gap_s
    (0.2, 0.7)
    """

    def __init__(self):
        self._first_at_s: float | None = None
        self._last_at_s = 0.0
        self._gap_s = 0.0

    def record(self, now_s: float) -> None:
        """Record a part of the answer."""
        if self._first_at_s is None:
            self._first_at_s = now_s
        else:
            self._gap_s = max(self._gap_s, now_s - self._last_at_s)
        self._last_at_s = now_s

    def first_s(self, began_s: float) -> float | None:
        """Return the seconds to the first part; ``None`` without one."""
        if self._first_at_s is None:
            return None
        return round(self._first_at_s - began_s, 4)

    @property
    def gap_s(self) -> float:
        """Longest time between two parts."""
        return round(self._gap_s, 4)
