"""What a replica's shell tells it, and what it asks of its shell."""

from enum import StrEnum
from typing import NamedTuple

from vanillabeam.log.exceptions import LogError
from vanillabeam.log.messages import Envelope
from vanillabeam.log.records import Entry, Member, Snapshot

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
    "Propose",
    "Proposed",
    "Read",
    "ReadConfirmed",
    "Received",
    "Refused",
    "RemoveVm",
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
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Tick(NamedTuple):
    """Time has passed."""


class Flush(NamedTuple):
    """The events that were waiting are handled: send what they add up to."""


class Received(NamedTuple):
    """A message arrived."""

    envelope: Envelope


class Propose(NamedTuple):
    """Commit a command."""

    request_id: int
    command: str


class Read(NamedTuple):
    """Find an index that holds everything committed before now."""

    request_id: int


class AllowVm(NamedTuple):
    """Let a VM's new disk join."""

    request_id: int
    vm: str


class RemoveVm(NamedTuple):
    """Take a VM out of the group, with its replica."""

    request_id: int
    vm: str


class JoinRequest(NamedTuple):
    """A replica with a new disk asks to join."""

    request_id: int
    member: Member


class TransferLeadership(NamedTuple):
    """Give leadership away before a planned stop."""


class SnapshotSaved(NamedTuple):
    """A snapshot at ``index`` is on disk."""

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
    | TransferLeadership
    | SnapshotSaved
)


class SaveTerm(NamedTuple):
    """Store the term and the vote given in it."""

    term: int
    voted_for: str


class SaveEntries(NamedTuple):
    """Store entries; they replace all from the first one's index on."""

    entries: tuple[Entry, ...]


class SaveSnapshot(NamedTuple):
    """Store a snapshot that a leader sent; the log before it is gone."""

    snapshot: Snapshot


class SaveGroupId(NamedTuple):
    """Store the group that this replica has become part of."""

    group_id: str


class Send(NamedTuple):
    """Send a message, after everything stored so far is synced."""

    envelope: Envelope


class SendChunk(NamedTuple):
    """Send a piece of the newest snapshot on disk from ``offset`` on."""

    to: str
    offset: int
    round: int


class Apply(NamedTuple):
    """Apply committed entries, in order."""

    entries: tuple[Entry, ...]


class Restore(NamedTuple):
    """Replace the state machine's state."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """A request's entry is in the leader's log, not yet committed."""

    request_id: int
    index: int
    term: int


class NoChangeNeeded(NamedTuple):
    """A request asked for what is so already."""

    request_id: int


class ReadConfirmed(NamedTuple):
    """Everything committed before the read is at or below ``index``."""

    request_id: int
    index: int


class Refused(NamedTuple):
    """A request was not taken."""

    request_id: int
    failure: LogError


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
)
