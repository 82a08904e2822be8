"""Workers that answer a long upload early, and reset the connection in their answer."""

import http.client
import json
from contextlib import suppress
from functools import partial

import httpcore
import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import (
    HEAD_END,
    RawWorker,
    chunked,
    read_head,
    reset_on_close,
)
from tests.platform.standin import running_platform, wait_until

REQUEST_ID = b"x-vanillabeam-request-id"
LONG = b"u" * 3_000_000
BODIES = {"short": b"{}", "medium": b"u" * 100_000, "long": LONG}


class HastyWorker(RawWorker):
    """A worker that reads the begin of a body only, answers and resets.

    :ivar read_bytes: bytes of the body that it reads at least.
    :ivar wait_s: seconds between its answer and the end of the connection.
    :ivar lingers: whether it resets the connection by an option of the socket; else
        by closing it with unread bytes.
    :ivar make: returns the bytes of an answer for the id of its request.
    """

    read_bytes = 0
    wait_s = 0.0
    lingers = False

    async def _serve(self, stream):
        headers = await read_head(stream, self.read_bytes)
        if headers is None:
            return
        self.received_headers.append(headers)
        with suppress(trio.BrokenResourceError):
            await stream.send_all(self.make(headers[REQUEST_ID]))
        await trio.sleep(self.wait_s)
        if self.lingers:
            reset_on_close(stream)
        await stream.aclose()


def make_answer(
    request_id,
    body=b'{"part": "of a longer',
    status=b"200 OK",
    version=b"1.1",
    content_type=b"application/json",
    extra=(),
):
    """Return an answer that ends with its connection, unless ``extra`` says else."""
    lines = [
        b"HTTP/" + version + b" " + status,
        b"Content-Type: " + content_type,
        b"X-Vanillabeam-Request-Id: " + request_id,
        b"X-Vanillabeam-Response-Stamp: stamp",
        *extra,
    ]
    return b"\r\n".join(lines) + HEAD_END + body


EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
#: Parts of answers, by name, with the path of their route.
PARTS = {
    "plain": ("/orders/1", {}),
    "failure": ("/orders/1", {"status": b"404 Not Found"}),
    "stream": ("/prompts/1", {"body": EVENTS, "content_type": b"text/event-stream"}),
}
#: Forms of the same head.
FORMS = {
    "kept": {},
    "closing": {"extra": [b"Connection: close"]},
    "old": {"version": b"1.0"},
}


def play(folder, act, resumable=False, others=(), max_conns=96):
    """Return what ``act(platform, workers)`` returns, with a worker for each service.

    :param others: further workers of the service for prompts.
    """

    async def main():
        async with running_platform(folder) as platform:
            document = make_document()
            document["routes"][0] |= {"resumable": resumable, "attempts": 1 + resumable}
            document["routes"][1]["timeout_ms"] = 4000
            document["services"][1]["max_conns"] = max_conns
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [HastyWorker("i-1"), HastyWorker("i-2")]
            for worker, service in zip(workers, ("app", "llm"), strict=True):
                await platform.add_worker(worker, service=service)
            for other in others:
                await platform.add_worker(other, service="llm")
            await platform.wait_ready()
            for name in platform.workers:
                await wait_until(partial(platform.has_target, name))
            return await act(platform, workers)

    return trio.run(main)


async def send(platform, path, body=LONG):
    """Return the status of the answer, and its body; none if it doesn't look whole."""
    try:
        res = await platform.send_request(path, body=body)
    except httpcore.RemoteProtocolError:
        return 200, None
    return res.status, res.content


# Guards against a part of an answer that is passed on as the whole one: the reset that
# ends it was told to the write of the upload only.
@pytest.mark.parametrize("name", PARTS)
@pytest.mark.parametrize("form", FORMS)
def test_an_answer_that_is_reset_beside_its_upload_is_never_whole(tmp_path, form, name):
    path, answer = PARTS[name]

    async def act(platform, workers):
        seen = {}
        for lingers in (False, True):
            for read_bytes in (0, 4096, 200_000, 1_000_000):
                for wait_s in (0.0, 0.002, 0.05):
                    for worker in workers:
                        worker.make = partial(make_answer, **answer, **FORMS[form])
                        worker.read_bytes, worker.wait_s = read_bytes, wait_s
                        worker.lingers = lingers
                    seen[lingers, read_bytes, wait_s] = await send(platform, path)
        return seen

    seen = play(tmp_path, act)
    assert len(seen) == 24
    whole = {case: result for case, result in seen.items() if not is_broken(result)}
    assert whole == {}


def is_broken(result):
    """Return whether a caller learns that an answer broke off."""
    status, content = result
    return status == 502 or content is None


# The same for uploads that the buffers of the connection may hold, so that no write of
# the request fails.
@pytest.mark.parametrize("size", ["short", "medium"])
def test_an_answer_that_is_reset_after_its_upload_is_never_whole(tmp_path, size):
    async def act(platform, workers):
        seen = []
        for lingers in (False, True):
            for wait_s in (0.0, 0.05):
                for worker in workers:
                    worker.make, worker.wait_s = make_answer, wait_s
                    # A worker that has read all bytes resets by the option only.
                    worker.lingers = lingers or size == "short"
                seen.append(await send(platform, "/orders/1", BODIES[size]))
        return seen

    assert all(is_broken(result) for result in play(tmp_path, act))


