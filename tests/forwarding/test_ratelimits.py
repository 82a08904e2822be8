"""Requests to targets that name a limit, of one entry VM or several."""

import random
from functools import partial

import pytest
import trio

from tests.forwarding.exchanges import EntryVm, Reply, limited, play
from vanillabeam.exceptions import Run
from vanillabeam.fleet import RouteKind, Workspace
from vanillabeam.fleet.permits import Granted, PermitGranter
from vanillabeam.forwarding.choosing.ratelines import PERMIT_S

RATE_S = 2.0
GRANTER = "10.0.0.1:7420"


class Control:
    """A control VM that grants permits, some time after it is asked.

    :ivar asks: all asks that came.
    """

    def __init__(self, round_trip_s=0.002):
        self.granter = PermitGranter(GRANTER)
        self.round_trip_s = round_trip_s
        self.asks = []
        self.is_gone = False

    async def __call__(self, target, ask):
        await trio.sleep(self.round_trip_s)
        if self.is_gone:
            return None
        self.asks.append(ask)
        reply = self.granter.grant(ask, None, trio.current_time())
        return Granted(GRANTER, reply)


def make_vms(monkeypatch, count=1, names=("t-0", "t-1"), **route):
    """Return entry VMs that share their targets' arrivals and one control VM."""
    vms = [EntryVm(monkeypatch, names, **route) for _ in range(count)]
    control = Control()
    for number, vm in enumerate(vms):
        vm.sent = vms[0].sent
        vm.chooser.rates._vm = f"e-{number}"
        vm.chooser.rates.ask = control
        vm.chooser.rates.entry_count = lambda: count
    return vms, control


async def call_forever(vm, rate_s, rng, results, **options):
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(rate_s))
            vm.announce()
            nursery.start_soon(call, vm, results, options)


async def call(vm, results, options):
    results.append(await vm.request(**options))


def run_for(vms, rate_s, length_s, **options):
    """Send requests at all VMs; return the callers' answers."""
    results = []

    async def main():
        with trio.move_on_after(length_s):
            async with trio.open_nursery() as nursery:
                for number, vm in enumerate(vms):
                    rng = random.Random(number)
                    each_s = rate_s / len(vms)
                    nursery.start_soon(
                        partial(call_forever, vm, each_s, rng, results, **options)
                    )

    play(main)
    return results


def arrivals(vm, name, since_s=0.0):
    return [s.at_s for s in vm.sent if s.target == name and s.at_s >= since_s]


# Guards against a limit that each VM keeps for itself, or not at all (LIMIT).
@pytest.mark.parametrize("count", [1, 9, 60])
def test_a_limit_is_kept_by_all_vms_and_used_to_the_full(monkeypatch, count):
    vms, control = make_vms(monkeypatch, count)
    for vm in vms:
        vm.replies["t-0"] = [limited(RATE_S)]
        vm.limit(vm.targets[0], RATE_S)
    results = run_for(vms, 20.0, 40.0)
    times = arrivals(vms[0], "t-0")
    for first in range(len(times)):
        within = [at for at in times[first:] if at < times[first] + 4.0]
        assert len(within) <= 4.0 * RATE_S + 2
    assert len(times) >= 0.9 * RATE_S * 40.0
    assert {result.status for result in results} == {200}
    assert len(control.asks) < 20.0 * 40.0


