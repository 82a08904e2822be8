"""Durable storage of a replica: its log file, its snapshots and its identity."""

import zlib
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.log.contents import (
    COMMIT,
    DATA,
    ENTRY,
    FORMAT,
    HEADER,
    MEMBER_NAME,
    SNAPSHOT,
    TERM,
    CommitRecord,
    Contents,
    Identity,
    SegmentHeader,
    SnapshotHeader,
    TermRecord,
    read_contents,
    segment_name,
    snapshot_name,
)
from vanillabeam.log.events import SaveEntries, SaveTerm
from vanillabeam.log.exceptions import LogError, StorageFailed
from vanillabeam.log.folder import Folder
from vanillabeam.log.frames import HEADER_BYTES, encode_batch
from vanillabeam.log.records import Address, Entry, Snapshot

__all__ = ["Storage", "open_storage"]


class Storage:
    """The only writer of one data folder.

    After the first failed write or sync every later write fails too: the
    contents of the disk are then unknown, and the replica must neither vote nor
    reply. It begins again with what can be read, once that is written anew.

    :ivar identity: identity of the data folder.
    :ivar failure: first failed write or sync, ``None`` if there was none.
    :ivar snapshot: newest snapshot on disk, without its data.
    :ivar snapshot_bytes: size of the snapshot's data in bytes.
    :ivar snapshot_crc: CRC-32 of the snapshot's data.
    """

    def __init__(self, folder: Folder, identity: Identity, contents: Contents):
        self.folder = folder
        self.identity = identity
        self.failure: StorageFailed | None = None
        self._segment = contents.segment
        self._batch = contents.batch
        self._commit = contents.commit
        self._set_snapshot(contents.snapshot)

    def write(
        self, records: list[SaveTerm | SaveEntries], commit: int
    ) -> Result[None, LogError]:
        """Store records as one batch and sync it.

        :param commit: an index known to be committed; stored if it is new.
        """
        payloads = [pair for record in records for pair in _payloads(record)]
        if commit > self._commit:
            self._commit = commit
            payloads.append((COMMIT, _json(CommitRecord(commit=commit))))
        if not payloads:
            return Success(None)
        return self._run_write(lambda: self._append(payloads))

    def save_snapshot(
        self,
        snapshot: Snapshot,
        term: int,
        voted_for: str,
        entries: list[Entry],
        commit: int,
    ) -> Result[None, LogError]:
        """Store a snapshot and start a new log file with the entries after it.

        :param entries: all entries after the snapshot.
        """
        return self._run_write(
            lambda: self._save_snapshot(snapshot, term, voted_for, entries, commit)
        )

    def save_identity(self, **changes: str) -> Result[None, LogError]:
        """Change ``group_id`` or ``promised`` in the identity and sync it."""
        self.identity = Identity(**(self.identity | changes))
        return self._run_write(lambda: _write_identity(self.folder, self.identity))

    def read_chunk(self, offset: int, size_bytes: int) -> Result[bytes, LogError]:
        """Return a chunk of the newest snapshot's data."""
        start = self._data_offset + offset
        size_bytes = min(size_bytes, self.snapshot_bytes - offset)
        name = snapshot_name(self.snapshot.index)
        try:
            return Success(self.folder.read_part(name, start, size_bytes))
        except OSError as exc:
            return Failure(self._fail(exc))

    def finish_snapshot(self, contents: Contents) -> Result[None, LogError]:
        """Write a new log file, also one that a crash kept from being written."""
        return self._run_write(
            lambda: self._begin_segment(
                contents.snapshot.index,
                contents.term,
                contents.voted_for,
                list(contents.entries),
                contents.commit,
            )
        )

    def close(self) -> None:
        """Close open files."""
        self.folder.close()

    def _append(self, payloads: list[tuple[bytes, bytes]]) -> None:
        self._batch += 1
        name = segment_name(self._segment)
        self.folder.append(name, encode_batch(payloads, self._batch))
        self._sync(name)

    def _sync(self, name: str) -> None:
        self.folder.sync(name)

    def _save_snapshot(
        self,
        snapshot: Snapshot,
        term: int,
        voted_for: str,
        entries: list[Entry],
        commit: int,
    ) -> None:
        old_name = snapshot_name(self.snapshot.index)
        name = snapshot_name(snapshot.index)
        member_id = self.identity["member_id"]
        self.folder.replace(name, _snapshot_bytes(snapshot, member_id))
        self._begin_segment(snapshot.index, term, voted_for, entries, commit)
        if old_name != name:
            self.folder.remove(old_name)
        self._set_snapshot(snapshot)

    def _begin_segment(
        self,
        base_index: int,
        term: int,
        voted_for: str,
        entries: list[Entry],
        commit: int,
    ) -> None:
        payloads = [_segment_header(self.identity["member_id"], base_index)]
        payloads += _payloads(SaveTerm(term, voted_for))
        payloads += _payloads(SaveEntries(tuple(entries)))
        payloads.append((COMMIT, _json(CommitRecord(commit=commit))))
        old_segment = segment_name(self._segment)
        self._segment += 1
        self._batch = 1
        self._commit = max(self._commit, commit)
        self.folder.replace(segment_name(self._segment), encode_batch(payloads, 1))
        self.folder.remove(old_segment)

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot._replace(data=b"")
        self.snapshot_bytes = len(snapshot.data)
        self.snapshot_crc = zlib.crc32(snapshot.data)
        header = _snapshot_header(snapshot, self.identity["member_id"])
        self._data_offset = 2 * HEADER_BYTES + len(header)

    def _run_write(self, write: Callable[[], None]) -> Result[None, LogError]:
        if self.failure is not None:
            return Failure(self.failure)
        try:
            write()
        except OSError as exc:
            return Failure(self._fail(exc))
        return Success(None)

    def _fail(self, exc: OSError) -> StorageFailed:
        self.failure = self.failure or StorageFailed(str(exc))
        return self.failure


