"""Callers that read an answer slowly, on a virtual clock.

A target aborts a response that remains unread for some seconds.
"""

import httpcore
import pytest
import trio
import trio.testing

from tests.fleet.builders import make_target
from tests.forwarding.exchanges import EntryVm, Reply
from vanillabeam.fleet import RouteKind
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.events import EventCutter
from vanillabeam.forwarding.sending.readahead import (
    AHEAD_BYTES,
    AHEAD_SHARE,
    read_ahead,
)
from vanillabeam.forwarding.sending.relay import StreamRelay
from vanillabeam.forwarding.sending.upstream import Broken, OpenResponse, iter_body
from vanillabeam.memory import MemoryBudget

EVENT = b"data: " + b"x" * 8_000 + b"\n\n"
#: Seconds that a slow caller takes for each message.
SLOW_S = 5.0


class Body:
    """Body of a target that sends an event each 10 ms.

    :ivar read_s: times at which the parts were read.
    """

    def __init__(self, count, event=EVENT):
        self._count = count
        self._event = event
        self.read_s = []

    async def __aiter__(self):
        for _ in range(self._count):
            await trio.sleep(0.01)
            self.read_s.append(trio.current_time())
            yield self._event


def slow_caller(sent, message_s=SLOW_S):
    async def send(message):
        await trio.sleep(message_s)
        sent.append(message)

    return send


def play(main):
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def relay(body, sent, message_s=SLOW_S, **changes):
    changes = {"memory": MemoryBudget()} | changes
    raw = httpcore.Response(200, content=body)
    return StreamRelay(
        OpenResponse(200, [], raw),
        make_target(),
        EventCutter(),
        ResponseWriter(slow_caller(sent, message_s)),
        False,
        lambda: None,
        **changes,
    )


def data(sent):
    return b"".join(message.get("body", b"") for message in sent)


# Guards against responses that their target aborts, as their caller reads slowly.
def test_a_response_is_read_on_while_its_caller_is_slow():
    body, sent = Body(20), []

    async def main():
        began_s = trio.current_time()
        broken = await relay(body, sent).run()
        return broken, body.read_s[-1] - began_s

    broken, read_s = play(main)
    assert broken is None and data(sent) == 20 * EVENT
    # The head and the first event are sent before the VM sees that the caller is slow.
    assert read_s < 2 * SLOW_S


# Guards against a slow caller whose answer fills the memory of this VM.
def test_a_body_is_read_ahead_up_to_a_bound_for_each_connection():
    event = b"data: " + b"x" * 60_000 + b"\n\n"
    body, sent, memory = Body(200, event), [], MemoryBudget()
    most = []

    async def watch(scope):
        while True:
            await trio.sleep(0.5)
            most.append(memory.used_bytes)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            broken = await relay(body, sent, memory=memory).run()
            nursery.cancel_scope.cancel()
        return broken

    assert play(main) is None
    assert data(sent) == 200 * event
    assert AHEAD_BYTES / 2 < max(most) <= AHEAD_BYTES + len(event)
    assert memory.used_bytes == 0


# Load: as many slow callers as fill the memory that this VM has for them.
def test_slow_callers_together_leave_memory_for_requests():
    memory, bodies = MemoryBudget(AHEAD_BYTES), [Body(100) for _ in range(4)]
    most = []

    async def main():
        async with trio.open_nursery() as nursery:
            for body in bodies:
                nursery.start_soon(relay(body, [], memory=memory).run)
            for _ in range(100):
                await trio.sleep(0.1)
                most.append(memory.used_bytes)
            nursery.cancel_scope.cancel()

    play(main)
    assert max(most) <= AHEAD_SHARE * AHEAD_BYTES + 4 * len(EVENT)
    assert memory.used_bytes == 0


# Guards against a task for each answer that costs time although the caller keeps up.
def test_a_body_is_not_held_while_its_caller_keeps_up():
    body, sent, memory = Body(50), [], MemoryBudget()
    assert play(relay(body, sent, message_s=0.0, memory=memory).run) is None
    assert memory.used_bytes == 0
    assert data(sent) == 50 * EVENT


