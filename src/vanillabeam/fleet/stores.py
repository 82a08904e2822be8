"""Following the stores: the leader hears what each of them holds."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from vanillabeam.decisions import (
    PartsFreed,
    PartsRetired,
    StoreHeard,
    StoreLost,
    note,
)
from vanillabeam.fleet.parts import PartChanges, PartIndex, PartRequest, StoreEvent
from vanillabeam.fleet.reclaimer import PartReclaimer
from vanillabeam.fleet.records import Store

__all__ = ["StoreCalls", "StoreList", "StoreEvents", "StoreTracker"]

WAIT_S = 0.8
#: A store is asked for all its parts again: some events never arrive.
LIST_PERIOD_S = 8.0
#: The first answer tells the store's clock, so it is not to wait for events.
FIRST_WAIT_S = 0.2
RETRY_S = 0.3
#: An order to free parts is void after so long.
FREE_LIMIT_S = 1.5
FREED_AT_ONCE = 200


class StoreEvents(NamedTuple):
    """A store's answer.

    :param epoch: changes when the store restarts, empty.
    :param next_number: where to ask on.
    :param has_gap: some events are missing.
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: list[StoreEvent]
    clock_ms: float | None = None


class StoreList(NamedTuple):
    """All that a store holds whole."""

    epoch: int
    next_number: int
    held: list[StoreEvent]


class StoreCalls(Protocol):
    """How stores are asked; ``None`` stands for no answer."""

    async def read_events(
        self, store: Store, since: int, wait_s: float
    ) -> StoreEvents | None:
        """Return events after ``since``, once there are some."""

    async def list_parts(self, store: Store) -> StoreList | None:
        """Return all parts of the store."""

    async def free(
        self, store: Store, keys: list[tuple[str, str]], epoch: int, until_ms: float
    ) -> bool:
        """Free parts, unless the store has restarted or the time has passed."""


class StoreTracker:
    """Keeps a :class:`PartIndex` while this VM leads.

    :param calls: speaks with stores.
    :param epoch: names this VM's index.
    """

    def __init__(self, calls: StoreCalls, epoch: str):
        self.index = PartIndex(epoch)
        self.reclaimer = PartReclaimer(self.index)
        self._calls = calls
        self._scopes: dict[Store, trio.CancelScope] = {}
        self._epochs: dict[Store, int] = {}
        self._clock_ms = 0.0
        self._clock_at_s = 0.0

    @property
    def has_clock(self) -> bool:
        """Whether some store has told its clock."""
        return self._clock_ms > 0

    def changes_since(
        self, request: PartRequest, term: int, now_s: float
    ) -> PartChanges:
        """Return what a reader has not heard yet."""
        return self.index.changes_since(request, term, self._clock(now_s))

    async def follow(self, stores: tuple[Store, ...], nursery: trio.Nursery) -> None:
        """Follow exactly these stores from now on."""
        for store in [store for store in self._scopes if store not in stores]:
            self._scopes.pop(store).cancel()
            self._forget(store)
        for store in stores:
            if store not in self._scopes:
                self._scopes[store] = await nursery.start(self._follow, store)

    async def _follow(
        self, store: Store, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            while True:
                listed = await self._calls.list_parts(store)
                if listed is None:
                    self._forget(store)
                    await trio.sleep(RETRY_S)
                    continue
                self._begin_epoch(store, listed)
                await self._follow_epoch(store, listed)

    def _begin_epoch(self, store: Store, listed: StoreList) -> None:
        if self._epochs.get(store) != listed.epoch:
            self.reclaimer.forget_store(store)
        self._epochs[store] = listed.epoch
        self._take_list(store, listed)
        note(StoreHeard(store.name, listed.epoch, len(listed.held)))

    async def _follow_epoch(self, store: Store, listed: StoreList) -> None:
        """Follow a store until it restarts, is silent, or leaves a gap."""
        epoch, since, wait_s = listed.epoch, listed.next_number, FIRST_WAIT_S
        listed_s = trio.current_time()
        while True:
            if trio.current_time() - listed_s > LIST_PERIOD_S:
                listed_s = trio.current_time()
                again = await self._calls.list_parts(store)
                if again is not None and again.epoch == epoch:
                    self._take_list(store, again)
                    since = again.next_number
            news = await self._calls.read_events(store, since, wait_s)
            if news is None or news.has_gap or news.epoch != epoch:
                note(StoreLost(store.name, epoch))
                return
            self._note_clock(news)
            self.index.apply(store.address, news.events)
            self._note_used(news.events)
            since, wait_s = news.next_number, WAIT_S

    def _take_list(self, store: Store, listed: StoreList) -> None:
        known = {key for key, _ in self.index.parts_at(store.address)}
        self.index.reset(store.address, listed.held)
        self._note_used(
            [each for each in listed.held if (each.salt, each.part) not in known]
        )

    def _note_used(self, events: list[StoreEvent]) -> None:
        """Take what was saved just now for used."""
        now_s = trio.current_time()
        for event in events:
            self.index.mark_used((event.salt, event.part), now_s)

    def _forget(self, store: Store) -> None:
        self.index.reset(store.address, [])
        self.reclaimer.forget_store(store)
        self._epochs.pop(store, None)

    async def free(
        self, outdated: Callable[[str], bool], longest_fetch_s: float
    ) -> None:
        """Retire what gives way and free what was retired long enough ago."""
        for store, epoch in list(self._epochs.items()):
            now_s = trio.current_time()
            retired = self.reclaimer.retire(store, outdated, now_s)
            if retired:
                note(PartsRetired(store.name, retired))
            keys = self.reclaimer.reclaimable(store, longest_fetch_s, now_s)[
                :FREED_AT_ONCE
            ]
            if not keys:
                continue
            until_ms = self._clock(now_s) + 1000 * FREE_LIMIT_S
            if await self._calls.free(store, keys, epoch, until_ms):
                self.reclaimer.mark_freed(keys)
                note(PartsFreed(store.name, len(keys)))

    def _clock(self, now_s: float) -> float:
        return self._clock_ms + 1000 * (now_s - self._clock_at_s)

    def _note_clock(self, news: StoreEvents) -> None:
        if news.clock_ms is not None:
            self._clock_ms = news.clock_ms
            self._clock_at_s = trio.current_time()