def open_storage(
    folder: Folder,
    group: str,
    make_id: Callable[[], str],
    initial: Sequence[Address] = (),
    *,
    rewrite: bool = False,
) -> Result[tuple[Storage, Contents], LogError]:
    """Open a data folder: initialise a new one, or truncate a torn tail.

    What was read is synced first: a process that ended before its sync may have left
    it in memory only, and from here on this replica acknowledges it.

    :param make_id: returns an id that no other replica has ever had.
    :param initial: stored in a new folder; empty if this VM founds no group.
    :param rewrite: whether to write the log and the identity anew, as after a failed
        sync they may differ from what is read, and a further sync would not tell.
    """
    read = read_contents(folder)
    if isinstance(read, Failure):
        return read
    contents = read.unwrap()
    try:
        if contents.identity is not None:
            folder.sync(segment_name(contents.segment))
        folder.sync_names()
        for name in contents.leftovers:
            folder.remove(name)
        if contents.identity is None:
            contents = _initialize(folder, group, make_id(), initial)
        elif contents.torn_bytes:
            folder.truncate(segment_name(contents.segment), contents.valid_bytes)
    except OSError as exc:
        return Failure(StorageFailed(str(exc)))
    storage = Storage(folder, contents.identity, contents)
    completed: Result[None, LogError] = Success(None)
    if contents.base_index < contents.snapshot.index or rewrite:
        completed = storage.finish_snapshot(contents)
    if rewrite and isinstance(completed, Success):
        completed = storage.save_identity()
    return completed.map(lambda _: (storage, contents))


def _initialize(
    folder: Folder, group: str, member_id: str, initial: Sequence[Address]
) -> Contents:
    """Initialise a data folder.

    The log file is written before the member file, so that a folder with an id
    always has a log file.
    """
    identity = Identity(
        format=FORMAT, group=group, member_id=member_id, group_id="", promised=""
    )
    if initial:
        identity["initial"] = list(initial)
    header = encode_batch([_segment_header(member_id, 0)], 1)
    folder.replace(segment_name(1), header)
    _write_identity(folder, identity)
    return Contents(identity, segment=1, batch=1, valid_bytes=len(header))


def _write_identity(folder: Folder, identity: Identity) -> None:
    folder.replace(MEMBER_NAME, encode_batch([(HEADER, _json(identity))], 1))


def _payloads(record: SaveTerm | SaveEntries) -> list[tuple[bytes, bytes]]:
    if isinstance(record, SaveTerm):
        return [(TERM, _json(TermRecord(**record._asdict())))]
    return [(ENTRY, _json(entry)) for entry in record.entries]


def _segment_header(member_id: str, base_index: int) -> tuple[bytes, bytes]:
    header = SegmentHeader(format=FORMAT, member_id=member_id, base_index=base_index)
    return HEADER, _json(header)


def _snapshot_header(snapshot: Snapshot, member_id: str) -> bytes:
    header = SnapshotHeader(
        format=FORMAT,
        member_id=member_id,
        index=snapshot.index,
        term=snapshot.term,
        membership=snapshot.membership,
    )
    return _json(header)


def _snapshot_bytes(snapshot: Snapshot, member_id: str) -> bytes:
    header = _snapshot_header(snapshot, member_id)
    return encode_batch([(SNAPSHOT, header), (DATA, snapshot.data)], 1)


def _json(value: object) -> bytes:
    return msgspec.json.encode(value)
