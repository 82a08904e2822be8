"""Log compaction, and snapshots for members that lag behind the compacted log."""

import zlib

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log.events import Effect, Restore, Role, SaveSnapshot
from vanillabeam.log.messages import SnapshotChunk, SnapshotReply
from vanillabeam.log.records import Snapshot
from vanillabeam.log.replica import Replica
from vanillabeam.log.replication import (
    advance_leader_commit,
    confirm_reads,
    follow_leader,
)

__all__ = [
    "compact",
    "is_sending_snapshot",
    "is_snapshot_due",
    "on_chunk",
    "on_chunk_reply",
]

#: Multiple of the size at which a snapshot is due, from which on nothing delays it.
OVERDUE_FACTOR = 4


def compact(state: Replica, index: int) -> None:
    """Remove entries that a snapshot on disk covers, except the newest of them.

    :raises InvariantBroken: if the snapshot is ahead of the applied index.
    """
    if index > state.applied:
        raise InvariantBroken(f"snapshot {index} ahead of {state.applied}")
    cfg = state.settings
    kept_from = max(index - cfg.kept_entries, state.log.start_of(index, cfg.kept_bytes))
    state.log.compact(max(kept_from, state.log.base_index))


def is_snapshot_due(
    state: Replica, snapshot_index: int, snapshot_bytes: int, now_s: float
) -> bool:
    """Return whether the applied entries since the last snapshot call for another.

    A member that is receiving the last one delays it, but not without bound: memory and
    disk of a leader don't grow with slow followers.

    :param snapshot_index: index of the last snapshot.
    :param snapshot_bytes: size of its data in bytes.
    """
    cfg = state.settings
    new_bytes = state.log.bytes_between(snapshot_index, state.applied)
    due_bytes = max(cfg.snapshot_bytes, snapshot_bytes)
    if new_bytes >= OVERDUE_FACTOR * due_bytes:
        return True
    is_due = state.applied - snapshot_index >= cfg.snapshot_entries
    is_due = is_due or new_bytes >= due_bytes
    return is_due and not is_sending_snapshot(state, now_s)


def is_sending_snapshot(state: Replica, now_s: float) -> bool:
    """Return whether an active member is receiving a snapshot."""
    return state.role is Role.LEADER and any(
        progress.snapshot_offset is not None
        and now_s - progress.last_contact_s < state.settings.election_s
        for progress in state.progress.values()
    )


def on_chunk(
    message: SnapshotChunk, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Store a chunk in memory; install the snapshot once it is complete."""
    if message.term < state.term:
        return [state.send(sender, SnapshotReply(state.term, 0, 0, False, 0))]
    effects = follow_leader(state, sender, message.term, now_s)
    if state.log.term_at(message.index) == message.index_term:
        effects += state.advance_commit(max(state.commit, message.index))
    elif message.index > state.commit:
        effects += _collect(message, state)
    done = state.commit >= message.index
    offset = (
        len(state.incoming_snapshot[2]) if state.incoming_snapshot and not done else 0
    )
    reply = SnapshotReply(state.term, message.index, offset, done, message.round)
    return [*effects, state.send(sender, reply)]


def _collect(message: SnapshotChunk, state: Replica) -> list[Effect]:
    key = (message.index, message.index_term)
    if state.incoming_snapshot is None or state.incoming_snapshot[:2] != key:
        state.incoming_snapshot = (*key, bytearray())
    received = state.incoming_snapshot[2]
    if message.offset != len(received):
        return []
    received += message.data
    if len(received) < message.total:
        return []
    data = bytes(received)
    state.incoming_snapshot = None
    if zlib.crc32(data) != message.crc:
        return []
    return _install(
        Snapshot(message.index, message.index_term, message.membership, data), state
    )


def _install(snapshot: Snapshot, state: Replica) -> list[Effect]:
    if snapshot.index <= state.applied:
        raise InvariantBroken(f"snapshot {snapshot.index} behind {state.applied}")
    state.log.reset(snapshot)
    state.commit = state.applied = snapshot.index
    return [SaveSnapshot(snapshot), Restore(snapshot)]


def on_chunk_reply(
    message: SnapshotReply, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Continue with the next chunk, or with log entries after the last one."""
    progress = state.record_reply(sender, message.round, now_s)
    if progress is None:
        return []
    if not message.done:
        repeated = message.offset == progress.snapshot_offset
        if progress.snapshot_offset is not None and not repeated:
            progress.snapshot_offset = message.offset
            progress.sent_s = None
        return confirm_reads(state)
    if message.index > progress.match_index:
        progress.match_index = message.index
        progress.sent_s = None
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    progress.snapshot_offset = None
    return advance_leader_commit(state) + confirm_reads(state)
