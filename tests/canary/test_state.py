"""Replicated records of rollouts: orders, steps, late copies, snapshots."""

import json

import msgspec
import pytest

from vanillabeam.canary.records import Step
from vanillabeam.canary.state import (
    DUPLICATE_MS,
    MAX_ROLLOUTS,
    apply_rollout,
    make_order,
    make_step,
    trial_targets,
)
from vanillabeam.fleet.machine import (
    FleetMachine,
    make_rollout_command,
    order_subject,
)

START_MS = 1_700_000_000_000


def order(to="v2", at_ms=START_MS, service="shop", duration_s=12.0):
    return make_order(service, to, duration_s, at_ms)


def step(rollouts, step, share, reason="", service="shop"):
    return make_step(rollouts[service], step, share, reason)


def apply(machine, index, change):
    command = msgspec.json.encode(make_rollout_command(change)).decode()
    machine.apply(index, command)


def test_an_order_begins_a_rollout_that_waits_for_targets():
    rollouts = apply_rollout({}, order(), 7)
    record = rollouts["shop"]
    assert (record["order"], record["step"], record["share"]) == (7, Step.WAITING, 0.0)


# Guards against a second rollout from an order that its operator has sent again.
@pytest.mark.parametrize("delay_ms", [0, 900, DUPLICATE_MS, -DUPLICATE_MS])
@pytest.mark.parametrize("is_ended", [False, True])
def test_a_repeated_order_is_the_same_order(delay_ms, is_ended):
    rollouts = apply_rollout({}, order(), 7)
    if is_ended:
        ended = step(rollouts, Step.ROLLED_BACK, 0.0, "bad")
        rollouts = apply_rollout(rollouts, ended, 8)
    repeated = apply_rollout(rollouts, order(at_ms=START_MS + delay_ms), 9)
    assert repeated == rollouts


def test_a_new_order_to_the_same_version_begins_again_after_the_end():
    rollouts = apply_rollout({}, order(), 7)
    rollouts = apply_rollout(rollouts, step(rollouts, Step.ROLLED_BACK, 0.0, "bad"), 8)
    later = order(at_ms=START_MS + DUPLICATE_MS + 1)
    assert apply_rollout(rollouts, later, 9)["shop"]["order"] == 9


def test_another_order_is_ignored_while_a_rollout_of_the_service_runs():
    rollouts = apply_rollout({}, order(), 7)
    assert apply_rollout(rollouts, order("v3", START_MS + 60_000), 8) == rollouts
    both = apply_rollout(rollouts, order("v3", service="cart"), 8)
    assert {name: of["order"] for name, of in both.items()} == {"shop": 7, "cart": 8}


# Guards against a deposed leader's change, or a late copy of one, that moves a rollout
# backwards.
def test_late_copies_of_changes_have_no_effect():
    rollouts = apply_rollout({}, order(), 7)
    trial = step(rollouts, Step.TRIAL, 0.06)
    rollouts = apply_rollout(rollouts, trial, 8)
    raised = step(rollouts, Step.TRIAL, 0.2)
    lower = step(rollouts, Step.TRIAL, 0.05)
    shift = step(rollouts, Step.SHIFT, 0.25)
    rollouts = apply_rollout(rollouts, raised, 9)
    assert rollouts["shop"]["share"] == 0.2
    assert apply_rollout(rollouts, lower, 10) == rollouts
    assert apply_rollout(rollouts, trial, 10) == rollouts
    rollouts = apply_rollout(rollouts, shift, 10)
    bad = step(rollouts, Step.ROLLED_BACK, 0.0, "bad")
    complete = step(rollouts, Step.COMPLETE, 1.0)
    rollouts = apply_rollout(rollouts, bad, 11)
    for late in (order(), trial, raised, shift, complete, bad):
        assert apply_rollout(rollouts, late, 12) == rollouts


def test_a_change_of_an_earlier_rollout_has_no_effect_on_the_next():
    rollouts = apply_rollout({}, order(), 7)
    trial = step(rollouts, Step.TRIAL, 0.06)
    rollouts = apply_rollout(rollouts, step(rollouts, Step.ROLLED_BACK, 0.0, "time"), 8)
    rollouts = apply_rollout(rollouts, order("v3", START_MS + 60_000), 9)
    assert apply_rollout(rollouts, trial, 10) == rollouts


# Guards against a change that gives a running rollout another limit or version.
def test_a_change_keeps_the_identity_of_the_rollout():
    rollouts = apply_rollout({}, order(), 7)
    changed = step(rollouts, Step.TRIAL, 0.06)
    changed["record"] |= {"to": "v9", "duration_s": 99.0, "order": 7, "started_ms": 1}
    record = apply_rollout(rollouts, changed, 8)["shop"]
    assert (record["to"], record["duration_s"]) == ("v2", 12.0)
    assert record["started_ms"] == START_MS


def test_ended_rollouts_are_bounded_and_the_oldest_gives_way():
    rollouts = {}
    for number in range(MAX_ROLLOUTS + 3):
        service = f"s-{number}"
        rollouts = apply_rollout(rollouts, order(service=service), 2 * number + 1)
        ended = step(rollouts, Step.COMPLETE, 1.0, service=service)
        rollouts = apply_rollout(rollouts, ended, 2 * number + 2)
    assert len(rollouts) == MAX_ROLLOUTS
    assert "s-2" not in rollouts
    assert f"s-{MAX_ROLLOUTS + 2}" in rollouts


# Guards against an acknowledged rollout that is lost with a restart from a snapshot.
def test_rollouts_survive_snapshots():
    machine, other = FleetMachine(), FleetMachine()
    apply(machine, 1, order())
    apply(machine, 2, make_step(machine.state["rollouts"]["shop"], Step.TRIAL, 0.06))
    other.restore(machine.snapshot())
    assert other.state["rollouts"] == machine.state["rollouts"]
    apply(other, 3, make_step(other.state["rollouts"]["shop"], Step.SHIFT, 0.25))
    assert other.state["rollouts"]["shop"]["step"] == "shift"
    assert other.news_index == 3


# Guards against replicas of an earlier release that stop at a command that they don't
# know, while a fleet is rolled forward or back.
def test_an_earlier_release_applies_the_change_without_effect():
    command = make_rollout_command(order())
    known = {key: command[key] for key in ("kind", "data_centre")}
    machine = FleetMachine()
    machine.apply(1, json.dumps({"kind": "evacuate", "data_centre": "a"}))
    machine.apply(2, json.dumps(known))
    assert machine.state["evacuated"] == ["a"]
    assert "rollouts" not in machine.state


# Guards against a late copy of an order that the leader appends after other changes.
def test_changes_of_one_service_are_one_subject_of_the_log():
    texts = [
        msgspec.json.encode(make_rollout_command(change)).decode()
        for change in (order(), order("v3"), order(service="cart"))
    ]
    first, second, other = (order_subject(text) for text in texts)
    assert first == second != other
    assert first


def test_the_number_of_targets_in_trial_follows_the_share():
    record = apply_rollout({}, order(), 7)["shop"]
    counts = [trial_targets(record | {"share": of}, 40) for of in (0, 0.06, 0.25, 1)]
    assert counts == [0, 3, 10, 40]
