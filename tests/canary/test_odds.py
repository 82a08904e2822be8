"""The sequential test: its error rate, and the responses that it takes."""

import random

import pytest

from vanillabeam.canary.odds import MIN_BAD, base_share, log_odds

#: Logarithm of the odds at which a version is shown to be bad.
BOUND = 9.21


def highest_odds(rng, share, base_share_, responses):
    """Return the highest odds in a run, and the responses at which it passes."""
    old = sum(rng.random() < base_share_ for _ in range(1_000))
    base = base_share(old, 1_000)
    bad, highest = 0, float("-inf")
    for number in range(1, responses + 1):
        bad += rng.random() < share
        if number % 4:
            continue
        highest = max(highest, log_odds(bad, number, base))
        if highest >= BOUND:
            return highest, number, bad
    return highest, responses, bad


# Guards against good versions that are rolled back: read after every fourth of 400
# responses, the test must not pass in 99.9 % of runs at 14 % base failures.
def test_a_good_version_is_hardly_ever_shown_bad():
    rng = random.Random(3)
    runs = [highest_odds(rng, 0.14, 0.14, 400) for _ in range(2_000)]
    assert sum(run[0] >= BOUND for run in runs) <= 2


# Guards against a bad version that has more than 50 bad responses before it is shown
# bad: from then on the time to its rollback is limited.
@pytest.mark.parametrize("base", [0.0, 0.14])
@pytest.mark.parametrize("share", [0.4, 0.6, 1.0])
def test_a_bad_version_is_shown_bad_before_50_bad_responses(base, share):
    rng = random.Random(5)
    runs = sorted(highest_odds(rng, share, base, 600)[2] for _ in range(200))
    assert runs[190] < 50


def test_a_few_bad_responses_show_nothing():
    assert log_odds(MIN_BAD - 1, MIN_BAD - 1, 0.02) == float("-inf")


def test_a_baseline_of_few_responses_is_estimated_high():
    assert base_share(0, 0) > base_share(0, 20) > base_share(0, 10_000)
    assert base_share(14, 100) > 0.14
    assert base_share(1_400, 10_000) == pytest.approx(0.1434, abs=0.001)


def test_no_version_is_worse_than_one_that_always_fails():
    assert log_odds(50, 50, base_share(1_000, 1_000)) == float("-inf")
