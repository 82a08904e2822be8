"""Workers whose answers have a status that is none, or odd lines in their heads."""

from functools import partial

import httpcore
import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import HEAD_END, RawWorker, chunked, read_head
from tests.platform.standin import running_platform, wait_until

REQUEST_ID = b"x-vanillabeam-request-id"
BODY = b"the whole answer"
EVENT = b"id: 1\ndata: one\n\n"
PATHS = {"plain": "/orders/1", "stream": "/prompts/1"}


class HeadWorker(RawWorker):
    """A worker whose heads a test writes.

    :ivar make: returns the bytes of an answer for the id of its request.
    """

    async def _serve(self, stream):
        head = await read_head(stream)
        if head is not None:
            await stream.send_all(self.make(head[REQUEST_ID]))
            await stream.aclose()


def make_answer(
    request_id, kind, status=b"200 OK", odd=None, place="last", before=b"", trailer=None
):
    """Return an answer in chunks.

    :param odd: a line of the head.
    :param place: place of that line: ``first``, ``middle`` or ``last``.
    :param before: bytes before the answer.
    :param trailer: a line after the last chunk.
    """
    is_stream = kind == "stream"
    lines = [
        b"Content-Type: " + (b"text/event-stream" if is_stream else b"text/plain"),
        b"X-Vanillabeam-Request-Id: " + request_id,
        b"Transfer-Encoding: chunked",
        b"X-Vanillabeam-Response-Stamp: stamp",
    ]
    if odd is not None:
        lines.insert({"first": 0, "middle": 2, "last": 4}[place], odd)
    head = b"\r\n".join([b"HTTP/1.1 " + status, *lines])
    body = chunked(EVENT if is_stream else BODY)
    if trailer is not None:
        body = body.removesuffix(b"\r\n") + trailer + b"\r\n\r\n"
    return before + head + HEAD_END + body


def ask(folder, kind, answers):
    """Return what callers get, for each answer of a worker: status, body and names.

    :param answers: functions of the request's id.
    """

    async def main():
        async with running_platform(folder) as platform:
            document = make_document()
            document["routes"][0] |= {"resumable": False, "attempts": 1}
            await platform.call_control("POST", "/api/Config.Put", document)
            worker = HeadWorker("i-1")
            service = "app" if kind == "plain" else "llm"
            await platform.add_worker(worker, service=service)
            await platform.wait_ready()
            await wait_until(partial(platform.has_target, "i-1"))
            results = []
            for worker.make in answers:
                results.append(await send(platform, PATHS[kind]))
            return results

    return trio.run(main)


async def send(platform, path):
    try:
        res = await platform.send_request(path)
    except httpcore.RemoteProtocolError:
        return 0, b"", set()
    return res.status, res.content, {name.lower() for name, _ in res.headers}


NO_STATUS = [
    b"000 Zero",
    b"001 One",
    b"099 Low",
    b"100 Continue",
    b"101 Switching Protocols",
    b"199 Odd",
    b"20 OK",
    b"2000 OK",
    b"-20 OK",
    b"+20 OK",
    b"2x0 OK",
    b" 200 OK",
    b"600 High",
    b"700 High",
    b"999 High",
]


# Guards against an answer whose status is none, which callers got as an answer.
@pytest.mark.parametrize("kind", PATHS)
def test_an_answer_whose_status_is_none_is_not_passed_on(tmp_path, kind):
    answers = [partial(make_answer, kind=kind, status=status) for status in NO_STATUS]
    results = ask(tmp_path, kind, answers)
    passed = {
        status: result
        for status, result in zip(NO_STATUS, results, strict=True)
        if result[0] != 502
    }
    assert passed == {}


# Statuses that nobody has registered are valid all the same.
@pytest.mark.parametrize("status", [b"299 Odd", b"418 Odd", b"499 Odd", b"599 Odd"])
def test_an_answer_with_an_odd_status_is_passed_on(tmp_path, status):
    (result,) = ask(
        tmp_path, "plain", [partial(make_answer, kind="plain", status=status)]
    )
    assert result[:2] == (int(status[:3]), BODY)