def test_the_first_answer_with_a_limit_counts_at_once(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    vm.replies["t-0"] = [limited(0.3)]
    run_for([vm], 20.0, 10.0)
    assert len(arrivals(vm, "t-0")) <= 1 + 0.3 * 10.0 + 1


def test_an_answer_without_a_limit_lets_requests_return_by_steps(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    vm.limit(vm.targets[0], RATE_S)
    run_for([vm], 40.0, 12.0)
    assert len(arrivals(vm, "t-0", 10.0)) > 15


# Guards against requests that wait for a connection while the target's limit is heard.
def test_a_request_that_had_chosen_a_target_goes_elsewhere(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    vm.connect_s = 0.3

    async def main():
        vm.announce()
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(vm.request)
            await trio.sleep(0.1)
            vm.limit(vm.targets[0], RATE_S)

    play(main)
    assert set(vm.targets_sent_to()) == {"t-1"}


# Guards against permits that a VM uses long after it has got them.
def test_a_permit_lapses(monkeypatch):
    (vm,), control = make_vms(monkeypatch)
    vm.limit(vm.targets[0], RATE_S)
    vm.connect_s = PERMIT_S + 0.1
    run_for([vm], 20.0, 6.0)
    assert any(ask["target"] == "t-0" for ask in control.asks)
    assert arrivals(vm, "t-0") == []


# Guards against second attempts that go around a limit.
def test_a_repeat_does_not_go_around_a_limit(monkeypatch):
    (vm,), _ = make_vms(monkeypatch, kind=RouteKind.SAFE, attempts=2)
    vm.limit(vm.targets[0], 0.5)
    vm.replies["t-0"], vm.replies["t-1"] = [limited(0.5)], [Reply(500)]
    run_for([vm], 20.0, 10.0)
    assert len(arrivals(vm, "t-0")) <= 0.5 * 10.0 + 2


def limit_all(vm, rate_s):
    for target in vm.targets:
        vm.limit(target, rate_s)
        vm.replies[target.name] = [limited(rate_s)]


def test_a_request_waits_if_its_turn_comes_in_time(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    limit_all(vm, 1.0)

    async def main():
        vm.announce()
        result = await vm.request(limit_s=4.0)
        assert trio.current_time() == pytest.approx(1.0, abs=0.1)
        return result.status

    assert play(main) == 200


def test_a_request_whose_turn_comes_too_late_is_refused_at_once(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    limit_all(vm, 0.2)

    async def main():
        vm.announce()
        result = await vm.request(limit_s=4.0)
        assert trio.current_time() < 0.1
        return result.failure

    failure = play(main)
    assert (failure.type, failure.run) == ("targets-limited", Run.NOT_RUN)
    assert failure.retry_after_s == pytest.approx(5.0, abs=0.1)
    assert "2 limited" in failure.detail
    assert vm.sent == []


def test_if_all_targets_name_limits_their_sum_is_used_and_the_rest_refused(monkeypatch):
    vms, _ = make_vms(monkeypatch, 9)
    for vm in vms:
        limit_all(vm, RATE_S)
    results = run_for(vms, 20.0, 40.0, limit_s=2.0)
    assert len(vms[0].sent) >= 0.9 * 2 * RATE_S * 40.0
    served = [result for result in results if result.status == 200]
    refused = [result.failure for result in results if result.failure is not None]
    assert len(served) + len(refused) == len(results)
    assert {failure.type for failure in refused} <= {"targets-limited", "no-target"}


def test_urgent_requests_get_the_room_that_there_is(monkeypatch):
    vms, _ = make_vms(monkeypatch, 3)
    urgent, other = [], []
    for vm in vms:
        limit_all(vm, RATE_S)

    async def main():
        with trio.move_on_after(30.0):
            async with trio.open_nursery() as nursery:
                for number, vm in enumerate(vms):
                    rng = random.Random(number)
                    options = {"limit_s": 2.0, "priority": 0}
                    nursery.start_soon(
                        partial(call_forever, vm, 0.8, rng, urgent, **options)
                    )
                    rng, options = random.Random(9 + number), {"limit_s": 2.0}
                    nursery.start_soon(
                        partial(
                            call_forever, vm, 5.0, rng, other, priority=2, **options
                        )
                    )

    play(main)
    served = [
        sum(r.status == 200 for r in each) / len(each) for each in (urgent, other)
    ]
    assert served[0] > 0.9
    assert served[1] < 0.3


def test_a_workspace_that_asks_more_does_not_get_all_of_the_room(monkeypatch):
    (vm,), _ = make_vms(monkeypatch)
    limit_all(vm, RATE_S)
    many, few = [], []

    async def main():
        with trio.move_on_after(30.0):
            async with trio.open_nursery() as nursery:
                for name, rate_s, results in (("a", 30.0, many), ("b", 2.0, few)):
                    workspace = Workspace(name, (name,))
                    options = {"limit_s": 2.0, "workspace": workspace}
                    rng = random.Random(name)
                    nursery.start_soon(
                        partial(call_forever, vm, rate_s, rng, results, **options)
                    )

    play(main)
    assert sum(r.status == 200 for r in few) > 0.6 * len(few)


# Guards against a fleet that sends without bound, or nothing, while no control VM
# answers.
def test_without_a_granter_each_vm_keeps_to_its_share(monkeypatch):
    vms, control = make_vms(monkeypatch, 9)
    control.is_gone = True
    for vm in vms:
        vm.limit(vm.targets[0], RATE_S)
        vm.replies["t-0"] = [limited(RATE_S)]
    run_for(vms, 60.0, 40.0)
    assert 0.5 * RATE_S * 40.0 < len(arrivals(vms[0], "t-0")) <= RATE_S * 40.0 + 9


def test_the_permit_of_a_caller_that_left_goes_to_the_next(monkeypatch):
    (vm,), control = make_vms(monkeypatch, names=("t-0",))
    control.round_trip_s = 0.2
    limit_all(vm, RATE_S)

    async def main():
        vm.announce()
        await trio.sleep(2.0)
        vm.announce()
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(0.1):
                await vm.request()
            for _ in range(2):
                nursery.start_soon(vm.request)

    play(main)
    assert len(vm.sent) == 2
