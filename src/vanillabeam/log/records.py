"""Values of the replicated log: entries, members, snapshots, settings."""

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
]

CHUNK_BYTES = 64 * 1024
BATCH_BYTES = 256 * 1024
BATCH_ENTRIES = 256


class StateMachine(Protocol):
    """What a group replicates; every method is deterministic."""

    def apply(self, index: int, command: str) -> str:
        """Change the state by one committed command and return the reply."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by an earlier :meth:`snapshot`."""


class Address(NamedTuple):
    """A VM that may hold a replica.

    :param address: ``host:port`` of its peers' listener.
    """

    vm: str
    address: str


class Member(NamedTuple):
    """A replica: one VM with one disk.

    :param member_id: made once in the data folder; a new disk has a new one.
    """

    member_id: str
    vm: str
    address: str


class Membership(NamedTuple):
    """Who counts; in force from the moment it is in a replica's log.

    :param index: the entry that states it.
    :param allowed: names of the VMs whose new disks may join.
    :param founding: how many VMs the group was founded for.
    :param opened: whether commands have ever been taken: a majority of the
        founding VMs, or all of them, have voted at one time.
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
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def member(self, member_id: str) -> Member | None:
        """Return the voter or learner with that id."""
        return next((m for m in self.members if m.member_id == member_id), None)

    def member_on(self, vm: str) -> Member | None:
        """Return the voter or learner on the VM ``vm``."""
        return next((m for m in self.members if m.vm == vm), None)

    def is_voter(self, member_id: str) -> bool:
        """Return whether that member's votes count."""
        return any(m.member_id == member_id for m in self.voters)


class EntryKind(StrEnum):
    """What an entry carries."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERS = "members"


class Entry(NamedTuple):
    """One place in the log.

    :param body: the command, or a :class:`Membership` as JSON, or empty.
    """

    index: int
    term: int
    kind: EntryKind
    body: str = ""


class Snapshot(NamedTuple):
    """The state machine after ``index`` and what the log needs beside it.

    :param data: what :meth:`StateMachine.snapshot` returned.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


#: What a log begins with.
NO_SNAPSHOT = Snapshot()


class Applied(NamedTuple):
    """A command that was committed and applied.

    :param reply: what the state machine returned.
    """

    index: int
    term: int
    reply: str


class LogSettings(NamedTuple):
    """Times and bounds of a group; the same on all of its VMs.

    :param heartbeat_s: a leader is silent no longer than this.
    :param election_s: silence after which a follower may ask for votes; it
        waits between once and twice this long.
    :param propose_timeout_s: bound on one ``propose`` or ``read``.
    :param snapshot_entries: entries applied between snapshots.
    :param kept_entries: entries kept behind a snapshot for slow followers.
    :param admits_all: whether any VM may join, not only those that were
        allowed by name.
    :param opens_whole: whether commands are taken only once all founding VMs
        have voted at one time; else a majority of them is enough.
    """

    heartbeat_s: float = 0.5
    election_s: float = 1.6
    propose_timeout_s: float = 5.0
    snapshot_entries: int = 1000
    kept_entries: int = 200
    batch_entries: int = BATCH_ENTRIES
    batch_bytes: int = BATCH_BYTES
    chunk_bytes: int = CHUNK_BYTES
    allow_any_vm: bool = False
    open_requires_all: bool = False


DEFAULT_SETTINGS = LogSettings()
