"""Streams that break off, and next workers that don't go on with them."""

from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, chunked, raw_answer
from tests.platform.standin import running_platform, wait_until

#: No request lacks the budget for its second attempt.
BOUNDS = {"budget_min_retries": 10_000}
HEAD_END = b"\r\n\r\n"
FIRST = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
REST = b"id: 3\ndata: three\n\n"
WHOLE = FIRST + REST
#: Text that is an event by its form only.
ERROR = b"upstream error\n\n"
CHUNKED = b"Transfer-Encoding: chunked"
STREAM = b"text/event-stream"
TEXT = b"text/plain"
COMMENT = b": ping\n\n"


def answer_with(body, framing, status=b"200 OK", content_type=STREAM):
    """Return an answer in one of the framings ``length``, ``chunks`` and ``close``."""
    extra = {
        "length": (b"Content-Length: %d" % len(body),),
        "chunks": (CHUNKED,),
        "close": (),
    }[framing]
    data = chunked(body) if framing == "chunks" and body else body
    if framing == "chunks" and not body:
        data = b"0\r\n\r\n"
    return raw_answer(data, extra, status=status, content_type=content_type)


#: Answers to the request for the rest of a stream after its second event, none of
#: which goes on there: status, content type, body.
FALSE = {
    "404": (b"404 Not Found", TEXT, ERROR),
    "400 as a stream": (b"400 Bad", STREAM, ERROR),
    "409 with the rest": (b"409 Conflict", STREAM, REST),
    "302": (b"302 Found", TEXT, ERROR),
    "500": (b"500 Oops", TEXT, ERROR),
    "500 as a stream": (b"500 Oops", STREAM, REST),
    "502 without a body": (b"502 Bad", TEXT, b""),
    "503": (b"503 Full", TEXT, ERROR),
    "text": (b"200 OK", TEXT, ERROR),
    "document": (b"200 OK", b"application/json", b'{"error":\n\n"x"}\n\n'),
    "empty text": (b"200 OK", TEXT, b""),
    "empty stream": (b"200 OK", STREAM, b""),
    "comments only": (b"200 OK", STREAM, COMMENT),
    "text as a stream": (b"200 OK", STREAM, ERROR),
    "event without an id": (b"200 OK", STREAM, b"event: error\ndata: x\n\n"),
    "from the beginning": (b"200 OK", STREAM, WHOLE),
    "the last event again": (b"200 OK", STREAM, b"id: 2\ndata: two\n\n" + REST),
    "an event later": (b"200 OK", STREAM, b"id: 4\ndata: four\n\n"),
    "an event missing inside": (b"200 OK", STREAM, REST + b"id: 5\ndata: five\n\n"),
    "an event again inside": (b"200 OK", STREAM, REST + REST),
    "id that is no number": (b"200 OK", STREAM, b"id: x\ndata: three\n\n"),
    "another success": (b"206 Partial Content", STREAM, REST),
    "no content": (b"204 No Content", STREAM, b""),
}
FRAMINGS = ("length", "chunks", "close")


class Script:
    """Answers of all workers together, in the order of their requests."""

    def __init__(self):
        self.answers = []
        self.resumed_at = []

    async def answer(self, headers, stream):
        self.resumed_at.append(headers.get(b"last-event-id"))
        await self.answers.pop(0)(headers, stream)


async def ask(platform, script, answers, version=b"1.1"):
    """Return all bytes that a client gets for a request that workers answer so."""
    script.answers, script.resumed_at = list(answers), []
    stream = await trio.open_tcp_stream("127.0.0.1", platform.entry_port)
    async with stream:
        await stream.send_all(
            b"POST /orders/1 HTTP/%b\r\nHost: shop.example\r\nConnection: close\r\n"
            b"X-Vanillabeam-Request-Id: r-1\r\nX-Vanillabeam-Deadline-Ms: 5000\r\n"
            b"Content-Length: 0\r\n\r\n" % version
        )
        with trio.fail_after(10.0):
            return b"".join([data async for data in stream])


def play(tmp_path, run, **route):
    """Return what ``run`` does, given a platform with two workers and their script."""

    async def main():
        async with running_platform(tmp_path, bounds=BOUNDS) as platform:
            document = make_document()
            changes = {"kind": "stream", "resumable": True, "timeout_ms": 5_000}
            document["routes"][1] |= changes | {"attempts": 3} | route
            await platform.call_control("POST", "/api/Config.Put", document)
            script = Script()
            workers = [RawWorker(f"i-{n}") for n in range(3)]
            for worker in workers:
                worker.answers = [script.answer]
                await platform.add_worker(worker, service="app")
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            return await run(platform, script)

    return trio.run(main)


def read_chunks(received):
    """Return status and events of an answer in chunks, and whether it has its end."""
    head, _, rest = received.partition(HEAD_END)
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return head.split()[1], body, True
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return head.split()[1], body, False


