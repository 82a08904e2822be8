"""Plain answers that are too long to be held, as clients see them."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.entryprocess import make_head, read_all
from tests.platform.rawworker import RawWorker, raw_answer
from tests.platform.standin import running_platform, wait_until
from vanillabeam.forwarding.sending.plain import HELD_BYTES

PIECE = b"x" * 65_536
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
CHUNKED = (b"Transfer-Encoding: chunked",)
EVENTS = b"id: 1\ndata: a\n\n" * 4000
NOT_RUN = (b"X-Vanillabeam-Not-Executed: 1",)
LONG_MS = 30_000
JSON = b"application/json"
#: Time after the route's time limit by which every answer has ended.
LATE_S = 0.5
TIMEOUT_S = 0.8


def plain(body, extra=(), **changes):
    return raw_answer(body, extra, content_type=JSON, **changes)


def endless(piece, extra=(), status=b"200 OK"):
    """Return an answer whose body has no end; it notes that it was cut off."""
    begin = raw_answer(b"", extra, status=status, content_type=JSON)

    async def answer(headers, stream):
        class Open:
            send_all = stream.send_all

            async def aclose(self):
                """Keep the connection."""

        await begin(headers, Open())
        try:
            while True:
                await stream.send_all(piece)
        except trio.BrokenResourceError:
            cut.append(trio.current_time())

    cut = answer.cut = []
    return answer


def ask(tmp_path, answers, path="/reads/1", version=b"1.1", ask_one=None, **route):
    """Return what a client reads of an answer, and the time that it took.

    :param answers: the answer of each worker, in the order of its requests.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_document()
            document["routes"][1] |= {"timeout_ms": TIMEOUT_S * 1000}
            reads = {"name": "r-3", "path_prefix": "/reads/", "kind": "safe"}
            document["routes"].append(
                document["routes"][1] | reads | {"attempts": 2} | route
            )
            await platform.call_control("POST", "/api/Config.Put", document)
            queue = list(answers)

            async def answer_next(headers, stream):
                received.append(headers)
                await queue.pop(0)(headers, stream)

            received = []
            for number in range(len(answers)):
                worker = RawWorker(f"i-{number}")
                worker.answers = [answer_next]
                await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            for number in range(len(answers)):
                await wait_until(partial(platform.has_target, f"i-{number}"))
            began_s = trio.current_time()
            with trio.fail_after(15.0):
                stream = await trio.open_tcp_stream("127.0.0.1", platform.entry_port)
                async with stream:
                    close = (b"Connection: close",)
                    await stream.send_all(make_head(path, 0, close, version, LONG_MS))
                    read = await (ask_one or read_all)(stream)
            took_s = trio.current_time() - began_s
            await trio.sleep(0.1)
            return read.data, took_s, len(received), platform

    return trio.run(main)


def status_of(data):
    return int(data.split(b" ", 2)[1])


def body_of(data):
    return data.partition(b"\r\n\r\n")[2]


# Guards against a proper long answer that is cut or held.
@pytest.mark.parametrize("megabytes", [1, 5, 50])
def test_a_long_answer_with_its_length_arrives_whole(tmp_path, megabytes):
    body = PIECE * (16 * megabytes)
    answer = plain(body, (b"Content-Length: %d" % len(body),))
    data, _, _, _ = ask(tmp_path, [answer], timeout_ms=15_000)
    assert status_of(data) == 200
    assert b"content-length: %d\r\n" % len(body) in data[:1000].lower()
    assert body_of(data) == body


def test_a_long_answer_in_chunks_arrives_whole(tmp_path):
    answer = plain(CHUNK * 160 + b"0\r\n\r\n", CHUNKED)
    data, _, _, _ = ask(tmp_path, [answer], timeout_ms=15_000)
    assert status_of(data) == 200
    assert data.endswith(b"\r\n0\r\n\r\n")
    assert body_of(data).count(b"x") == 160 * len(PIECE)


def test_a_long_answer_that_ends_with_its_connection_arrives_in_chunks(tmp_path):
    data, _, _, _ = ask(tmp_path, [plain(PIECE * 160)], timeout_ms=15_000)
    assert data.endswith(b"\r\n0\r\n\r\n")
    assert body_of(data).count(b"x") == 160 * len(PIECE)


# Guards against an early end that looks complete, and against a second run.
@pytest.mark.parametrize("framing", ["length", "chunks", "reset"])
def test_a_long_answer_that_breaks_off_is_cut_and_not_repeated(tmp_path, framing):
    body = PIECE * 32
    answer = {
        "length": plain(body, (b"Content-Length: %d" % (len(body) + 1),)),
        "chunks": plain(CHUNK * 32, CHUNKED),
        "reset": plain(body, is_reset=True),
    }[framing]
    data, _, received, _ = ask(tmp_path, [answer, plain(b"other")], timeout_ms=15_000)
    assert status_of(data) == 200
    assert not data.endswith(b"0\r\n\r\n")
    assert len(body_of(data)) != len(body) + 1
    assert received == 1