#: Early answers that are whole whatever became of the upload, and what callers get.
EARLY = {
    "too large": (b"413 Too Large", [], 413),
    "success": (b"200 OK", [], 200),
    "refusal": (b"503 Busy", [b"X-Vanillabeam-Not-Executed: 1"], 503),
    "failure": (b"500 Oops", [], 500),
}


# Guards against a remedy that takes early answers for broken: one that marks its own
# end, by length or chunks, is whole.
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("name", EARLY)
def test_an_early_answer_that_marks_its_end_reaches_the_caller(tmp_path, name, framing):
    status, extra, expected = EARLY[name]
    body = b"whole"
    line = (
        b"Content-Length: 5" if framing == "length" else b"Transfer-Encoding: chunked"
    )
    raw = body if framing == "length" else chunked(body)

    async def act(platform, workers):
        for worker in workers:
            worker.make = partial(
                make_answer, body=raw, status=status, extra=[line, *extra]
            )
            # The reset may overtake an answer that the entry VM hasn't read yet.
            worker.wait_s = 0.2
        return await send(platform, "/orders/1")

    assert play(tmp_path, act) == (expected, body)


# A refusal that breaks off still says that its request hasn't run.
def test_a_refusal_that_is_reset_stays_a_refusal(tmp_path):
    async def act(platform, workers):
        for worker in workers:
            worker.make = partial(
                make_answer,
                body=b"no",
                status=b"503 Busy",
                extra=[b"X-Vanillabeam-Not-Executed: 1"],
            )
            worker.wait_s = 0.2
        return (await send(platform, "/orders/1"))[0]

    assert play(tmp_path, act) == 503


# An answer without length is whole if the connection ends in order after its request.
@pytest.mark.parametrize("size", BODIES)
@pytest.mark.parametrize("form", FORMS)
def test_an_answer_that_ends_with_its_connection_is_whole(tmp_path, form, size):
    async def act(platform, workers):
        for worker in workers:
            worker.make = partial(make_answer, **FORMS[form])
            worker.read_bytes = len(BODIES[size])
        return await send(platform, "/orders/1", BODIES[size])

    assert play(tmp_path, act) == (200, b'{"part": "of a longer')


class NextWorker(HastyWorker):
    """A worker that goes on with a stream, with all events that are left."""

    read_bytes = len(LONG)

    def make(self, request_id):
        last = int(self.received_headers[-1].get(b"last-event-id", b"0"))
        events = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(last + 1, 5)]
        length = b"Content-Length: %d" % sum(map(len, events))
        kind = b"text/event-stream"
        body = b"".join(events)
        return make_answer(request_id, body, content_type=kind, extra=[length])


# A stream that may be resumed goes on at another worker, once its connection was reset.
def test_a_stream_that_is_reset_beside_its_upload_goes_on_elsewhere(tmp_path):
    path, answer = PARTS["stream"]
    other = NextWorker("i-3")

    async def act(platform, workers):
        for worker in workers:
            worker.make, worker.wait_s = partial(make_answer, **answer), 0.05
        # The first of two targets is chosen at random, the other one later on.
        outcomes = [await send(platform, path) for _ in range(6)]
        return outcomes, workers[1].received_headers

    outcomes, broken = play(tmp_path, act, resumable=True, others=[other])
    assert broken
    for status, content in outcomes:
        assert status == 200
        lines = [line for line in content.split(b"\n") if line.startswith(b"id")]
        assert lines == [b"id: %d" % number for number in range(1, 5)]


# What a broken answer held is given back: its connection, of which a service has a few,
# and the bytes of the request.
def test_broken_answers_leave_nothing_behind(tmp_path):
    async def act(platform, workers):
        for worker in workers:
            worker.make = make_answer
        broken = [await send(platform, "/orders/1") for _ in range(10)]
        for worker in workers:
            worker.read_bytes = len(LONG)
            worker.make = partial(make_answer, extra=[b"Content-Length: 21"])
        whole = [await send(platform, "/orders/1") for _ in range(3)]
        counters = platform.vms["front"][0].counters
        await wait_until(lambda: b"vanillabeam_held_bytes 0.0" in counters.text())
        return broken, whole

    broken, whole = play(tmp_path, act, max_conns=2)
    assert all(map(is_broken, broken))
    assert [status for status, _ in whole] == [200] * 3


# Guards against a part that an HTTP/1.0 caller takes for the whole: the end of its
# connection is the only mark that it would get of an answer without length.
@pytest.mark.parametrize("name", PARTS)
def test_an_old_caller_gets_no_part_of_an_answer(tmp_path, name):
    path, answer = PARTS[name]

    def call(address):
        conn = http.client.HTTPConnection(*address, timeout=10)
        conn._http_vsn, conn._http_vsn_str = 10, "HTTP/1.0"
        headers = {"Host": "shop.example", "X-Vanillabeam-Request-Id": "r-1"}
        headers |= {"X-Vanillabeam-Deadline-Ms": "5000", "X-Vanillabeam-Key": "key-1"}
        conn.request("POST", path, LONG, headers)
        res = conn.getresponse()
        return res.status, json.loads(res.read())["type"]

    async def act(platform, workers):
        for worker in workers:
            worker.make = partial(make_answer, **answer)
            worker.wait_s = 0.05
        address = ("127.0.0.1", platform.entry_port)
        return await trio.to_thread.run_sync(call, address)

    assert play(tmp_path, act)[0] == 502
