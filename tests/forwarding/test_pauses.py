"""Targets that refuse a request and ask for no more for some time."""

import pytest
import trio

from tests.forwarding.exchanges import REFUSED, EntryVm, Reply, paused, play
from vanillabeam.exceptions import Run
from vanillabeam.fleet import RouteKind
from vanillabeam.forwarding.choosing.leftout import BUSY_SLOTS_SHARE
from vanillabeam.notices import JITTER_SHARE, RETURN_ANSWERS

PAUSE_S = 3.0
LATEST_S = PAUSE_S * (1 + JITTER_SHARE)


def test_a_paused_target_gets_no_request_and_the_others_do(monkeypatch):
    vm = EntryVm(monkeypatch)

    async def main():
        vm.replies["t-0"] = [paused(PAUSE_S), Reply()]
        while trio.current_time() < 10.0:
            vm.announce()
            await vm.request()
            await trio.sleep(0.05)

    play(main)
    refused_s = next(sent.at_s for sent in vm.sent if sent.target == "t-0")
    later = [s.at_s for s in vm.sent if s.target == "t-0" and s.at_s > refused_s]
    assert refused_s + PAUSE_S <= min(later) <= refused_s + LATEST_S + 1.0
    assert vm.targets_sent_to(refused_s + 0.01).count("t-1") > 50


def test_a_repeat_does_not_go_to_a_paused_target(monkeypatch):
    vm = EntryVm(monkeypatch, ("t-0", "t-1", "t-2"), kind=RouteKind.SAFE, attempts=2)

    async def main():
        vm.announce()
        vm.chooser.notices.record_pause(vm.targets[0].incarnation, PAUSE_S, 0.0)
        vm.replies["t-1"] = vm.replies["t-2"] = [Reply(500), Reply()]
        for _ in range(20):
            await vm.request()

    play(main)
    assert "t-0" not in vm.targets_sent_to()


def test_a_request_waits_if_the_first_pause_ends_within_its_time(monkeypatch):
    vm = EntryVm(monkeypatch)

    async def main():
        vm.announce()
        for target, pause_s in zip(vm.targets, (1.0, 30.0), strict=True):
            vm.chooser.notices.record_pause(target.incarnation, pause_s, 0.0)
        with trio.move_on_after(2.0):
            return await vm.request(limit_s=4.0)

    assert play(main).status == 200
    assert vm.targets_sent_to() == ["t-0"]
    assert vm.sent[0].at_s >= 1.0


@pytest.mark.parametrize("objective_s", [0.0, 1.0])
def test_a_request_is_refused_at_once_if_all_pauses_end_too_late(
    monkeypatch, objective_s
):
    vm = EntryVm(monkeypatch, objective_s=objective_s)

    async def main():
        vm.announce()
        for target in vm.targets:
            vm.chooser.notices.record_pause(target.incarnation, PAUSE_S, 0.0)
        result = await vm.request(limit_s=PAUSE_S + objective_s - 0.01)
        assert trio.current_time() == 0.0
        return result.failure

    failure = play(main)
    assert (failure.type, failure.run) == ("targets-paused", Run.NOT_RUN)
    assert PAUSE_S <= failure.retry_after_s <= LATEST_S
    assert "2 paused" in failure.detail
    assert vm.sent == []


# Guards against a failure that is held back for a pause of the other targets.
@pytest.mark.parametrize("reply", [Reply(500), paused(0.5)])
def test_an_answer_that_is_there_does_not_wait_for_a_pause_to_end(monkeypatch, reply):
    vm = EntryVm(monkeypatch, kind=RouteKind.SAFE, attempts=2)

    async def main():
        vm.announce()
        vm.replies["t-0"] = [reply]
        vm.chooser.notices.record_pause(vm.targets[1].incarnation, 1.0, 0.0)
        result = await vm.request(limit_s=4.0)
        assert trio.current_time() < 0.1
        return result.status

    assert play(main) == reply.status
    assert vm.targets_sent_to() == ["t-0"]


def test_callers_are_told_different_times_to_return(monkeypatch):
    """Pattern: all callers that a pause has refused return at its end."""
    vm = EntryVm(monkeypatch)
    times = [vm.chooser.spread_retry_after(PAUSE_S) for _ in range(200)]
    assert min(times) >= PAUSE_S
    for start_s in (3.0, 3.5, 4.0, 4.5):
        assert sum(start_s <= each < start_s + 0.5 for each in times) < 90


