"""Targets that say in an answer that they leave, and what is sent to them then."""

import pytest
import trio

from tests.forwarding.exchanges import (
    LEAVING,
    MISDIRECTED,
    REFUSED,
    EntryVm,
    Reply,
    play,
)
from vanillabeam.fleet import RouteKind

LEAVES = Reply(200, (LEAVING,))
EVENT = b"id: 1\ndata: a\n\n"


async def send(vm, count=6):
    """Send requests one after the other while the targets announce themselves."""
    return [await vm.request() for _ in range(count)]


def leave(monkeypatch, reply, then, **route):
    """Return the VM after a target has said that it leaves and ``then`` was played."""
    vm = EntryVm(monkeypatch, **route)

    async def main():
        vm.announce()
        vm.replies["t-0"] = vm.replies["t-1"] = [reply]
        await vm.request()
        vm.left = vm.sent[0].target
        vm.other = {"t-0": "t-1", "t-1": "t-0"}[vm.left]
        vm.replies = {"t-0": [Reply()], "t-1": [Reply()]}
        vm.sent.clear()
        await then(vm)

    play(main)
    return vm


@pytest.mark.parametrize("status", [200, 404, 500, REFUSED])
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_no_request_follows_an_answer_that_says_so(monkeypatch, status, kind):
    vm = leave(monkeypatch, Reply(status, (LEAVING,)), send, kind=kind)
    assert vm.targets_sent_to() == [vm.other] * 6


def test_no_request_follows_the_head_of_a_stream_that_says_so(monkeypatch):
    vm = EntryVm(monkeypatch, kind=RouteKind.STREAM)
    vm.replies = dict.fromkeys(
        vm.replies, [Reply(200, (LEAVING,), EVENT), Reply(body=EVENT)]
    )

    async def main():
        vm.announce()
        await vm.request()
        for _ in range(6):
            assert (await vm.request()).status == 200

    play(main)
    assert vm.targets_sent_to()[1:] == [vm.targets_sent_to()[1]] * 6
    assert vm.targets_sent_to()[0] != vm.targets_sent_to()[1]


def test_later_and_delayed_announcements_do_not_bring_it_back(monkeypatch):
    async def then(vm):
        vm.announce()
        await vm.request()
        vm.directory.forget(vm.left)
        vm.announce()
        await send(vm)

    vm = leave(monkeypatch, LEAVES, then)
    assert vm.targets_sent_to() == [vm.other] * 7


def test_cleaning_up_does_not_bring_it_back(monkeypatch):
    async def then(vm):
        vm.chooser.keep_only(set(), trio.current_time())
        await send(vm)

    vm = leave(monkeypatch, LEAVES, then)
    assert vm.targets_sent_to() == [vm.other] * 6


def test_a_new_start_under_the_same_name_gets_requests(monkeypatch):
    async def then(vm):
        old = next(target for target in vm.targets if target.name == vm.left)
        vm.announce(old._replace(born_ms=old.born_ms + 1))
        await trio.sleep(0.1)
        await send(vm, 20)

    vm = leave(monkeypatch, LEAVES, then)
    assert vm.left in vm.targets_sent_to()


def test_another_target_at_its_address_is_not_blamed(monkeypatch):
    async def then(vm):
        old = next(target for target in vm.targets if target.name == vm.left)
        new = old._replace(name="t-new", born_ms=old.born_ms + 1)
        vm.replies["t-new"] = [Reply()]
        vm.announce(new)
        await send(vm, 20)

    vm = leave(monkeypatch, LEAVES, then)
    assert set(vm.targets_sent_to()) == {vm.other, "t-new"}


def test_the_answer_of_another_target_at_the_address_says_nothing(monkeypatch):
    async def then(vm):
        await trio.sleep(1.0)
        vm.announce()
        await send(vm, 20)

    vm = leave(monkeypatch, Reply(MISDIRECTED, (LEAVING,)), then)
    assert vm.left in vm.targets_sent_to()


def test_if_all_targets_leave_requests_are_refused_as_not_run(monkeypatch):
    async def then(vm):
        vm.replies[vm.other] = [LEAVES]
        await vm.request()
        result = await vm.request()
        assert result.failure.type == "no-target"
        assert "2 leaving" in result.failure.detail

    vm = leave(monkeypatch, LEAVES, then)
    assert vm.targets_sent_to() == [vm.other]


def test_a_request_that_had_chosen_it_goes_elsewhere(monkeypatch):
    """The answer arrives while the request waits for a connection."""
    vm = EntryVm(monkeypatch, ("t-0",), attempts=1)

    async def main():
        vm.announce()
        vm.connect_s = 0.2
        chosen = vm.targets[0].incarnation
        results = []

        async def request():
            results.append(await vm.request())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await trio.sleep(0.1)
            vm.chooser.notices.record_leaving(chosen, trio.current_time())
            other = vm.targets[0]._replace(name="t-1", address="10.0.0.9:80")
            vm.replies["t-1"] = [Reply()]
            vm.announce(other)
        return results[0]

    assert play(main).status == 200
    assert vm.targets_sent_to() == ["t-1"]
    assert vm.chooser._health.is_available(vm.targets[0], 0.0)


def test_a_broken_stream_is_not_resumed_at_a_target_that_leaves(monkeypatch):
    names = ("t-0", "t-1", "t-2")
    vm = EntryVm(monkeypatch, names, kind=RouteKind.STREAM, resumable=True, attempts=3)
    whole = EVENT + b"id: 2\ndata: b\n\n"

    async def main():
        vm.announce()
        vm.replies = {name: [Reply(body=EVENT + b"id: 2")] for name in names}
        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:

            async def finish_at_the_last_target():
                while not vm.sent:
                    await trio.sleep(0.001)
                first = vm.sent[0].target
                left, last = [name for name in names if name != first]
                target = next(each for each in vm.targets if each.name == left)
                vm.chooser.notices.record_leaving(
                    target.incarnation, trio.current_time()
                )
                vm.replies[last] = [Reply(body=b"id: 2\ndata: b\n\n")]
                vm.left = left

            nursery.start_soon(finish_at_the_last_target)
            result = await vm.request()
            scope.cancel()
        return result

    assert play(main).body == whole
    assert vm.left not in vm.targets_sent_to()


def test_the_notice_is_not_passed_on_to_the_caller(monkeypatch):
    vm = EntryVm(monkeypatch)

    async def main():
        vm.announce()
        vm.replies["t-0"] = vm.replies["t-1"] = [LEAVES]
        return await vm.request()

    assert LEAVING[0] not in play(main).headers
