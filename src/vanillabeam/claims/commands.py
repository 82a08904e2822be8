"""Commands and replies of the claims log."""

from enum import StrEnum
from typing import Literal, NotRequired, TypedDict

import msgspec

__all__ = [
    "Abandon",
    "Claim",
    "Command",
    "Finish",
    "Outcome",
    "Reply",
    "ReplyStatus",
    "Withdraw",
]


class ReplyStatus(StrEnum):
    """What the claims log says of a command."""

    GRANTED = "granted"
    DONE = "done"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    OTHER_BODY = "other-body"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"
    FULL = "full"
    NOTED = "noted"
    IGNORED = "ignored"


class Outcome(TypedDict):
    """The answer of a call that ran.

    :param body: base64, or ``None`` where it was larger than is kept.
    :param bytes: length of the body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: str | None
    bytes: int


class _Named(msgspec.Struct, frozen=True, tag_field="op"):
    """A key in a workspace, and who speaks about it when.

    :param token: names one grant; the same in a repeat of the same command.
    :param now_ms: wall clock of the proposer.
    """

    workspace: str
    key: str
    token: str
    entry: str
    now_ms: int


class Claim(_Named, frozen=True, tag="claim"):
    """Ask for the right to send a call once.

    :param digest: hex digest of the request.
    :param lease_ms: time after which the call's fate is unknown.
    :param by_key: the service recognises the key, so that it may be sent again.
    :param settled: whether people found that it ran; ``None`` if they said nothing.
    """

    digest: str
    lease_ms: int
    by_key: bool = False
    settled: bool | None = None


class Finish(_Named, frozen=True, tag="finish"):
    """Record the outcome of a call."""

    outcome: Outcome


class Withdraw(_Named, frozen=True, tag="withdraw"):
    """Give a grant back: nothing was sent under it."""


class Abandon(_Named, frozen=True, tag="abandon"):
    """Say that the call's fate can't be known any more."""


Command = Claim | Finish | Withdraw | Abandon


class Reply(TypedDict):
    """Answer of the claims log to a command.

    :param retry_after_ms: until the lease of the running call ends.
    :param outcome: only with ``done``; absent where people settled it.
    """

    status: Literal[
        "granted",
        "done",
        "in-progress",
        "unknown",
        "other-body",
        "too-old",
        "from-future",
        "full",
        "noted",
        "ignored",
    ]
    retry_after_ms: NotRequired[int]
    outcome: NotRequired[msgspec.Raw]
