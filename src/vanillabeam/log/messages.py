"""Messages between replicas, in the program and on the wire."""

from typing import Any, NamedTuple, TypedDict, get_type_hints

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
    """A candidate asks for a vote, or first whether it would get one.

    :param term: the term that it stands for.
    :param pre: only a question; nothing is promised.
    :param transfer: the leader itself asked for this election.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """Answer to a vote request.

    :param term: the voter's own term.
    :param for_term: the term that was asked for.
    """

    term: int
    for_term: int
    granted: bool
    pre: bool


class AppendRequest(NamedTuple):
    """A leader's entries; without entries it is a heartbeat.

    :param round: number of the leader's heartbeat round; confirms reads.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(NamedTuple):
    """Answer to :class:`AppendRequest`, sent once its entries are synced.

    :param match: highest index known to agree; only with ``success``.
    :param hint: index to try before; only without ``success``.
    """

    term: int
    success: bool
    match: int
    hint: int
    round: int


class SnapshotChunk(NamedTuple):
    """One piece of a snapshot for a follower that is too far behind.

    :param total: bytes of the whole.
    :param crc: CRC-32 of the whole.
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
    """Answer to a chunk.

    :param offset: bytes held so far; the next chunk starts there.
    """

    term: int
    index: int
    offset: int
    done: bool
    round: int


class TimeoutNow(NamedTuple):
    """A leader hands over: stand for election at once."""

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
_WIRE = {name: TypedDict(name, get_type_hints(kind)) for name, kind in _KINDS.items()}


class Envelope(NamedTuple):
    """A message with its way.

    :param group_id: made when the group was founded.
    :param sender: member id.
    :param to: member id; a replica with another id drops the message.
    """

    group_id: str
    sender: str
    to: str
    message: Message


class EnvelopeWire(TypedDict):
    """:class:`Envelope` as JSON; ``body`` is the message as an object."""

    group_id: str
    sender: str
    to: str
    kind: str
    body: Any


def encode_envelope(envelope: Envelope) -> EnvelopeWire:
    """Return an envelope as :func:`vanillabeam.wire.encode` takes it."""
    message = envelope.message
    return EnvelopeWire(
        group_id=envelope.group_id,
        sender=envelope.sender,
        to=envelope.to,
        kind=type(message).__name__,
        body=message._asdict(),
    )


def decode_envelope(document: EnvelopeWire) -> Result[Envelope, MalformedBody]:
    """Return the envelope of a decoded document.

    :returns: the envelope, or :class:`MalformedBody` for an unknown kind or
        a body that does not fit it.
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
    """Body of one call between replicas, and of its answer."""

    envelopes: list[EnvelopeWire]


def encode_message_batch(envelopes: list[Envelope]) -> bytes:
    """Return the body that carries ``envelopes``."""
    return wire.encode(MessageBatch(envelopes=[encode_envelope(e) for e in envelopes]))


def decode_message_batch(body: bytes) -> Result[list[Envelope], MalformedBody]:
    """Return the envelopes of a body, or the first failure."""
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
