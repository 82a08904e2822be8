"""Records of quarantined parts in the replicated state."""

import json

import msgspec

from tests.fleet.evidence import make_record
from vanillabeam.fleet.machine import FleetMachine, make_quarantine_change
from vanillabeam.fleet.quarantine import MAX_QUARANTINED, apply_change, trial_delay_s

DAY_S = 86_400


def apply(machine, index, part, basis, record):
    command = make_quarantine_change(part, basis, record)
    machine.apply(index, msgspec.json.encode(command).decode())


def change(part, basis=None, record=None):
    return {"part": part, "basis": basis, "record": record}


def test_a_change_has_no_effect_on_another_record_than_the_one_it_was_made_for():
    known = apply_change({}, change("p", 0, make_record()), 4)
    assert known["p"]["number"] == 4
    assert apply_change(known, change("p", 3), 5) == known
    assert apply_change(known, change("p", 0, make_record(failed=9)), 5) == known
    assert apply_change(known, change("p", 4), 5) == {}
    assert apply_change(known, change("p", None), 5) == {}


def test_quarantined_parts_are_bounded_and_the_oldest_gives_way():
    known = {}
    for number in range(MAX_QUARANTINED + 5):
        known = apply_change(known, change(f"p-{number}", 0, make_record()), number + 1)
    assert len(known) == MAX_QUARANTINED
    assert "p-4" not in known
    assert "p-5" in known


def test_three_trials_at_most_fall_into_a_day_after_a_failed_one():
    at_s, trials = 0.0, 0
    while (at_s := at_s + trial_delay_s(trials + 1, False)) < DAY_S:
        trials += 1
    assert trials == 3


def test_a_part_that_was_answered_before_is_tried_again_soon():
    delays = [trial_delay_s(failed, True) for failed in range(6)]
    assert delays == [0.0, 2.0, 10.0, 60.0, 600.0, 3600.0]


def test_quarantined_parts_survive_snapshots():
    machine = FleetMachine()
    apply(machine, 1, "p", 0, make_record())
    other = FleetMachine()
    other.restore(machine.snapshot())
    assert other.state["quarantine"] == machine.state["quarantine"]
    assert list(other.state["quarantine"]) == ["p"]


# Guards against replicas of an earlier release that stop at a command that they don't
# know, while a fleet is rolled forward or back.
def test_an_earlier_release_applies_the_change_without_effect():
    command = make_quarantine_change("p", 0, make_record())
    known = {key: command[key] for key in ("kind", "data_centre")}
    machine = FleetMachine()
    machine.apply(1, json.dumps({"kind": "evacuate", "data_centre": "a"}))
    machine.apply(2, json.dumps(known))
    assert machine.state["evacuated"] == ["a"]
    assert machine.state["number"] == 0
