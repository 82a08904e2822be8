"""The entry's part of the cache: find, import, export, price."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import contextmanager
from typing import NamedTuple, Protocol

import trio
from loguru import logger
from returns.result import Failure, Result

from vanillabeam import wire
from vanillabeam.cache.blocks import BLOCK_TOKENS
from vanillabeam.cache.costs import (
    Prices,
    blocks_to_import,
    should_export,
    token_cost_s,
)
from vanillabeam.cache.link import Link
from vanillabeam.cache.lookup import LookupResult, StoreAddress, StoreLookup
from vanillabeam.cache.placement import preferred_stores
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
    TransferEnded,
    TransferKind,
)
from vanillabeam.cache.transfers import Transfers, handle
from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.targetwire import BlockOrder, TransferReply

__all__ = ["Cache", "CacheReport", "CacheSettings"]

TICK_S = 0.25
START_ROOM = 1_024
PATIENCE_FACTOR = 3.0
PATIENCE_S = 1.0
TRANSFER_LIMIT_S = 120.0
LEARN_PART = 0.2
LOSS_CHANCE = 0.03

TargetCall = Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]]


class CacheSettings(NamedTuple):
    """Settings of the entry's part.

    :param link_bytes_s: most bytes a second between a data centre and a store,
        all entries together.
    :param token_bytes: bytes of a token's KV before any transfer was seen.
    :param prefill_tokens_s: rate of computing a prompt where none is known.
    :param prices: price of recomputed tokens and of bytes on links.
    """

    link_bytes_s: float = 1.25e9
    token_bytes: int = 65_536
    prefill_tokens_s: float = 4_000.0
    prices: Prices = Prices()


class CacheReport(NamedTuple):
    """What the status page and the metrics show.

    :param link_bytes_s: learnt rate by ``data centre/store``.
    """

    stores: int
    started: int
    queued: int
    dropped_exports: int
    imported_bytes: int
    exported_bytes: int
    failed: int
    link_bytes_s: dict[str, float]


class _Permit(Protocol):
    target: str
    boot_id: str
    address: str
    data_centre: str
    version: str


class Cache:
    """Finds a prompt's blocks in the stores and moves what pays.

    With no stores nothing is kept and every call returns at once.

    :param vm: this VM's name; it begins the ids of its transfers.
    :param call: reaches stores for questions.
    :param call_target: reaches targets for orders; an order is answered once
        it is done, so its silence limit has to be a long one.
    :ivar broken: broken invariants that no request saw.

    ::

        cache = Cache("vm1", settings, call, call_target, rng)
        await nursery.start(cache.run)
        cache.stores_changed([StoreAddress("vm4", "10.0.0.4:7003", "10.0.0.4:7004")])
        found = await cache.find(block_ids)
        place = cache.place_of(permit, "ledger", config.index)
        tokens = await cache.prepare(place, found, cached_blocks=0)
        ...
        cache.completed(place, found)
    """

    def __init__(
        self,
        vm: str,
        settings: CacheSettings,
        call: PeerCall,
        call_target: TargetCall,
        rng: random.Random,
    ):
        self._vm = vm
        self._settings = settings
        self._call_target = call_target
        self._boot = f"{rng.getrandbits(32):08x}"
        self._finder = StoreLookup(call)
        self._state = Transfers(settings.link_bytes_s)
        self._token_bytes: dict[str, float] = {}
        self._answers: dict[int, trio.MemorySendChannel[int]] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._asks = 0
        self._moved = {
            TransferKind.IMPORT: 0,
            TransferKind.PREFETCH: 0,
            TransferKind.EXPORT: 0,
        }
        self._failed = 0
        self.broken = 0
        self._versions: dict[str, str] = {}
        self._starts_in, self._starts_out = trio.open_memory_channel[StartTransfer](
            START_ROOM
        )

    def routes(self) -> PeerRoutes:
        """Return the handlers for other VMs' calls: there are none."""
        return {}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Carry out transfers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            task_status.started()
            async for start in self._starts_out:
                nursery.start_soon(self._move, start)

    def stores_changed(self, stores: Iterable[StoreAddress]) -> None:
        """Take the live stores; those that left lose their transfers at once."""
        known = {store.name: store for store in stores}
        for name in set(self._finder.stores) - set(known):
            self._apply(StoreLost(name))
        self._finder.stores = known

    def entries_changed(self, entries: int) -> None:
        """Take the number of live entries, which share the links."""
        self._apply(EntryCountChanged(entries))

    def config_changed(self, config: Config) -> None:
        """Take the models in force: no new request uses another version."""
        self._versions = {name: model.version for name, model in config.models.items()}

    def target_changed(
        self, target: str, boot_id: str, versions: dict[str, str]
    ) -> None:
        """End a target's transfers of another boot or version.

        Whoever is about to order a swap calls this first.

        :param boot_id: the boot in force; empty if the target is gone.
        :param versions: weight version by model.
        """
        self._apply(TargetChanged(target, boot_id, versions))

    async def find(self, block_ids: Sequence[str]) -> LookupResult:
        """Return which beginning of a prompt the stores hold.

        It takes a quarter of a second at most; a failing store counts as empty.
        """
        return await self._finder.find(tuple(block_ids))

    def target_ref(self, permit: _Permit, model: str, index: int) -> TargetRef:
        """Return where a permitted request runs.

        :param index: index of the configuration; the order's fencing number.
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
        found: LookupResult,
        cached_blocks: int = 0,
        prefill_tokens_s: float = 0.0,
    ) -> int:
        """Import what is cheaper to import than to compute; wait for it.

        CancelTransfer it when the caller leaves. A slow link is given up after some
        patience: then the prompt is computed.

        :param cached_blocks: leading blocks that the target should have.
        :returns: tokens that were imported.
        """
        wanted = self._wanted(target_ref, found, cached_blocks, prefill_tokens_s)
        if not wanted:
            return 0
        size = sum(block.size for block in wanted)
        patience_s = PATIENCE_S + PATIENCE_FACTOR * self._expected_s(
            target_ref, found.store, size
        )
        with trio.move_on_after(patience_s):
            with self._ask(
                target_ref, found.store, wanted, TransferKind.IMPORT
            ) as answer:
                return await answer.receive() * BLOCK_TOKENS
        return 0

    @contextmanager
    def prefetch(
        self, target_ref: TargetRef, found: LookupResult, cached_blocks: int = 0
    ):
        """Import while the context lasts, before anyone waits for it.

        A :meth:`prepare` of the same blocks joins it.
        """
        wanted = self._wanted(target_ref, found, cached_blocks, 0.0)
        if not wanted:
            yield
            return
        with self._ask(target_ref, found.store, wanted, TransferKind.PREFETCH):
            yield

    def offer_exports(
        self, target_ref: TargetRef, found: LookupResult, prefill_tokens_s: float = 0.0
    ) -> int:
        """Offer what a finished prompt left at its target to the stores.

        The second store gets a copy where the chance that the first one is
        lost makes it pay. A store that did not answer gets nothing.

        :returns: blocks offered.
        """
        prefill = prefill_tokens_s or self._settings.prefill_tokens_s
        size = self._block_bytes(target_ref)
        prices = self._settings.prices
        compute_s = BLOCK_TOKENS * token_cost_s(prefill, prices)
        if (
            not found.block_ids
            or self._versions.get(target_ref.model) != target_ref.version
        ):
            return 0
        offered = 0
        for copy, store in enumerate(self._homes(found)):
            chance = found.chance * LOSS_CHANCE**copy
            import_s = size / self._link(target_ref, store).rate_bytes_s
            if not should_export(size, chance, compute_s, import_s, prices):
                continue
            held = found.held[store]
            missing = [each for each in found.block_ids if each not in held]
            if missing:
                blocks = tuple(SizedBlock(block_id, size) for block_id in missing)
                value = chance * compute_s / size
                self._apply(ExportOffered(target_ref, store, blocks, value))
                offered += len(missing)
        return offered

    def report(self) -> CacheReport:
        """Return what the status page and the metrics show."""
        state = self._state
        rates = {"/".join(k): link.rate_bytes_s for k, link in state.links.items()}
        return CacheReport(
            len(self._finder.stores),
            len(state.started),
            sum(map(len, state.queued.values())),
            state.dropped_exports,
            self._moved[TransferKind.IMPORT] + self._moved[TransferKind.PREFETCH],
            self._moved[TransferKind.EXPORT],
            self._failed,
            rates,
        )

    def _homes(self, found: LookupResult) -> list[str]:
        names = preferred_stores(found.block_ids[0], self._finder.stores)
        return [name for name in names if name in found.held]

    def _wanted(
        self,
        target_ref: TargetRef,
        found: LookupResult,
        cached_blocks: int,
        prefill_tokens_s: float,
    ) -> tuple[SizedBlock, ...]:
        lengths = found.lengths[cached_blocks:]
        if not lengths or found.store not in self._finder.stores:
            return ()
        count = blocks_to_import(
            lengths,
            BLOCK_TOKENS,
            prefill_tokens_s or self._settings.prefill_tokens_s,
            lambda size: self._expected_s(target_ref, found.store, size),
            self._settings.prices,
        )
        wanted = found.block_ids[cached_blocks : cached_blocks + count]
        pairs = zip(wanted, lengths[:count], strict=True)
        return tuple(SizedBlock(block_id, size) for block_id, size in pairs)

    def _expected_s(self, target_ref: TargetRef, store: str, size: int) -> float:
        now_s = trio.current_time()
        link = self._link(target_ref, store)
        ahead = self._state.bytes_ahead(target_ref.data_centre, store)
        return link.expected_s(size, ahead, now_s)

    def _link(self, target_ref: TargetRef, store: str) -> Link:
        return self._state.link(target_ref.data_centre, store, trio.current_time())

    def _block_bytes(self, target_ref: TargetRef) -> int:
        token_bytes = self._token_bytes.get(
            target_ref.model, self._settings.token_bytes
        )
        return max(1, int(token_bytes * BLOCK_TOKENS))

    @contextmanager
    def _ask(
        self,
        target_ref: TargetRef,
        store: str,
        blocks: tuple[SizedBlock, ...],
        kind: TransferKind,
    ):
        self._asks += 1
        number = self._asks
        self._answers[number], answer = trio.open_memory_channel[int](1)
        try:
            self._apply(ImportRequested(number, target_ref, store, blocks, kind))
            yield answer
        finally:
            self._answers.pop(number, None)
            self._apply(ImportAbandoned(number))

    def _apply(self, event: Event) -> None:
        for effect in handle(event, self._state, trio.current_time()):
            self._carry_out(effect)

    def _apply_alone(self, event: Event) -> None:
        """Apply an event that no request waits for."""
        try:
            self._apply(event)
        except InvariantBroken as exc:
            self.broken += 1
            logger.bind(detail=exc.detail).critical("invariant broken")

    def _carry_out(self, effect: StartTransfer | CancelTransfer | ImportAnswer) -> None:
        if isinstance(effect, StartTransfer):
            self._starts_in.send_nowait(effect)
        elif isinstance(effect, CancelTransfer):
            scope = self._scopes.get(effect.transfer_id)
            if scope is not None:
                scope.cancel()
        elif effect.import_id in self._answers:
            self._answers[effect.import_id].send_nowait(effect.blocks)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._apply_alone(Tick())

    async def _move(self, start: StartTransfer) -> None:
        if start.transfer_id not in self._state.started:
            return
        ended = TransferEnded(start.transfer_id, (), 0, 0.0)
        try:
            with trio.move_on_after(TRANSFER_LIMIT_S) as scope:
                self._scopes[start.transfer_id] = scope
                ended = await self._order(start)
        finally:
            del self._scopes[start.transfer_id]
        self._failed += not ended.moved
        self._apply_alone(ended)

    async def _order(self, start: StartTransfer) -> TransferEnded:
        failed = TransferEnded(start.transfer_id, (), 0, 0.0)
        path = (
            "/blocks/export" if start.kind is TransferKind.EXPORT else "/blocks/import"
        )
        body = wire.encode(self._block_order(start))
        answer = await self._call_target(start.target_ref.address, path, body)
        decoded = answer.bind(lambda reply: wire.decode(TransferReply, reply))
        if isinstance(decoded, Failure):
            return failed
        reply = decoded.unwrap()
        moved = tuple(block for block in reply["blocks"] if block in start.blocks)
        if reply["status"] not in ("done", "partial") or reply["bytes"] < 0:
            return failed
        self._learn(start, len(moved), reply["bytes"])
        seconds = max(0.0, reply["seconds"])
        return TransferEnded(start.transfer_id, moved, reply["bytes"], seconds)

    def _block_order(self, start: StartTransfer) -> BlockOrder:
        target_ref = start.target_ref
        return {
            "transfer": f"{self._vm}-{self._boot}-{start.transfer_id}",
            "boot_id": target_ref.boot_id,
            "index": target_ref.index,
            "model": target_ref.model,
            "version": target_ref.version,
            "store": self._finder.stores[start.store].blocks,
            "blocks": list(start.blocks),
        }

    def _learn(self, start: StartTransfer, blocks: int, size: int) -> None:
        self._moved[start.kind] += size
        if not blocks or not size:
            return
        seen = size / blocks / BLOCK_TOKENS
        known = self._token_bytes.setdefault(start.target_ref.model, seen)
        self._token_bytes[start.target_ref.model] = known + LEARN_PART * (seen - known)