# Guards against a stream that broke off and was filled up with another answer, or that
# ended as if complete: an error, its text, or events that don't follow.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_does_not_go_on_with_a_stream_is_not_joined(tmp_path, framing):
    async def run(platform, script):
        found = []
        for name, (status, content_type, body) in FALSE.items():
            false = answer_with(body, framing, status, content_type)
            first = raw_answer(chunked(FIRST)[:-5], (CHUNKED,))
            received = await ask(platform, script, [first, false, false])
            status, events, is_whole = read_chunks(received)
            got = status, events.replace(COMMENT, b""), is_whole
            allowed = (FIRST, WHOLE) if "inside" in name else (FIRST,)
            if got[0] != b"200" or got[1] not in allowed or got[2]:
                found.append(f"{name}: {got}")
            if script.resumed_at[:2] != [None, b"2"] or b"4" in script.resumed_at:
                found.append(f"{name}: resumed at {script.resumed_at}")
        return found

    found = play(tmp_path, run)
    assert not found, "\n".join(found)


def begin(body):
    """Return an answer in chunks that breaks off after this body."""
    return raw_answer(chunked(body)[:-5], (CHUNKED,))


#: Streams whose rest comes from another worker: what came before, and the rest.
SOUND = {
    "numbers in a row": (FIRST, REST),
    "comments before": (FIRST, COMMENT + REST + COMMENT),
    "another first line": (FIRST, b"x-weights: 2\n" + REST),
    "line ends of two bytes": (FIRST, REST.replace(b"\n", b"\r\n")),
    "inside an event": (FIRST + b"id: 3\nda", REST),
    "steps of more than one": (b"id: 8\ndata: a\n\nid: 16\ndata: b\n\n", b"id: 40\n\n"),
    "ids that are no numbers": (b"id: a\ndata: a\n\n", b"id: c\ndata: c\n\n"),
    "end without an id": (FIRST, REST + b"data: [DONE]\n\n"),
}


# Guards against a sound rest of a stream that is taken for a false one.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_the_rest_of_a_stream_is_joined(tmp_path, framing):
    async def run(platform, script):
        found = []
        for name, (first, rest) in SOUND.items():
            answers = [begin(first), answer_with(rest, framing)]
            got = read_chunks(await ask(platform, script, answers))
            if got != (b"200", first.removesuffix(b"id: 3\nda") + rest, True):
                found.append(f"{name}: {got}")
        return found

    found = play(tmp_path, run)
    assert not found, "\n".join(found)


#: Streams that no other worker can go on with, as their last event names no place.
WITHOUT_PLACE = (
    b"data: one\n\n",
    b"data: one\n\ndata: tw",
    FIRST + b"data: three\n\n",
    b"id: 1\ndata: one\n\nid:\ndata: two\n\n",
)


# Guards against a stream that another worker began anew after events without ids: its
# client got them twice.
def test_a_stream_whose_last_event_has_no_id_is_not_resumed(tmp_path):
    async def run(platform, script):
        results = []
        for first in WITHOUT_PLACE:
            answers = [begin(first), answer_with(first, "chunks")]
            got = read_chunks(await ask(platform, script, answers))
            results.append((got, len(script.resumed_at)))
        return results

    expected = [
        ((b"200", first.removesuffix(b"data: tw"), False), 1) for first in WITHOUT_PLACE
    ]
    assert play(tmp_path, run) == expected


# Guards against events that are joined because they arrive in two parts.
@pytest.mark.parametrize("name", ["text as a stream", "the last event again"])
def test_a_false_rest_in_two_parts_is_not_joined(tmp_path, name):
    _, _, body = FALSE[name]

    def in_parts(split):
        async def answer(headers, stream):
            whole = answer_with(body, "chunks")
            parts = Parts(stream, len(body) - split)
            await whole(headers, parts)

        return answer

    async def run(platform, script):
        found = []
        for split in range(1, len(body), 2):
            answers = [begin(FIRST), in_parts(split), in_parts(split)]
            got = read_chunks(await ask(platform, script, answers))
            if got != (b"200", FIRST, False):
                found.append(f"{split}: {got}")
        return found

    found = play(tmp_path, run)
    assert not found, "\n".join(found)


class Parts:
    """A stream that sends an answer in two parts with a pause between them.

    :param rest: number of bytes of the body in the second part.
    """

    def __init__(self, stream, rest):
        self._stream = stream
        self._rest = rest + len(b"\r\n0\r\n\r\n")

    async def send_all(self, data):
        await self._stream.send_all(data[: -self._rest])
        await trio.sleep(0.005)
        await self._stream.send_all(data[-self._rest :])

    async def aclose(self):
        await self._stream.aclose()


# Guards against a false rest in a stream that is held for a caller without chunks.
def test_an_http_1_0_client_gets_no_joined_stream(tmp_path):
    async def run(platform, script):
        found = []
        for name, (status, content_type, body) in FALSE.items():
            false = answer_with(body, "chunks", status, content_type)
            received = await ask(
                platform, script, [begin(FIRST), false, false], version=b"1.0"
            )
            if received.split()[1] != b"502" or b"one" in received:
                found.append(f"{name}: {received}")
        return found

    found = play(tmp_path, run)
    assert not found, "\n".join(found)


# Guards against the head of the second worker in a stream of the first one.
def test_a_resumed_stream_keeps_its_first_head_for_an_http_1_0_client(tmp_path):
    async def run(platform, script):
        stamp = b"X-Second: 1"
        rest = raw_answer(chunked(REST), (CHUNKED, stamp))
        return await ask(platform, script, [begin(FIRST), rest], version=b"1.0")

    head, _, body = play(tmp_path, run).partition(HEAD_END)
    assert body == WHOLE
    assert b"x-second" not in head.lower()
