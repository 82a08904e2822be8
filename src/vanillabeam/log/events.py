"""Events that a replica's core handles, and effects that its shell executes."""

from enum import StrEnum
from typing import NamedTuple

from vanillabeam.log.exceptions import LogError
from vanillabeam.log.messages import Envelope
from vanillabeam.log.records import Entry, Member, Membership, Snapshot

__all__ = [
    "NoChangeNeeded",
    "AllowVm",
    "Apply",
    "SnapshotSaved",
    "Effect",
    "Event",
    "Flush",
    "TransferLeadership",
    "SaveGroupId",
    "JoinRequest",
    "MembershipReplaced",
    "Propose",
    "Proposed",
    "Read",
    "QuorumMissed",
    "ReadConfirmed",
    "Received",
    "Refused",
    "RemoveVm",
    "Resign",
    "Restore",
    "Role",
    "SaveEntries",
    "SaveSnapshot",
    "SaveTerm",
    "Send",
    "SendChunk",
    "Tick",
]


class Role(StrEnum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Tick(NamedTuple):
    """Check the election and heartbeat timers."""


class Flush(NamedTuple):
    """Finish a batch of events: advance membership changes and replicate."""


class Received(NamedTuple):
    """Handle a message from another replica."""

    envelope: Envelope


class Propose(NamedTuple):
    """Append a command to the log, to be committed.

    :param after: index of the log that the command's author knew; an entry after it
        that concerns the same subject refuses the command. ``None`` refuses nothing.
    """

    request_id: int
    command: str
    after: int | None = None


class Read(NamedTuple):
    """Find a read index: one at or above everything committed so far."""

    request_id: int


class AllowVm(NamedTuple):
    """Allow a VM with a new disk to join the group."""

    request_id: int
    vm: str


class RemoveVm(NamedTuple):
    """Remove a VM and its replica from the group."""

    request_id: int
    vm: str


class JoinRequest(NamedTuple):
    """Add a replica with a new disk, which asked to join, to the group."""

    request_id: int
    member: Member


class Resign(NamedTuple):
    """Remove a voter that stops as planned, if enough voters remain."""

    request_id: int
    member: Member


class TransferLeadership(NamedTuple):
    """Transfer leadership before a planned stop."""


class SnapshotSaved(NamedTuple):
    """Compact the log: a snapshot at ``index`` is stored on disk."""

    index: int


Event = (
    Tick
    | Flush
    | Received
    | Propose
    | Read
    | AllowVm
    | RemoveVm
    | JoinRequest
    | Resign
    | TransferLeadership
    | SnapshotSaved
)


class SaveTerm(NamedTuple):
    """Store the current term and the vote cast in it."""

    term: int
    voted_for: str


class SaveEntries(NamedTuple):
    """Store entries, which replace all stored ones from their first index on."""

    entries: tuple[Entry, ...]


class SaveSnapshot(NamedTuple):
    """Store a snapshot from the leader; the log before it is discarded."""

    snapshot: Snapshot


class SaveGroupId(NamedTuple):
    """Store the id of the group that this replica has joined."""

    group_id: str


class Send(NamedTuple):
    """Send a message after all earlier stored effects are synced."""

    envelope: Envelope


class SendChunk(NamedTuple):
    """Send a chunk of the newest snapshot on disk.

    :param offset: start of the chunk in bytes.
    :param round: heartbeat round of the message.
    """

    to: str
    offset: int
    round: int


class Apply(NamedTuple):
    """Apply committed entries to the state machine, in order."""

    entries: tuple[Entry, ...]


class Restore(NamedTuple):
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """Report that a request's entry is in the leader's log, not yet committed."""

    request_id: int
    index: int
    term: int


class NoChangeNeeded(NamedTuple):
    """Report that a requested change is already in effect."""

    request_id: int


class ReadConfirmed(NamedTuple):
    """Report the read index of a read.

    :param index: an index at or above everything committed before the read.
    """

    request_id: int
    index: int


class Refused(NamedTuple):
    """Report that a request was refused."""

    request_id: int
    failure: LogError


class MembershipReplaced(NamedTuple):
    """Report that the leader appended another membership.

    :param reason: what the change was started for.
    :param losses_left: number of voters that can fail without losing the quorum, once
        the change is committed.
    """

    reason: str
    term: int
    before: Membership
    after: Membership
    losses_left: int


class QuorumMissed(NamedTuple):
    """Report that a leader steps down, as no quorum replied in time.

    :param silent: voters that didn't reply in time, with the seconds since their last
        reply to this leader, or since it became leader.
    """

    term: int
    membership: Membership
    silent: tuple[tuple[Member, float], ...]


Effect = (
    SaveTerm
    | SaveEntries
    | SaveSnapshot
    | SaveGroupId
    | Send
    | SendChunk
    | Apply
    | Restore
    | Proposed
    | NoChangeNeeded
    | ReadConfirmed
    | Refused
    | MembershipReplaced
    | QuorumMissed
)
