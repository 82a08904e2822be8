import statistics
from collections import Counter

import pytest

from bench.arrivals import open_loop, return_gaps, skewed_workspaces


def test_open_loop_arrivals_are_sorted_at_the_given_rate_and_set_by_the_seed():
    arrivals = open_loop(1, rate_s=50.0, duration_s=100.0)
    assert arrivals == open_loop(1, rate_s=50.0, duration_s=100.0)
    assert arrivals == sorted(arrivals)
    assert len(arrivals) == pytest.approx(5000, rel=0.1)


def test_burstiness_widens_the_gaps():
    def variation(burstiness):
        times = [a.at_s for a in open_loop(1, 50.0, 100.0, burstiness=burstiness)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        return statistics.pvariance(gaps) / statistics.mean(gaps) ** 2

    assert variation(8.0) > 4 * variation(1.0)


def test_skew_gives_the_first_workspaces_most_requests():
    counts = Counter(skewed_workspaces(1, 10_000, workspaces=100, skew=1.0))
    assert counts[0] > 5 * counts[20] > 0
    even = Counter(skewed_workspaces(1, 10_000, workspaces=100, skew=0.0))
    assert max(even.values()) < 2 * min(even.values())


def test_return_gaps_have_the_median_and_a_heavy_tail():
    gaps = return_gaps(1, 10_000, median_s=1800.0)
    assert statistics.median(gaps) == pytest.approx(1800.0, rel=0.1)
    assert max(gaps) > 50 * 1800.0
