"""Read-only parser of a replica's data folder."""

from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.log.exceptions import DataFolderDamaged, LogError, StorageFailed
from vanillabeam.log.folder import TEMPORARY_SUFFIX, Folder, ReadFolder
from vanillabeam.log.frames import Frame, Scan, scan
from vanillabeam.log.records import (
    NO_SNAPSHOT,
    Address,
    Entry,
    Membership,
    Snapshot,
)

__all__ = ["Contents", "Identity", "read_contents"]

FORMAT = 1
MEMBER_NAME = "member"
SEGMENT_PREFIX = "log."
SNAPSHOT_PREFIX = "snapshot."

HEADER = b"H"
TERM = b"T"
ENTRY = b"E"
COMMIT = b"C"
SNAPSHOT = b"S"
DATA = b"D"


class Identity(TypedDict):
    """Identity of a data folder, stored in the member file.

    :param format: version of the file format.
    :param member_id: id generated when the folder was created.
    :param group_id: id of the group, empty until the replica has joined one.
    :param promised: member id of the replica that this one has promised to let
        bootstrap the group, else empty.
    :param initial: VMs of the group's initial membership, if the folder was created
        at the first start of the system on one of them.
    """

    format: int
    group: str
    member_id: str
    group_id: str
    promised: str
    initial: NotRequired[list[Address]]


class SegmentHeader(TypedDict):
    """First record of a log file, whose entries follow ``base_index``."""

    format: int
    member_id: str
    base_index: int


class TermRecord(TypedDict):
    """The current term and the vote cast in it."""

    term: int
    voted_for: str


class CommitRecord(TypedDict):
    """A known commit index; it may lag behind the real one."""

    commit: int


class SnapshotHeader(TypedDict):
    """First record of a snapshot file, which describes its data."""

    format: int
    member_id: str
    index: int
    term: int
    membership: Membership


class Contents(NamedTuple):
    """Parsed contents of a data folder.

    :param identity: ``None`` for a new disk.
    :param entries: log entries after the snapshot.
    :param term: current term.
    :param voted_for: member id that received this replica's vote in ``term``.
    :param commit: highest index known to be committed.
    :param segment: number of the log file.
    :param base_index: index before the first entry of the log file; below the
        snapshot's index after a crash between writing the two files.
    :param batch: number of the last complete batch in the log file.
    :param valid_bytes: size of the log file up to the end of that batch.
    :param torn_bytes: size of the incomplete batch that a crash left after it.
    :param leftovers: obsolete files that a crash left and a start removes.
    """

    identity: Identity | None
    snapshot: Snapshot = NO_SNAPSHOT
    entries: tuple[Entry, ...] = ()
    term: int = 0
    voted_for: str = ""
    commit: int = 0
    segment: int = 0
    base_index: int = 0
    batch: int = 0
    valid_bytes: int = 0
    torn_bytes: int = 0
    leftovers: tuple[str, ...] = ()


class _Damaged(Exception):
    """Raised on damaged data; :func:`read_contents` returns it as a failure."""


def read_contents(folder: Folder | ReadFolder) -> Result[Contents, LogError]:
    """Return the contents of a data folder.

    :returns: the contents, :class:`DataFolderDamaged`, or :class:`StorageFailed` if
        the disk refuses to be read.
    """
    try:
        return Success(_read(folder))
    except _Damaged as exc:
        return Failure(DataFolderDamaged(str(exc)))
    except msgspec.MsgspecError as exc:
        return Failure(DataFolderDamaged(f"unreadable: {exc}"))
    except OSError as exc:
        return Failure(StorageFailed(f"unreadable: {exc}"))


def segment_name(number: int) -> str:
    """Return the name of the log file with this number."""
    return f"{SEGMENT_PREFIX}{number:010d}"


def snapshot_name(index: int) -> str:
    """Return the name of the snapshot file for a snapshot at ``index``."""
    return f"{SNAPSHOT_PREFIX}{index:020d}"


def _read(folder: Folder) -> Contents:
    names = folder.names()
    temporary = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
    complete = [name for name in names if name not in temporary]
    segments = [name for name in complete if name.startswith(SEGMENT_PREFIX)]
    snapshots = [name for name in complete if name.startswith(SNAPSHOT_PREFIX)]
    if MEMBER_NAME not in complete:
        return _read_new(folder, segments, snapshots, temporary)
    identity = _read_identity(folder)
    if not segments:
        raise _Damaged("the log file is missing")
    snapshot = _read_snapshot(folder, snapshots, identity)
    contents = _read_segment(folder, segments[-1], snapshot, identity)
    leftovers = (*temporary, *segments[:-1], *snapshots[:-1])
    return contents._replace(leftovers=leftovers)


