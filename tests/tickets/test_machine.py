import json

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.tickets.builders import DIGEST, apply, make_body, make_workspace
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.tickets import SnapshotInvalid, TicketMachine, config_hash

OTHER = "ef" * 32
V1 = {"version": "1"}
ACCEPTED_AT_1 = {"status": "accepted", "index": 1}


def test_resend_returns_the_first_answer_after_many_tickets_and_a_restore():
    machine = TicketMachine()
    first = apply(machine, 1, make_body(5))
    for index in range(2, 300):
        apply(
            machine,
            index,
            make_body(index + 10, models={f"x{index}": V1}),
        )
    restored = TicketMachine()
    restored.restore(machine.snapshot())
    assert (
        apply(restored, 300, make_body(5))
        == first
        == {"status": "accepted", "index": 1}
    )


def test_number_taken_by_other_content_is_refused_with_its_author():
    machine = TicketMachine()
    apply(machine, 1, make_body(5, "ama"))
    reply = apply(machine, 2, make_body(5, "kofi"))
    assert reply["type"] == "ticket-number-taken"
    assert "ama" in reply["faults"][0]


def test_lower_number_is_stale_only_for_the_same_record():
    machine = TicketMachine()
    apply(machine, 1, make_body(9))
    stale = apply(machine, 2, make_body(8, models={"m": {"version": "0"}, "n": V1}))
    assert (stale["type"], stale["faults"]) == (
        "ticket-stale",
        ["models.m: changed by ticket 9"],
    )
    assert apply(machine, 3, make_body(7, models={"n": V1}))["index"] == 3


def test_lower_number_does_not_restore_a_removed_record():
    machine = TicketMachine()
    apply(machine, 1, make_body(1))
    apply(machine, 2, make_body(9, remove={"models": ["m"]}))
    assert apply(machine, 3, make_body(8))["type"] == "ticket-stale"


@pytest.mark.parametrize(
    ("sections", "fault"),
    [
        ({"adapters": {"q:x": V1}}, "adapters.q:x: no model q"),
        (
            {"target_roles": {"t": {"models": ["q"]}}},
            "target_roles.t.models: no model q",
        ),
        (
            {"target_roles": {"t": {"adapters": ["m:q"]}}},
            "target_roles.t.adapters: no adapter m:q",
        ),
        (
            {"workspaces": {"w": make_workspace(services=["q"], key_digests=[OTHER])}},
            "workspaces.w.services: no service q",
        ),
        (
            {"workspaces": {"w": make_workspace()}},
            "workspaces.w.key_digests: also a key of held",
        ),
        ({"settlements": {"q/k": {"ran": True}}}, "settlements.q/k: no workspace q"),
        ({"remove": {"models": ["m"]}}, "adapters.m:a: no model m"),
        ({"remove": {"models": ["q"]}}, "remove.models.q: not there"),
        ({"remove": {"control": ["vm-1"]}}, "remove.control: the last member stays"),
    ],
)
def test_ticket_with_an_unresolved_reference_is_refused_as_a_whole(sections, fault):
    machine = TicketMachine()
    member = {"address": "10.0.0.1:7002", "member_id": "aa"}
    base = make_body(
        1,
        models={"m": V1},
        adapters={"m:a": V1},
        workspaces={"held": make_workspace()},
        control={"vm-1": member},
    )
    assert apply(machine, 1, base)["status"] == "accepted"
    before = machine.snapshot()
    reply = apply(machine, 2, make_body(2, **sections))
    assert (reply["type"], reply["faults"]) == ("ticket-unresolved", [fault])
    assert machine.snapshot() == before


def test_numbers_below_the_kept_ones_are_expired():
    machine = TicketMachine(kept_tickets=8)
    for index in range(1, 30):
        apply(machine, index, make_body(index, models={f"x{index}": V1}))
    assert len(machine.tickets) <= 9
    assert (
        apply(machine, 30, make_body(1, models={"y": V1}))["type"] == "ticket-expired"
    )


def test_damaged_or_older_snapshot_raises():
    machine = TicketMachine()
    apply(machine, 1, make_body(1))
    old = machine.snapshot()
    with pytest.raises(SnapshotInvalid):
        TicketMachine().restore(old.replace(b'"1"', b'"2"'))
    apply(machine, 2, make_body(2))
    with pytest.raises(InvariantBroken):
        machine.restore(old)


def test_index_that_does_not_increase_raises():
    machine = TicketMachine()
    apply(machine, 3, make_body(1))
    with pytest.raises(InvariantBroken):
        apply(machine, 3, make_body(2))


class RacingOperators(RuleBasedStateMachine):
    """Random tickets with few numbers and few records, so that they often race."""

    machine_class = TicketMachine

    def __init__(self):
        super().__init__()
        self.replicas = [self.machine_class(), self.machine_class()]
        self.index = 0
        self.answers: dict[int, tuple[bytes, int]] = {}
        self.in_force: dict[str, tuple[int, str]] = {}

    @rule(
        number=st.integers(1, 12),
        name=st.sampled_from(["m", "n", "o"]),
        version=st.sampled_from(["1", "2"]),
        author=st.sampled_from(["ama", "kofi"]),
    )
    def send(self, number, name, version, author):
        self.index += 1
        body = make_body(number, author, models={name: {"version": version}})
        replies = [apply(replica, self.index, body) for replica in self.replicas]
        assert replies[0] == replies[1]
        reply = replies[0]
        held = self.answers.get(number)
        if held is not None and held[0] == body:
            assert reply == {"status": "accepted", "index": held[1]}
        elif held is not None:
            assert reply.get("type") == "ticket-number-taken"
        elif self.in_force.get(name, (0, ""))[0] > number:
            assert reply.get("type") == "ticket-stale"
        else:
            assert reply == {"status": "accepted", "index": self.index}
            self.answers[number] = (body, self.index)
            self.in_force[name] = (number, version)

    @precondition(lambda self: self.index)
    @rule(which=st.integers(0, 1))
    def restart_from_snapshot(self, which):
        snapshot = self.replicas[which].snapshot()
        self.replicas[which] = self.machine_class()
        self.replicas[which].restore(snapshot)

    @invariant()
    def replicas_agree(self):
        one, two = self.replicas
        assert one.snapshot() == two.snapshot()
        assert config_hash(one.config) == one.hash
        models = {name: model.version for name, model in one.config.models.items()}
        assert models == {name: version for name, (_, version) in self.in_force.items()}


RacingOperators.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=40, deadline=None
)
TestRacingOperators = RacingOperators.TestCase


class NumbersLostMachine(TicketMachine):
    """Breaks a rule: loses the accepted numbers in a restart."""

    def restore(self, snapshot):
        super().restore(snapshot)
        self.tickets = {}


class StaleAcceptedMachine(TicketMachine):
    """Breaks a rule: accepts lower numbers for a changed record."""

    def check_number(self, ticket):
        self._touched = {}
        return super().check_number(ticket)


@pytest.mark.parametrize("broken", [NumbersLostMachine, StaleAcceptedMachine])
def test_randomised_run_detects_a_broken_rule(broken):
    class Broken(RacingOperators):
        machine_class = broken

    Broken.TestCase.settings = RacingOperators.TestCase.settings
    with pytest.raises(AssertionError):
        Broken.TestCase("runTest").runTest()


def test_reply_is_json_without_key_digests():
    machine = TicketMachine()
    reply = machine.apply(1, make_body(1, workspaces={"w": make_workspace()}).decode())
    assert json.loads(reply)["status"] == "accepted"
    assert DIGEST not in reply
