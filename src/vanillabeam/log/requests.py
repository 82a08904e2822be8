"""Requests to a group and its responses, as JSON documents."""

from typing import Literal, NotRequired, TypedDict

from vanillabeam.exceptions import VanillabeamError
from vanillabeam.log.events import (
    AllowVm,
    JoinRequest,
    Propose,
    Read,
    RemoveVm,
    Resign,
)
from vanillabeam.log.exceptions import (
    LogError,
    NotLeader,
    OutcomeUnknown,
    failure_types,
)
from vanillabeam.log.records import Member

__all__ = [
    "GroupRequest",
    "IdentityReply",
    "IdentityRequest",
    "LogStatus",
    "MemberStatus",
    "Outcome",
    "failure_outcome",
    "failure_from",
    "identity_path",
    "messages_path",
    "request_event",
    "request_path",
    "status_path",
]


class GroupRequest(TypedDict):
    """Body of a request to a group's leader.

    :param command: command, for the kind ``propose``.
    :param after: index that the command's author knew, see
        :class:`~vanillabeam.log.events.Propose`. Older releases don't read it.
    :param vm: name of a VM, for the kinds ``add`` and ``remove``.
    :param member: replica that asks to join, for the kind ``knock``, or that stops as
        planned, for the kind ``resign``, which older releases refuse.
    """

    kind: Literal["propose", "read", "add", "remove", "knock", "resign"]
    command: NotRequired[str]
    after: NotRequired[int]
    vm: NotRequired[str]
    member: NotRequired[Member]


class Outcome(TypedDict):
    """Response to a :class:`GroupRequest`.

    :param failure: type of the failure, empty on success.
    :param detail: detail of the failure.
    :param leader: address of the leader, empty if unknown.
    :param index: index of the applied command, or read index.
    :param term: term of the applied command.
    :param reply: reply of the state machine to the command.
    """

    failure: str
    detail: NotRequired[str]
    leader: NotRequired[str]
    index: NotRequired[int]
    term: NotRequired[int]
    reply: NotRequired[str]


class IdentityRequest(TypedDict):
    """Question of a bootstrapping VM whether a replica already has a group.

    :param founder: member id of the replica that asks, and that the answering one
        promises to leave the bootstrap to; empty for a question without a promise.
    """

    founder: str


class IdentityReply(TypedDict):
    """Identity of a replica.

    :param group_id: id of its group, empty until it has joined one.
    :param founds: whether it may bootstrap the group.
    """

    member_id: str
    group_id: str
    founds: NotRequired[bool]


class MemberStatus(TypedDict):
    """Status of a member; ``match`` and ``active`` are set only by the leader.

    :param votes: whether it is a voter, rather than a learner.
    :param match: highest index known to be stored on the member.
    :param active: whether it has replied within ``election_s``.
    """

    vm: str
    address: str
    member_id: str
    votes: bool
    match: int | None
    active: bool | None


class LogStatus(TypedDict):
    """Status of a replica and, as far as it is known there, of its group.

    :param leader: name of the leader's VM, empty if unknown.
    :param opened: whether the group accepts commands.
    :param losses_left: number of voters that can fail now without losing the
        quorum; ``None`` if the replica is not the leader.
    :param failure: type of the failure that stopped the replica, else empty.
    """

    group: str
    group_id: str
    member_id: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    snapshot_index: int
    opened: bool
    members: list[MemberStatus]
    losses_left: int | None
    failure: str


def messages_path(group: str) -> str:
    """Return the path for messages between replicas."""
    return f"/peer/log/{group}"


def request_path(group: str) -> str:
    """Return the path for :class:`GroupRequest`."""
    return f"/peer/log/{group}/request"


def identity_path(group: str) -> str:
    """Return the path for :class:`IdentityRequest`."""
    return f"/peer/log/{group}/identity"


def status_path(group: str) -> str:
    """Return the path for :class:`LogStatus`."""
    return f"/peer/log/{group}/status"


def request_event(
    request: GroupRequest, request_id: int
) -> Propose | Read | AllowVm | RemoveVm | JoinRequest | None:
    """Return the core's event for a request, ``None`` if a field is missing."""
    kind = request["kind"]
    if kind == "read":
        return Read(request_id)
    if kind == "propose" and "command" in request:
        return Propose(request_id, request["command"], request.get("after"))
    if kind == "add" and "vm" in request:
        return AllowVm(request_id, request["vm"])
    if kind == "remove" and "vm" in request:
        return RemoveVm(request_id, request["vm"])
    if kind == "knock" and "member" in request:
        return JoinRequest(request_id, request["member"])
    if kind == "resign" and "member" in request:
        return Resign(request_id, request["member"])
    return None


def failure_outcome(failure: VanillabeamError, leader: str = "") -> Outcome:
    """Return the outcome for a failure."""
    leader = getattr(failure, "leader", "") or leader
    return Outcome(failure=failure.type, detail=failure.detail, leader=leader)


def failure_from(outcome: Outcome) -> LogError | None:
    """Return the failure in an outcome, ``None`` on success.

    An unknown type becomes :class:`OutcomeUnknown`.
    """
    if not outcome["failure"]:
        return None
    kind = failure_types().get(outcome["failure"], OutcomeUnknown)
    detail = outcome.get("detail", "")
    if kind is NotLeader:
        return NotLeader(detail, outcome.get("leader", ""))
    return kind(detail)
