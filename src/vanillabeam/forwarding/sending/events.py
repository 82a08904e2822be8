"""Splitting of a server-sent event stream into whole events."""

import re

__all__ = ["EventCutter"]

#: An empty line, which ends an event. The group is atomic, so that one CRLF isn't
#: taken for two line ends.
_EVENT_END = re.compile(rb"(?>\r\n|\n|\r){2}")
MAX_EVENT_END_BYTES = 4


class EventCutter:
    """Returns whole events and buffers an incomplete one.

    :param last_id: id of the last event before this stream, empty at its beginning.
    :ivar last_id: id of the last event that was returned.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> cutter.last_id, cutter.is_inside_event
    ('1', True)
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete now."""
        start = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        ends = [match.end() for match in _EVENT_END.finditer(self._buffer, start)]
        end = ends[-1] if ends else 0
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        self._update_last_id(whole)
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

    def _update_last_id(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
