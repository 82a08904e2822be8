import random

import pytest

from vanillabeam.capacity.core import MIN_SAMPLE_TOKENS, TargetCapacity
from vanillabeam.capacity.counts import Sums
from vanillabeam.capacity.evidence import is_own_link, pick_evidence
from vanillabeam.capacity.figures import Figure

STEP_S = 0.1


def feed(capacity, target, took_s, from_s, to_s, others=None, open_calls=1):
    """Let a target answer one call in each step, and others see the given sums."""
    for step in range(round((to_s - from_s) / STEP_S)):
        now_s = from_s + step * STEP_S
        seconds = took_s(now_s) if callable(took_s) else took_s
        capacity.record_call(target, "s", open_calls, seconds, False, now_s)
        capacity.update_others({"ended": others} if others else {}, now_s)


def test_nothing_is_known_at_first():
    capacity = TargetCapacity()
    assert capacity.call_s("t", "s", 1, 0.0) == 0.0
    assert capacity.tokens_s("t", "s", 0.0) == 0.0
    assert capacity.wait_s("t", "s", 900, 0.0) == 0.0
    assert capacity.takes_well("t", "s", 0.0) is None
    assert capacity.own(0.0) == {"prefills": {}, "ended": {}}


def test_a_lasting_change_is_followed_in_three_seconds_both_ways():
    capacity = TargetCapacity()
    feed(capacity, "t", 0.1, 0.0, 5.0)
    feed(capacity, "t", 0.3, 5.0, 8.0)
    assert capacity.call_s("t", "s", 1, 8.0) == pytest.approx(0.3, rel=0.2)
    feed(capacity, "t", 0.1, 8.0, 11.0)
    assert capacity.call_s("t", "s", 1, 11.0) == pytest.approx(0.1, rel=0.2)


def test_half_a_second_of_slowness_changes_little():
    capacity = TargetCapacity()
    seen = []
    for second in range(30):
        feed(
            capacity,
            "t",
            lambda now_s: 0.3 if now_s % 5.0 < 0.5 else 0.1,
            float(second),
            second + 1.0,
        )
        if second >= 5:
            seen.append(capacity.call_s("t", "s", 1, second + 1.0))
    assert max(seen) < 0.15


def test_failures_show_no_speed():
    capacity = TargetCapacity()
    capacity.record_call("t", "s", 1, 0.001, True, 0.0)
    assert capacity.call_s("t", "s", 1, 0.0) == 0.0


def test_short_prompts_show_no_speed():
    capacity = TargetCapacity()
    capacity.record_prompt("t", "s", MIN_SAMPLE_TOKENS - 1, 1, 0.2, 0.0)
    assert capacity.tokens_s("t", "s", 0.0) == 0.0


def test_an_unproven_target_has_the_median_of_its_service():
    capacity = TargetCapacity()
    sums = {f"t-{n}": [2, 10, 10, ms, 10] for n, ms in enumerate((500, 1_000, 9_000))}
    for name in sums:
        capacity.call_s(name, "s", 1, 0.0)
    capacity.update_others({"ended": sums}, 0.0)
    assert capacity.call_s("t-new", "s", 1, 0.1) == pytest.approx(0.1)
    assert not capacity.is_proven("t-new")
    assert capacity.is_proven("t-2")


def test_a_new_start_is_unproven_and_old_sums_do_not_count_for_it():
    capacity = TargetCapacity()
    capacity.keep_only({("t", 1), ("u", 1)}, 0.0)
    others = {"t": [2, 9, 9, 9_000, 9], "u": [2, 9, 9, 900, 9]}
    capacity.call_s("t", "s", 1, 0.0)
    capacity.call_s("u", "s", 1, 0.0)
    capacity.update_others({"ended": others}, 0.0)
    assert capacity.call_s("t", "s", 1, 0.1) > 0.5
    capacity.keep_only({("t", 2), ("u", 1)}, 1.0)
    capacity.update_others({"ended": others}, 1.1)
    assert not capacity.is_proven("t")
    assert capacity.call_s("t", "s", 1, 1.2) == pytest.approx(0.1)


