"""Lines to a descriptor whose reader may be slow."""

import os
from collections import deque

__all__ = ["LineWriter"]

#: Lines that wait for a slow reader.
MAX_QUEUED_LINES = 2_000


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    :param descriptor: made non-blocking.
    :ivar dropped: lines that found no place.

    >>> output = Output(1)
    >>> output.write("one line")
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()

    def write(self, message: str) -> None:
        """Write a line now, or keep it until there is room."""
        if len(self._waiting) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._waiting.append(message.encode())
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any longer; the process goes on without a log.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
