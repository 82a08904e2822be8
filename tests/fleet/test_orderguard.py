"""Orders that undo each other, and copies of them that come late."""

import random
from functools import partial
from math import inf
from typing import NamedTuple

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from vanillabeam import wire
from vanillabeam.exceptions import OrderAbandoned, ProcessPaused
from vanillabeam.fleet.machine import FleetMachine, make_fence_raise, order_subject
from vanillabeam.fleet.orderguard import LOOK_S, YOUNG_S, Caller, OrderGuard
from vanillabeam.log.core import handle
from vanillabeam.log.entries import EntryLog
from vanillabeam.log.events import Propose, Refused, Role, SnapshotSaved
from vanillabeam.log.exceptions import NoLeader, Overtaken
from vanillabeam.log.records import Applied, LogSettings, Member, Membership, Snapshot
from vanillabeam.log.replica import Replica
from vanillabeam.pauses import PauseDetector

START = {"kind": "evacuate", "data_centre": "a"}
END = {"kind": "restore", "data_centre": "a"}
#: Index of the entry that founds the log: no command of the machine.
BASE_INDEX = 1


def make_leader():
    """Return a replica that leads a group of its own, and is open."""
    member = Member("m", "vm", "vm:1")
    membership = Membership(index=1, voters=(member,), opened=True)
    log = EntryLog(Snapshot(1, 1, membership))
    cfg = LogSettings(subject=order_subject)
    replica = Replica("m", "g", cfg, random.Random(1), log, term=1, commit=1)
    replica.role = Role.LEADER
    return replica


class Log:
    """A leader's log with the machine of each VM that follows it.

    :ivar machines: as far as each VM has applied the log.
    """

    def __init__(self, vms=1):
        self.leader = make_leader()
        self.machines = [FleetMachine() for _ in range(vms)]
        self.newest = FleetMachine()

    def append(self, command, after=None):
        """Append a command as the leader does; return its index or the failure."""
        event = Propose(1, wire.encode(command).decode(), after)
        effects = handle(event, self.leader, 0.0)
        refused = [e.failure for e in effects if isinstance(e, Refused)]
        if refused:
            return Failure(refused[0])
        index = self.leader.log.last_index
        self.newest.apply(index, event.command)
        return Success(Applied(index, 1, "done"))

    def applied(self, vm):
        """Return the index up to which a VM has applied the log."""
        return max(self.machines[vm].state["index"], BASE_INDEX)

    def follow(self, vm):
        """Have a VM apply all that it lacks."""
        for entry in self.leader.log.after(self.applied(vm)):
            self.machines[vm].apply(entry.index, entry.body)


class Copy(NamedTuple):
    """A copy of an order that a VM has read and not yet proposed."""

    command: dict
    after: int


def confirm(log, command, vm):
    """Have a VM read an order and confirm it, as :class:`OrderGuard` does."""
    if isinstance(log.append(command, log.applied(vm)), Failure):
        log.follow(vm)
        assert isinstance(log.append(command, log.applied(vm)), Success)


def evacuated(machine):
    return "a" in machine.state["evacuated"]


VMS = st.lists(st.integers(0, 2), max_size=3)
COPIES = st.lists(st.integers(0, 20), max_size=4)
#: An order: VMs that hold a copy, copies that come before and after it is confirmed by
#: a VM, and VMs that catch up.
ORDERS = st.tuples(
    st.sampled_from((START, END)), VMS, COPIES, st.integers(0, 2), COPIES, VMS
)


# Guards against a copy of an order that takes effect after a later, confirmed one,
# wherever it was held up: before a VM has proposed it, or on its way to the leader.
@settings(max_examples=300, deadline=None)
@given(st.lists(ORDERS, min_size=1, max_size=6))
def test_the_last_confirmed_order_stands_wherever_copies_come(orders):
    log, copies = Log(vms=3), []

    def deliver(numbers):
        for number in numbers if copies else ():
            log.append(*copies[number % len(copies)])

    for command, holders, before, confirmer, after, followers in orders:
        copies += [Copy(command, log.applied(vm)) for vm in holders]
        deliver(before)
        confirm(log, command, confirmer)
        deliver(after)
        assert evacuated(log.newest) == (command is START)
        for vm in followers:
            log.follow(vm)


def test_an_order_is_overtaken_only_by_one_about_the_same_data_centre():
    log = Log()
    log.append({"kind": "weights", "model": "a", "number": 3})
    log.append({"kind": "evacuate", "data_centre": "b"})
    log.append(make_fence_raise(3))
    assert isinstance(log.append(START, 1), Success)
    overtaken = log.append(END, 1)
    assert isinstance(overtaken.failure(), Overtaken)


def test_an_order_after_entries_that_are_no_longer_kept_counts_as_overtaken():
    log = Log()
    log.append(START)
    index = log.leader.log.last_index
    log.leader.commit = log.leader.applied = index
    handle(SnapshotSaved(index), log.leader, 0.0)
    log.leader.log.compact(index)
    assert isinstance(log.append(END, 1).failure(), Overtaken)
    assert isinstance(log.append(END, index), Success)


