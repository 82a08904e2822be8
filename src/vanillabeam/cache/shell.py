"""Shell of an entry VM's block cache: lookups, imports and exports."""

import random
from collections.abc import Iterable, Sequence
from contextlib import contextmanager
from typing import Protocol

import trio
from loguru import logger

from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.cache.costs import (
    blocks_to_import,
    should_export,
    token_cost_s,
)
from vanillabeam.cache.link import Link
from vanillabeam.cache.lookup import LookupResult, StoreAddress, StoreLookup
from vanillabeam.cache.records import CacheReport, CacheSettings
from vanillabeam.cache.sending import TargetCall, TransferSender
from vanillabeam.cache.transferrecords import (
    CancelTransfer,
    EntryCountChanged,
    Event,
    ExportOffered,
    ImportAbandoned,
    ImportAnswer,
    ImportRequested,
    SizedBlock,
    StartTransfer,
    StoreLost,
    TargetChanged,
    TargetRef,
    Tick,
    TransferKind,
)
from vanillabeam.cache.transfers import Transfers, handle
from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.store.placement import preferred_stores

__all__ = ["Cache"]

TICK_S = 0.25
START_CAPACITY = 1_024
#: An import is abandoned after this multiple of its expected time plus
#: ``PATIENCE_S`` seconds.
PATIENCE_FACTOR = 3.0
PATIENCE_S = 1.0
#: Assumed probability that the first store is lost; scales the expected saving of
#: a second copy.
STORE_LOSS_PROBABILITY = 0.03


class _Permit(Protocol):
    target: str
    boot_id: str
    address: str
    data_centre: str
    version: str


