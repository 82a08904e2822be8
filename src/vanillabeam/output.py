"""Non-blocking output of lines to a file descriptor."""

import os
from collections import deque

__all__ = ["STANDARD_OUTPUT", "LineWriter", "open_standard_streams"]

STANDARD_OUTPUT = 1
STANDARD_STREAMS = (0, 1, 2)

#: Maximum number of lines queued for a slow reader; further lines are dropped.
MAX_QUEUED_LINES = 2_000


def open_standard_streams() -> None:
    """Open the null device in place of standard streams that are closed.

    Otherwise the next file or connection gets such a number, and log lines would be
    written to it.
    """
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is used, which is this one.
            os.open(os.devnull, os.O_RDWR)


class LineWriter:
    """Writes lines to a file descriptor without blocking on a slow reader.

    :param descriptor: open file descriptor; it is set to non-blocking mode.
    :ivar dropped: number of lines dropped because the queue was full or the
        descriptor failed.

    >>> output = LineWriter(1)
    >>> output.write("one line")
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._queued: deque[bytes] = deque()

    def write(self, message: str) -> None:
        """Write a line, or queue it while the descriptor accepts no more data.

        Queued lines are written by later calls.

        :param message: line with its final newline.
        """
        if len(self._queued) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queued.append(message.encode())
        while self._queued:
            line = self._queued[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the process continues without logs.
                self.dropped += len(self._queued)
                self._queued.clear()
                return
            if written < len(line):
                self._queued[0] = line[written:]
                return
            self._queued.popleft()
