"""Check of the heads of answers, beside that of the HTTP library, which allows more."""

import re

__all__ = ["HeadCheck", "HeadFault"]

#: Statuses of RFC 9110, 15; others are invalid.
LOWEST_STATUS = 100
HIGHEST_STATUS = 599
#: Answer to a request to change protocols, which this program never makes.
SWITCHING_PROTOCOLS = 101
LOWEST_FINAL_STATUS = 200
#: Longest end of a head that may be split between two reads.
MAX_END_BYTES = 3

_END = re.compile(rb"\n\r?\n")
#: Line that begins with a blank; by a rule that RFC 9112 (5.2) has withdrawn it goes on
#: with the line before.
_FOLDED = re.compile(rb"\n[ \t]")
#: Control bytes that a head can't hold (RFC 9110, 5.5), and a CR that ends no line.
_CONTROL = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)")
_STATUS = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})(?: |\r?\n)")


class HeadFault(Exception):
    """The head of an answer is none."""


class HeadCheck:
    """Checks the head of each answer on one connection as its bytes arrive.

    >>> check = HeadCheck()
    >>> check.begin()
    >>> check.feed(b"HTTP/1.1 200 OK\\r\\n\\r\\nbody")
    >>> check.begin()
    >>> check.feed(b"HTTP/1.1 600 No\\r\\n\\r\\n")
    Traceback (most recent call last):
    ...
    vanillabeam.answerheads.HeadFault: status 600
    """

    def __init__(self):
        self._is_head = False
        self._received = bytearray()

    def begin(self) -> None:
        """Expect the head of an answer next, as a request is being sent."""
        self._is_head = True
        self._received.clear()

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection; those of a body are not looked at.

        :raises HeadFault: if they complete a head that is none.
        """
        if not self._is_head:
            return
        searched = max(0, len(self._received) - MAX_END_BYTES)
        self._received += data
        while (end := _END.search(self._received, searched)) is not None:
            head = bytes(self._received[: end.end()])
            del self._received[: end.end()]
            searched = 0
            if _check_head(head) >= LOWEST_FINAL_STATUS:
                self._is_head = False
                self._received.clear()
                return


def _check_head(head: bytes) -> int:
    """Return the status of a head.

    :raises HeadFault: if the head is none.
    """
    status_line = _STATUS.match(head)
    if status_line is None:
        raise HeadFault("no status")
    status = int(status_line[1])
    if not LOWEST_STATUS <= status <= HIGHEST_STATUS or status == SWITCHING_PROTOCOLS:
        raise HeadFault(f"status {status}")
    if _FOLDED.search(head):
        raise HeadFault("a line begins with a blank")
    if _CONTROL.search(head):
        raise HeadFault("a control byte")
    return status
