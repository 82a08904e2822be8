import pytest

from vanillabeam import wire
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.fleet import FleetMachine, make_deploy
from vanillabeam.fleet.machine import make_fence_raise


def apply_all(machine, *commands):
    for index, command in enumerate(commands, machine.state["index"] + 1):
        machine.apply(index, wire.encode(command).decode())
    return machine.state


def deploy(number, document):
    return {"kind": "deploy", "number": number, "document": document}


def test_the_highest_number_is_in_force():
    state = apply_all(FleetMachine(), deploy(4, "four"), deploy(9, "nine"))
    assert (state["number"], state["document"]) == (9, "nine")


@pytest.mark.parametrize("number", [9, 4])
def test_a_number_that_is_not_higher_changes_nothing(number):
    state = apply_all(FleetMachine(), deploy(9, "nine"), deploy(number, "other"))
    assert (state["number"], state["document"]) == (9, "nine")
    assert state["index"] == 2


# Guards against a first configuration that is confirmed and never in force.
@pytest.mark.parametrize("number", [0, -3])
def test_a_first_number_of_0_or_below_is_in_force(number):
    state = apply_all(FleetMachine(), deploy(number, "first"), deploy(number - 1, "x"))
    assert (state["number"], state["document"]) == (number, "first")
    state = apply_all(FleetMachine(), deploy(number, "first"), deploy(number + 1, "x"))
    assert state["document"] == "x"


def test_a_long_document_is_packed_and_comes_back_unchanged():
    document = '{"q": "é\\""}' * 200_000
    command = make_deploy(4, document)
    assert len(wire.encode(command)) < len(document) / 4
    assert apply_all(FleetMachine(), command)["document"] == document


def test_a_short_document_is_kept_as_it_was_sent():
    assert make_deploy(4, "four") == deploy(4, "four")


def test_an_evacuation_lasts_until_the_data_centre_is_restored():
    machine = FleetMachine()
    out = {"kind": "evacuate", "data_centre": "a"}
    state = apply_all(machine, out, out, {"kind": "evacuate", "data_centre": "b"})
    assert state["evacuated"] == ["a", "b"]
    state = apply_all(machine, {"kind": "restore", "data_centre": "a"})
    assert state["evacuated"] == ["b"]


def test_weight_versions_never_decrease():
    newer = {"kind": "weights", "model": "m", "number": 3}
    older = {"kind": "weights", "model": "m", "number": 2}
    assert apply_all(FleetMachine(), newer, older)["weights"] == {"m": 3}


def test_a_fence_offset_only_rises_and_is_in_the_snapshot():
    machine = FleetMachine()
    assert "fence_offset" not in machine.state
    out = {"kind": "evacuate", "data_centre": "a"}
    state = apply_all(machine, out, make_fence_raise(50), make_fence_raise(7))
    assert state["fence_offset"] == 50
    assert state["evacuated"] == ["a"]
    other = FleetMachine()
    other.restore(machine.snapshot())
    assert other.state == machine.state


# Guards against a command that stops control VMs of the release before.
def test_a_fence_raise_without_its_field_restores_no_data_centre():
    machine = FleetMachine()
    apply_all(machine, {"kind": "evacuate", "data_centre": "a"})
    command = make_fence_raise(50)
    del command["fence_offset"]
    assert apply_all(machine, command)["evacuated"] == ["a"]


def test_a_snapshot_brings_another_replica_to_the_same_state():
    one, other = FleetMachine(), FleetMachine()
    apply_all(one, deploy(4, "four"), {"kind": "evacuate", "data_centre": "a"})
    other.restore(one.snapshot())
    assert other.state == one.state


def test_an_index_that_goes_back_breaks_an_invariant():
    machine = FleetMachine()
    apply_all(machine, deploy(4, "four"))
    with pytest.raises(InvariantBroken):
        machine.apply(1, wire.encode(deploy(5, "five")).decode())


def test_each_change_calls_on_change():
    calls = []
    machine = FleetMachine(lambda: calls.append(1))
    apply_all(machine, deploy(4, "four"), deploy(5, "five"))
    assert len(calls) == 2


UNKNOWN_COMMANDS = {
    "no text of a command": "x",
    "a kind of a later release": '{"kind":"later"}',
    "no number": '{"kind":"deploy","document":"{}"}',
    "no document": '{"kind":"deploy","number":4}',
    "packed in another way": '{"kind":"deploy","number":4,"packed":"AAAA"}',
    "packed in another text": '{"kind":"deploy","number":4,"packed":"\\u00e9"}',
    "no data centre": '{"kind":"evacuate"}',
    "no model": '{"kind":"weights","number":4}',
}


# A command without a field that is needed once raised what no caller expects, and each
# start of a control VM ended by it.
@pytest.mark.parametrize("name", UNKNOWN_COMMANDS)
def test_a_command_that_cannot_be_applied_breaks_an_invariant(name):
    with pytest.raises(InvariantBroken):
        FleetMachine().apply(1, UNKNOWN_COMMANDS[name])
