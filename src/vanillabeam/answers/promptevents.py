"""What happens to a model prompt, and what is to be done: the core's messages."""

from typing import NamedTuple

from vanillabeam.answers.events import End, Piece
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets import OutcomeKind, Permit

__all__ = [
    "Acquire",
    "Cancel",
    "Close",
    "DeadlinePassed",
    "Denied",
    "Effect",
    "Emit",
    "Event",
    "TokenLimitReached",
    "Finish",
    "GiveUp",
    "RunNotFound",
    "Granted",
    "CallerClosed",
    "Lost",
    "StreamOpened",
    "Read",
    "Refused",
    "Rejected",
    "Release",
    "Resume",
    "Send",
    "Sent",
    "Start",
]


class Start(NamedTuple):
    """The request was taken in."""


class Granted(NamedTuple):
    """A permit came."""

    permit: Permit


class Denied(NamedTuple):
    """There is no permit."""

    failure: VanillabeamError


class Sent(NamedTuple):
    """The first byte of the request is about to leave."""

    connection_id: int


class Refused(NamedTuple):
    """The target answered that it did not start the run."""

    connection_id: int
    type: str


class Rejected(NamedTuple):
    """The target answered with a failure that says nothing of the run."""

    connection_id: int
    status: int
    detail: str


class StreamOpened(NamedTuple):
    """The target began to answer.

    :param version: weight version that it says it runs; empty if it says none.
    """

    connection_id: int
    version: str


class Read(NamedTuple):
    """A read brought pieces, the end mark, or both."""

    connection_id: int
    pieces: list[Piece]
    end: End | None = None


class Lost(NamedTuple):
    """The connection ended, or went silent, before the end mark."""

    connection_id: int
    detail: str


class RunNotFound(NamedTuple):
    """The target does not know the run that was to be resumed."""

    connection_id: int


class TokenLimitReached(NamedTuple):
    """The caller has as many tokens as it asked for."""


class CallerClosed(NamedTuple):
    """The caller closed its connection."""


class DeadlinePassed(NamedTuple):
    """The request's time is over."""


class Acquire(NamedTuple):
    """Ask for a permit.

    :param version: the only weight version that will do; empty for the one
        that the request was admitted for.
    """

    version: str
    excluded: frozenset[str]


class Send(NamedTuple):
    """Start a run.

    :param continues: go on from the text that the caller has.
    """

    connection_id: int
    run_id: str
    permit: Permit
    continues: bool


class Resume(NamedTuple):
    """Connect again to a run."""

    connection_id: int
    run_id: str
    permit: Permit
    after: int


class Emit(NamedTuple):
    """Give pieces to the caller.

    :param continued: whether they come from a run that goes on from others.
    """

    pieces: list[Piece]
    continued: bool


class Finish(NamedTuple):
    """The answer is whole."""


class GiveUp(NamedTuple):
    """End with a failure."""

    failure: VanillabeamError


class Cancel(NamedTuple):
    """Tell a target that nobody waits for a run."""

    run_id: str
    permit: Permit


class Release(NamedTuple):
    """Give a permit back."""

    permit: Permit
    kind: OutcomeKind


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
