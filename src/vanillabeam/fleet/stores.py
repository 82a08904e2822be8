"""Tracking of the parts that each KV cache store holds, by the leader."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import trio

from vanillabeam.decisions import (
    PartsFreed,
    PartsRetired,
    StoreHeard,
    StoreLost,
    log_record,
)
from vanillabeam.fleet.parts import (
    FETCH_LIMIT_S,
    VIEW_LEASE_S,
    PartChanges,
    PartIndex,
    PartRequest,
    StoreEvent,
)
from vanillabeam.fleet.reclaimer import MARGIN_S, PartReclaimer
from vanillabeam.fleet.records import Store
from vanillabeam.fleet.storeepochs import EpochChange
from vanillabeam.tasks import keep_running

__all__ = ["StoreCalls", "StoreList", "StoreEvents", "StoreTracker"]

WAIT_S = 0.8
#: Seconds between complete lists of a store's parts; some events never arrive.
LIST_PERIOD_S = 8.0
#: Longest wait of the first request for events: short, because its answer carries
#: the store's clock.
FIRST_WAIT_S = 0.2
RETRY_S = 0.3
#: Seconds after which a store ignores a request to free parts. It is shorter than the
#: time after which another leader may be elected, which lists these parts anew.
FREE_TIMEOUT_S = 0.6
#: Seconds after a store's restart in which a copy of the index from before, or a
#: request that waits at a target, may still have parts fetched there.
REST_S = VIEW_LEASE_S + FETCH_LIMIT_S + MARGIN_S
#: Maximum number of parts in one request to free them.
MAX_FREED = 200


class StoreEvents(NamedTuple):
    """A store's answer to a request for events.

    :param epoch: changes when the store restarts, which empties it.
    :param next_number: number to request the following events from.
    :param has_gap: whether some events are missing.
    :param clock_ms: time of the store's clock, if it sent one.
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: list[StoreEvent]
    clock_ms: float | None = None


class StoreList(NamedTuple):
    """Complete list of the parts that a store has completely saved.

    :param epoch: changes when the store restarts, which empties it.
    :param next_number: number to request the following events from.
    """

    epoch: int
    next_number: int
    parts: list[StoreEvent]


class StoreCalls(Protocol):
    """Client of the stores; a result of ``None`` means no answer."""

    async def read_events(
        self, store: Store, since: int, wait_s: float
    ) -> StoreEvents | None:
        """Return events after ``since``, waiting up to ``wait_s`` for some."""

    async def list_parts(self, store: Store) -> StoreList | None:
        """Return the list of the store's parts."""

    async def free(
        self, store: Store, keys: list[tuple[str, str]], epoch: int, until_ms: float
    ) -> bool:
        """Free parts, unless the store has restarted or the time has passed.

        :param epoch: epoch of the store in which the parts were listed.
        :param until_ms: time of the store's clock after which it ignores this.
        :returns: whether the store has freed the parts.
        """


