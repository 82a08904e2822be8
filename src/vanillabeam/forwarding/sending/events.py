"""Splitting of a server-sent event stream into whole events."""

import re

__all__ = ["EventCutter"]

#: An empty line, which ends an event. The group is atomic, so that one CRLF isn't
#: taken for two line ends.
_EVENT_END = re.compile(rb"(?>\r\n|\n|\r){2}")
MAX_EVENT_END_BYTES = 4
#: Longest id that is read as a number.
MAX_DIGITS = 18


class EventCutter:
    """Returns whole events and buffers an incomplete one.

    An answer that goes on with the stream of another one must begin with an event that
    bears the next id. Its ids must increase, by one where all ids before did.

    :param last_id: id of the last event before this stream, empty at its beginning.
    :ivar last_id: id of the last event that was returned.
    :ivar can_resume: whether another answer can go on after the last event, which must
        bear an id.
    :ivar is_misplaced: whether the answer doesn't go on where the stream broke off.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> cutter.last_id, cutter.is_inside_event
    ('1', True)
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self.can_resume = True
        self.is_misplaced = False
        self._buffer = b""
        self._is_resumed = False
        #: True while the ids increase by one from event to event.
        self._is_counting = True
        #: True once the present answer has brought an event.
        self._has_event = False

    def resume(self) -> None:
        """Take what follows from another answer, which is to go on with the stream."""
        self.is_misplaced = False
        self._is_resumed = True
        self._has_event = False

    @property
    def lacks_events(self) -> bool:
        """Whether an answer that is to go on with the stream has brought no event."""
        return self._is_resumed and not self._has_event

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete now.

        Events that don't follow those before are dropped: :attr:`is_misplaced`.
        """
        start = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        ends = [match.end() for match in _EVENT_END.finditer(self._buffer, start)]
        end = ends[-1] if ends else 0
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        event_ids = _read_ids(whole)
        if self._is_resumed and not self._do_follow(event_ids):
            self.is_misplaced = True
            return b""
        self._record(event_ids)
        return whole

    def finish(self) -> bytes:
        """Return the buffered bytes at the regular end of the stream."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def drop_partial(self) -> None:
        """Drop the incomplete event that is left after a break."""
        self._buffer = b""

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event or inside any other line.

        Empty lines and comments may follow the last event.
        """
        *lines, last = re.split(rb"\r\n|\n|\r", self._buffer)
        return bool(last) or any(line and line[:1] != b":" for line in lines)

    def _record(self, event_ids: list[str | None]) -> None:
        for event_id in event_ids:
            self._has_event = True
            self.can_resume = bool(event_id)
            if event_id is None:
                continue
            if self.last_id and not _is_next(self.last_id, event_id):
                self._is_counting = False
            self.last_id = event_id

    def _do_follow(self, event_ids: list[str | None]) -> bool:
        """Return whether events go on with the stream."""
        before, has_event = self.last_id, self._has_event
        for event_id in event_ids:
            if event_id is None and before and not has_event:
                return False
            has_event = True
            if event_id is None:
                continue
            is_counting = self._is_counting and _is_number(before)
            follows = _is_next if is_counting else _is_later
            if before and not follows(before, event_id):
                return False
            before = event_id
        return True


def _read_ids(whole: bytes) -> list[str | None]:
    """Return the id of each event, ``None`` for one without; comments are none."""
    event_ids: list[str | None] = []
    event_id, has_field = None, False
    for line in whole.splitlines():
        if line[:3] == b"id:":
            event_id, has_field = line[3:].strip().decode("latin-1"), True
        elif line:
            has_field = has_field or line[:1] != b":"
        elif has_field:
            event_ids.append(event_id)
            event_id, has_field = None, False
    return event_ids


def _is_number(event_id: str) -> bool:
    return len(event_id) <= MAX_DIGITS and event_id.isdecimal()


def _is_next(before: str, event_id: str) -> bool:
    """Return whether an id is the number after another one."""
    if not (_is_number(before) and _is_number(event_id)):
        return False
    return int(event_id) == int(before) + 1


def _is_later(before: str, event_id: str) -> bool:
    """Return whether an id may come after another one; only numbers have an order."""
    if _is_number(before) and _is_number(event_id):
        return int(event_id) > int(before)
    return event_id != before
