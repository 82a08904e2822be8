"""Latency histogram of a run."""

from hdrh.histogram import HdrHistogram

__all__ = ["Latency"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_PERCENTILES = (50.0, 95.0, 99.0)


class Latency:
    """HDR histogram of latencies in seconds.

    >>> latency = Latency()
    >>> latency.record(0.25)
    >>> latency.summary()["p95_s"]
    0.25
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def record(self, seconds: float) -> None:
        """Record a latency; one above an hour counts as an hour."""
        microseconds = round(seconds * _US_PER_S)
        bounded = min(max(microseconds, _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(bounded)

    def summary(self) -> dict[str, float]:
        """Return the count, and percentiles and maximum in seconds."""
        summary = {"count": self._histogram.get_total_count()}
        for percentile in _PERCENTILES:
            value = self._histogram.get_value_at_percentile(percentile)
            summary[f"p{percentile:g}_s"] = value / _US_PER_S
        summary["max_s"] = self._histogram.get_max_value() / _US_PER_S
        return summary
