import httpcore
import pytest
import trio

from tests.fleet.builders import make_target
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.events import EventCutter
from vanillabeam.forwarding.sending.relay import MAX_EVENT_BYTES, StreamRelay
from vanillabeam.forwarding.sending.upstream import OpenResponse

PART = b"x" * 65_536


class Parts:
    """Body that counts the parts that were read of it."""

    def __init__(self, parts):
        self._parts = parts
        self.read = 0

    async def __aiter__(self):
        for part in self._parts:
            self.read += 1
            yield part


def relay(parts, resumable, headers=()):
    """Return the outcome of a relay, the messages to the caller and the parts read."""
    body, sent = Parts(parts), []

    async def send(message):
        sent.append(message)

    async def main():
        raw = httpcore.Response(200, content=body)
        response = OpenResponse(200, list(headers), raw)
        return await StreamRelay(
            response,
            make_target(),
            EventCutter(),
            ResponseWriter(send),
            resumable,
            lambda: None,
        ).run()

    return trio.run(main), sent, body.read


# Guards against a target that never ends an event and fills this VM's memory.
@pytest.mark.parametrize("resumable", [False, True])
def test_an_event_that_never_ends_breaks_the_stream_off(resumable):
    count = 4 * MAX_EVENT_BYTES // len(PART)
    broken, _, read = relay([PART] * count, resumable)
    assert "too large" in broken.exc.detail
    assert read * len(PART) <= MAX_EVENT_BYTES + len(PART)


def test_large_streams_of_small_events_are_passed_on():
    event = b"id: 1\ndata: " + PART + b"\n\n"
    count = 2 * MAX_EVENT_BYTES // len(event)
    broken, sent, read = relay([event] * count, True)
    assert (broken, read) == (None, count)
    assert sum(len(message.get("body", b"")) for message in sent) == count * len(event)


def test_a_resumable_stream_is_passed_on_in_whole_events():
    parts = [b"id: 1\nda", b"ta: a\n\nid: 2\n", b"data: b\n\n"]
    _, sent, _ = relay(parts, True)
    bodies = [message["body"] for message in sent if message.get("body")]
    assert bodies == [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]


def test_the_length_of_a_stream_is_not_passed_on():
    headers = [(b"content-length", b"15"), (b"x-stamp", b"s")]
    _, sent, _ = relay([b"id: 1\ndata: a\n\n"], False, headers)
    assert sent[0]["headers"] == [(b"x-stamp", b"s")]
