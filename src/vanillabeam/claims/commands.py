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
    """Result of a command in the claims log."""

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

    :param body: body in base64; ``None`` if it was too large to keep.
    :param bytes: length of the body in bytes.
    """

    status: int
    headers: list[tuple[str, str]]
    body: str | None
    bytes: int


class _KeyCommand(msgspec.Struct, frozen=True, tag_field="op"):
    """Fields common to all commands on a key of a workspace.

    :param token: identifies one grant; a repeat of a command has the same token.
    :param entry: name of the VM that proposes the command.
    :param now_ms: wall clock of the proposer in ms.
    """

    workspace: str
    key: str
    token: str
    entry: str
    now_ms: int


class Claim(_KeyCommand, frozen=True, tag="claim"):
    """Request the right to send a call once.

    :param digest: hex digest of the request.
    :param lease_ms: time in ms after which the outcome counts as unknown.
    :param by_key: whether the service recognises the key itself, so that the call may
        be sent again.
    :param settled: operators' decision whether an earlier call with this key ran;
        ``None`` if there is no decision.
    """

    digest: str
    lease_ms: int
    by_key: bool = False
    settled: bool | None = None


class Finish(_KeyCommand, frozen=True, tag="finish"):
    """Record the outcome of a call."""

    outcome: Outcome


class Withdraw(_KeyCommand, frozen=True, tag="withdraw"):
    """Return a grant under which nothing was sent."""


class Abandon(_KeyCommand, frozen=True, tag="abandon"):
    """Record that the outcome of a call is unknown and will stay so."""


Command = Claim | Finish | Withdraw | Abandon


class Reply(TypedDict):
    """Answer of the claims log to a command.

    :param retry_after_ms: time in ms until the lease of the running call ends.
    :param outcome: outcome of a call that is ``done``; absent if operators settled
        the key.
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
