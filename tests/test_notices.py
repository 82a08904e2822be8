import random

import pytest

from vanillabeam.notices import (
    DEFAULT_PAUSE_S,
    JITTER_SHARE,
    MAX_JITTER_S,
    MAX_NOTICES,
    MAX_PAUSE_S,
    RETURN_ANSWERS,
    RETURN_S,
    Reason,
    TargetNotices,
    read_pause,
)

TARGET = ("t-1", 1_000)


def make_notices(seed=1):
    return TargetNotices(random.Random(seed))


def reason_at(notices, now_s, incarnation=TARGET):
    left_out = notices.left_out(incarnation, now_s)
    return left_out and left_out.reason


@pytest.mark.parametrize(
    ("text", "seconds", "is_literal"),
    [
        ("3", 3.0, True),
        (" 0.25 ", 0.25, True),
        ("0", 0.0, True),
        ("-4", 0.0, False),
        ("", DEFAULT_PAUSE_S, False),
        ("soon", DEFAULT_PAUSE_S, False),
        ("nan", DEFAULT_PAUSE_S, False),
        ("Fri, 04 Dec 2026 07:00:00 GMT", DEFAULT_PAUSE_S, False),
        ("1e12", MAX_PAUSE_S, False),
        ("inf", MAX_PAUSE_S, False),
        ("-inf", 0.0, False),
    ],
)
def test_a_pause_is_read_within_bounds(text, seconds, is_literal):
    assert read_pause(text) == (seconds, is_literal)


def test_a_target_that_leaves_is_left_out_until_it_starts_again():
    notices = make_notices()
    assert notices.record_leaving(TARGET, 1.0)
    assert not notices.record_leaving(TARGET, 2.0)
    left_out = notices.left_out(TARGET, 901.0)
    assert (left_out.reason, left_out.age_s) == (Reason.LEAVING, 900.0)
    assert not notices.may_send(TARGET, 901.0)
    assert notices.left_out(("t-1", 2_000), 901.0) is None


def test_a_target_that_leaves_is_remembered_while_the_directory_forgets_it():
    notices = make_notices()
    notices.record_leaving(TARGET, 1.0)
    notices.keep_only(set(), 50.0)
    assert reason_at(notices, 50.0) is Reason.LEAVING


def test_the_number_of_notices_is_bounded():
    notices = make_notices()
    for number in range(MAX_NOTICES + 10):
        notices.record_leaving((f"t-{number}", 1), 1.0)
        notices.record_pause((f"p-{number}", 1), 5.0, 1.0)
    kept = [n for n in range(MAX_NOTICES + 10) if notices.left_out((f"t-{n}", 1), 1.0)]
    assert kept == list(range(10, MAX_NOTICES + 10))
    assert notices.left_out(("p-0", 1), 1.0) is None


def test_a_pause_lasts_as_long_as_the_target_asked_and_not_much_longer():
    notices = make_notices()
    notices.record_pause(TARGET, 3.0, 10.0)
    assert reason_at(notices, 10.0) is Reason.PAUSED
    assert reason_at(notices, 12.99) is Reason.PAUSED
    assert reason_at(notices, 13.0 + JITTER_SHARE * 3.0) is None


def test_a_later_refusal_replaces_the_pause_and_never_shortens_it():
    notices = make_notices()
    notices.record_pause(TARGET, 3.0, 10.0)
    notices.record_pause(TARGET, 9.0, 11.0)
    assert reason_at(notices, 19.99) is Reason.PAUSED
    notices.record_pause(TARGET, 0.5, 12.0)
    assert reason_at(notices, 19.99) is Reason.PAUSED


def test_the_ends_of_pauses_differ_between_vms():
    """Pattern: a herd of VMs that a target turned away at the same moment."""
    ends = [make_notices(seed).record_pause(TARGET, 3.0, 0.0) for seed in range(200)]
    assert min(ends) >= 3.0
    for start_s in (3.0, 3.5, 4.0):
        share = sum(start_s <= end < start_s + 0.5 for end in ends) / len(ends)
        assert 0.2 < share < 0.5
    assert max(make_notices(s).record_pause(TARGET, 60.0, 0.0) for s in range(50)) <= (
        60.0 + MAX_JITTER_S
    )


def test_after_a_pause_a_target_takes_a_few_requests_at_a_time():
    """Pattern: all that waits at one VM returns when the pause ends."""
    notices = make_notices()
    notices.record_pause(TARGET, 1.0, 0.0)
    now_s, open_at_once = 5.0, []
    answered = 0
    while answered < RETURN_ANSWERS:
        opened = 0
        while notices.left_out(TARGET, now_s) is None:
            assert notices.record_sent(TARGET)
            opened += 1
        open_at_once.append(opened)
        for _ in range(opened):
            notices.record_end(TARGET, True)
            answered += 1
    assert open_at_once[:2] == [1, 2]
    assert not notices.record_sent(TARGET)
    assert notices.left_out(TARGET, now_s) is None


def test_answers_that_take_long_do_not_keep_a_target_out():
    notices = make_notices()
    notices.record_pause(TARGET, 1.0, 0.0)
    latest_s = 1.0 + JITTER_SHARE
    notices.record_sent(TARGET)
    assert reason_at(notices, latest_s) is Reason.RETURNING
    assert reason_at(notices, latest_s + RETURN_S) is None


def test_a_failed_request_after_a_pause_lets_one_more_pass():
    notices = make_notices()
    notices.record_pause(TARGET, 1.0, 0.0)
    notices.record_sent(TARGET)
    assert reason_at(notices, 5.0) is Reason.RETURNING
    notices.record_end(TARGET, False)
    assert reason_at(notices, 5.0) is None


def test_ended_pauses_of_targets_that_are_gone_are_forgotten():
    notices = make_notices()
    notices.record_pause(TARGET, 1.0, 0.0)
    notices.keep_only(set(), 0.5)
    assert notices.paused({TARGET}, 0.5) == {TARGET}
    notices.keep_only(set(), 5.0)
    assert not notices.record_sent(TARGET)
