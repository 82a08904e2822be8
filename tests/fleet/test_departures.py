"""Departures of targets: committed before they are acknowledged, never forgotten."""

import random

import pytest
import trio
import trio.testing
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from tests.fleet.builders import make_target
from vanillabeam import wire
from vanillabeam.exceptions import DepartureUncommitted
from vanillabeam.fleet.departing import ANSWER_S, DepartingTask
from vanillabeam.fleet.departures import (
    MAX_DEPARTED,
    apply_departures,
    make_departures,
)
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.machine import (
    FleetMachine,
    departures,
    make_departure_change,
    make_fence_raise,
)
from vanillabeam.fleet.watch import make_reply
from vanillabeam.log import Applied
from vanillabeam.log.exceptions import NoLeader

LEFT, OTHER = ("t-1", 1_000), ("t-2", 1_000)


class Log:
    """A log whose commands take some time, or fail.

    :ivar machine: state at the leader; that of the VM itself follows by ``follow``.
    """

    def __init__(self):
        self.machine = FleetMachine()
        self.commands = []
        self.delay_s = 0.01
        self.fails = 0

    async def propose(self, command):
        await trio.sleep(self.delay_s)
        if self.fails:
            self.fails -= 1
            return Failure(NoLeader())
        self.commands.append(wire.encode(command).decode())
        return Success(Applied(len(self.commands), 1, "done"))

    def follow(self):
        for index, command in enumerate(self.commands, 1):
            if index > self.machine.state["index"]:
                self.machine.apply(index, command)


def run_task(function):
    async def main():
        log = Log()
        departing = DepartingTask(log.propose, log.machine)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(departing.run)
            await function(log, departing)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against a leave call that is acknowledged and known to one process only.
def test_a_departure_is_acknowledged_once_it_is_committed():
    async def run(log, departing):
        assert await departing.commit_end(LEFT) == Success(None)
        log.follow()
        assert departures(log.machine.state)["ended"] == [LEFT]
        log.delay_s = 100.0
        assert await departing.commit_end(LEFT) == Success(None)
        assert await departing.commit_draining(LEFT) == Success(None)

    run_task(run)


def test_a_departure_that_can_not_be_committed_is_not_acknowledged_and_tried_again():
    async def run(log, departing):
        log.delay_s, log.fails = 3.0, 1
        began_s = trio.current_time()
        failure = (await departing.commit_draining(LEFT)).failure()
        assert isinstance(failure, DepartureUncommitted)
        assert trio.current_time() - began_s == pytest.approx(ANSWER_S)
        await trio.sleep(10.0)
        log.follow()
        assert departures(log.machine.state)["draining"] == [LEFT]

    run_task(run)


def test_many_departures_at_once_take_few_commands():
    async def run(log, departing):
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(departing.commit_end, (f"t-{number}", 1))
        log.follow()
        assert len(departures(log.machine.state)["ended"]) == 300
        assert len(log.commands) <= 3

    run_task(run)


STARTS = st.tuples(st.sampled_from(("t-1", "t-2", "t-3")), st.integers(1, 3))
CHANGES = st.lists(
    st.builds(make_departures, st.lists(STARTS, max_size=3), st.lists(STARTS)),
    min_size=1,
    max_size=8,
)


# Guards against departures that a repeated or late command takes back.
@given(CHANGES, st.randoms(use_true_random=False))
def test_departures_applied_twice_and_late_change_nothing(changes, rng):
    known = make_departures()
    for change in changes:
        known = apply_departures(known, change)
        repeated = apply_departures(
            known, rng.choice(changes[: changes.index(change) + 1])
        )
        assert {*repeated["ended"]} == {*known["ended"]}
        assert {*repeated["draining"]} == {*known["draining"]}
    assert not {*known["ended"]} & {*known["draining"]}


def test_the_oldest_departures_are_dropped():
    many = make_departures(ended=[(f"t-{number}", 1) for number in range(MAX_DEPARTED)])
    known = apply_departures(make_departures(ended=[LEFT]), many)
    assert len(known["ended"]) == MAX_DEPARTED
    assert LEFT not in known["ended"]


def apply_change(machine, change):
    command = wire.encode(make_departure_change(change)).decode()
    machine.apply(machine.state["index"] + 1, command)


# Guards against a whole configuration that each departure sends to each entry VM.
def test_departures_are_not_sent_with_the_state():
    machine = FleetMachine()
    machine.apply(1, wire.encode(make_fence_raise(3)).decode())
    apply_change(machine, make_departures(ended=[LEFT]))
    assert (machine.state["index"], machine.news_index) == (2, 1)
    request = {"version": 0, "epoch": "", "index": 0}
    args = (
        "e",
        Directory(),
        machine.state,
        [],
        [],
        make_load(),
        1.0,
        machine.news_index,
    )
    assert "departures" not in make_reply(request, *args)["state"]
    assert "state" not in make_reply(request | {"index": 1}, *args)


def test_departures_survive_in_a_snapshot():
    machine, restored = FleetMachine(), FleetMachine()
    apply_change(machine, make_departures(ended=[LEFT], draining=[OTHER]))
    restored.restore(machine.snapshot())
    assert departures(restored.state) == departures(machine.state)


# Guards against a late announcement of before that brings back a target which has left,
# or which has said that it drains, at a VM that was started since.
@pytest.mark.parametrize("seed", range(20))
def test_a_late_announcement_brings_no_departed_target_back(seed):
    rng = random.Random(seed)
    directory = Directory()
    committed = make_departures(ended=[LEFT], draining=[OTHER])
    late = [make_target("t-1"), make_target("t-2"), make_target("t-2", sequence=2)]
    steps = [lambda: directory.apply_departures(committed)]
    steps += [lambda target=target: directory.update(target, 1.0) for target in late]
    rng.shuffle(steps)
    for step in steps:
        step()
    assert [(t.name, t.draining) for t in directory.targets()] == [("t-2", True)]
    again = make_target("t-1", born_ms=2_000), make_target("t-2", born_ms=2_000)
    for target in again:
        directory.update(target, 2.0)
    assert [t.draining for t in directory.targets()] == [False, False]
