"""Requests of one entry VM that wait for places at targets, on a virtual clock."""

import pytest
import trio

from tests.fleet.builders import (
    make_deployment,
    make_route,
    make_target,
    make_workspace,
)
from tests.forwarding.exchanges import EntryVm, Reply, play
from vanillabeam.fleet.loads import make_load
from vanillabeam.forwarding.choosing.lines import ServiceLines
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.places import are_all_full
from vanillabeam.forwarding.exceptions import TooLate
from vanillabeam.waiting import Claim

SLOTS = 8
BUSY_S = 0.2


def slow_vm(monkeypatch, names=("t-0",), **route):
    """Return a VM whose targets answer each call after ``BUSY_S``."""
    vm = EntryVm(monkeypatch, names, **route)
    for name in names:
        vm.replies[name] = [Reply(after_s=BUSY_S)]
    return vm


def serve(vm, requests):
    """Return the results of requests, by their number.

    :param requests: the second at which each comes, and its fields.
    """
    results = {}

    async def ask(number, at_s, fields):
        await trio.sleep(at_s)
        vm.announce()
        began_s = trio.current_time()
        result = await vm.request(**fields)
        results[number] = (result, trio.current_time() - began_s)

    async def main():
        vm.announce()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_announced, vm, nursery.cancel_scope)
            async with trio.open_nursery() as asking:
                for number, (at_s, fields) in enumerate(requests):
                    asking.start_soon(ask, number, at_s, fields)
            nursery.cancel_scope.cancel()

    play(main)
    return [results[number] for number in range(len(requests))]


async def keep_announced(vm, scope):
    while True:
        vm.announce()
        await trio.sleep(0.5)


def fill_part(vm, others=0):
    """Set the number of entry VMs so that this one has a part of 4 of 8 slots."""
    vm.entry_vms = tuple(f"vm-{number}" for number in range(4))


# Guards against waits in a fleet that has places for all: nothing may change there.
def test_calls_do_not_wait_while_a_target_has_a_place(monkeypatch):
    vm = slow_vm(monkeypatch)
    results = serve(vm, [(0.0, {})] * SLOTS)
    assert [sent.at_s for sent in vm.sent] == [vm.sent[0].at_s] * SLOTS
    assert {result.status for result, _ in results} == {200}


# Load: three times as many calls at once as this VM has places for.
def test_calls_wait_for_places_while_all_targets_are_full(monkeypatch):
    vm = slow_vm(monkeypatch)
    fill_part(vm)
    results = serve(vm, [(0.0, {})] * 12)
    assert {result.status for result, _ in results} == {200}
    waits = sorted(round(took_s, 2) for _, took_s in results)
    assert waits == pytest.approx([0.2] * 4 + [0.4] * 4 + [0.6] * 4, abs=0.02)


# Load: a surge of the least urgent kind, and one urgent call after it.
def test_an_urgent_call_goes_before_those_that_wait(monkeypatch):
    vm = slow_vm(monkeypatch)
    fill_part(vm)
    surge = [(0.0, {"priority": 2, "name": "batch"})] * 16
    results = serve(vm, [*surge, (0.05, {"priority": 0})])
    assert results[-1][1] == pytest.approx(0.15 + BUSY_S, abs=0.03)


# Load: one workspace sends 16 calls at once, another one call a little later.
def test_a_workspace_of_few_calls_does_not_wait_behind_one_of_many(monkeypatch):
    vm = slow_vm(monkeypatch)
    fill_part(vm)
    many = [(0.0, {"workspace": make_workspace(name="many")})] * 16
    results = serve(vm, [*many, (0.05, {"workspace": make_workspace(name="few")})])
    assert results[-1][1] == pytest.approx(0.15 + BUSY_S, abs=0.03)


# Load: far more calls than can be answered in time.
# Guards against calls that wait until their time limit and are then refused.
def test_calls_that_can_not_be_answered_in_time_are_refused_early(monkeypatch):
    vm = slow_vm(monkeypatch)
    fill_part(vm)
    first = [(number * 0.01, {"limit_s": 1.0}) for number in range(300)]
    results = serve(vm, first)
    refused = [(r, took_s) for r, took_s in results if isinstance(r.failure, TooLate)]
    answered = [r for r, _ in results if r.status == 200]
    assert len(answered) + len(refused) == 300
    # Four places of 0.2 s for 3 s.
    assert len(answered) >= 0.9 * 60
    late = [took_s for _, took_s in refused[100:] if took_s > 0.3]
    assert len(late) <= 0.1 * len(refused)
    assert all(r.failure.retry_after_s >= 0.2 for r, _ in refused)


# Guards against callers that have gone and still hold back the others.
def test_a_caller_that_goes_leaves_the_line(monkeypatch):
    vm = slow_vm(monkeypatch)
    fill_part(vm)

    async def main():
        vm.announce()
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(vm.request)
            await trio.sleep(0.05)
            with trio.move_on_after(0.05):
                await vm.request()
            assert vm.chooser.lines.lengths() == {("llm",): 0.0}

    play(main)


