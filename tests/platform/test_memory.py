"""Memory and end of an entry VM's process, whatever others send."""

from collections import Counter
from contextlib import suppress

import pytest
import trio

from tests.platform.entryprocess import (
    make_head,
    make_routes,
    read_all,
    running_processes,
)
from tests.platform.rawworker import raw_answer

MB = 1024 * 1024
#: Memory of the smallest entry VMs.
LIMIT_MB = 150
BODY = b"b" * (4 * MB)
JSON = b"application/json"
TIMEOUT_MS = 4000
#: Time limit that 400 MB keep on a busy machine.
LONG_MS = 30_000
CALLERS = 100
GOOD = raw_answer(b"ok", (b"Content-Length: 2",), content_type=JSON)


async def answer_slowly(headers, stream):
    await trio.sleep(0.5)
    await GOOD(headers, stream)


def measure(tmp_path, answer, ask, count, timeout_ms=TIMEOUT_MS):
    """Return the results of callers, and the entry VM's largest memory in MB.

    :param ask: one caller's part; gets its connection.
    """

    async def main():
        document = make_routes(timeout_ms=timeout_ms)
        document["services"][1]["max_conns"] = 4 * CALLERS
        async with running_processes(tmp_path, document, answer, LIMIT_MB) as processes:
            results = []

            async def call():
                async with await processes.connect() as stream:
                    results.append(await ask(stream))

            processes.entry.peak_bytes = 0
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(call)
            for worker in processes.workers:
                worker.answers = [GOOD]
            assert await processes.is_served()
            assert processes.entry.is_running
            return Counter(results), processes.entry.peak_bytes / MB

    return trio.run(main)


async def read_status(stream):
    read = await read_all(stream)
    return int(read.data.split(b" ", 2)[1]) if read.data else 0


def upload(body=BODY):
    async def ask(stream):
        head = make_head(
            length=len(body), extra=(b"Connection: close",), deadline=LONG_MS
        )
        with suppress(trio.BrokenResourceError):
            await stream.send_all(head + body)
        return await read_status(stream)

    return ask


# Guards against uploads that together pass the memory of the VM.
def test_many_uploads_stay_in_memory_and_are_refused_or_served(tmp_path):
    results, peak_mb = measure(tmp_path, answer_slowly, upload(), CALLERS, LONG_MS)
    assert peak_mb < LIMIT_MB
    assert set(results) <= {200, 503, 0}
    assert results[200] >= 10
    assert results[503] >= 10
    assert results.total() == CALLERS


# Guards against answers that together pass the memory of the VM.
def test_many_long_answers_stay_in_memory_and_arrive_whole(tmp_path):
    answer = raw_answer(BODY, (b"Content-Length: %d" % len(BODY),), content_type=JSON)

    async def ask(stream):
        head = make_head("/orders/1", 0, (b"Connection: close",), deadline=LONG_MS)
        await stream.send_all(head)
        read = await read_all(stream)
        return len(read.data.partition(b"\r\n\r\n")[2])

    results, peak_mb = measure(tmp_path, answer, ask, CALLERS, timeout_ms=LONG_MS)
    assert peak_mb < LIMIT_MB
    assert results == {len(BODY): CALLERS}


PIECE = b"x" * 65_536
ENDLESS_CALLERS = 40


# Guards against bytes without end of many workers at once, which are kept until the
# VM's memory ends, and with it the requests of others.
@pytest.mark.parametrize(
    "begin, piece",
    [
        (b"", PIECE),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 5_000),
        (b"HTTP/1.1 200 OK\r\nX-A: ", PIECE),
        (b"HTTP/1.1 200 OK\r\n\r\n", PIECE),
        (b"HTTP/1.1 500 No\r\n\r\n", PIECE),
    ],
    ids=["none", "headers", "line", "body", "failure"],
)
def test_many_answers_without_end_stay_in_memory(tmp_path, begin, piece):
    async def answer(headers, stream):
        with suppress(trio.BrokenResourceError):
            await stream.send_all(begin)
            while True:
                await stream.send_all(piece)

    async def ask(stream):
        head = make_head("/orders/1", 0, (b"Connection: close",), deadline=LONG_MS)
        await stream.send_all(head)
        # A caller that takes what it gets, and keeps none of it.
        status = b""
        with suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(65_536):
                status = status or data.split(b" ", 2)[1]
        return int(status or b"0")

    results, peak_mb = measure(tmp_path, answer, ask, ENDLESS_CALLERS, 1_500)
    assert peak_mb < LIMIT_MB
    assert set(results) <= {0, 200, 500, 502, 503, 504}
    assert results.total() == ENDLESS_CALLERS


# Guards against a body in tiny pieces that is read long after the time limit.
def test_a_body_that_is_not_there_in_time_is_refused_as_not_run(tmp_path):
    async def ask(stream):
        head = make_head(extra=(b"Transfer-Encoding: chunked", b"Connection: close"))
        began_s = trio.current_time()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(head + b"1\r\nx\r\n" * 100_000)
        status = await read_status(stream)
        return status, trio.current_time() - began_s < 4.0

    results, peak_mb = measure(tmp_path, GOOD, ask, 1, timeout_ms=800)
    assert results in ({(408, True): 1}, {(0, True): 1})
    assert peak_mb < LIMIT_MB


def test_a_body_of_exactly_the_limit_is_served(tmp_path):
    results, _ = measure(tmp_path, GOOD, upload(), 1)
    assert results == {200: 1}


def test_a_body_above_the_limit_is_refused(tmp_path):
    results, _ = measure(tmp_path, GOOD, upload(BODY + b"b"), 1)
    assert set(results) <= {413, 0}
