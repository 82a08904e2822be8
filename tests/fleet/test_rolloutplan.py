import pytest

from tests.fleet.builders import make_target
from vanillabeam.fleet.orderrun import OrderReply
from vanillabeam.fleet.rolloutplan import (
    FIRST_BACKOFF_S,
    HOLD_S,
    IDLE_S,
    MAX_BACKOFF_S,
    SILENT_S,
    Outcome,
    RolloutPlan,
)

FENCE = 7


def select_targets(targets, weights, in_progress):
    plan = RolloutPlan()
    plan.update(targets, weights, 0.0)
    for target in targets:
        if target.name in in_progress:
            plan.start(target, "m")
    return plan.select(FENCE, 0.0)


def make_targets(count, **changes):
    return [
        make_target(f"t-{n}", versions={"m": 1}, **changes) for n in range(1, count + 1)
    ]


def names(selected):
    return [target.name for target, _ in selected]


def test_a_third_of_the_targets_load_at_once():
    targets = make_targets(9)
    assert names(select_targets(targets, {"m": 2}, set())) == ["t-1", "t-2", "t-3"]
    assert names(select_targets(targets, {"m": 2}, {"t-1", "t-2"})) == ["t-3"]
    assert select_targets(targets, {"m": 2}, {"t-1", "t-2", "t-3"}) == []


def test_a_single_target_gets_new_weights():
    assert names(select_targets(make_targets(1), {"m": 2}, set())) == ["t-1"]


def test_targets_with_the_oldest_weights_go_first():
    old, older = (
        make_target("t-1", versions={"m": 2}),
        make_target("t-2", versions={"m": 1}),
    )
    assert names(select_targets([old, older], {"m": 3}, set())) == ["t-2"]


def test_up_to_date_and_draining_targets_get_no_order():
    assert select_targets(make_targets(3), {"m": 1}, set()) == []
    assert select_targets(make_targets(3, draining=True), {"m": 2}, set()) == []
    assert select_targets(make_targets(3), {"other": 2}, set()) == []


def make_plan(count, prepare_s=0.0):
    plan = RolloutPlan(prepare_s)
    plan.update(make_targets(count), {"m": 2}, 0.0)
    return plan


def due(plan, now_s, fence=FENCE):
    return names(plan.select(fence, now_s))


def begin(plan, *wanted, now_s=0.0):
    """Begin attempts at the targets with these names; return their incarnations."""
    begun = []
    for target, model in plan.select(FENCE, now_s):
        if target.name in wanted:
            plan.start(target, model)
            assert plan.begin(target.incarnation, now_s)
            begun.append(target.incarnation)
    assert len(begun) == len(wanted)
    return begun


# Guards against stuck targets that take each turn of the others.
def test_a_target_that_failed_goes_behind_those_that_wait():
    plan = make_plan(9)
    for incarnation in begin(plan, "t-1", "t-2", "t-3"):
        plan.record_reply(incarnation, OrderReply.REFUSED, FENCE)
        plan.finish(incarnation, Outcome.FAILED, 0.5)
    assert due(plan, 0.5) == ["t-4", "t-5", "t-6"]
    assert due(plan, 99.0) == ["t-4", "t-5", "t-6"]


def test_each_failure_doubles_the_time_until_the_next_turn():
    plan = make_plan(1)
    now_s, delays_s = 0.0, []
    for _ in range(5):
        (incarnation,) = begin(plan, "t-1", now_s=now_s)
        plan.finish(incarnation, Outcome.FAILED, now_s)
        since_s = now_s
        while not due(plan, now_s):
            now_s += 0.25
        delays_s.append(now_s - since_s)
    assert delays_s[0] == FIRST_BACKOFF_S
    assert delays_s[1] == 2 * FIRST_BACKOFF_S
    assert delays_s[-1] == MAX_BACKOFF_S


def test_an_attempt_that_was_stopped_is_no_failure():
    plan = make_plan(1)
    (incarnation,) = begin(plan, "t-1")
    plan.finish(incarnation, Outcome.STOPPED, 1.0)
    assert due(plan, 1.0) == ["t-1"]


# Guards against targets in a crash loop, which are new and first each time.
def test_a_new_incarnation_goes_behind_those_that_wait():
    plan = make_plan(4)
    targets = make_targets(4)
    targets[0] = targets[0]._replace(born_ms=9_000)
    assert plan.update(targets, {"m": 2}, 1.0) == []
    assert due(plan, 1.0) == ["t-2", "t-3"]


def test_the_slot_of_a_target_that_is_gone_is_free_at_once():
    plan = make_plan(9)
    begun = begin(plan, "t-1", "t-2", "t-3")
    assert due(plan, 0.1) == []
    assert plan.update(make_targets(9)[1:], {"m": 2}, 0.1) == begun[:1]
    assert due(plan, 0.1) == ["t-4"]
    plan.finish(begun[0], Outcome.STOPPED, 0.1)
    assert due(plan, 0.1) == ["t-4"]


