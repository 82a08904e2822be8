"""Main loop of a replica: handles events and executes their effects."""

from contextlib import suppress
from functools import partial
from typing import NamedTuple

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log.core import handle, next_tick_s
from vanillabeam.log.events import (
    Apply,
    Effect,
    Event,
    Flush,
    MembershipReplaced,
    NoChangeNeeded,
    Proposed,
    QuorumMissed,
    ReadConfirmed,
    Received,
    Refused,
    Restore,
    Role,
    SaveEntries,
    SaveGroupId,
    SaveSnapshot,
    SaveTerm,
    Send,
    SendChunk,
    SnapshotSaved,
    Tick,
)
from vanillabeam.log.exceptions import LogError, ReplicaStopped
from vanillabeam.log.founding import (
    BootstrapGroup,
    BootstrapPromise,
    bootstrap_contents,
    is_free_to_bootstrap,
    store_bootstrap,
    store_promise,
)
from vanillabeam.log.messages import Envelope
from vanillabeam.log.observing import LeaderWatch, log_report
from vanillabeam.log.outbox import Outbox
from vanillabeam.log.persistence import (
    load_replica,
    make_chunk,
    persist_effects,
    take_snapshot,
)
from vanillabeam.log.records import (
    Snapshot,
    StateMachine,
)
from vanillabeam.log.replica import Replica
from vanillabeam.log.snapshots import is_snapshot_due
from vanillabeam.log.storage import Storage
from vanillabeam.log.waiters import Waiters

__all__ = ["EventBatch", "ReplicaLoop"]

INBOX_ITEMS = 1024


class EventBatch(NamedTuple):
    """Events for the core, from one source.

    :param sender: member id of the replica that sent them in a call, else
        empty.
    :param answer: receives the messages for the response to that call.
    """

    events: tuple[Event, ...]
    sender: str = ""
    answer: trio.MemorySendChannel[list[Envelope]] | None = None


