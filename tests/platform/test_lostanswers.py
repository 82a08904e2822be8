"""Answers that are lost: what runs again, and what the caller is told of it."""

from functools import partial

import httpcore
import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, raw_answer, reset_on_close
from tests.platform.standin import running_platform, wait_until

OK = raw_answer(b"good", (b"Content-Length: 4",), content_type=b"text/plain")
REFUSED = (b"X-Vanillabeam-Not-Executed: 1", b"Retry-After: 0")
#: Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


def cut_after(data, is_reset=False):
    """Return an answer that ends after these bytes, which name no request yet."""

    async def answer(headers, stream):
        if data:
            await stream.send_all(data)
        if is_reset:
            await trio.sleep(0.05)
            reset_on_close(stream)
        await stream.aclose()

    return answer


def refuse(status, body=b"full", length=4):
    extra = (*REFUSED, b"Content-Length: %d" % length)
    return raw_answer(body, extra, status=status, content_type=b"text/plain")


#: After each of these the request may have run.
LOST = {
    "closed": cut_after(b""),
    "reset": cut_after(b"", is_reset=True),
    "inside the status line": cut_after(b"HTTP/1.1 5"),
    "inside the head": cut_after(b"HTTP/1.1 503 Full\r\nX-Vanillabeam-Not-Exec"),
    "after an interim answer": cut_after(b"HTTP/1.1 103 Early\r\n\r\n", is_reset=True),
    "inside the body": raw_answer(b"go", (b"Content-Length: 4",)),
    "inside the body, reset": raw_answer(b"go", (b"Content-Length: 4",), is_reset=True),
    "a failure": raw_answer(b"fail", (b"Content-Length: 4",), status=b"500 Oops"),
    "a 503 that says no more": raw_answer(
        b"full", (b"Content-Length: 4",), status=b"503 Full"
    ),
    "a 429 that says no more": raw_answer(
        b"full", (b"Content-Length: 4",), status=b"429 Limited"
    ),
    "a 408 that says no more": raw_answer(
        b"late", (b"Content-Length: 4",), status=b"408 Late"
    ),
    "no answer": cut_after(b"\x00\x01garbage\r\n\r\n"),
    "a success that says not run": raw_answer(
        b"good", (b"Content-Length: 4", REFUSED[0]), content_type=b"text/plain"
    ),
    "a stream that says not run": raw_answer(
        b"id: 1\ndata: one\n\nid: 2", (REFUSED[0],)
    ),
}
#: After each of these the request has not run.
NOT_RUN = {
    "full": refuse(b"503 Full"),
    "limited": refuse(b"429 Limited"),
    "another worker": refuse(b"421 Misdirected"),
    "full, inside the body": refuse(b"503 Full", b"fu"),
}


def ask(tmp_path, first, second, **route):
    """Return the status that a client gets and the number of requests sent.

    :param first: answer of the worker that gets the request first.
    :param second: answer of the other worker.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            document = make_document()
            document["routes"][1] |= {"attempts": 2, "timeout_ms": 5_000} | route
            await platform.call_control("POST", "/api/Config.Put", document)
            workers = [RawWorker("i-1"), RawWorker("i-2")]
            queue = [first, second]

            async def answer_next(headers, stream):
                await queue.pop(0)(headers, stream)

            for worker in workers:
                worker.answers = [answer_next]
                await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            try:
                status = (await platform.send_request()).status
            except httpcore.RemoteProtocolError:
                status = 0
            return status, sum(len(worker.received_headers) for worker in workers)

    return trio.run(main)


# Guards against work that has run and is run again after its answer was lost, and
# against a caller that is told that it has not run.
@pytest.mark.parametrize("kind", ["unsafe", "stream"])
@pytest.mark.parametrize("name", LOST)
def test_a_request_that_may_run_once_is_sent_once_after_a_lost_answer(
    tmp_path, name, kind
):
    status, received = ask(tmp_path, LOST[name], OK, kind=kind)
    assert received == 1
    assert status not in (200, *PROMISES)


@pytest.mark.parametrize("name", LOST)
def test_a_safe_request_is_sent_again_after_a_lost_answer(tmp_path, name):
    assert ask(tmp_path, LOST[name], OK, kind="safe") == (200, 2)


# Guards against a promise of the second target that hides the run at the first one.
@pytest.mark.parametrize("refusal", NOT_RUN)
@pytest.mark.parametrize("name", ["closed", "inside the body", "a failure"])
def test_a_refusal_after_a_lost_answer_promises_nothing(tmp_path, name, refusal):
    status, received = ask(tmp_path, LOST[name], NOT_RUN[refusal], kind="safe")
    assert received == 2
    assert status not in (200, *PROMISES)


@pytest.mark.parametrize("name", NOT_RUN)
def test_a_request_that_may_run_once_is_sent_again_after_a_refusal(tmp_path, name):
    assert ask(tmp_path, NOT_RUN[name], OK, kind="unsafe") == (200, 2)