class Cache:
    """Looks up a prompt's blocks in the stores; imports and exports blocks.

    A block is transferred only if this is expected to cost less than computing
    it again. Without stores nothing is cached and every call returns at once.

    :param vm: this VM's name, the prefix of its transfer ids.
    :param call: sends lookups to stores.
    :param call_target: sends transfer orders to targets. A target answers an
        order only when the transfer has ended, so the idle timeout of these
        calls has to be long.
    :param rng: draws the part of transfer ids that differs at each start.
    :ivar broken_invariants: number of invariant violations outside of requests.

    ::

        cache = Cache("vm1", settings, call, call_target, rng)
        await nursery.start(cache.run)
        cache.stores_changed([StoreAddress("vm4", "10.0.0.4:7003", "10.0.0.4:7004")])
        lookup = await cache.find(block_ids)
        target_ref = cache.target_ref(permit, "ledger", config.index)
        tokens = await cache.prepare(target_ref, lookup, cached_blocks=0)
        ...
        cache.offer_exports(target_ref, lookup)
    """

    def __init__(
        self,
        vm: str,
        settings: CacheSettings,
        call: PeerCall,
        call_target: TargetCall,
        rng: random.Random,
    ):
        self._settings = settings
        self._sender = TransferSender(vm, call_target, rng)
        self._lookup = StoreLookup(call)
        self._state = Transfers(settings.link_bytes_s)
        self._answers: dict[int, trio.MemorySendChannel[int]] = {}
        self._last_import_id = 0
        self.broken_invariants = 0
        self._versions: dict[str, str] = {}
        self._starts_in, self._starts_out = trio.open_memory_channel[StartTransfer](
            START_CAPACITY
        )

    def routes(self) -> PeerRoutes:
        """Return the handlers for calls of other VMs; the cache has none."""
        return {}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run transfers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            task_status.started()
            async for start in self._starts_out:
                nursery.start_soon(self._move, start)

    def stores_changed(self, stores: Iterable[StoreAddress]) -> None:
        """Set the live stores and end the transfers of all other stores."""
        stores_by_name = {store.name: store for store in stores}
        for name in set(self._lookup.stores) - set(stores_by_name):
            self._apply(StoreLost(name))
        self._lookup.stores = stores_by_name

    def entries_changed(self, entries: int) -> None:
        """Set the number of live entry VMs, which share the links."""
        self._apply(EntryCountChanged(entries))

    def config_changed(self, config: Config) -> None:
        """Set the weight versions in force; blocks of others are not exported."""
        self._versions = {name: model.version for name, model in config.models.items()}

    def target_changed(
        self, target: str, boot_id: str, versions: dict[str, str]
    ) -> None:
        """End a target's transfers that belong to another boot or version.

        Call this before ordering a target to swap weights.

        :param boot_id: id of the target's current boot; empty if the target has
            ended.
        :param versions: weight versions that are loaded, by model.
        """
        self._apply(TargetChanged(target, boot_id, versions))

    async def find(self, block_ids: Sequence[str]) -> LookupResult:
        """Return which blocks of a prompt the stores hold.

        The lookup takes at most a quarter of a second; a store that fails counts
        as empty.

        :param block_ids: the prompt's blocks, parents first.
        """
        return await self._lookup.find(tuple(block_ids))

    def target_ref(self, permit: _Permit, model: str, index: int) -> TargetRef:
        """Return the reference to the target of a permitted request.

        :param index: index of the configuration; fencing number of transfer
            orders.
        """
        return TargetRef(
            permit.target,
            permit.address,
            permit.boot_id,
            permit.data_centre,
            model,
            permit.version,
            index,
        )

    async def prepare(
        self,
        target_ref: TargetRef,
        lookup: LookupResult,
        cached_blocks: int = 0,
        prefill_tokens_s: float = 0.0,
    ) -> int:
        """Import the blocks that are cheaper to import than to compute.

        Cancel the call when the caller disconnects. An import that takes much
        longer than expected is abandoned; the target then computes the prompt.

        :param cached_blocks: leading blocks that the target should already hold.
        :param prefill_tokens_s: prefill rate of the target in tokens a second; 0
            if it is unknown.
        :returns: number of tokens whose blocks were imported.
        """
        blocks = self._select_imports(
            target_ref, lookup, cached_blocks, prefill_tokens_s
        )
        if not blocks:
            return 0
        size = sum(block.size for block in blocks)
        patience_s = PATIENCE_S + PATIENCE_FACTOR * self._expected_s(
            target_ref, lookup.store, size
        )
        with trio.move_on_after(patience_s):
            with self._import_blocks(
                target_ref, lookup.store, blocks, TransferKind.IMPORT
            ) as answer:
                return await answer.receive() * BLOCK_TOKENS
        return 0

    @contextmanager
    def prefetch(
        self, target_ref: TargetRef, lookup: LookupResult, cached_blocks: int = 0
    ):
        """Import blocks in advance for as long as the context is open.

        A :meth:`prepare` of the same blocks shares the transfer.

        :param cached_blocks: leading blocks that the target should already hold.
        """
        blocks = self._select_imports(target_ref, lookup, cached_blocks, 0.0)
        if not blocks:
            yield
            return
        with self._import_blocks(
            target_ref, lookup.store, blocks, TransferKind.PREFETCH
        ):
            yield

    def offer_exports(
        self, target_ref: TargetRef, lookup: LookupResult, prefill_tokens_s: float = 0.0
    ) -> int:
        """Offer the blocks of a completed prompt at its target to the stores.

        The second store gets a copy only if the risk of losing the first store
        justifies the cost. A store that did not answer the lookup gets no blocks.

        :param prefill_tokens_s: prefill rate of the target in tokens a second; 0
            if it is unknown.
        :returns: number of blocks offered.
        """
        prefill = prefill_tokens_s or self._settings.prefill_tokens_s
        size = self._block_bytes(target_ref)
        prices = self._settings.prices
        compute_s = BLOCK_TOKENS * token_cost_s(prefill, prices)
        if (
            not lookup.block_ids
            or self._versions.get(target_ref.model) != target_ref.version
        ):
            return 0
        offered = 0
        for copy, store in enumerate(self._export_stores(lookup)):
            probability = lookup.reuse_probability * STORE_LOSS_PROBABILITY**copy
            import_s = size / self._link(target_ref, store).rate_bytes_s
            if not should_export(size, probability, compute_s, import_s, prices):
                continue
            held = lookup.held[store]
            missing = [each for each in lookup.block_ids if each not in held]
            if missing:
                blocks = tuple(SizedBlock(block_id, size) for block_id in missing)
                value = probability * compute_s / size
                self._apply(ExportOffered(target_ref, store, blocks, value))
                offered += len(missing)
        return offered

    def report(self) -> CacheReport:
        """Return the counters for the status page and the metrics."""
        state = self._state
        moved = self._sender.moved_bytes
        rates = {"/".join(k): link.rate_bytes_s for k, link in state.links.items()}
        return CacheReport(
            len(self._lookup.stores),
            len(state.started),
            sum(map(len, state.queued.values())),
            state.dropped_exports,
            moved[TransferKind.IMPORT] + moved[TransferKind.PREFETCH],
            moved[TransferKind.EXPORT],
            self._sender.failed,
            rates,
        )

    def _export_stores(self, lookup: LookupResult) -> list[str]:
        names = preferred_stores(lookup.block_ids[0], self._lookup.stores)
        return [name for name in names if name in lookup.held]

    def _select_imports(
        self,
        target_ref: TargetRef,
        lookup: LookupResult,
        cached_blocks: int,
        prefill_tokens_s: float,
    ) -> tuple[SizedBlock, ...]:
        lengths = lookup.lengths[cached_blocks:]
        if not lengths or lookup.store not in self._lookup.stores:
            return ()
        count = blocks_to_import(
            lengths,
            BLOCK_TOKENS,
            prefill_tokens_s or self._settings.prefill_tokens_s,
            lambda size: self._expected_s(target_ref, lookup.store, size),
            self._settings.prices,
        )
        block_ids = lookup.block_ids[cached_blocks : cached_blocks + count]
        pairs = zip(block_ids, lengths[:count], strict=True)
        return tuple(SizedBlock(block_id, size) for block_id, size in pairs)

    def _expected_s(self, target_ref: TargetRef, store: str, size: int) -> float:
        now_s = trio.current_time()
        link = self._link(target_ref, store)
        ahead = self._state.bytes_ahead(target_ref.data_centre, store)
        return link.expected_s(size, ahead, now_s)

    def _link(self, target_ref: TargetRef, store: str) -> Link:
        return self._state.link(target_ref.data_centre, store, trio.current_time())

    def _block_bytes(self, target_ref: TargetRef) -> int:
        assumed = self._settings.token_bytes
        token_bytes = self._sender.token_bytes(target_ref.model, assumed)
        return max(1, int(token_bytes * BLOCK_TOKENS))

    @contextmanager
    def _import_blocks(
        self,
        target_ref: TargetRef,
        store: str,
        blocks: tuple[SizedBlock, ...],
        kind: TransferKind,
    ):
        self._last_import_id += 1
        import_id = self._last_import_id
        self._answers[import_id], answer = trio.open_memory_channel[int](1)
        try:
            self._apply(ImportRequested(import_id, target_ref, store, blocks, kind))
            yield answer
        finally:
            self._answers.pop(import_id, None)
            self._apply(ImportAbandoned(import_id))

    def _apply(self, event: Event) -> None:
        for effect in handle(event, self._state, trio.current_time()):
            self._perform(effect)

    def _apply_in_background(self, event: Event) -> None:
        """Apply an event outside of any request; count and log a broken invariant."""
        try:
            self._apply(event)
        except InvariantBroken as exc:
            self.broken_invariants += 1
            logger.bind(detail=exc.detail).critical("invariant broken")

    def _perform(self, effect: StartTransfer | CancelTransfer | ImportAnswer) -> None:
        if isinstance(effect, StartTransfer):
            self._starts_in.send_nowait(effect)
        elif isinstance(effect, CancelTransfer):
            self._sender.cancel(effect.transfer_id)
        elif effect.import_id in self._answers:
            self._answers[effect.import_id].send_nowait(effect.blocks)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._apply_in_background(Tick())

    async def _move(self, start: StartTransfer) -> None:
        if start.transfer_id not in self._state.started:
            return
        store = self._lookup.stores[start.store]
        self._apply_in_background(await self._sender.move(start, store.blocks))
