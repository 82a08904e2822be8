"""Shell of the store: holds the bytes, runs the core and executes its effects."""

import random
from collections.abc import AsyncGenerator
from typing import NamedTuple, TypedDict

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.blocks import release_tag, workspace_tag
from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import InvariantBroken, NotReady, VanillabeamError
from vanillabeam.peercall import PeerRoutes
from vanillabeam.store.core import handle
from vanillabeam.store.disk import BlockKey
from vanillabeam.store.files import FileLayer
from vanillabeam.store.messages import FIND_PATH, FindReply, FindRequest
from vanillabeam.store.records import (
    AlreadyStored,
    ConfigUpdated,
    DropDisk,
    DropMemory,
    Effect,
    Event,
    FindRequested,
    FindResult,
    Persist,
    ReadAccepted,
    Refused,
    Sealed,
    StoresUpdated,
    Tick,
    WriteAccepted,
    WriteBegun,
)
from vanillabeam.store.state import StoreLimits, StoreState
from vanillabeam.store.streams import MemorySink, Sink, memory_chunks
from vanillabeam.store.tier import DiskTier

__all__ = ["Store", "StoreReport", "StoreSettings"]

TICK_S = 1.0

Reply = WriteAccepted | AlreadyStored | Refused | Sealed | ReadAccepted | FindResult


class StoreSettings(NamedTuple):
    """Settings of a store.

    :param memory_bytes: capacity of the memory tier; 0 disables it.
    :param disk_bytes: capacity of the disk tier; 0 disables it.
    :param max_block_bytes: size of the largest block that is accepted.
    :param ttl_s: idle time in seconds after which a block expires.
    :param max_transfers: limit on concurrent uploads and downloads.
    :param idle_timeout_s: seconds without a byte after which a transfer ends.
    :param min_bytes_s: lowest average upload rate in bytes per second; slower
        uploads are ended.
    """

    memory_bytes: int = 2**30
    disk_bytes: int = 0
    max_block_bytes: int = 2**31
    ttl_s: float = 14 * 86_400.0
    max_transfers: int = 64
    idle_timeout_s: float = 10.0
    min_bytes_s: int = 64 * 2**10


class StoreReport(TypedDict):
    """Status of a store, for the status page and the metrics.

    :param blocks: number of sealed blocks.
    :param memory_used: bytes used in the memory tier.
    :param memory_bytes: capacity of the memory tier.
    :param disk_used: bytes used in the disk tier.
    :param disk_bytes: capacity of the disk tier.
    :param writing: number of uploads in progress.
    :param unscanned: number of files that the start-up scan has yet to read.
    :param counts: number of evictions, refusals and faults, by name.
    """

    blocks: int
    memory_used: int
    memory_bytes: int
    disk_used: int
    disk_bytes: int
    writing: int
    unscanned: int
    counts: dict[str, int]


