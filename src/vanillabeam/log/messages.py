"""Raft messages between replicas and their JSON encoding."""

from typing import Any, NamedTuple, NotRequired, TypedDict, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import MalformedBody
from vanillabeam.log.records import Entry, Membership

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Envelope",
    "EnvelopeWire",
    "Message",
    "SnapshotChunk",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
    "decode_envelope",
    "encode_envelope",
]


class VoteRequest(NamedTuple):
    """A candidate's request for a vote or a pre-vote.

    :param term: term of the election.
    :param last_index: index of the candidate's last log entry.
    :param last_term: term of the candidate's last log entry.
    :param pre: whether this is a pre-vote, which does not bind the voter.
    :param transfer: whether the leader started this election to transfer its
        leadership; voters then don't refuse because they have a leader.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """Reply to :class:`VoteRequest`.

    :param term: current term of the voter.
    :param for_term: term of the request.
    """

    term: int
    for_term: int
    granted: bool
    pre: bool


class AppendRequest(NamedTuple):
    """A leader's AppendEntries request; a heartbeat if it has no entries.

    :param previous_index: index of the entry before ``entries``.
    :param previous_term: term of the entry at ``previous_index``.
    :param commit: the leader's commit index.
    :param round: number of the leader's heartbeat round, which the reply
        repeats; a quorum of replies to a round confirms reads.
    :param silent: member ids of the voters that don't answer the leader, and for how
        many seconds. Leaders of an earlier release don't say so.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    silent: tuple[tuple[str, float], ...] = ()


class AppendReply(NamedTuple):
    """Reply to :class:`AppendRequest`, sent after its entries are synced.

    :param match: highest index at which the follower's log is known to match
        the leader's; valid only with ``success``.
    :param hint: index that the leader should try as ``previous_index`` next;
        valid only without ``success``.
    """

    term: int
    success: bool
    match: int
    hint: int
    round: int


class SnapshotChunk(NamedTuple):
    """A chunk of a snapshot for a member that lags behind the compacted log.

    :param index: index of the last entry that the snapshot covers.
    :param index_term: term of the entry at ``index``.
    :param offset: position of ``data`` in the snapshot, in bytes.
    :param total: size of the complete snapshot in bytes.
    :param crc: CRC-32 of the complete snapshot.
    """

    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    data: bytes
    total: int
    crc: int
    round: int


class SnapshotReply(NamedTuple):
    """Reply to :class:`SnapshotChunk`.

    :param offset: number of bytes received so far, which is the offset of the
        next chunk.
    :param done: whether the member's log includes the snapshot's index.
    """

    term: int
    index: int
    offset: int
    done: bool
    round: int


class TimeoutNow(NamedTuple):
    """A leadership transfer: the receiver starts an election immediately."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)

_KINDS: dict[str, type] = {kind.__name__: kind for kind in Message.__args__}


def _wire_type(kind: type) -> type:
    """Return the type of a message's fields; those with a default may be missing."""
    hints = get_type_hints(kind)
    for name in kind._field_defaults:
        hints[name] = NotRequired[hints[name]]
    return TypedDict(kind.__name__, hints)


_WIRE = {name: _wire_type(kind) for name, kind in _KINDS.items()}


class Envelope(NamedTuple):
    """A message with its sender, its receiver and their group.

    :param group_id: id generated when the group was bootstrapped.
    :param sender: member id of the sender.
    :param to: member id of the receiver; a replica with another id drops the
        message.
    """

    group_id: str
    sender: str
    to: str
    message: Message


class EnvelopeWire(TypedDict):
    """JSON form of :class:`Envelope`.

    :param kind: class name of the message.
    :param body: fields of the message.
    """

    group_id: str
    sender: str
    to: str
    kind: str
    body: Any


def encode_envelope(envelope: Envelope) -> EnvelopeWire:
    """Return the document of an envelope for :func:`vanillabeam.wire.encode`."""
    message = envelope.message
    return EnvelopeWire(
        group_id=envelope.group_id,
        sender=envelope.sender,
        to=envelope.to,
        kind=type(message).__name__,
        body=message._asdict(),
    )


def decode_envelope(document: EnvelopeWire) -> Result[Envelope, MalformedBody]:
    """Return the envelope in a decoded document.

    :returns: the envelope, or :class:`MalformedBody` if the kind is unknown or
        the body does not match it.
    """
    kind = _KINDS.get(document["kind"])
    if kind is None:
        return Failure(MalformedBody(f"no message kind {document['kind']!r}"))
    try:
        fields = msgspec.convert(document["body"], _WIRE[document["kind"]])
    except msgspec.ValidationError as exc:
        return Failure(MalformedBody(str(exc)))
    message = kind(**fields)
    return Success(
        Envelope(document["group_id"], document["sender"], document["to"], message)
    )


class MessageBatch(TypedDict):
    """Body of a call between replicas, and of its response."""

    envelopes: list[EnvelopeWire]


def encode_message_batch(envelopes: list[Envelope]) -> bytes:
    """Return the encoded body with ``envelopes``."""
    return wire.encode(MessageBatch(envelopes=[encode_envelope(e) for e in envelopes]))


def decode_message_batch(body: bytes) -> Result[list[Envelope], MalformedBody]:
    """Return the envelopes in a body, or the first decoding failure."""
    decoded = wire.decode(MessageBatch, body)
    if isinstance(decoded, Failure):
        return decoded
    envelopes: list[Envelope] = []
    for document in decoded.unwrap()["envelopes"]:
        envelope = decode_envelope(document)
        if isinstance(envelope, Failure):
            return envelope
        envelopes.append(envelope.unwrap())
    return Success(envelopes)
