"""Parser for the server-sent events of a run.

Only the fields needed for forwarding are decoded.
"""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import TargetFailed

__all__ = ["DONE", "KEEP_ALIVE", "Batch", "End", "EventReader", "Piece"]

MAX_EVENT_BYTES = 1024 * 1024
KEEP_ALIVE = b": alive\n\n"
DONE = b"data: [DONE]\n\n"


class Piece(NamedTuple):
    """One numbered chunk of an answer.

    :param number: position in the run, from 1 on.
    :param data: the OpenAI chunk as the engine wrote it.
    :param text: text that the chunk adds to the answer.
    :param last: whether the chunk has a ``finish_reason``.
    :param text_only: whether the chunk adds nothing but text: no tool call,
        function call, reasoning content or further choice.
    """

    number: int
    data: bytes
    text: str = ""
    last: bool = False
    text_only: bool = True


class End(NamedTuple):
    """The event that marks the end of a run.

    :param pieces: number of pieces in the complete run.
    :param version: weight version reported by the engine, empty if it
        reported none.
    """

    pieces: int
    version: str = ""


class Batch(NamedTuple):
    """Events completed by one read.

    :param end: the end mark, if it was read.
    :param keep_alive: whether the read had comments, which engines send as
        keep-alives.
    """

    pieces: list[Piece]
    end: End | None = None
    keep_alive: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether no event and no comment was completed."""
        return not (self.pieces or self.end or self.keep_alive)


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


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)
_END_DECODER = msgspec.json.Decoder(_EndData)


class EventReader:
    """Splits the byte stream of one connection into events.

    >>> reader = EventReader()
    >>> reader.feed(b'id: 1\\ndata: {"choices":[{"text":"a"}]}\\n').unwrap().pieces
    []
    >>> reader.feed(b'\\n').unwrap().pieces[0].text
    'a'
    """

    def __init__(self):
        self._pending = b""

    @property
    def is_inside_event(self) -> bool:
        """Whether bytes of an incomplete event have come."""
        return bool(self._pending)

    def feed(self, data: bytes) -> Result[Batch, TargetFailed]:
        """Return the events that ``data`` completes.

        :returns: a batch, or :class:`TargetFailed` if an event is invalid or, complete
            or not, exceeds :data:`MAX_EVENT_BYTES`.
        """
        if b"\r" in data:
            data = data.replace(b"\r", b"")
        events = (self._pending + data).split(b"\n\n")
        self._pending = events.pop()
        if any(len(event) > MAX_EVENT_BYTES for event in (*events, self._pending)):
            return Failure(TargetFailed("an event is too large"))
        try:
            return Success(_parse_batch(events))
        except (msgspec.MsgspecError, ValueError) as exc:
            return Failure(TargetFailed(f"an event can't be read: {exc}"))


def _parse_batch(events: list[bytes]) -> Batch:
    pieces: list[Piece] = []
    end = None
    keep_alive = False
    for event in events:
        if event.startswith(b"id:"):
            pieces.append(_parse_piece(event))
        elif event.startswith(b"event: end"):
            end = _parse_end(event)
        else:
            keep_alive = True
    return Batch(pieces, end, keep_alive)


def _parse_piece(event: bytes) -> Piece:
    number, _, line = event.partition(b"\n")
    if not line.startswith(b"data:") or b"\n" in line:
        raise ValueError("a piece has one line of data")
    data = line[5:].lstrip()
    chunk = _CHUNK_DECODER.decode(data)
    if not chunk.choices:
        return Piece(int(number[3:]), data)
    choice = chunk.choices[0]
    last = choice.finish_reason is not None
    delta = choice.delta
    if delta is None:
        return Piece(int(number[3:]), data, choice.text or "", last)
    text_only = (
        len(chunk.choices) == 1
        and delta.tool_calls is None
        and delta.function_call is None
        and delta.reasoning_content is None
    )
    return Piece(int(number[3:]), data, delta.content or "", last, text_only)


def _parse_end(event: bytes) -> End:
    data = event.partition(b"data:")[2]
    decoded = _END_DECODER.decode(data)
    return End(decoded.pieces, decoded.version)