# Guards against an answer without end that is held in memory until the time limit.
@pytest.mark.parametrize("piece, extra", [(PIECE, ()), (CHUNK, CHUNKED)])
def test_an_answer_without_end_is_cut_at_the_time_limit(tmp_path, piece, extra):
    answer = endless(piece, extra)
    data, took_s, received, _ = ask(tmp_path, [answer, plain(b"other")])
    assert status_of(data) == 200
    assert len(data) > HELD_BYTES
    assert not data.endswith(b"0\r\n\r\n")
    assert TIMEOUT_S * 0.8 < took_s < TIMEOUT_S + LATE_S
    assert received == 1
    assert answer.cut


# Guards against tiny chunks that keep the VM from everything else, and from the answer.
def test_tiny_chunks_without_end_get_a_final_answer(tmp_path):
    answer = endless(b"1\r\nx\r\n" * 10_000, CHUNKED)
    data, took_s, _, _ = ask(tmp_path, [answer], path="/orders/1")
    assert status_of(data) == 504
    assert took_s < TIMEOUT_S + LATE_S


def test_an_answer_without_end_fails_for_an_http_1_0_client(tmp_path):
    answers = [endless(PIECE), endless(PIECE)]
    data, took_s, _, _ = ask(tmp_path, answers, version=b"1.0", attempts=1)
    assert status_of(data) == 502
    assert b"answer-too-long" in data
    assert took_s < TIMEOUT_S + LATE_S


# Guards against a failure without end, which was read until the time limit.
def test_a_failure_without_end_is_repeated_at_another_target(tmp_path):
    failure = endless(PIECE, status=b"500 Oops")
    data, took_s, received, _ = ask(tmp_path, [failure, plain(b"good")])
    assert status_of(data) == 200
    assert received == 2
    assert took_s < TIMEOUT_S
    assert failure.cut


# Guards against a refusal whose body without end is read before the repeat.
@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected"])
def test_a_refusal_without_end_is_repeated_soon(tmp_path, status):
    refusal = endless(PIECE, NOT_RUN, status)
    data, took_s, received, _ = ask(tmp_path, [refusal, plain(b"good")])
    assert status_of(data) == 200
    assert received == 2
    assert took_s < TIMEOUT_S
    assert refusal.cut


def test_a_refusal_without_end_is_told_as_not_run(tmp_path):
    refusal = endless(PIECE, NOT_RUN, b"503 Full")
    data, took_s, _, _ = ask(tmp_path, [refusal], path="/orders/1")
    assert status_of(data) == 503
    assert b"not-run" in data
    assert took_s < TIMEOUT_S


# Guards against a caller that doesn't read and keeps its request past the time limit.
def test_a_caller_that_does_not_read_is_closed_at_the_time_limit(tmp_path):
    answer = endless(PIECE)

    async def read_late(stream):
        await trio.sleep(TIMEOUT_S + LATE_S)
        was_cut.extend(answer.cut)
        return await read_all(stream)

    was_cut = []
    data, _, _, _ = ask(tmp_path, [answer], ask_one=read_late)
    assert not data.endswith(b"0\r\n\r\n")
    assert was_cut


# Guards against answers that are no answer and have no end: a head, a line or trailers.
@pytest.mark.parametrize(
    "begin, piece",
    [
        (b"", PIECE),
        (b"HTTP/1.1 200 OK\r\nX-A: ", PIECE),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000),
        (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 500),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", PIECE),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", PIECE),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" * 65_536),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-A: b\r\n" * 1000,
        ),
    ],
    ids=["none", "line", "headers", "early", "switch", "extension", "size", "trailers"],
)
def test_bytes_without_end_that_are_no_answer_fail_in_time(tmp_path, begin, piece):
    async def answer(headers, stream):
        try:
            await stream.send_all(begin)
            while True:
                await stream.send_all(piece)
        except trio.BrokenResourceError:
            cut.append(True)

    cut = []
    data, took_s, _, _ = ask(tmp_path, [answer], path="/orders/1")
    assert status_of(data) in (502, 504)
    assert took_s < TIMEOUT_S + LATE_S
    assert cut


# Guards against a stream without end that is collected for a caller without chunks.
def test_a_stream_without_end_fails_soon_for_an_http_1_0_client(tmp_path):
    async def answer(headers, stream):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        )
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(EVENTS)

    data, took_s, _, _ = ask(
        tmp_path,
        [answer],
        version=b"1.0",
        kind="stream",
        attempts=1,
        timeout_ms=12_000,
    )
    assert status_of(data) == 502
    assert took_s < 8.0