class ReplicaLoop:
    """Runs a replica with its storage and its state machine.

    :param group: name of the group.
    :ivar applied: highest index applied to the state machine.
    :ivar failure: reason why the loop has stopped, ``None`` while it runs.
    """

    def __init__(
        self,
        replica: Replica,
        storage: Storage,
        machine: StateMachine,
        waiters: Waiters,
        outbox: Outbox,
        group: str = "",
    ):
        self.replica = replica
        self.storage = storage
        self.applied = 0
        self.failure: LogError | None = None
        self._machine = machine
        self._waiters = waiters
        self._outbox = outbox
        self._group = group
        self._leader_watch = LeaderWatch(group, trio.current_time())
        self._changed = trio.Event()
        self._send, self._receive = trio.open_memory_channel[
            EventBatch | BootstrapGroup | BootstrapPromise
        ](INBOX_ITEMS)

    async def put(
        self, item: EventBatch | BootstrapGroup | BootstrapPromise
    ) -> Result[None, LogError]:
        """Queue events for the loop.

        :returns: :class:`ReplicaStopped` if the loop has stopped.
        """
        if self.failure is not None:
            return Failure(ReplicaStopped(self.failure.type))
        try:
            await self._send.send(item)
        except trio.BrokenResourceError:
            return Failure(ReplicaStopped(self.failure.type))
        return Success(None)

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at ``index`` is applied to the state machine."""
        while self.applied < index:
            await self._changed.wait()

    @property
    def leaderless_s(self) -> float:
        """Seconds for which the replica has had a group and no leader."""
        return self._leader_watch.leaderless_s(self.replica, trio.current_time())

    async def wait_until_not_leading(self) -> None:
        """Wait until the replica is not the leader or has stopped."""
        while self.failure is None and self.replica.role is Role.LEADER:
            await self._changed.wait()

    def restore(self, snapshot: Snapshot, applied: int = 0) -> None:
        """Restore the state machine from a snapshot and the committed entries.

        :param applied: index up to which the state machine has applied the log in this
            process; what it covers is committed and isn't applied again.
        :raises InvariantBroken: if the log ends before ``applied``, or an entry can't
            be applied.
        """
        self.applied = applied
        if snapshot.index > applied:
            self._machine.restore(snapshot.data)
            self.applied = snapshot.index
        commit = max(self.replica.commit, applied)
        for effect in self.replica.advance_commit(commit):
            entries = tuple(e for e in effect.entries if e.index > self.applied)
            if entries:
                self._execute_locally(effect._replace(entries=entries))

    async def run(self) -> None:
        """Handle events until a write fails or an invariant is violated.

        Before it returns, every item in the queue is refused; later ones are too.
        """
        while self.failure is None:
            batch = await self._next_batch()
            await self._handle_batch(batch)
            self._changed.set()
            self._changed = trio.Event()
        logger.critical("replica stopped: {}: {}", self.failure.type, self.failure)
        self._waiters.fail_all(self.failure)
        with suppress(trio.WouldBlock):
            while True:
                self._refuse(self._receive.receive_nowait())
        self._receive.close()

    async def _next_batch(self) -> list[EventBatch | BootstrapGroup | BootstrapPromise]:
        batch: list[EventBatch | BootstrapGroup | BootstrapPromise] = []
        with trio.move_on_at(next_tick_s(self.replica)):
            batch.append(await self._receive.receive())
        while len(batch) < INBOX_ITEMS:
            try:
                batch.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

    async def _handle_batch(
        self, batch: list[EventBatch | BootstrapGroup | BootstrapPromise]
    ) -> None:
        event_batches = [item for item in batch if isinstance(item, EventBatch)]
        for other in batch:
            if not isinstance(other, EventBatch):
                await self._handle_bootstrap(other)
        try:
            effects = self._effects(event_batches)
        except InvariantBroken as exc:
            self.failure = ReplicaStopped(f"{exc.type}: {exc}")
            self._refuse_all(event_batches)
            return
        stored = await self._store(effects)
        if isinstance(stored, Failure):
            self._stop(stored.failure(), effects)
            self._refuse_all(event_batches)
            return
        try:
            await self._execute(effects, event_batches)
        except InvariantBroken as exc:
            self._stop(ReplicaStopped(f"{exc.type}: {exc}"), effects)
            self._refuse_all(event_batches)
            return
        await self._snapshot_when_due()

    def _effects(self, event_batches: list[EventBatch]) -> list[Effect]:
        now_s = trio.current_time()
        effects: list[Effect] = []
        if now_s >= next_tick_s(self.replica):
            effects += handle(Tick(), self.replica, now_s)
        for item in event_batches:
            for event in item.events:
                if isinstance(event, Received):
                    self._leader_watch.hear(event.envelope.sender, now_s)
                effects += handle(event, self.replica, now_s)
        self._leader_watch.check(self.replica, now_s)
        return effects + handle(Flush(), self.replica, now_s)

    async def _store(self, effects: list[Effect]) -> Result[None, LogError]:
        if not any(isinstance(effect, _STORED) for effect in effects):
            return Success(None)
        return await trio.to_thread.run_sync(
            persist_effects, self.storage, effects, self.replica
        )

    async def _execute(
        self, effects: list[Effect], event_batches: list[EventBatch]
    ) -> None:
        answers: dict[str, list[Envelope]] = {item.sender: [] for item in event_batches}
        for effect in effects:
            envelope = await self._envelope(effect)
            if envelope is None:
                self._execute_locally(effect)
            elif envelope.to in answers:
                answers[envelope.to].append(envelope)
            else:
                self._send_to_peer(envelope)
        for item in event_batches:
            if item.answer is not None:
                item.answer.send_nowait(answers.pop(item.sender, []))

    async def _envelope(self, effect: Effect) -> Envelope | None:
        if isinstance(effect, Send):
            return effect.envelope
        if isinstance(effect, SendChunk):
            return await self._chunk(effect)
        return None

    async def _chunk(self, effect: SendChunk) -> Envelope | None:
        state, storage = self.replica, self.storage
        size_bytes = state.settings.chunk_bytes
        read = await trio.to_thread.run_sync(
            storage.read_chunk, effect.offset, size_bytes
        )
        if isinstance(read, Failure):
            self.failure = read.failure()
            return None
        return Envelope(
            state.group_id,
            state.member_id,
            effect.to,
            make_chunk(state.term, storage, effect, read.unwrap()),
        )

    def _execute_locally(self, effect: Effect) -> None:
        if isinstance(effect, Apply):
            self._waiters.apply(effect)
            self._set_applied(effect.entries[-1].index)
        elif isinstance(effect, Restore):
            self._waiters.restore(effect)
            self._set_applied(effect.snapshot.index)
        elif isinstance(effect, Proposed | NoChangeNeeded | Refused | ReadConfirmed):
            self._waiters.answer(effect)
        elif isinstance(effect, MembershipReplaced | QuorumMissed):
            log_report(self._group, effect)

    def _set_applied(self, index: int) -> None:
        if index <= self.applied:
            raise InvariantBroken(f"applied {index} after {self.applied}")
        self.applied = index

    def _send_to_peer(self, envelope: Envelope) -> None:
        member = self.replica.membership.member(envelope.to)
        if member is not None:
            self._outbox.put(member.address, envelope)

    async def _snapshot_when_due(self) -> None:
        state, storage = self.replica, self.storage
        index, size_bytes = storage.snapshot.index, storage.snapshot_bytes
        if not is_snapshot_due(state, index, size_bytes, trio.current_time()):
            return
        data = self._machine.snapshot()
        index = state.applied
        saved = await trio.to_thread.run_sync(take_snapshot, storage, state, data)
        if isinstance(saved, Failure):
            self._stop(saved.failure(), [])
            return
        handle(SnapshotSaved(index), state, trio.current_time())

    async def _handle_bootstrap(self, item: BootstrapGroup | BootstrapPromise) -> None:
        if isinstance(item, BootstrapPromise):
            has_group = bool(self.replica.group_id)
            if has_group or await self._save(
                partial(store_promise, self.storage, item)
            ):
                item.answer.send_nowait(None)
            else:
                item.answer.close()
            return
        requires_all = self.replica.settings.open_requires_all
        is_free = is_free_to_bootstrap(self.storage, item, requires_all)
        if self.replica.group_id or not is_free:
            return
        contents = bootstrap_contents(self.storage.identity, item)
        if not await self._save(partial(store_bootstrap, self.storage, contents)):
            return
        self.replica = load_replica(
            self.storage,
            contents,
            self.replica.settings,
            self.replica.rng,
            trio.current_time(),
        )

    async def _save(self, save: partial) -> bool:
        """Return whether something was stored; stop the loop if not."""
        saved = await trio.to_thread.run_sync(save)
        if isinstance(saved, Failure):
            self._stop(saved.failure(), [])
        return not isinstance(saved, Failure)

    def _stop(self, failure: LogError, effects: list[Effect]) -> None:
        """Stop the loop.

        Commands proposed in the failed batch may be on disk, so their outcome
        is unknown.
        """
        self.failure = failure
        for effect in effects:
            if isinstance(effect, Proposed):
                self._waiters.answer(effect)

    def _refuse_all(self, event_batches: list[EventBatch]) -> None:
        for item in event_batches:
            self._refuse(item)

    def _refuse(self, item: EventBatch | BootstrapGroup | BootstrapPromise) -> None:
        if isinstance(item, EventBatch) and item.answer is not None:
            item.answer.send_nowait([])
        if isinstance(item, BootstrapPromise):
            item.answer.close()
        self._waiters.fail_all(self.failure)


_STORED = (SaveTerm, SaveEntries, SaveSnapshot, SaveGroupId)