def test_requests_that_wait_do_not_return_all_at_once(monkeypatch):
    """Pattern: a queue that builds up during a pause."""
    vm = EntryVm(monkeypatch, ("t-0",))
    vm.replies["t-0"] = [Reply(after_s=0.2)]

    async def main():
        vm.announce()
        vm.chooser.notices.record_pause(vm.targets[0].incarnation, 1.0, 0.0)
        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(vm.request, 9.0)
            for _ in range(30):
                await trio.sleep(0.3)
                vm.announce()

    play(main)
    first_s = vm.sent[0].at_s
    assert sum(sent.at_s < first_s + 0.2 for sent in vm.sent) == 1
    assert sum(sent.at_s < first_s + 0.4 for sent in vm.sent) <= RETURN_ANSWERS
    assert len(vm.sent) == 30


def test_long_answers_after_a_pause_do_not_hold_the_others_back(monkeypatch):
    vm = EntryVm(monkeypatch, ("t-0",), kind=RouteKind.STREAM)
    vm.targets = [vm.targets[0]._replace(slots=32)]

    class SlowBody:
        async def __aiter__(self):
            yield b"id: 1\ndata: a\n\n"
            await trio.sleep(3.0)

    vm.replies["t-0"] = [Reply(body=SlowBody())]

    async def main():
        vm.announce()
        vm.chooser.notices.record_pause(vm.targets[0].incarnation, 1.0, 0.0)
        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(vm.request, 9.0)
            for _ in range(20):
                await trio.sleep(0.3)
                vm.announce()

    play(main)
    assert len(vm.sent) == 10
    assert vm.sent[-1].at_s < vm.sent[0].at_s + 1.0


def test_a_new_refusal_after_a_pause_begins_another_one(monkeypatch):
    vm = EntryVm(monkeypatch, ("t-0",))
    vm.replies["t-0"] = [paused(1.0), paused(1.0), Reply()]

    async def main():
        while trio.current_time() < 8.0:
            vm.announce()
            await vm.request(limit_s=0.1)
            await trio.sleep(0.02)

    play(main)
    gaps_s = [vm.sent[n + 1].at_s - vm.sent[n].at_s for n in (0, 1)]
    assert all(1.0 <= gap_s <= 1.0 + JITTER_SHARE + 0.2 for gap_s in gaps_s)


def test_the_caller_of_a_refused_request_gets_this_vms_time_to_return(monkeypatch):
    """The target's time is for this VM; another target may serve the caller now."""
    vm = EntryVm(monkeypatch)

    async def main():
        vm.announce()
        vm.replies = dict.fromkeys(vm.replies, [paused(PAUSE_S)])
        one = await vm.request(limit_s=1.0)
        two = await vm.request(limit_s=1.0)
        return one, two

    one, two = play(main)
    assert one.status == two.status == REFUSED
    assert float(one.headers[b"retry-after"]) < 1.0
    assert float(two.headers[b"retry-after"]) >= PAUSE_S


def test_a_pause_ends_with_the_target(monkeypatch):
    vm = EntryVm(monkeypatch, ("t-0",))

    async def main():
        vm.announce()
        old = vm.targets[0]
        vm.chooser.notices.record_pause(old.incarnation, 30.0, 0.0)
        vm.announce(old._replace(born_ms=old.born_ms + 1))
        return (await vm.request()).status

    assert play(main) == 200


def test_a_target_that_refused_lately_gets_few_requests_at_a_time(monkeypatch):
    """Pattern: requests that one target turns away make the next one refuse."""
    vm = EntryVm(monkeypatch, ("t-0",))
    slots = vm.targets[0].slots
    vm.replies["t-0"] = [Reply(after_s=0.2)]
    most = 0

    async def main():
        nonlocal most
        vm.announce()
        vm.chooser.notices.record_pause(vm.targets[0].incarnation, 0.5, 0.0)
        await trio.sleep(2.0)
        for _ in range(RETURN_ANSWERS):
            vm.announce()
            await vm.request()
        async with trio.open_nursery() as nursery:
            for _ in range(4 * slots):
                nursery.start_soon(vm.request, 4.0)
            for _ in range(20):
                await trio.sleep(0.05)
                most = max(most, vm.chooser.load.open_requests("t-0"))
                vm.announce()

    play(main)
    assert most == BUSY_SLOTS_SHARE * slots
    assert len(vm.sent) == 4 * slots + RETURN_ANSWERS