def test_the_part_of_this_vm_counts_while_the_calls_of_others_are_unknown():
    load, targets = Load(), [make_target("t-0"), make_target("t-1")]
    for name in ("t-0", "t-1"):
        load.record_start(name, 0, 0, 0.0)
    assert not are_all_full(load, targets, entries=4, now_s=0.0)
    assert are_all_full(load, targets, entries=60, now_s=0.0)


# Guards against calls that wait for ever, as nobody knows the slots.
def test_targets_without_slots_are_never_full():
    load, targets = Load(), [make_target("t-0", slots=0)]
    load.record_start("t-0", 0, 0, 0.0)
    assert not are_all_full(load, targets, entries=60, now_s=0.0)


def test_reported_calls_of_others_decide_and_this_vm_keeps_its_part():
    load, targets = Load(), [make_target("t-0"), make_target("t-1")]
    others = make_load()
    others["calls"] = {"t-0": 8, "t-1": 8}
    load.update_others(others, 0.0)
    assert not are_all_full(load, targets, entries=60, now_s=0.1)
    load.record_start("t-0", 0, 0, 0.0)
    assert are_all_full(load, targets, entries=60, now_s=0.1)
    others["calls"] = {"t-0": 8, "t-1": 7}
    assert not are_all_full(load, targets, entries=60, now_s=0.1)
    # A report that is too old says nothing.
    assert are_all_full(load, targets[:1], entries=60, now_s=9.0)


# Load: the operators change priorities and weights while requests wait.
def test_a_changed_deployment_reorders_the_line():
    lines = ServiceLines()
    line = lines.line("llm").line
    claims = [Claim(0, "a", 0.0, 9.0, route="x"), Claim(1, "b", 0.0, 9.0, route="y")]
    for claim in claims:
        line.enter(claim, 0.0)
    routes = (make_route(name="x", priority=2), make_route(name="y", priority=1))
    workspaces = (make_workspace(name="b", weight=3.0),)
    lines.apply(make_deployment(routes=routes, workspaces=workspaces))
    assert list(line.in_order()) == claims[::-1]
    assert [claim.weight for claim in claims] == [1.0, 3.0]


# Guards against requests of a removed route that are lost.
def test_a_request_of_a_removed_route_keeps_its_rank():
    lines = ServiceLines()
    claim = Claim(2, "a", 0.0, 9.0, route="gone")
    lines.line("llm").line.enter(claim, 0.0)
    lines.apply(make_deployment(routes=()))
    assert (claim.rank, claim in lines.line("llm").line) == (2, True)


# Guards against a line that stands still for a second while there are places: a claim
# became the first one as another entered, and nobody woke it.
def test_a_claim_that_becomes_the_first_one_is_woken():
    line = ServiceLines().line("llm")
    turns = {}

    async def wait(claim):
        await line.sleep(claim, trio.current_time())
        turns[claim] = trio.current_time()
        line.line.record_served(claim, trio.current_time())
        line.wake_next(trio.current_time())

    async def main():
        began_s = trio.current_time()
        blocked, waiting = (Claim(0, "a", began_s, began_s + 9.0) for _ in "ab")
        async with trio.open_nursery() as nursery:
            for claim in (blocked, waiting):
                line.line.enter(claim, began_s)
                line.line.record_no_fit(claim, began_s)
            blocked.hold_s = waiting.hold_s = 9.0
            nursery.start_soon(wait, waiting)
            await trio.sleep(0.01)
            # The claim in front goes without a change of places.
            line.line.leave(blocked)
            urgent = Claim(0, "b", began_s, began_s + 9.5)
            line.line.enter(urgent, trio.current_time())
            line.line.record_no_fit(urgent, trio.current_time())
            nursery.start_soon(wait, urgent)
        return max(turns.values()) - began_s

    assert play(main) <= 0.3


# Guards against a line that stands still beside free places: the claim that was woken
# for its turn was refused as too late, and nobody woke the next one.
def test_a_claim_refused_at_its_turn_lets_the_next_one_try():
    line = ServiceLines().line("llm")
    tries = []

    async def wait(claim):
        while await line.sleep(claim, trio.current_time()) is None:
            tries.append((claim, trio.current_time()))
            line.line.record_no_fit(claim, trio.current_time())
            line.wake_next(trio.current_time())

    async def main():
        late, patient = Claim(0, "a", 0.0, 0.8), Claim(0, "a", 0.0, 2.0)
        async with trio.open_nursery() as nursery:
            for claim in (late, patient):
                line.line.enter(claim, 0.0)
                line.line.record_no_fit(claim, 0.0)
                nursery.start_soon(wait, claim)
            await trio.sleep(0.45)
            # Answers are found to take long, so the first claim is too late now.
            late.needed_s = 0.4
            line.record_change(trio.current_time())
            await trio.sleep(0.01)
            assert late not in line.line
            assert tries[-1] == (patient, pytest.approx(0.45))
            nursery.cancel_scope.cancel()

    play(main)