class StoreTracker:
    """Maintains a :class:`PartIndex` while this VM leads the fleet log.

    :param calls: client of the stores.
    :param epoch: id of this VM's index.
    :param recorded: returns the replicated epoch of each store in which parts may be
        saved, by the store's address. This VM may not have led when a store restarted.
    """

    def __init__(
        self, calls: StoreCalls, epoch: str, recorded: Callable[[], dict[str, int]]
    ):
        self.index = PartIndex(epoch)
        self.reclaimer = PartReclaimer(self.index)
        self._calls = calls
        self._recorded = recorded
        self._scopes: dict[Store, trio.CancelScope] = {}
        self._epochs: dict[Store, int] = {}
        #: Newest epoch of each store, with the monotonic time of its first list.
        self._first_listed: dict[str, tuple[int, float]] = {}
        self._clock_ms = 0.0
        self._clock_at_s = 0.0

    @property
    def has_clock(self) -> bool:
        """Whether a store has sent its clock."""
        return self._clock_ms > 0

    def changes_since(
        self, request: PartRequest, term: int, now_s: float
    ) -> PartChanges:
        """Return the changes that a reader has not received yet."""
        changes = self.index.changes_since(request, term, self._clock(now_s))
        recorded = self._recorded()
        # One that doesn't answer may have restarted: entry VMs that don't hear of it
        # go on fetching.
        resting = [
            store.address
            for store in self._scopes
            if store not in self._epochs
            or recorded.get(store.address) != self._epochs[store]
        ]
        if resting:
            changes["resting"] = sorted(resting)
        return changes

    def epoch_changes(self, now_s: float) -> list[EpochChange]:
        """Return the changes of the recorded epochs that are due."""
        recorded = self._recorded()
        changes = []
        for store, epoch in self._epochs.items():
            basis = recorded.get(store.address)
            _, first_listed_s = self._first_listed[store.address]
            if basis is None:
                changes.append(EpochChange(store=store.address, epoch=epoch))
            elif basis != epoch and now_s - first_listed_s >= REST_S:
                change = EpochChange(store=store.address, basis=basis, epoch=epoch)
                changes.append(change)
        return changes

    async def track(self, stores: tuple[Store, ...], nursery: trio.Nursery) -> None:
        """Track exactly these stores from now on."""
        for store in [store for store in self._scopes if store not in stores]:
            self._scopes.pop(store).cancel()
            self._forget(store)
        for store in stores:
            if store not in self._scopes:
                self._scopes[store] = await nursery.start(self._track, store)

    async def _track(
        self, store: Store, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await keep_running("store", self._track_store, store)

    async def _track_store(self, store: Store) -> None:
        while True:
            listed = await self._calls.list_parts(store)
            if listed is None:
                self._forget(store)
                await trio.sleep(RETRY_S)
                continue
            self._begin_epoch(store, listed)
            await self._track_epoch(store, listed)

    def _begin_epoch(self, store: Store, listed: StoreList) -> None:
        if self._epochs.get(store) != listed.epoch:
            self.reclaimer.forget_store(store)
        epoch, _ = self._first_listed.get(store.address, (None, 0.0))
        if epoch != listed.epoch:
            now_s = trio.current_time()
            self._first_listed[store.address] = (listed.epoch, now_s)
        self._epochs[store] = listed.epoch
        self._apply_list(store, listed)
        log_record(StoreHeard(store.name, listed.epoch, len(listed.parts)))

    async def _track_epoch(self, store: Store, listed: StoreList) -> None:
        """Track a store until it restarts, stops answering, or loses events."""
        epoch, since, wait_s = listed.epoch, listed.next_number, FIRST_WAIT_S
        listed_s = trio.current_time()
        while True:
            if trio.current_time() - listed_s > LIST_PERIOD_S:
                listed_s = trio.current_time()
                relisted = await self._calls.list_parts(store)
                if relisted is not None and relisted.epoch == epoch:
                    self._apply_list(store, relisted)
                    since = relisted.next_number
            answer = await self._calls.read_events(store, since, wait_s)
            if answer is None or answer.has_gap or answer.epoch != epoch:
                log_record(StoreLost(store.name, epoch))
                return
            self._update_clock(answer)
            self.index.apply(store.address, answer.events)
            self._mark_used(answer.events)
            since, wait_s = answer.next_number, WAIT_S

    def _apply_list(self, store: Store, listed: StoreList) -> None:
        known = {key for key, _ in self.index.parts_at(store.address)}
        self.index.reset(store.address, listed.parts)
        self._mark_used(
            [event for event in listed.parts if (event.salt, event.part) not in known]
        )

    def _mark_used(self, events: list[StoreEvent]) -> None:
        """Count parts that were just saved as used now."""
        now_s = trio.current_time()
        for event in events:
            self.index.mark_used((event.salt, event.part), now_s)

    def _forget(self, store: Store) -> None:
        self.index.reset(store.address, [])
        self.reclaimer.forget_store(store)
        self._epochs.pop(store, None)

    async def free(
        self,
        outdated: Callable[[str], bool],
        longest_fetch_s: float,
        confirm: Callable[[], Awaitable[bool]],
    ) -> None:
        """Retire parts and free those that were retired long enough ago.

        :param outdated: predicate, whether no target uses a salt any more.
        :param longest_fetch_s: seconds within which every fetch has finished.
        :param confirm: asks a quorum whether this VM still leads. Another leader would
            have entry VMs fetch parts that this one has retired.
        """
        for store, epoch in list(self._epochs.items()):
            now_s = trio.current_time()
            retired = self.reclaimer.retire(store, outdated, now_s)
            if retired:
                log_record(PartsRetired(store.name, retired))
            keys = self.reclaimer.reclaimable(store, longest_fetch_s, now_s)[:MAX_FREED]
            if not keys:
                continue
            until_ms = self._clock(now_s) + 1000 * FREE_TIMEOUT_S
            if not await confirm():
                return
            if await self._calls.free(store, keys, epoch, until_ms):
                self.reclaimer.mark_freed(keys)
                log_record(PartsFreed(store.name, len(keys)))

    def _clock(self, now_s: float) -> float:
        return self._clock_ms + 1000 * (now_s - self._clock_at_s)

    def _update_clock(self, answer: StoreEvents) -> None:
        if answer.clock_ms is not None:
            self._clock_ms = answer.clock_ms
            self._clock_at_s = trio.current_time()
