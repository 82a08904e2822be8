"""Workers that are slow but sound, and workers that stall with a byte now and then."""

from contextlib import suppress
from functools import partial
from itertools import chain, repeat

import httpcore
import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker
from tests.platform.standin import running_platform, wait_until

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Vanillabeam-Request-Id: r-1\r\n"
    b"X-Vanillabeam-Response-Stamp: stamp\r\n"
)
STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
PLAIN = HEAD + b"Content-Length: 400\r\n\r\n"
EVENTS = [b"id: %d\ndata: piece\n\n" % number for number in range(1, 5)]
#: Latency objective of the routes, far below the pauses of the slow workers.
OBJECTIVE_MS = 50
PAUSE_S = 0.25


def slow_answer(pieces, period_s):
    """Return an answer whose pieces are sent one after the other."""

    async def answer(headers, stream):
        # The caller closes its connection when it gives up.
        with suppress(trio.BrokenResourceError):
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(period_s)
            await stream.aclose()

    return answer


def ask(tmp_path, make_answer, path="/prompts/1", **route):
    """Return what a client gets of two workers that give the same kind of answer.

    :returns: status and body, or the exception that tells of a broken answer; number of
        requests that the workers received.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_document()
            for known in document["routes"]:
                known.update({"slo_ms": OBJECTIVE_MS, "kind": known["kind"]} | route)
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [RawWorker("i-1"), RawWorker("i-2")]
            service = "app" if path.startswith("/orders") else "llm"
            for worker in workers:
                worker.answers = [make_answer()]
                await platform.add_worker(worker, service=service)
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            try:
                res = await platform.send_request(path)
                result = (res.status, res.content)
            except httpcore.RemoteProtocolError as exc:
                result = exc
            return result, sum(len(worker.received_headers) for worker in workers)

    return trio.run(main)


def halves(events):
    """Return the events in two pieces each."""
    return chain.from_iterable((event[:7], event[7:]) for event in events)


# Guards against a stream that is slow but sound and is cut, or run a second time.
@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_with_long_pauses_inside_its_events_arrives_whole(tmp_path, resumable):
    def make():
        return slow_answer([STREAM, *halves(EVENTS)], PAUSE_S)

    result, received = ask(tmp_path, make, resumable=resumable)
    assert result == (200, b"".join(EVENTS))
    assert received == 1


# Guards against a plain answer that is slow but sound and is cut.
def test_a_plain_answer_that_trickles_arrives_whole(tmp_path):
    body = [b"x" * 100] * 4

    def make():
        return slow_answer([PLAIN, *body], PAUSE_S)

    result, received = ask(tmp_path, make, "/orders/1", timeout_ms=5_000)
    assert result == (200, b"".join(body))
    assert received == 1


#: What a stalled worker sends, again and again after its begin.
STALLED = {
    "nothing after the head": (STREAM, b""),
    "comments": (STREAM, b": alive\n\n"),
    "empty lines": (STREAM, b"\n"),
    "one event": (STREAM + EVENTS[0] + b"id: 2\ndata: ", b"x"),
    "a comment after an event": (STREAM + EVENTS[0], b": alive\n\n"),
    "header lines": (HEAD, b"A: b\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a status line": (b"HTTP/1.1 2", b"0"),
    "a plain body": (HEAD + b"Content-Length: 4000000\r\n\r\n", b"x"),
    "nothing": (b"", b""),
}


# Guards against a stalled answer that never ends because a byte comes now and then: the
# route's time limit is the outer bound.
@pytest.mark.parametrize("path", ["/prompts/1", "/orders/1"])
@pytest.mark.parametrize("name", STALLED)
def test_a_stalled_answer_ends_at_the_time_limit(tmp_path, name, path):
    begin, piece = STALLED[name]

    def make():
        return slow_answer(chain([begin], repeat(piece)), 0.02)

    route = {"resumable": True, "attempts": 2, "timeout_ms": 800}
    result, received = ask(tmp_path, make, path, **route)
    is_cut = isinstance(result, httpcore.RemoteProtocolError)
    assert is_cut or result[0] in (502, 504)
    assert received <= (2 if path == "/prompts/1" else 1)
