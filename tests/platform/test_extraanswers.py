"""Workers that send more on a kept connection than the answer to each request."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, read_head
from tests.platform.standin import running_platform, wait_until

REQUEST_ID = b"x-vanillabeam-request-id"
STAMP = b"X-Vanillabeam-Response-Stamp: stamp\r\n"


class KeptWorker(RawWorker):
    """A worker that keeps its connections.

    :ivar answers: the bytes of the next answers; each is a function of the id of the
        request. Without one left, the answer is the request's own.
    :ivar connections: number of connections that it has accepted.
    """

    def __init__(self, name):
        super().__init__(name)
        self.connections = 0

    async def _serve(self, stream):
        self.connections += 1
        # Its callers close connections with bytes that they haven't read.
        with suppress(trio.BrokenResourceError):
            while (head := await read_head(stream)) is not None:
                self.received_headers.append(head)
                make = self.answers.pop(0) if self.answers else make_answer
                await stream.send_all(make(head[REQUEST_ID]))


def make_answer(request_id, status=b"200 OK", has_id=True, extra=b""):
    """Return an answer whose body names its request."""
    body = b"for " + request_id
    id_line = b"X-Vanillabeam-Request-Id: " + request_id + b"\r\n" if has_id else b""
    length = b"Content-Length: %d\r\n" % len(body)
    head = b"HTTP/1.1 " + status + b"\r\n" + id_line + STAMP + extra + length
    return head + b"\r\n" + body


def make_stream(request_id, has_id=True):
    """Return a whole stream in chunks whose event names its request."""
    event = b"id: 1\ndata: for " + request_id + b"\n\n"
    id_line = b"X-Vanillabeam-Request-Id: " + request_id + b"\r\n" if has_id else b""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        + id_line
        + STAMP
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event)


NOT_RUN = {
    "status": b"503 Service Unavailable",
    "extra": b"X-Vanillabeam-Not-Executed: 1\r\n",
}
EXTRA = {
    "copy": make_answer(b"r-1"),
    "copy without its id": make_answer(b"r-1", has_id=False),
    "copy of a refusal": make_answer(b"r-1", **NOT_RUN),
    "copy of a failure": make_answer(b"r-1", status=b"500 Oops"),
    "copy of a stream": make_stream(b"r-1"),
    "copy of a stream without its id": make_stream(b"r-1", has_id=False),
    "interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "two interim answers": 2 * b"HTTP/1.1 100 Continue\r\n\r\n",
    "no answer": b"\x00garbage\r\n\r\n",
    "begin of an answer": b"HTTP/1.1 200 OK\r\nContent-Le",
    "empty lines": b"\r\n\r\n",
}


def ask_twice(tmp_path, answers, path):
    """Return what the callers of two requests get on one connection of a worker.

    :param answers: the answers of the worker, see :class:`KeptWorker`.
    :returns: the answers to the callers, and the worker.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_document()
            document["routes"][0] |= {"resumable": False, "attempts": 1}
            await platform.call_control("POST", "/api/Config.Put", document)
            worker = KeptWorker("i-1")
            worker.answers = list(answers)
            service = "app" if path.startswith("/orders") else "llm"
            await platform.add_worker(worker, service=service)
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, "i-1"))
            results = [
                await platform.send_request(path, request_id=request_id)
                for request_id in (b"r-1", b"r-2")
            ]
            return results, worker

    return trio.run(main)


MAKERS = {"/orders/1": make_answer, "/prompts/1": make_stream}


# Guards against bytes after a whole answer that are taken for the answer to the next
# request on the connection, or that make it fail though a new connection would do.
@pytest.mark.parametrize("path", MAKERS)
@pytest.mark.parametrize("name", EXTRA)
def test_bytes_after_a_whole_answer_belong_to_no_request(tmp_path, name, path):
    make = MAKERS[path]
    answers = [lambda request_id: make(request_id) + EXTRA[name], make]
    (first, second), worker = ask_twice(tmp_path, answers, path)
    assert (first.status, second.status) == (200, 200)
    assert first.content in make(b"r-1")
    assert b"for r-2" in second.content
    assert worker.connections == 2


#: Extra answers at the point where the next one is expected, and the statuses that the
#: caller may get: its own answer, or a failure that promises nothing.
LATE = {
    "copy": {502},
    "copy without its id": {502},
    "copy of a refusal": {502},
    "copy of a failure": {502},
    "copy of a stream": {502},
    "copy of a stream without its id": {502},
    "interim answer": {200},
    "two interim answers": {200},
    "no answer": {502},
}


# Guards against an extra answer that arrives late, where the next one is expected: the
# next caller got an answer that wasn't its own.
@pytest.mark.parametrize("path", MAKERS)
@pytest.mark.parametrize("name", LATE)
def test_a_late_extra_answer_is_not_the_next_callers(tmp_path, name, path):
    make = MAKERS[path]
    answers = [make, lambda request_id: EXTRA[name] + make(request_id)]
    (first, second), worker = ask_twice(tmp_path, answers, path)
    assert first.status == 200
    assert second.status in LATE[name]
    assert b"for r-1" not in second.content
    assert (b"for r-2" in second.content) == (second.status == 200)
    assert [head[REQUEST_ID] for head in worker.received_headers] == [b"r-1", b"r-2"]


# Guards against an answer that names two requests.
def test_an_answer_with_the_ids_of_two_requests_is_not_passed_on(tmp_path):
    other = b"X-Vanillabeam-Request-Id: r-1\r\n"
    answers = [make_answer, partial(make_answer, extra=other)]
    (_, second), _ = ask_twice(tmp_path, answers, "/orders/1")
    assert second.status == 502