#: Lines with a blank or a control byte in the name of a field, or before it.
ODD_LINES = [
    b"Content-Length : 9",
    b"Content-Length\t: 9",
    b"Content Length: 9",
    b"Content\tLength: 9",
    b"X-Note : a",
    b"X Note: a",
    b"X-\x00Note: a",
    b"X-\x01Note: a",
    b"X-\x0bNote: a",
    b"X-\x1fNote: a",
    b"X-\x7fNote: a",
    b"X-\rNote: a",
    b"\x00: a",
    b"\x01X-Note: a",
    b": a",
    b"X-Note",
    b"\xc2\xa0X-Note: a",
    # Lines that begin with a blank, which belong to the line before by an old rule.
    b" Content-Length: 9",
    b"\tContent-Length: 9",
    b" Transfer-Encoding: chunked",
    b"\tX-Note: a",
    b" X-Note: a",
    b" ",
    # Control bytes in values.
    b"X-Note: a\x01b",
    b"X-Note: a\x00b",
    b"X-Note: a\rb",
    b"X-Note: \x7f",
    b"X-Note: a\x1b[31m",
]
PLACES = ("first", "middle", "last")


# Guards against a head that two readers understand in two ways: a line was passed on,
# or joined to the one before, and another body could be meant.
@pytest.mark.parametrize("kind", PATHS)
def test_an_answer_with_an_odd_line_in_its_head_is_not_passed_on(tmp_path, kind):
    cases = [(line, place) for line in ODD_LINES for place in PLACES]
    answers = [
        partial(make_answer, kind=kind, odd=line, place=place) for line, place in cases
    ]
    results = ask(tmp_path, kind, answers)
    passed = {
        case: result
        for case, result in zip(cases, results, strict=True)
        if result[0] != 502
    }
    assert passed == {}


# The same in a head before the answer.
@pytest.mark.parametrize("kind", PATHS)
def test_an_interim_head_with_an_odd_line_is_not_skipped(tmp_path, kind):
    lines = [b"X Note: a", b"X-\x01Note: a", b"X-Note: a\r\n Content-Length: 9"]
    answers = [
        partial(
            make_answer, kind=kind, before=b"HTTP/1.1 103 Hints\r\n" + line + HEAD_END
        )
        for line in lines
    ]
    assert [status for status, _, _ in ask(tmp_path, kind, answers)] == [502] * 3


# Lines that are in order, though rare.
@pytest.mark.parametrize(
    "line",
    [
        b"X-Note:",
        b"X-Note:   a \t b  ",
        b"x!#$%&'*+-.^_`|~9: a",
        b"X-Note: caf\xc3\xa9 \xff",
        b"X-Note: a: b",
    ],
)
def test_an_answer_with_a_rare_line_is_passed_on(tmp_path, line):
    answers = [partial(make_answer, kind="plain", odd=line, place=p) for p in PLACES]
    results = ask(tmp_path, "plain", answers)
    assert [(status, body) for status, body, _ in results] == [(200, BODY)] * 3


# What follows the last chunk of an answer, and what stands beside the size of a chunk,
# never reaches callers, and the body stays the worker's.
@pytest.mark.parametrize(
    "trailer",
    [b"X-Extra: a", b"X Extra: a", b"X-\x01Extra: a", b"X-Extra: a\r\n Set-Cookie: b"],
)
def test_trailers_are_not_passed_on(tmp_path, trailer):
    answer = partial(make_answer, kind="plain", trailer=trailer)
    ((status, body, names),) = ask(tmp_path, "plain", [answer])
    assert not names & {b"x-extra", b"set-cookie"}
    assert (status, body) == (200, BODY) or status == 502


@pytest.mark.parametrize("extension", [b";a=b", b";a=\x01", b' ; a="b"', b"\x01"])
def test_extensions_of_chunks_are_not_passed_on(tmp_path, extension):
    def answer(request_id):
        size, rest = b"%x" % len(BODY), b"\r\n" + BODY + b"\r\n0\r\n\r\n"
        whole = make_answer(request_id, "plain")
        return whole.replace(size + rest, size + extension + rest)

    ((status, body, _),) = ask(tmp_path, "plain", [answer])
    assert (status, body) == (200, BODY) or status == 502
