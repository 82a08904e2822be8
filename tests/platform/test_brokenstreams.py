"""Streams of workers that break off, as their clients see them."""

from functools import partial

import httpcore
import pytest
import trio
from loguru import logger

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, chunked, raw_answer
from tests.platform.standin import running_platform, wait_until

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
#: Breaks off inside the third event.
PARTIAL = EVENTS + b"id: 3\ndata: thr"
REST = b"id: 3\ndata: three\n\n"
CHUNKED = (b"Transfer-Encoding: chunked",)


def make_routes(**changes):
    """Return a document whose stream route has these settings."""
    document = make_document()
    document["routes"][0] |= changes
    return document


def request_stream(tmp_path, answers, **route):
    """Return what a client gets from workers that give these answers in turn.

    :param answers: the answer of each worker, in the order of its requests.
    :returns: body, or the exception that tells of a broken answer; headers of the
        requests that the workers received.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_routes(**route)
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [RawWorker(f"i-{n}") for n in range(max(2, len(answers)))]
            queue = list(answers)

            async def answer_next(headers, stream):
                received.append(headers)
                await queue.pop(0)(headers, stream)

            received = []
            for worker in workers:
                worker.answers = [answer_next]
                await platform.add_worker(worker)
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            try:
                res = await platform.send_request("/prompts/1")
            except httpcore.RemoteProtocolError as exc:
                return exc, received
            return (res.status, res.content), received

    return trio.run(main)


# Guards against a stream that broke off inside an event and was framed as complete.
@pytest.mark.parametrize("framing", ["close", "chunks", "unfinished-chunks"])
def test_a_stream_that_ends_inside_an_event_is_not_framed_as_complete(
    tmp_path, framing
):
    answer = {
        "close": raw_answer(PARTIAL),
        "chunks": raw_answer(chunked(PARTIAL), CHUNKED),
        "unfinished-chunks": raw_answer(chunked(PARTIAL)[:-5], CHUNKED),
    }[framing]
    result, _ = request_stream(tmp_path, [answer], resumable=False, attempts=1)
    assert isinstance(result, httpcore.RemoteProtocolError)


# Guards against a partial event of a broken stream before the events of another run.
def test_a_stream_that_ends_inside_an_event_is_resumed_after_its_last_whole_one(
    tmp_path,
):
    answers = [raw_answer(PARTIAL), raw_answer(REST)]
    result, received = request_stream(tmp_path, answers, resumable=True)
    assert result == (200, EVENTS + REST)
    assert received[1][b"last-event-id"] == b"2"


# Guards against a resumable stream that is framed as complete when no attempt is left.
def test_a_resumable_stream_without_attempts_left_is_cut_after_a_partial_event(
    tmp_path,
):
    answer = raw_answer(PARTIAL)
    result, _ = request_stream(tmp_path, [answer], resumable=True, attempts=1)
    assert isinstance(result, httpcore.RemoteProtocolError)


# Guards against a stream that broke off before its first event and ended as complete.
def test_a_stream_that_ends_with_its_connection_before_any_event_is_not_whole(tmp_path):
    result, _ = request_stream(tmp_path, [raw_answer(b"")], resumable=False, attempts=1)
    assert result[0] == 502


# Guards against the length of a broken stream, which makes it look complete.
def test_a_stream_with_a_length_that_ends_inside_an_event_is_not_framed_as_complete(
    tmp_path,
):
    answer = raw_answer(PARTIAL, (b"Content-Length: %d" % len(PARTIAL),))
    result, _ = request_stream(tmp_path, [answer], resumable=False, attempts=1)
    assert isinstance(result, httpcore.RemoteProtocolError)


@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_that_ends_with_its_connection_after_an_event_is_whole(
    tmp_path, resumable
):
    result, _ = request_stream(tmp_path, [raw_answer(EVENTS)], resumable=resumable)
    assert result == (200, EVENTS)


def test_a_stream_whose_connection_is_reset_between_events_is_not_whole(tmp_path):
    answer = raw_answer(EVENTS, is_reset=True)
    result, _ = request_stream(tmp_path, [answer], resumable=False, attempts=1)
    assert isinstance(result, httpcore.RemoteProtocolError)


def test_an_answer_of_another_type_on_a_stream_route_is_passed_on_whole(tmp_path):
    document = b'{"choices": []}'
    answer = raw_answer(document, content_type=b"application/json")
    result, _ = request_stream(tmp_path, [answer], resumable=True)
    assert result == (200, document)


# Guards against the head of a second answer inside a stream that has begun.
@pytest.mark.parametrize("status", [b"503 Service Unavailable", b"500 Oops"])
def test_a_stream_whose_next_worker_fails_is_cut_and_logged(tmp_path, status):
    events = []
    sink = logger.add(lambda line: events.append(line.record["message"]))
    failure = raw_answer(b"full", (b"Content-Length: 4",), status=status)
    try:
        result, received = request_stream(
            tmp_path, [raw_answer(PARTIAL), failure], resumable=True
        )
    finally:
        logger.remove(sink)
    assert len(received) == 2
    assert isinstance(result, httpcore.RemoteProtocolError)
    assert "answer-cut" in events


def ask_with_http_1_0(tmp_path, body):
    """Return all bytes that an HTTP/1.0 client gets from a worker's stream."""

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_routes(resumable=False, attempts=1)
            await platform.call_control("POST", "/api/Config.Put", document)
            worker = RawWorker("i-1")
            worker.answers = [raw_answer(body)]
            await platform.add_worker(worker)
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, "i-1"))
            stream = await trio.open_tcp_stream("127.0.0.1", platform.entry_port)
            await stream.send_all(
                b"POST /prompts/1 HTTP/1.0\r\nHost: shop.example\r\n"
                b"X-Vanillabeam-Request-Id: r-1\r\nX-Vanillabeam-Key: key-1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return b"".join([data async for data in stream])

    return trio.run(main)


# Guards against a broken stream that looks whole to a caller without chunks.
def test_a_broken_stream_does_not_look_whole_to_an_http_1_0_client(tmp_path):
    head, _, _ = ask_with_http_1_0(tmp_path, PARTIAL).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 502 ")


def test_a_whole_stream_has_its_length_for_an_http_1_0_client(tmp_path):
    head, _, body = ask_with_http_1_0(tmp_path, EVENTS).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"content-length: %d" % len(EVENTS) in head.lower()
    assert body == EVENTS