def test_a_silent_target_holds_no_slot_for_long():
    plan = make_plan(9)
    begin(plan, "t-1", "t-2", "t-3")
    assert due(plan, SILENT_S - 0.1) == []
    assert due(plan, SILENT_S) == ["t-4", "t-5", "t-6"]


def test_a_target_that_accepted_holds_its_slot_while_it_works():
    plan = make_plan(9)
    for incarnation in begin(plan, "t-1", "t-2", "t-3"):
        plan.record_state(incarnation, True, True, 0.0)
        plan.record_state(incarnation, True, True, IDLE_S)
    assert due(plan, HOLD_S - 0.1) == []
    assert due(plan, HOLD_S) == ["t-4", "t-5", "t-6"]


# Guards against a target that is kept from work and doesn't load either.
def test_a_target_without_a_slot_serves_unless_it_is_busy():
    plan = make_plan(9)
    first, second = begin(plan, "t-1", "t-2")
    assert plan.paused_names(SILENT_S - 0.1) == {"t-1", "t-2"}
    plan.record_state(second, False, True, SILENT_S)
    assert plan.paused_names(SILENT_S) == {"t-2"}


def test_a_target_that_accepted_and_does_nothing_holds_no_slot():
    plan = make_plan(9)
    for incarnation in begin(plan, "t-1", "t-2", "t-3"):
        plan.record_state(incarnation, True, False, 0.0)
        plan.record_state(incarnation, True, False, IDLE_S - 0.1)
    assert due(plan, IDLE_S - 0.1) == []
    for target in make_targets(3):
        plan.record_state(target.incarnation, True, False, IDLE_S)
    assert due(plan, IDLE_S) == ["t-4", "t-5", "t-6"]


def test_a_third_goes_on_serving_however_long_runs_last():
    plan = make_plan(9)
    now_s = 0.0
    for wanted in (("t-1", "t-2", "t-3"), ("t-4", "t-5", "t-6")):
        for incarnation in begin(plan, *wanted, now_s=now_s):
            plan.record_state(incarnation, True, True, now_s)
        now_s += HOLD_S
    assert due(plan, now_s) == []


def test_a_refused_number_is_not_used_again_for_the_target():
    plan = make_plan(2)
    (incarnation,) = begin(plan, "t-1")
    plan.record_reply(incarnation, OrderReply.FENCED, FENCE)
    plan.finish(incarnation, Outcome.FAILED, 0.0)
    assert plan.is_refused(FENCE)
    assert due(plan, 0.0) == ["t-2"]
    assert {each.target: each.reason for each in plan.held(FENCE, 0.0)} == {
        "t-1": "fenced",
        "t-2": "no-slot",
    }
    assert due(plan, 0.0, fence=FENCE + 1) == ["t-1"]


def test_a_target_is_prepared_before_a_slot_is_free_and_begins_when_it_is():
    plan = make_plan(3, prepare_s=0.3)
    (first,) = begin(plan, "t-1")
    plan.record_state(first, True, True, 0.0)
    plan.finish(first, Outcome.DONE, 1.0)
    (second,) = begin(plan, "t-2", now_s=1.0)
    plan.record_state(second, True, True, 1.0)
    assert due(plan, 1.6) == []
    assert due(plan, 1.75) == ["t-3"]
    third = make_targets(3)[2]
    plan.start(third, "m")
    assert not plan.begin(third.incarnation, 1.9)
    plan.finish(second, Outcome.DONE, 2.0)
    assert plan.begin(third.incarnation, 2.0)


def test_the_reason_of_a_backoff_comes_with_the_last_answer():
    plan = make_plan(1)
    (incarnation,) = begin(plan, "t-1")
    plan.record_reply(incarnation, OrderReply.REFUSED, FENCE)
    plan.finish(incarnation, Outcome.FAILED, 0.0)
    (held,) = plan.held(FENCE, 0.5)
    assert (held.reason, held.reply) == ("backoff", "refused")


def test_an_order_that_is_held_back_keeps_its_slot():
    plan = make_plan(9)
    for incarnation in begin(plan, "t-1", "t-2", "t-3"):
        plan.hold(incarnation, SILENT_S)
    assert due(plan, SILENT_S) == []
    assert due(plan, 2 * SILENT_S) == ["t-4", "t-5", "t-6"]


def test_the_spare_time_leaves_a_load_for_each_round():
    plan = make_plan(9)
    (incarnation,) = begin(plan, "t-1")
    plan.record_state(incarnation, True, True, 0.0)
    plan.finish(incarnation, Outcome.DONE, 3.0, waited_s=2.0)
    begin(plan, "t-2", "t-3", "t-4", now_s=3.0)
    assert plan.spare_s("m", 7.0) == (4.0, pytest.approx(4.0 / 3))