@pytest.mark.parametrize("command", ["", "[]", "{}", '{"kind":"deploy","number":1}'])
def test_other_commands_have_no_subject(command):
    assert order_subject(command) == ""


class GuardedLog:
    """A log whose answers a test can change and delay."""

    def __init__(self, log):
        self.log = log
        self.delay_s = 0.0
        self.failure = None
        self.proposed = []

    @property
    def applied(self):
        return self.log.applied(0)

    async def propose(self, command, after=None):
        self.proposed.append(after)
        await trio.sleep(self.delay_s)
        if self.failure is not None:
            return Failure(self.failure)
        return self.log.append(command, after)

    async def catch_up(self):
        self.log.follow(0)
        return Success(self.applied)


class Desk:
    """A VM that reads orders, with the clock of a test."""

    def __init__(self):
        self.log = Log()
        self.guarded = GuardedLog(self.log)
        self.pauses = PauseDetector()
        self.guard = OrderGuard(self.guarded, self.pauses)

    async def settle(self, command=END, age_s=0.0, gone_s=None):
        """Settle an order.

        :param age_s: age of the caller's connection in seconds.
        :param gone_s: seconds after which the caller leaves; ``None`` for never.
        """

        async def wait_gone():
            await trio.sleep(inf if gone_s is None else gone_s)

        caller = Caller(trio.current_time() - age_s, wait_gone)
        return await self.guard.settle(command, caller)


def run_desk(function):
    async def main():
        return await function(Desk())

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against a copy whose caller has left: a frozen VM once read it when it woke.
@pytest.mark.parametrize("gone_s", [0.0, LOOK_S / 2])
def test_an_order_whose_caller_has_left_is_not_proposed(gone_s):
    async def run(desk):
        settled = await desk.settle(gone_s=gone_s)
        return settled.failure(), desk.guarded.proposed

    failure, proposed = run_desk(run)
    assert (type(failure), proposed) == (OrderAbandoned, [])


def test_a_proposal_is_given_up_as_soon_as_its_caller_leaves():
    async def run(desk):
        desk.guarded.delay_s = 3.0
        began_s = trio.current_time()
        settled = await desk.settle(gone_s=1.0)
        return settled.failure(), trio.current_time() - began_s

    failure, took_s = run_desk(run)
    assert (type(failure), took_s) == (OrderAbandoned, pytest.approx(1.0))


# Guards against a VM that catches up on the log first and reads its sockets after it.
def test_an_order_that_is_read_right_after_a_pause_is_asked_for_again():
    async def run(desk):
        desk.pauses.has_just_ended(trio.current_time())
        await trio.sleep(4.0)
        first = await desk.settle()
        desk.pauses.has_just_ended(trio.current_time())
        await trio.sleep(0.4)
        desk.pauses.has_just_ended(trio.current_time())
        await trio.sleep(0.4)
        return first.failure(), await desk.settle()

    failure, second = run_desk(run)
    assert type(failure) is ProcessPaused
    assert (failure.status, isinstance(second, Success)) == (503, True)


# Guards against sound orders that wait or are refused, as the VM is a little behind.
def test_a_vm_that_is_a_little_behind_catches_up_and_settles_a_young_order():
    async def run(desk):
        desk.log.append(START)
        began_s = trio.current_time()
        settled = await desk.settle(END)
        return settled, trio.current_time() - began_s, evacuated(desk.log.newest)

    settled, took_s, is_out = run_desk(run)
    assert (isinstance(settled, Success), is_out) == (True, False)
    assert took_s <= LOOK_S + 0.01


def test_an_order_on_an_older_connection_that_was_overtaken_is_asked_for_again():
    async def run(desk):
        desk.log.append(START)
        return (await desk.settle(END, age_s=2 * YOUNG_S)).failure()

    assert type(run_desk(run)) is Overtaken


def test_a_failure_of_the_log_is_passed_on():
    async def run(desk):
        desk.guarded.failure = NoLeader()
        return (await desk.settle()).failure()

    assert type(run_desk(run)) is NoLeader


# Guards against a leave call without a start time that a frozen VM reads when it wakes,
# and that ends the start which is on record by then.
def test_a_call_is_outdated_if_its_caller_has_left_or_the_process_was_paused():
    async def run(desk):
        waiting = Caller(trio.current_time(), trio.sleep_forever)
        left = Caller(trio.current_time(), partial(trio.sleep, 0))
        current, gone = await desk.guard.check(waiting), await desk.guard.check(left)
        desk.pauses.has_just_ended(trio.current_time())
        await trio.sleep(4.0)
        return current, gone.failure(), (await desk.guard.check(waiting)).failure()

    current, gone, paused = run_desk(run)
    assert current == Success(None)
    assert (type(gone), type(paused)) == (OrderAbandoned, ProcessPaused)