def _read_new(
    folder: Folder, segments: list[str], snapshots: list[str], temporary: list[str]
) -> Contents:
    """Accept an empty folder, or one whose creation was interrupted."""
    for name in segments:
        kinds = [frame.kind for frame in _intact_frames(scan(folder.read(name)), name)]
        if kinds != [HEADER]:
            raise _Damaged("the member file is missing")
    if snapshots:
        raise _Damaged("the member file is missing")
    return Contents(None, leftovers=(*temporary, *segments))


def _read_identity(folder: Folder) -> Identity:
    frames = _intact_frames(scan(folder.read(MEMBER_NAME)), MEMBER_NAME)
    identity = msgspec.json.decode(frames[0].payload, type=Identity)
    _check_format(identity["format"], MEMBER_NAME)
    return identity


def _read_snapshot(folder: Folder, names: list[str], identity: Identity) -> Snapshot:
    if not names:
        return NO_SNAPSHOT
    name = names[-1]
    frames = _intact_frames(scan(folder.read(name)), name)
    if [frame.kind for frame in frames] != [SNAPSHOT, DATA]:
        raise _Damaged(f"{name}: not a header and its data")
    header = msgspec.json.decode(frames[0].payload, type=SnapshotHeader)
    _check_format(header["format"], name)
    _check_owner(header["member_id"], name, identity)
    return Snapshot(
        header["index"], header["term"], header["membership"], frames[1].payload
    )


def _read_segment(
    folder: Folder, name: str, snapshot: Snapshot, identity: Identity
) -> Contents:
    scanned = scan(folder.read(name))
    if scanned.damage:
        raise _Damaged(f"{name}: {scanned.damage}")
    if not scanned.frames or scanned.frames[0].kind != HEADER:
        raise _Damaged(f"{name}: no header")
    header = msgspec.json.decode(scanned.frames[0].payload, type=SegmentHeader)
    _check_format(header["format"], name)
    _check_owner(header["member_id"], name, identity)
    if header["base_index"] > snapshot.index:
        raise _Damaged(f"the snapshot at {header['base_index']} is missing")
    contents = Contents(
        identity,
        snapshot,
        segment=int(name.removeprefix(SEGMENT_PREFIX)),
        base_index=header["base_index"],
        batch=scanned.frames[-1].batch,
        valid_bytes=scanned.valid_bytes,
        torn_bytes=scanned.torn_bytes,
    )
    return _replay(contents, scanned.frames[1:], name)


def _replay(contents: Contents, frames: list[Frame], name: str) -> Contents:
    entries: list[Entry] = []
    term, voted_for, commit = 0, "", contents.snapshot.index
    for frame in frames:
        if frame.kind == TERM:
            record = msgspec.json.decode(frame.payload, type=TermRecord)
            term, voted_for = record["term"], record["voted_for"]
        elif frame.kind == COMMIT:
            committed = msgspec.json.decode(frame.payload, type=CommitRecord)
            commit = max(commit, committed["commit"])
        elif frame.kind == ENTRY:
            entry = msgspec.json.decode(frame.payload, type=Entry)
            _insert_entry(entry, entries, contents.base_index, name)
        else:
            raise _Damaged(f"{name}: record of kind {frame.kind!r}")
    entries = _after_snapshot(entries, contents.snapshot)
    last_index = entries[-1].index if entries else contents.snapshot.index
    if commit > last_index:
        raise _Damaged(f"{name}: committed up to {commit}, held up to {last_index}")
    return contents._replace(
        entries=tuple(entries), term=term, voted_for=voted_for, commit=commit
    )


def _insert_entry(
    entry: Entry, entries: list[Entry], base_index: int, name: str
) -> None:
    """Insert an entry, which replaces all entries from its index on."""
    position = entry.index - base_index - 1
    if not 0 <= position <= len(entries):
        raise _Damaged(f"{name}: entry {entry.index} leaves a gap")
    del entries[position:]
    entries.append(entry)


def _after_snapshot(entries: list[Entry], snapshot: Snapshot) -> list[Entry]:
    """Return the entries after a snapshot, which may be newer than the log file.

    If the term at the snapshot's index differs, the snapshot replaced the whole
    log and no entry is valid.
    """
    terms = {entry.index: entry.term for entry in entries}
    newer = [entry for entry in entries if entry.index > snapshot.index]
    if newer and terms.get(snapshot.index, snapshot.term) != snapshot.term:
        return []
    return newer


def _intact_frames(scanned: Scan, name: str) -> list[Frame]:
    if scanned.damage or scanned.torn_bytes or not scanned.frames:
        raise _Damaged(f"{name}: {scanned.damage or 'cut short'}")
    return scanned.frames


def _check_format(number: int, name: str) -> None:
    if number != FORMAT:
        raise _Damaged(f"{name}: format {number}, this release reads {FORMAT}")


def _check_owner(member_id: str, name: str, identity: Identity) -> None:
    if member_id != identity["member_id"]:
        raise _Damaged(f"{name}: belongs to member {member_id}")
