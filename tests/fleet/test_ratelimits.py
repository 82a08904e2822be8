"""Limits that targets name: which answer counts, and what ends them."""

import pytest
from hypothesis import given, strategies as st

from vanillabeam.fleet.ratelimits import (
    KEPT_AFTER_END_S,
    MIN_RATE_S,
    RETURN_S,
    RateLimits,
    read_rate,
)

TARGET = ("t-1", 1)
LATER_START = ("t-1", 2)


def limited(rate_s=2.0, sent_s=9.9, now_s=10.0):
    limits = RateLimits()
    limits.record_answer(TARGET, rate_s, sent_s, now_s)
    return limits


@pytest.mark.parametrize("text", ["2", "2.0", " 2 ", "2e0"])
def test_a_decimal_number_is_a_limit(text):
    assert read_rate([text]) == (2.0, False)


@pytest.mark.parametrize(
    "text", ["", "abc", "-1", "nan", "inf", "-inf", "1e9", "2;3", "9" * 400]
)
def test_a_value_beyond_belief_says_nothing(text):
    assert read_rate([text]) == (None, True)


def test_of_several_values_the_lowest_counts():
    assert read_rate(["3.5", "2", "abc"]) == (2.0, True)
    assert read_rate([]) == (None, False)


@given(st.lists(st.text()))
def test_any_text_is_read(texts):
    rate_s, _ = read_rate(texts)
    assert rate_s is None or 0 <= rate_s <= 1_000_000


def test_a_limit_holds_for_one_start_of_a_target():
    limits = limited()
    assert limits.rate_s(TARGET, 100.0) == 2.0
    assert limits.rate_s(LATER_START, 100.0) is None


def test_a_target_that_takes_nothing_is_asked_at_times():
    assert limited(0.0).rate_s(TARGET, 11.0) == MIN_RATE_S


# Guards against a limit that an answer made before it ends, or one that never ends.
@pytest.mark.parametrize(("sent_s", "has_ended"), [(9.95, False), (10.0, True)])
def test_only_an_answer_made_later_ends_a_limit(sent_s, has_ended):
    limits = limited()
    change = limits.record_answer(TARGET, None, sent_s, 10.3)
    assert (change is not None) == has_ended
    assert (limits.rate_s(TARGET, 10.3 + RETURN_S) is None) == has_ended


@pytest.mark.parametrize(
    ("rate_s", "sent_s", "expected"),
    [(3.0, 10.1, 3.0), (1.0, 10.1, 1.0), (3.0, 9.95, 2.0), (1.0, 9.95, 1.0)],
)
def test_of_answers_made_at_the_same_time_the_lower_limit_counts(
    rate_s, sent_s, expected
):
    limits = limited()
    limits.record_answer(TARGET, rate_s, sent_s, 10.2)
    assert limits.rate_s(TARGET, 10.2) == expected


def test_the_rate_returns_by_steps_after_a_limit():
    limits = limited()
    limits.record_answer(TARGET, None, 10.1, 10.2)
    rates = [limits.rate_s(TARGET, 10.2 + after_s) for after_s in (0.0, 1.0, 2.0)]
    assert rates == [2.0, 8.0, 32.0]
    assert limits.rate_s(TARGET, 10.2 + RETURN_S) is None


def test_a_limit_that_is_named_again_holds_again():
    limits = limited()
    limits.record_answer(TARGET, None, 10.1, 10.2)
    limits.record_answer(TARGET, 1.5, 10.15, 10.3)
    assert limits.rate_s(TARGET, 20.0) == 1.5


def test_changes_say_what_was_before():
    limits = RateLimits()
    first = limits.record_answer(TARGET, 2.0, 9.9, 10.0)
    assert (first.before_rate_s, first.rate_s, first.has_ended) == (None, 2.0, False)
    assert limits.record_answer(TARGET, 2.0, 10.1, 10.2) is None
    ended = limits.record_answer(TARGET, None, 10.3, 10.5)
    assert (ended.before_rate_s, ended.held_s, ended.has_ended) == (2.0, 0.5, True)
    assert limits.record_answer(TARGET, None, 10.6, 10.7) is None


def test_other_vms_learn_a_limit_and_its_end():
    here, there = limited(), RateLimits()
    (change,) = there.merge(here.reports(12.0), 112.0)
    assert (change.rate_s, change.age_s) == (2.0, 2.0)
    assert there.rate_s(TARGET, 112.0) == 2.0
    there.record_answer(TARGET, None, 112.5, 112.6)
    (change,) = here.merge(there.reports(112.7), 12.7)
    assert change.has_ended
    assert here.merge(there.reports(112.8), 12.8) == []


# Guards against a limit that has ended and comes back from a VM that was cut off.
def test_an_older_report_does_not_bring_a_limit_back():
    old = limited().reports(10.5)
    limits = limited()
    limits.record_answer(TARGET, None, 10.1, 10.2)
    assert limits.merge(old, 10.5) == []
    assert limits.rate_s(TARGET, 15.0) is None


def test_reports_that_go_round_do_not_make_a_limit_younger():
    here, there = limited(), RateLimits()
    for step in range(100):
        now_s = 10.0 + 0.2 * step
        there.merge(here.reports(now_s), now_s + 0.1)
        here.merge(there.reports(now_s + 0.1), now_s + 0.2)
    assert here.age_s(TARGET, 30.0) == pytest.approx(20.0)
    assert here.record_answer(TARGET, None, 10.05, 30.0).has_ended


def test_the_end_of_a_limit_is_forgotten_in_the_end():
    limits = limited()
    limits.record_answer(TARGET, None, 10.1, 10.2)
    limits.expire(10.2 + KEPT_AFTER_END_S)
    assert not limits.is_empty
    limits.expire(10.3 + KEPT_AFTER_END_S)
    assert limits.is_empty
    assert limits.reports(30.0) == []


# Guards against a target that names another limit in each answer, and has all VMs tell
# each other at once each time.
@pytest.mark.parametrize(
    ("rate_s", "is_urgent"), [(1.0, True), (1.9, False), (3.0, False), (None, False)]
)
def test_only_a_new_or_a_much_lower_limit_is_told_at_once(rate_s, is_urgent):
    limits = RateLimits()
    assert limits.record_answer(TARGET, 2.0, 9.9, 10.0).is_urgent
    assert limits.record_answer(TARGET, rate_s, 10.1, 10.2).is_urgent == is_urgent
