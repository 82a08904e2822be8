"""Splitting of a server-sent event stream into whole events."""

__all__ = ["EventCutter"]

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventCutter:
    """Returns whole events and buffers an incomplete one.

    :param last_id: id of the last event before this stream, empty at its beginning.
    :ivar last_id: id of the last event that was returned.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> cutter.last_id
    '1'
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete now."""
        self._buffer += data
        ends = [
            self._buffer.rfind(mark) + len(mark)
            for mark in _ENDS
            if mark in self._buffer
        ]
        end = max(ends, default=0)
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

    def _update_last_id(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