class Store:
    """A store; its HTTP API is in :mod:`.server`.

    :param name: name of the VM, as in the list of live stores.
    :param settings: capacities and timeouts.
    :param rng: random generator that samples the candidates for eviction.
    :param files: folder of the block files; ``None`` for a store without a disk.
    :ivar state: state of the functional core.
    :ivar ready: whether the files on disk are listed, so that requests are served.
    :ivar transfers: number of uploads and downloads in progress.

    ::

        store = Store("vm4", StoreSettings(), random.Random(), None)
        await nursery.start(store.run)
        serve(make_app(store))
    """

    def __init__(
        self,
        name: str,
        settings: StoreSettings,
        rng: random.Random,
        files: FileLayer | None = None,
    ):
        disk_bytes = settings.disk_bytes if files is not None else 0
        limits = StoreLimits(
            settings.memory_bytes, disk_bytes, settings.max_block_bytes, settings.ttl_s
        )
        self.name = name
        self.settings = settings
        self.state = StoreState(limits, rng)
        self.ready = False
        self.transfers = 0
        self._memory: dict[tuple[str, int], bytearray] = {}
        self._disk = DiskTier(files, self.state, self._memory, self._apply_internal)
        self._stores: tuple[str, ...] = (name,)
        self._config = Config()
        self._tags: dict[str, tuple[Workspace, str]] = {}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """List the files on disk, then scan, write and expire until cancelled."""
        await self._disk.list_files()
        self.ready = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._disk.run_queue)
            nursery.start_soon(self._disk.scan)
            nursery.start_soon(self._tick)
            task_status.started()

    def routes(self) -> PeerRoutes:
        """Return the handlers of the requests that entries send."""
        return {FIND_PATH: self._handle_find}

    def config_changed(self, config: Config) -> None:
        """Apply the quotas, workspaces and releases of ``config``.

        Each store enforces an equal share of a workspace's quota. An index of 0
        means that no configuration was received yet, not that it is empty, so
        such a ``config`` is ignored.
        """
        if config.index == 0:
            return
        self._config = config
        store_count = len(self._stores)
        quotas = {
            self._cached_tag(workspace): -(-workspace.quota_bytes // store_count)
            for workspace in config.workspaces.values()
        }
        self.apply(ConfigUpdated(quotas, _release_tags(config)))

    def stores_changed(self, stores: tuple[str, ...]) -> None:
        """Apply the list of live stores of this data centre, by name."""
        self._stores = tuple(sorted({*stores, self.name}))
        self.apply(StoresUpdated(self.name, self._stores))
        self.config_changed(self._config)

    def report(self) -> StoreReport:
        """Return the status of the store."""
        state = self.state
        return {
            "blocks": len(state.blocks),
            "memory_used": state.memory_used,
            "memory_bytes": state.limits.memory_bytes,
            "disk_used": state.disk_used,
            "disk_bytes": state.limits.disk_bytes,
            "writing": len(state.writing),
            "unscanned": len(self._disk.unscanned),
            "counts": dict(state.counts),
        }

    def apply(self, event: Event) -> Reply | None:
        """Apply ``event`` to the core and execute the effects.

        :returns: the core's reply to the event, if there is one.
        """
        reply: Reply | None = None
        for effect in handle(event, self.state, trio.current_time()):
            reply = self._execute(effect) or reply
        return reply

    async def find_on_disk(self, block_ids: list[str] | tuple[str, ...]) -> None:
        """Load the files of ``block_ids`` that the start-up scan has not reached."""
        await self._disk.find(block_ids)

    async def open_sink(self, accepted: WriteAccepted, event: WriteBegun) -> Sink:
        """Return a sink for an accepted upload; may raise ``OSError``."""
        if accepted.in_memory:
            return MemorySink(event.length)
        return await self._disk.open_sink(event, accepted.generation)

    def keep_data(self, accepted: WriteAccepted, sink: Sink) -> None:
        """Keep the bytes of an upload to memory that is about to be sealed."""
        if isinstance(sink, MemorySink):
            self._memory[accepted.block_id, accepted.generation] = sink.data

    def chunks(self, accepted: ReadAccepted) -> AsyncGenerator[bytes, None]:
        """Return the bytes of a block in chunks, for an accepted reader."""
        key = BlockKey(accepted.block_id, accepted.generation)
        if accepted.in_memory:
            return memory_chunks(self._memory[key])
        return self._disk.chunks(key)

    def _apply_internal(self, event: Event) -> None:
        """Apply an event that no client waits for; log a broken invariant."""
        try:
            self.apply(event)
        except InvariantBroken as exc:
            self.state.counts[exc.type] += 1
            logger.bind(detail=exc.detail).critical("invariant broken")

    def _execute(self, effect: Effect) -> Reply | None:
        if isinstance(effect, DropMemory):
            self._memory.pop((effect.block_id, effect.generation), None)
        elif isinstance(effect, Persist | DropDisk):
            self._disk.enqueue(effect)
        else:
            return effect
        return None

    async def _handle_find(self, body: bytes) -> Result[bytes, VanillabeamError]:
        request = wire.decode(FindRequest, body)
        if isinstance(request, Failure):
            return request
        if not self.ready:
            return Failure(NotReady("the store lists its disk"))
        block_ids = tuple(request.unwrap()["blocks"])
        await self.find_on_disk(block_ids)
        reply = self.apply(FindRequested(block_ids))
        if isinstance(reply, Refused):
            return Failure(reply.failure)
        answer: FindReply = {"lengths": list(reply.lengths), "chance": reply.chance}
        return Success(wire.encode(answer))

    def _cached_tag(self, workspace: Workspace) -> str:
        cached = self._tags.get(workspace.name)
        if cached is None or cached[0] != workspace:
            cached = (workspace, workspace_tag(workspace))
            self._tags[workspace.name] = cached
        return cached[1]

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._apply_internal(Tick())


def _release_tags(config: Config) -> frozenset[str]:
    tags = {release_tag(model.name, model.version) for model in config.models.values()}
    for adapter in config.adapters.values():
        model = config.models.get(adapter.model)
        if model is not None:
            suffix = f"{adapter.name}@{adapter.version}"
            tags.add(release_tag(model.name, model.version, suffix))
    return frozenset(tags)