def test_what_is_gone_is_forgotten():
    capacity = TargetCapacity()
    feed(capacity, "t", 0.1, 0.0, 1.0)
    capacity.keep_only({("u", 1)}, 1.0)
    assert capacity.rows(1.0) == []
    assert capacity.own(1.0)["ended"] == {}
    feed(capacity, "u", 0.1, 1.0, 2.0, others={"unknown": [2, 9, 9, 900, 9]})
    assert [row.target for row in capacity.rows(2.0)] == ["u"]


# Guards against one VM's bad link that makes a target slow for all others.
def test_a_vm_whose_answers_alone_are_late_reports_nothing_of_them():
    capacity = TargetCapacity()
    others = {"t": [5, 50, 50, 5_000, 50]}
    feed(capacity, "t", 0.1, 0.0, 3.0, others)
    assert capacity.own(3.0)["ended"]["t"][1] >= 4
    feed(capacity, "t", 0.4, 3.0, 5.0, others)
    assert "t" not in capacity.own(5.0)["ended"]


def test_one_other_vm_alone_does_not_make_a_target_slow():
    capacity = TargetCapacity()
    for step in range(10):
        capacity.update_others({"ended": {"t": [5, 50, 50, 5_000, 50]}}, step * 0.5)
    before_s = capacity.call_s("t", "s", 1, 5.0)
    for step in range(10):
        capacity.update_others({"ended": {"t": [1, 9, 9, 9_000, 9]}}, 5.0 + step * 0.5)
    assert capacity.call_s("t", "s", 1, 10.0) == pytest.approx(before_s)


def test_without_reports_own_answers_decide():
    capacity = TargetCapacity()
    capacity.update_others({"ended": {"t": [5, 50, 50, 5_000, 50]}}, 0.0)
    for step in range(60):
        capacity.record_call("t", "s", 1, 0.3, False, 2.0 + step * STEP_S)
    assert capacity.call_s("t", "s", 1, 8.0) == pytest.approx(0.3, rel=0.2)


MINE, THEIRS = Sums(1, 9, 9, 4_500, 9), Sums(5, 50, 50, 5_000, 50)


def test_late_answers_from_here_only_count_unless_all_targets_seem_late():
    assert pick_evidence(MINE, THEIRS, 0.1, blames_link=False) == MINE
    assert pick_evidence(MINE, THEIRS, 0.1, blames_link=True) == THEIRS
    late, fine = ("t", MINE, THEIRS), ("u", THEIRS, THEIRS)
    assert is_own_link([late, late, fine])
    assert not is_own_link([late, fine, fine])
    assert not is_own_link([late])


def bent(open_requests):
    return 0.1 * max(1.0, open_requests / 4)


def test_the_open_requests_from_which_a_target_slows_are_found():
    figure, rng = Figure(), random.Random(1)
    for step in range(200):
        open_ = rng.randint(1, 12)
        figure.record(5, bent(open_) * rng.uniform(0.9, 1.1), open_, step * 0.5)
    assert 3 <= figure.takes_well <= 6
    assert figure.pace_s(12) > 2 * figure.pace_s(2)


def test_a_target_that_slows_at_no_number_takes_any():
    figure, rng = Figure(), random.Random(1)
    for step in range(200):
        figure.record(5, 0.1 * rng.uniform(0.8, 1.2), rng.randint(1, 12), step * 0.5)
    assert figure.takes_well is None


def test_a_change_of_speed_is_not_taken_for_growth():
    figure = Figure()
    for step in range(60):
        is_slow = step >= 30
        figure.record(5, 0.4 if is_slow else 0.1, 1 if is_slow else 4, step * 0.5)
    assert figure.takes_well is None


def test_the_state_is_bounded():
    figure, rng = Figure(), random.Random(1)
    for step in range(2_000):
        figure.record(1, rng.random(), rng.uniform(1, 1e6), step * 0.01)
    assert len(figure._growth) <= 64
    assert len(figure._samples) <= 7