# Guards against slow callers that hold a place at the target and its connection.
def test_the_end_of_a_body_is_told_before_a_slow_caller_has_taken_it():
    body, sent, ended_s = Body(20), [], []

    async def record_whole():
        ended_s.append(trio.current_time())

    async def main():
        await relay(body, sent, on_whole=record_whole).run()
        return trio.current_time() - ended_s[0]

    assert play(main) > 15 * SLOW_S
    assert len(ended_s) == 1


@pytest.mark.parametrize("busy_s", [0.0, 1.0])
def test_a_break_is_no_end_and_comes_after_the_parts_before_it(busy_s):
    ended = []

    async def parts():
        yield b"one"
        yield b"two"
        yield Broken("reset")

    async def record_whole():
        ended.append(True)

    async def main():
        taken = []
        async with read_ahead(parts(), MemoryBudget(), record_whole) as ahead:
            async for part in ahead:
                taken.append(part)
                await trio.sleep(busy_s)
        return taken

    assert play(main) == [b"one", b"two", Broken("reset")]
    assert ended == []


# Guards against a receiver that ends early and leaves a task behind.
def test_a_receiver_may_end_before_the_body_does():
    body, memory = Body(1_000), MemoryBudget()

    async def main():
        raw = httpcore.Response(200, content=body)
        parts = iter_body(OpenResponse(200, [], raw), make_target())
        async with read_ahead(parts, memory, trio.lowlevel.checkpoint) as ahead:
            await anext(ahead)
            await trio.sleep(1.0)
        return memory.used_bytes

    assert play(main) == 0


def ask_slowly(monkeypatch, reply, **route):
    """Return the VM and what a caller gets that is slow, with a time limit of 1 s."""
    vm = EntryVm(monkeypatch, ("t-0",), **route)
    vm.replies["t-0"] = [reply]
    vm.take_s = 1.0
    open_requests = []

    async def main():
        vm.announce()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(look)
            return await vm.request(limit_s=1.0)

    async def look():
        await trio.sleep(0.9)
        open_requests.append(vm.chooser.load.open_requests("t-0"))

    return play(main), open_requests


STREAM = {"kind": RouteKind.STREAM}
TYPE = ((b"content-type", b"text/event-stream"),)


# Guards against answers that are cut at the time limit while their caller reads them.
@pytest.mark.parametrize("route", [{}, STREAM])
def test_a_whole_answer_is_not_cut_while_its_caller_reads_it(monkeypatch, route):
    reply = Reply(headers=TYPE, body=3 * EVENT)
    result, open_requests = ask_slowly(monkeypatch, reply, **route)
    assert (result.failure, result.status) == (None, 200)
    assert result.body == reply.body
    # The target has a place again: calls that wait for one aren't held up.
    assert open_requests == [0]


# Guards against a time limit that no longer holds after an answer that proved broken.
def test_a_stream_that_ends_inside_an_event_fails_at_its_time_limit(monkeypatch):
    reply = Reply(headers=TYPE, body=EVENT + b"data: cut")
    result, _ = ask_slowly(monkeypatch, reply, **STREAM)
    assert result.failure is not None


# Guards against log lines that blame a target for the pace of its caller.
@pytest.mark.parametrize("route", [{}, STREAM])
def test_parts_count_when_they_arrive_and_not_when_they_are_taken(monkeypatch, route):
    vm = EntryVm(monkeypatch, ("t-0",), **route)
    vm.replies["t-0"] = [Reply(headers=TYPE, body=3 * EVENT, after_s=0.2)]
    vm.take_s = 1.0

    async def main():
        vm.announce()
        await vm.request()

    play(main)
    assert vm.paces[0].first_s(0.0) == pytest.approx(0.2)
    assert vm.paces[0].gap_s == 0.0
