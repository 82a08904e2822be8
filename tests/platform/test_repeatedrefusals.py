"""Workers that write an earlier refusal once more on a kept connection."""

from collections import Counter
from contextlib import suppress
from functools import partial
from typing import NamedTuple

import httpcore
import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, chunked, read_head
from tests.platform.standin import running_platform, wait_until

REQUEST_ID = b"x-vanillabeam-request-id"
REFUSE = b"refuse"
#: Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)
PAUSE_S = 0.01
#: No request lacks the budget for its second attempt.
BOUNDS = {"budget_min_retries": 10_000}


class Copy(NamedTuple):
    """A refusal, written as the answer to one request and once more.

    :param has_id: whether it bears the id of the request that it refuses.
    :param framing: ``length``, ``chunks`` or ``empty``.
    """

    status: bytes = b"503 Full"
    has_id: bool = True
    framing: str = "length"

    def make(self, request_id):
        lines = [b"HTTP/1.1 " + self.status, b"X-Vanillabeam-Not-Executed: 1"]
        if self.has_id:
            lines.append(b"X-Vanillabeam-Request-Id: " + request_id)
        framing, body = {
            "length": (b"Content-Length: 4", b"full"),
            "chunks": (b"Transfer-Encoding: chunked", chunked(b"full")),
            "empty": (b"Content-Length: 0", b""),
        }[self.framing]
        return b"\r\n".join([*lines, framing, b"", b""]) + body


COPIES = (
    Copy(),
    Copy(has_id=False),
    Copy(b"429 Limited", framing="chunks"),
    Copy(b"421 Misdirected", has_id=False, framing="empty"),
    Copy(b"400 Bad", has_id=False, framing="chunks"),
    Copy(has_id=False, framing="empty"),
)


class Form(NamedTuple):
    """What a worker writes on a connection on which it has refused a request.

    Of the steps, ``R`` is the refusal, ``r`` its first part and ``s`` the rest, ``A``
    the answer to the request, ``.`` a short pause, ``X`` the end of the connection.

    :param refused: written to refuse a request.
    :param early: written once the next request begins to arrive.
    :param answered: written to answer a request that has run.
    """

    refused: str = "R"
    early: str = ""
    answered: str = "A"


FORMS = (
    Form(refused="RR"),
    Form(refused="R.R"),
    Form(refused="Rr", answered="sA"),
    Form(refused="R.r", answered="sA"),
    Form(early="R"),
    Form(early="r", answered="s.A"),
    Form(answered="RA"),
    Form(answered="r.s.A"),
    Form(answered="R.A"),
    Form(answered="RX"),
    Form(answered="AR"),
    Form(answered="A.R"),
    Form(answered="Ar", early="s"),
)


class RepeatingWorker(RawWorker):
    """A worker that refuses some requests, and says so more than once.

    :ivar ran: number of runs by the id of a request.
    """

    def __init__(self, name, make_answer):
        super().__init__(name)
        self.ran = Counter()
        self.form, self.copy, self.split = Form(), Copy(), 1
        self._make_answer = make_answer

    async def _serve(self, stream):
        refusal = b""
        # Its callers close connections with bytes that they haven't read.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while stream.socket.fileno() >= 0:
                await trio.lowlevel.wait_readable(stream.socket)
                if refusal:
                    await self._write(stream, self.form.early, refusal, b"")
                if (head := await read_head(stream)) is None:
                    return
                request_id = head[REQUEST_ID]
                if request_id.startswith(REFUSE):
                    refusal = self.copy.make(request_id)
                    await self._write(stream, self.form.refused, refusal, b"")
                    continue
                self.ran[request_id] += 1
                answer = self._make_answer(request_id)
                steps = self.form.answered if refusal else "A"
                await self._write(stream, steps, refusal, answer)

    async def _write(self, stream, steps, refusal, answer):
        parts = {
            "R": refusal,
            "r": refusal[: self.split],
            "s": refusal[self.split :],
            "A": answer,
        }
        for step in steps:
            if step == ".":
                await trio.sleep(PAUSE_S)
            elif step == "X":
                await stream.aclose()
            else:
                await stream.send_all(parts[step])


def make_answer(request_id):
    body = b"for " + request_id
    return (
        b"HTTP/1.1 200 OK\r\nX-Vanillabeam-Request-Id: %b\r\n"
        b"X-Vanillabeam-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%b"
    ) % (request_id, len(body), body)


def make_stream(request_id):
    event = b"id: 1\ndata: for " + request_id + b"\n\n"
    return (
        b"HTTP/1.1 200 OK\r\nX-Vanillabeam-Request-Id: %b\r\n"
        b"X-Vanillabeam-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%b"
    ) % (request_id, chunked(event))


async def send(platform, request_id):
    """Return status and body of a request; status 0 if its answer broke off."""
    try:
        res = await platform.send_request(request_id=request_id, body=b"x" * 100_000)
    except httpcore.RemoteProtocolError:
        return 0, b""
    return res.status, res.content


async def play(platform, workers, name, may_repeat):
    """Have a request refused and send two more; return what broke a promise.

    :param may_repeat: whether a request may run more than once.
    """
    refused, *others = [REFUSE + b"-" + name, b"one-" + name, b"two-" + name]
    found = []
    status, body = await send(platform, refused)
    if status == 200:
        found.append((refused, status, body[:40]))
    for request_id in others:
        status, body = await send(platform, request_id)
        runs = sum(worker.ran[request_id] for worker in workers)
        is_own = b"for " + request_id in body
        if (status in PROMISES and runs) or (status == 200) != is_own:
            found.append((request_id, status, body[:40]))
        if runs > 1 and not may_repeat:
            found.append((request_id, f"{runs} runs"))
    return found


# Guards against a promise that a request has not run though it has, and against a
# second run of it: an earlier refusal on the connection was taken for its answer.
@pytest.mark.parametrize(
    ("route", "count"),
    [
        ({"kind": "unsafe"}, 1),
        ({"kind": "unsafe", "public": False}, 2),
        ({"kind": "safe"}, 1),
        ({"kind": "stream", "resumable": False}, 2),
        ({"kind": "stream", "resumable": True}, 1),
    ],
)
def test_an_earlier_refusal_answers_no_other_request(tmp_path, route, count):
    make = make_stream if route["kind"] == "stream" else make_answer
    may_repeat = route["kind"] == "safe" or route.get("resumable", False)

    async def main():
        found = []
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            document = make_document()
            document["routes"][1] |= {"attempts": 2, "timeout_ms": 5_000} | route
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [RepeatingWorker(f"i-{n}", make) for n in range(count)]
            for worker in workers:
                await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            plays = [(form, copy) for form in FORMS for copy in COPIES]
            for number, (form, copy) in enumerate(plays):
                for worker in workers:
                    worker.form, worker.copy = form, copy
                    worker.split = 1 + 7 * number % 60
                for what in await play(platform, workers, b"%d" % number, may_repeat):
                    found.append(f"{'/'.join(form)} {copy}: {what}")
        return found

    found = trio.run(main)
    assert not found, "\n".join(found)
