"""Workers that stop in the middle of an answer's head or framing and close."""

from collections import Counter
from contextlib import suppress
from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, chunked, read_head, reset_on_close
from tests.platform.standin import running_platform, wait_until

HEAD_END = b"\r\n\r\n"
REQUEST_ID = b"x-vanillabeam-request-id"
PROMISES = (408, 421, 429, 503)
#: No request lacks the budget for its second attempt.
BOUNDS = {"budget_min_retries": 10_000}
EVENT = b"id: 1\ndata: one\n\n"
BODY = b"the whole answer"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def make_answer(request_id, framing, body, content_type):
    """Return the bytes of an answer."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"X-Vanillabeam-Request-Id: " + request_id,
        b"X-Vanillabeam-Response-Stamp: s",
        b"Content-Type: " + content_type,
    ]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        body = chunked(body)
    return b"\r\n".join(lines) + HEAD_END + body


class CutWorker(RawWorker):
    """A worker that cuts its answers and closes, in order or with a reset.

    :ivar cut: number of bytes that it sends of an answer.
    :ivar before: bytes that it sends before the answer.
    :ivar is_reset: whether it resets the connection.
    :ivar ran: number of runs by the id of a request. Those that begin with ``warm`` are
        answered in full, and their connection is kept.
    """

    def __init__(self, name, framing, body, content_type):
        super().__init__(name)
        self.ran = Counter()
        self.cut, self.before = 0, b""
        self.is_reset = False
        self._form = framing, body, content_type

    async def _serve(self, stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while (head := await read_head(stream)) is not None:
                request_id = head[REQUEST_ID]
                self.ran[request_id] += 1
                if request_id.startswith(b"warm"):
                    await stream.send_all(make_answer(request_id, "length", b"w", b"t"))
                    continue
                answer = make_answer(request_id, *self._form)
                half = self.cut // 2
                await stream.send_all(self.before + answer[:half])
                await trio.sleep(0.001)
                await stream.send_all(answer[half : self.cut])
                if self.is_reset:
                    await trio.sleep(0.002)
                    reset_on_close(stream)
                await stream.aclose()
                return


async def ask(platform, request_id, version=b"1.1"):
    """Return all bytes that a client gets."""
    stream = await trio.open_tcp_stream("127.0.0.1", platform.entry_port)
    async with stream:
        await stream.send_all(
            b"POST /orders/1 HTTP/%b\r\nHost: shop.example\r\nConnection: close\r\n"
            b"X-Vanillabeam-Request-Id: %b\r\nX-Vanillabeam-Deadline-Ms: 5000\r\n"
            b"X-Vanillabeam-Key: key-1\r\nContent-Length: 0\r\n\r\n"
            % (version, request_id)
        )
        with trio.fail_after(10.0):
            return b"".join([data async for data in stream])


def read_answer(received):
    """Return status, body and whether the answer is framed as whole."""
    head, _, rest = received.partition(HEAD_END)
    status = int(head.split()[1]) if head else 0
    fields = head.lower().split(b"\r\n")
    lengths = [line.split(b": ")[1] for line in fields if b"content-length" in line]
    if lengths:
        return status, rest, len(rest) == int(lengths[0])
    body = b""
    while rest and b"transfer-encoding: chunked" in fields:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return status, body, True
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return status, body + rest, False


#: Routes on which an answer is cut at each byte. On the others it is cut at each
#: seventh and at each of the last ones, as the same code reads the answers.
EACH_BYTE = ("unsafe", "stream")
ROUTES = {
    "unsafe": {"kind": "unsafe"},
    "unsafe with a key": {"kind": "unsafe", "public": False},
    "safe": {"kind": "safe"},
    "stream": {"kind": "stream", "resumable": False},
    "resumable": {"kind": "stream", "resumable": True},
}


# Guards against an answer cut in its head or its framing that becomes a whole one, with
# no body or a short one, and against a second run of a request that may run once.
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("route", ROUTES)
def test_an_answer_that_is_cut_is_never_whole(tmp_path, route, framing):
    is_stream = ROUTES[route]["kind"] == "stream"
    body = EVENT if is_stream else BODY
    content_type = b"text/event-stream" if is_stream else b"text/plain"
    count = 2 if route in ("safe", "resumable", "unsafe") else 1
    may_repeat = route in ("safe", "resumable")

    async def play(platform, workers, number):
        request_id = b"r-%d" % number
        version = b"1.0" if number % 5 == 4 else b"1.1"
        if number % 2:
            await ask(platform, b"warm-%d" % number)
        status, got, is_whole = read_answer(await ask(platform, request_id, version))
        runs = sum(worker.ran[request_id] for worker in workers)
        found = []
        if (is_whole and status == 200 and got != body) or status in PROMISES:
            found.append((workers[0].cut, status, got[:50], is_whole, version))
        if runs > 1 and not may_repeat:
            found.append((workers[0].cut, f"{runs} runs"))
        return found

    async def main():
        found = []
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            document = make_document()
            changes = {"attempts": 2, "timeout_ms": 5_000}
            document["routes"][1] |= changes | ROUTES[route]
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [
                CutWorker(f"i-{n}", framing, body, content_type) for n in range(count)
            ]
            for worker in workers:
                await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            answer = make_answer(b"r-100", framing, body, content_type)
            # Without a mark of the end, only a cut in the head is one.
            end = answer.index(HEAD_END) + 4 if framing == "close" else len(answer)
            step = 1 if route in EACH_BYTE else 7
            for cut in sorted({*range(0, end, step), *range(end - 9, end)}):
                for worker in workers:
                    worker.cut = cut
                    worker.is_reset = cut % 3 == 2
                    worker.before = INTERIM if cut % 4 == 3 else b""
                found += await play(platform, workers, 100 + cut)
        return found

    assert trio.run(main) == []


#: Lines that a worker may leave out at the end of a head: all lines after the first.
LINES = (
    b"X-Vanillabeam-Request-Id: r-1",
    b"X-Vanillabeam-Response-Stamp: s",
    b"Content-Length: 16",
)
#: Orders of the lines, and the places after which the head ends too early.
SHORT_HEADS = [
    [LINES[n] for n in order[:count]]
    for order in ((0, 1, 2), (0, 2, 1), (2, 0, 1))
    for count in range(3)
    if not {0, 1} <= set(order[:count])
]


# Guards against a success without its worker's stamp, empty or with a body, from a head
# that ends after some of its lines.
@pytest.mark.parametrize("route", ["unsafe", "safe", "stream"])
def test_a_success_whose_head_ends_too_early_is_not_passed_on(tmp_path, route):
    async def main():
        found = []
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            document = make_document()
            changes = {"attempts": 2, "timeout_ms": 5_000}
            document["routes"][1] |= changes | ROUTES[route]
            await platform.call_control("POST", "/api/Config.Put", document)
            worker = RawWorker("i-1")
            await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, worker.name))
            for lines in SHORT_HEADS:
                for body in (b"", BODY, EVENT):
                    head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines]) + HEAD_END
                    worker.answers = [partial(send_and_close, head + body)]
                    status, got, _ = read_answer(await ask(platform, b"r-1"))
                    if status != 502:
                        found.append((lines, body, status, got))
        return found

    assert trio.run(main) == []


async def send_and_close(data, headers, stream):
    await stream.send_all(data)
    await stream.aclose()
