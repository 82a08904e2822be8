"""A run's server-sent events: split, numbered, decoded no more than needed."""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import TargetFailed

__all__ = ["ALIVE", "DONE", "Batch", "End", "EventReader", "Piece"]

PENDING_LIMIT_BYTES = 1024 * 1024
ALIVE = b": alive\n\n"
DONE = b"data: [DONE]\n\n"


class Piece(NamedTuple):
    """One numbered piece of an answer.

    :param data: the OpenAI chunk as the engine wrote it.
    :param text: what it adds to the answer's text.
    :param last: whether it carries the reason why the answer ends.
    :param plain: whether text is all that it adds.
    """

    number: int
    data: bytes
    text: str = ""
    last: bool = False
    plain: bool = True


class End(NamedTuple):
    """The end mark.

    :param pieces: how many pieces the whole answer has.
    """

    pieces: int
    version: str = ""


class Batch(NamedTuple):
    """What one read brought.

    :param alive: whether comments came.
    """

    pieces: list[Piece]
    end: End | None = None
    alive: bool = False


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: msgspec.Raw | None = None
    function_call: msgspec.Raw | None = None
    reasoning_content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


class _EndData(msgspec.Struct):
    pieces: int
    version: str = ""


_CHUNKS = msgspec.json.Decoder(_Chunk)
_ENDS = msgspec.json.Decoder(_EndData)


class EventReader:
    """Cuts the bytes of one connection into events.

    >>> reader = EventReader()
    >>> reader.feed(b'id: 1\\ndata: {"choices":[{"text":"a"}]}\\n').unwrap().pieces
    []
    >>> reader.feed(b'\\n').unwrap().pieces[0].text
    'a'
    """

    def __init__(self):
        self._pending = b""

    def feed(self, data: bytes) -> Result[Batch, TargetFailed]:
        """Return what ``data`` completes.

        :returns: a batch, or :class:`TargetFailed` if it is no stream of events.
        """
        if b"\r" in data:
            data = data.replace(b"\r", b"")
        events = (self._pending + data).split(b"\n\n")
        self._pending = events.pop()
        if len(self._pending) > PENDING_LIMIT_BYTES:
            return Failure(TargetFailed("an event is too large"))
        try:
            return Success(_batch(events))
        except (msgspec.MsgspecError, ValueError) as exc:
            return Failure(TargetFailed(f"an event can't be read: {exc}"))


def _batch(events: list[bytes]) -> Batch:
    pieces: list[Piece] = []
    end = None
    alive = False
    for event in events:
        if event.startswith(b"id:"):
            pieces.append(_piece(event))
        elif event.startswith(b"event: end"):
            end = _end(event)
        else:
            alive = True
    return Batch(pieces, end, alive)


def _piece(event: bytes) -> Piece:
    number, _, line = event.partition(b"\n")
    if not line.startswith(b"data:") or b"\n" in line:
        raise ValueError("a piece has one line of data")
    data = line[5:].lstrip()
    chunk = _CHUNKS.decode(data)
    if not chunk.choices:
        return Piece(int(number[3:]), data)
    choice = chunk.choices[0]
    last = choice.finish_reason is not None
    delta = choice.delta
    if delta is None:
        return Piece(int(number[3:]), data, choice.text or "", last)
    plain = (
        len(chunk.choices) == 1
        and delta.tool_calls is None
        and delta.function_call is None
        and delta.reasoning_content is None
    )
    return Piece(int(number[3:]), data, delta.content or "", last, plain)


def _end(event: bytes) -> End:
    data = event.partition(b"data:")[2]
    decoded = _ENDS.decode(data)
    return End(decoded.pieces, decoded.version)
