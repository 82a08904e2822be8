"""Events and effects of the prompt core in :mod:`vanillabeam.answers.promptrun`."""

from typing import NamedTuple

from vanillabeam.answers.events import End, Piece
from vanillabeam.answers.requestrun import (
    DeadlinePassed,
    Denied,
    Granted,
    Release,
    Start,
)
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets import Permit

__all__ = [
    "Acquire",
    "CallerClosed",
    "Cancel",
    "Close",
    "DeadlinePassed",
    "Denied",
    "Effect",
    "Emit",
    "Event",
    "Finish",
    "GiveUp",
    "Granted",
    "Lost",
    "Read",
    "Refused",
    "Rejected",
    "Release",
    "Resume",
    "RunNotFound",
    "Send",
    "Sent",
    "Start",
    "StreamOpened",
    "TokenLimitReached",
]


class Sent(NamedTuple):
    """The first byte of the request is about to be sent."""

    connection_id: int


class Refused(NamedTuple):
    """The target refused to start the run.

    :param type: type of the target's problem document.
    """

    connection_id: int
    type: str


class Rejected(NamedTuple):
    """The target answered with an error that doesn't say whether the run started.

    :param status: HTTP status.
    :param detail: body of the response.
    """

    connection_id: int
    status: int
    detail: str


class StreamOpened(NamedTuple):
    """The target opened the stream of events.

    :param version: weight version reported by the target, empty if it
        reported none.
    """

    connection_id: int
    version: str


class Read(NamedTuple):
    """Pieces, the end mark or both were read."""

    connection_id: int
    pieces: list[Piece]
    end: End | None = None


class Lost(NamedTuple):
    """The connection ended or timed out before the end mark."""

    connection_id: int
    detail: str


class RunNotFound(NamedTuple):
    """The target has no record of the run to resume."""

    connection_id: int


class TokenLimitReached(NamedTuple):
    """The answer has reached the caller's token limit."""


class CallerClosed(NamedTuple):
    """The caller closed its connection."""


class Acquire(NamedTuple):
    """Request a permit.

    :param version: required weight version; empty for the version that the
        request was admitted for.
    :param excluded: names of targets that must not be chosen.
    """

    version: str
    excluded: frozenset[str]


class Send(NamedTuple):
    """Start a run.

    :param continues: whether the run continues the text already sent to the
        caller.
    """

    connection_id: int
    run_id: str
    permit: Permit
    continues: bool


class Resume(NamedTuple):
    """Open a new connection to the current run.

    :param after: number of the last piece received in order.
    """

    connection_id: int
    run_id: str
    permit: Permit
    after: int


class Emit(NamedTuple):
    """Send pieces to the caller.

    :param continued: whether the pieces come from a run that continues an
        earlier one.
    """

    pieces: list[Piece]
    continued: bool


class Finish(NamedTuple):
    """End the answer: it is complete."""


class GiveUp(NamedTuple):
    """End the answer with a failure."""

    failure: VanillabeamError


class Cancel(NamedTuple):
    """Cancel a run at its target."""

    run_id: str
    permit: Permit


class Close(NamedTuple):
    """Close a connection."""

    connection_id: int


Event = (
    Start
    | Granted
    | Denied
    | Sent
    | Refused
    | Rejected
    | StreamOpened
    | Read
    | Lost
    | RunNotFound
    | TokenLimitReached
    | CallerClosed
    | DeadlinePassed
)
Effect = Acquire | Send | Resume | Emit | Finish | GiveUp | Cancel | Release | Close
