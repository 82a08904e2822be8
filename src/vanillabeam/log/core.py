"""Functional core of the replicated log: ``handle`` processes every event.

The core uses no clock, disk or network. Its shell, or a test harness, executes
the effects: it stores data, sends messages and applies entries.
"""

from functools import singledispatch

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log import elections, members, replication, snapshots
from vanillabeam.log.events import (
    AllowVm,
    Effect,
    Event,
    Flush,
    JoinRequest,
    Propose,
    Proposed,
    Read,
    Received,
    Refused,
    RemoveVm,
    Resign,
    Role,
    SaveGroupId,
    SnapshotSaved,
    Tick,
    TransferLeadership,
)
from vanillabeam.log.exceptions import GroupNotOpen, Overtaken
from vanillabeam.log.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from vanillabeam.log.records import EntryKind
from vanillabeam.log.replica import Replica

__all__ = ["handle", "next_tick_s"]


@singledispatch
def handle(event: Event, state: Replica, now_s: float) -> list[Effect]:
    """Update ``state`` for ``event`` and return the effects to execute.

    The shell executes effects in order: data of a storing effect is synced
    before any later effect sends, applies or answers anything. After each batch
    of events the shell must pass :class:`~vanillabeam.log.events.Flush`.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if an invariant of the log is violated.
    """
    raise InvariantBroken(f"the log does not take {type(event).__name__}")


def next_tick_s(state: Replica) -> float:
    """Return the monotonic time in seconds at which a ``Tick`` is due."""
    if state.role is not Role.LEADER:
        return state.election_due_s
    return state.round_sent_s + state.settings.heartbeat_s


@handle.register
def _(event: Tick, state: Replica, now_s: float) -> list[Effect]:
    if state.role is not Role.LEADER:
        return elections.start_election_if_due(state, now_s)
    members.cancel_overdue_transfer(state, now_s)
    return elections.check_quorum(state, now_s)


@handle.register
def _(event: Flush, state: Replica, now_s: float) -> list[Effect]:
    if state.role is not Role.LEADER:
        return []
    effects = members.finish_change(state, now_s)
    effects += members.start_due_change(state, now_s)
    effects += replication.replicate(state, now_s)
    return effects


@handle.register
def _(event: Propose, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    if refused:
        return refused
    if not state.membership.opened:
        return [Refused(event.request_id, GroupNotOpen())]
    if replication.is_overtaken(state, event.command, event.after):
        return [Refused(event.request_id, Overtaken(f"after {event.after}"))]
    effects = replication.add_entry(state, EntryKind.COMMAND, event.command)
    return [*effects, Proposed(event.request_id, state.log.last_index, state.term)]


@handle.register
def _(event: Read, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    return refused or replication.add_pending_read(state, event.request_id)


@handle.register
def _(event: AllowVm, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    return refused or members.allow_vm(event, state, now_s)


@handle.register
def _(event: RemoveVm, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    return refused or members.remove_vm(event, state, now_s)


@handle.register
def _(event: JoinRequest, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    return refused or members.handle_join_request(event, state, now_s)


@handle.register
def _(event: Resign, state: Replica, now_s: float) -> list[Effect]:
    refused = members.refuse_unless_leader(state, event.request_id)
    return refused or members.handle_resignation(event, state, now_s)


@handle.register
def _(event: TransferLeadership, state: Replica, now_s: float) -> list[Effect]:
    return members.begin_leadership_transfer(state, now_s)


@handle.register
def _(event: SnapshotSaved, state: Replica, now_s: float) -> list[Effect]:
    snapshots.compact(state, event.index)
    return []


@handle.register
def _(event: Received, state: Replica, now_s: float) -> list[Effect]:
    envelope = event.envelope
    if envelope.to != state.member_id:
        return []
    effects: list[Effect] = []
    joins = isinstance(envelope.message, AppendRequest | SnapshotChunk)
    if not state.group_id and joins:
        state.group_id = envelope.group_id
        effects.append(SaveGroupId(envelope.group_id))
    if envelope.group_id != state.group_id:
        return []
    if state.role is not Role.LEADER:
        state.hear(envelope.sender, now_s)
    return effects + _receive(envelope.message, envelope.sender, state, now_s)


@singledispatch
def _receive(
    message: Message, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    raise InvariantBroken(f"the log does not take {type(message).__name__}")


_receive.register(VoteRequest, elections.on_vote_request)
_receive.register(VoteReply, elections.on_vote_reply)
_receive.register(TimeoutNow, elections.on_timeout_now)
_receive.register(AppendRequest, replication.on_append_request)
_receive.register(SnapshotChunk, snapshots.on_chunk)


@_receive.register
def _(message: AppendReply, sender: str, state: Replica, now_s: float) -> list[Effect]:
    if message.term > state.term:
        return elections.step_down(state, message.term, now_s)
    if message.term < state.term:
        return []
    return replication.on_append_reply(message, sender, state, now_s)


@_receive.register
def _(
    message: SnapshotReply, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    if message.term > state.term:
        return elections.step_down(state, message.term, now_s)
    if message.term < state.term:
        return []
    return snapshots.on_chunk_reply(message, sender, state, now_s)
