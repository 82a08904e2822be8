"""Values of the replicated log: entries, members, snapshots and settings."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

__all__ = [
    "DEFAULT_SETTINGS",
    "NO_SNAPSHOT",
    "Address",
    "Applied",
    "Entry",
    "EntryKind",
    "LogSettings",
    "Member",
    "Membership",
    "Snapshot",
    "StateMachine",
    "no_subject",
]

CHUNK_BYTES = 64 * 1024
SLOWEST_BYTES_S = 256 * 1024
SNAPSHOT_BYTES = 4 * 1024 * 1024
KEPT_BYTES = 1024 * 1024
BATCH_BYTES = 256 * 1024
BATCH_ENTRIES = 256


class StateMachine(Protocol):
    """Replicated state machine; every method must be deterministic."""

    def apply(self, index: int, command: str) -> str:
        """Apply one committed command and return its reply."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the complete state by an earlier :meth:`snapshot`."""


class Address(NamedTuple):
    """Address of a VM that may run a replica.

    :param vm: name of the VM.
    :param address: ``host:port`` of its listener for peers.
    """

    vm: str
    address: str


class Member(NamedTuple):
    """A group member: the replica on one VM with one disk.

    :param member_id: id generated with the data folder; a new disk has a new
        id.
    :param vm: name of the VM.
    :param address: ``host:port`` of its listener for peers.
    """

    member_id: str
    vm: str
    address: str


class Membership(NamedTuple):
    """Membership of a group (in Raft's terms, its configuration).

    As in Raft, a replica uses the newest membership in its log, whether or not
    it is committed.

    :param index: index of the entry that contains it.
    :param voters: members whose votes and replies count for a quorum.
    :param learners: members that receive the log but do not vote.
    :param allowed: names of the VMs that may join with a new disk.
    :param founding: number of VMs in the initial membership.
    :param opened: whether the group accepts commands. It opens for good once a
        majority of the initial VMs, or all of them, are voters at one time; see
        :attr:`LogSettings.open_requires_all`.
    """

    index: int = 0
    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    allowed: tuple[str, ...] = ()
    founding: int = 1
    opened: bool = False

    @property
    def members(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def member(self, member_id: str) -> Member | None:
        """Return the voter or learner with this id."""
        return next((m for m in self.members if m.member_id == member_id), None)

    def member_on(self, vm: str) -> Member | None:
        """Return the voter or learner on the VM ``vm``."""
        return next((m for m in self.members if m.vm == vm), None)

    def promoted(self, learner: Member) -> "Membership":
        """Return the membership with a learner as a voter."""
        learners = tuple(m for m in self.learners if m != learner)
        return self._replace(voters=(*self.voters, learner), learners=learners)

    def without(self, member: Member) -> "Membership":
        """Return the membership without a voter or learner."""
        return self._replace(
            voters=tuple(m for m in self.voters if m != member),
            learners=tuple(m for m in self.learners if m != member),
        )

    def is_voter(self, member_id: str) -> bool:
        """Return whether the member with this id is a voter."""
        return any(m.member_id == member_id for m in self.voters)


class EntryKind(StrEnum):
    """Kind of a log entry."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERS = "members"


class Entry(NamedTuple):
    """A log entry.

    :param term: term of the leader that appended it.
    :param body: the command, a :class:`Membership` as JSON, or empty for a
        no-op.
    """

    index: int
    term: int
    kind: EntryKind
    body: str = ""


class Snapshot(NamedTuple):
    """State of the state machine after applying the entry at ``index``.

    :param index: index of the last entry included.
    :param term: term of that entry.
    :param membership: membership as of that entry.
    :param data: what :meth:`StateMachine.snapshot` returned.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


#: Base of an empty log.
NO_SNAPSHOT = Snapshot()


class Applied(NamedTuple):
    """A command that was committed and applied.

    :param reply: reply of the state machine.
    """

    index: int
    term: int
    reply: str


def no_subject(command: str) -> str:
    """Return that a command concerns no subject."""
    return ""


class LogSettings(NamedTuple):
    """Timeouts and limits of a group, which must be equal on all its VMs.

    :param heartbeat_s: longest time in seconds between a leader's messages.
    :param election_s: minimum election timeout in seconds; each timeout is
        random between one and two times this value.
    :param propose_timeout_s: timeout of one ``propose`` or ``read`` in seconds.
    :param snapshot_entries: number of entries applied between snapshots.
    :param snapshot_bytes: size in bytes of the applied entries since the last snapshot
        at which one is due, if they also outweigh it.
    :param kept_entries: number of entries kept before a snapshot's index, so
        that slow followers don't need the snapshot.
    :param kept_bytes: largest size of these entries in bytes.
    :param batch_entries: maximum number of entries in one append request.
    :param batch_bytes: total size of entry bodies in bytes at which an append
        request takes no further entry.
    :param chunk_bytes: maximum size of a snapshot chunk in bytes.
    :param slowest_bytes_s: rate in bytes a second at which a message must pass. A
        large one gets as much more time, as an entry is never divided.
    :param losses: number of members with their disks that may be lost at once.
    :param replace_after_s: seconds of silence after which a voter is removed for a
        learner that holds all committed entries, or from an even number of voters;
        ``None`` for never.
    :param remove_after_s: seconds of silence after which a voter or learner is removed
        in any case, if enough voters remain; ``None`` for never.
    :param allow_any_vm: whether any VM may join, not only the allowed ones.
    :param open_requires_all: whether the group accepts commands only once all
        initial VMs are voters at one time; otherwise a majority is enough.
    :param subject: returns the subject that a command concerns, empty for none, by
        which commands with an index in ``after`` are refused.
    """

    heartbeat_s: float = 0.5
    election_s: float = 1.6
    propose_timeout_s: float = 5.0
    snapshot_entries: int = 1000
    snapshot_bytes: int = SNAPSHOT_BYTES
    kept_entries: int = 200
    kept_bytes: int = KEPT_BYTES
    batch_entries: int = BATCH_ENTRIES
    batch_bytes: int = BATCH_BYTES
    chunk_bytes: int = CHUNK_BYTES
    slowest_bytes_s: int = SLOWEST_BYTES_S
    losses: int = 1
    replace_after_s: float | None = None
    remove_after_s: float | None = None
    allow_any_vm: bool = False
    open_requires_all: bool = False
    subject: Callable[[str], str] = no_subject


DEFAULT_SETTINGS = LogSettings()
