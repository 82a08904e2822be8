"""Files of a replica: its state from them, and the effects that are stored in them."""

import random

from returns.result import Result, Success

from vanillabeam.log.contents import Contents
from vanillabeam.log.entries import EntryLog
from vanillabeam.log.events import (
    Effect,
    SaveEntries,
    SaveGroupId,
    SaveSnapshot,
    SaveTerm,
    SendChunk,
)
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.messages import SnapshotChunk
from vanillabeam.log.records import LogSettings, Snapshot
from vanillabeam.log.replica import Replica
from vanillabeam.log.storage import Storage

__all__ = ["load_replica", "make_chunk", "persist_effects", "take_snapshot"]


def load_replica(
    storage: Storage,
    contents: Contents,
    settings: LogSettings,
    rng: random.Random,
    now_s: float,
    kind: type[Replica] = Replica,
) -> Replica:
    """Return the replica state for the contents of a data folder.

    Without a group id the contents are ignored, because only an interrupted
    bootstrap leaves entries there.

    :param now_s: monotonic time in seconds.
    :param kind: class of the replica state.
    """
    identity = storage.identity
    if not identity["group_id"]:
        contents = Contents(identity)
    return kind(
        identity["member_id"],
        identity["group_id"],
        settings,
        rng,
        EntryLog(contents.snapshot, list(contents.entries)),
        term=contents.term,
        voted_for=contents.voted_for,
        commit=contents.commit,
        now_s=now_s,
    )


def persist_effects(
    storage: Storage, effects: list[Effect], state: Replica
) -> Result[None, LogError]:
    """Store and sync the data of a batch of effects, log records in one write."""
    result: Result[None, LogError] = Success(None)
    joined = [effect for effect in effects if isinstance(effect, SaveGroupId)]
    if joined:
        result = storage.save_identity(group_id=joined[-1].group_id)
    snapshots = [e for e in effects if isinstance(e, SaveSnapshot)]
    if snapshots and isinstance(result, Success):
        return _save_snapshot(storage, snapshots[-1].snapshot, state)
    records = [e for e in effects if isinstance(e, SaveTerm | SaveEntries)]
    if records and isinstance(result, Success):
        return storage.write(records, state.commit)
    return result


def take_snapshot(
    storage: Storage, state: Replica, data: bytes
) -> Result[None, LogError]:
    """Store a snapshot of the state machine at the applied index.

    :param data: what :meth:`StateMachine.snapshot` returned.
    """
    index = state.applied
    term = state.log.term_at(index)
    membership = state.log.membership_at(index)
    return _save_snapshot(storage, Snapshot(index, term, membership, data), state)


def _save_snapshot(
    storage: Storage, snapshot: Snapshot, state: Replica
) -> Result[None, LogError]:
    entries = state.log.after(snapshot.index)
    return storage.save_snapshot(
        snapshot, state.term, state.voted_for, entries, state.commit
    )


def make_chunk(
    term: int, storage: Storage, effect: SendChunk, data: bytes
) -> SnapshotChunk:
    """Return the message with a chunk of the newest snapshot."""
    snapshot = storage.snapshot
    return SnapshotChunk(
        term,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        effect.offset,
        data,
        storage.snapshot_bytes,
        storage.snapshot_crc,
        effect.round,
    )
