"""Calls of several entry VMs to targets that refuse what is too much."""

import random
from collections import Counter, defaultdict

import httpcore
import trio

from tests.forwarding import exchanges
from tests.forwarding.exchanges import REFUSED, EntryVm, play
from vanillabeam.forwarding.choosing.places import uses_part
from vanillabeam.forwarding.sending.upstream import OpenResponse
from vanillabeam.waiting.window import CUT_INTERVAL_S, FORGET_S, CallWindow

TARGETS = ("t-0", "t-1")
VMS = 3
#: Calls that a target runs and queues before it refuses one; as many as it has slots.
MAX_CALLS = 8
CALL_S = 0.1
SCENE_S = 5.0


class Fleet:
    """Entry VMs that share a few targets.

    :ivar answers: by rank, the status of each answer, 0 for a refusal of ours, and the
        seconds to it.
    :ivar refused: calls that targets refused.
    """

    def __init__(self, monkeypatch):
        self.vms = [EntryVm(monkeypatch, TARGETS, attempts=3) for _ in range(VMS)]
        names = tuple(f"vm-{number}" for number in range(VMS))
        for vm in self.vms:
            vm.entry_vms = names
        self.answers = defaultdict(list)
        self.refused = 0
        self._open = Counter()
        self._rng = random.Random(5)
        monkeypatch.setattr(exchanges.attempt_module, "open_response", self._answer)

    def play(self, rates):
        """Send calls for some seconds; ``rates`` are calls a second by rank."""

        async def main():
            async with trio.open_nursery() as beside:
                beside.start_soon(self._announce)
                async with trio.open_nursery() as nursery:
                    for vm in self.vms:
                        for rank, rate in rates.items():
                            nursery.start_soon(
                                self._send, nursery, vm, rank, rate / VMS
                            )
                beside.cancel_scope.cancel()

        play(main)
        return self

    def served_share(self, rank):
        statuses = [status for status, _ in self.answers[rank]]
        return statuses.count(200) / len(statuses)

    async def _announce(self):
        while True:
            for vm in self.vms:
                vm.announce()
            await trio.sleep(0.5)

    async def _send(self, nursery, vm, rank, rate):
        until_s = trio.current_time() + SCENE_S
        while trio.current_time() < until_s:
            await trio.sleep(self._rng.expovariate(rate))
            nursery.start_soon(self._ask, vm, rank)

    async def _ask(self, vm, rank):
        began_s = trio.current_time()
        result = await vm.request(limit_s=1.0, priority=rank, name=f"route-{rank}")
        self.answers[rank].append((result.status, trio.current_time() - began_s))

    async def _answer(self, pool, target, metadata, headers, body, may_send):
        status = REFUSED
        if self._open[target.name] < MAX_CALLS:
            status = 200
            self._open[target.name] += 1
            try:
                await trio.sleep(CALL_S)
            finally:
                self._open[target.name] -= 1
        else:
            self.refused += 1
        response = httpcore.Response(status, headers=[], content=b"{}")
        return OpenResponse(status, [], response)


# Load: a surge of the least urgent kind, twice as many calls as all targets take.
# Guards against urgent calls that targets refuse as often as those of the surge.
def test_a_surge_at_all_vms_is_held_back_before_the_targets(monkeypatch):
    fleet = Fleet(monkeypatch).play({0: 50, 2: 250})
    assert fleet.served_share(0) >= 0.98
    assert 0.2 <= fleet.served_share(2) <= fleet.served_share(0)
    sent = sum(map(len, fleet.answers.values()))
    assert fleet.refused <= 0.15 * sent


# Load: each kind alone is less than the places, all together are twice as many.
def test_a_more_urgent_kind_is_not_served_less(monkeypatch):
    fleet = Fleet(monkeypatch).play({0: 100, 1: 100, 2: 100})
    shares = [fleet.served_share(rank) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] >= 0.95
    assert shares[2] > 0.0


# Guards against calls that wait although the targets have places for all.
def test_calls_hardly_wait_while_there_are_places(monkeypatch):
    fleet = Fleet(monkeypatch).play({0: 40, 2: 40})
    times = sorted(
        took_s for answers in fleet.answers.values() for _, took_s in answers
    )
    assert {status for status, _ in fleet.answers[0]} == {200}
    # The odd call waits for one other after a chance refusal.
    assert times[int(0.98 * len(times))] <= 2 * CALL_S


def open_calls(window, count):
    for _ in range(count):
        window.record_sent()


def test_without_refusals_there_is_no_window():
    window = CallWindow()
    open_calls(window, 500)
    assert not window.is_full()


# Guards against a window that one burst of refusals cuts to nothing.
def test_refusals_of_calls_that_were_open_together_cut_once():
    window = CallWindow()
    open_calls(window, 10)
    for _ in range(5):
        window.record_refused(1.0)
    assert window.limit == 7.0
    window.record_refused(1.0 + CUT_INTERVAL_S)
    assert window.limit == 3.5


def test_the_window_grows_with_answers_and_is_forgotten():
    window = CallWindow()
    open_calls(window, 10)
    window.record_refused(1.0)
    open_calls(window, 1)
    for step in range(40):
        window.record_ended(1.0 + step * 0.01)
        window.record_sent()
    assert 7.0 < window.limit < 12.0
    window.record_ended(1.1 + FORGET_S)
    assert window.limit is None


# Guards against a VM whose window is cut to less than its part by the calls of others.
def test_a_vm_keeps_its_equal_part_of_the_slots(monkeypatch):
    vm = EntryVm(monkeypatch, TARGETS)
    load = vm.chooser.load
    load.record_start("t-0", 0, 0, 0.0)
    assert not uses_part(load, vm.targets, entries=6)
    assert uses_part(load, vm.targets, entries=16)
