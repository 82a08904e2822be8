"""Disk tier of a store: start-up scan of its files, queue of writes and removals."""

import math
from collections.abc import AsyncGenerator, Callable, Iterable, Mapping

import trio
from loguru import logger
from returns.result import Failure

from vanillabeam.store.disk import (
    BlockHeader,
    BlockKey,
    BlockWriter,
    open_block,
    parse_name,
    remove_block,
)
from vanillabeam.store.files import FileLayer
from vanillabeam.store.records import (
    BlockFound,
    DropDisk,
    Event,
    Persist,
    Persisted,
    WriteBegun,
)
from vanillabeam.store.state import StoreState
from vanillabeam.store.streams import CHUNK_BYTES, DiskSink, Sink, disk_chunks

__all__ = ["DiskTier"]

#: Pause in seconds after a block file could not be removed.
DISK_RETRY_S = 1.0


class DiskTier:
    """Files of a store, which are scanned at the start, written and removed.

    :param files: folder of the block files; ``None`` for a store without a disk.
    :param state: state of the store's core.
    :param memory: bytes of the blocks in memory, by block and generation.
    :param apply: applies an event that no client waits for to the core.
    :ivar unscanned: files that the start-up scan has yet to read, by block.
    """

    def __init__(
        self,
        files: FileLayer | None,
        state: StoreState,
        memory: Mapping[tuple[str, int], bytearray],
        apply: Callable[[Event], None],
    ):
        self.unscanned: dict[str, BlockKey] = {}
        self._files = files
        self._state = state
        self._memory = memory
        self._apply = apply
        self._scanning: dict[str, trio.Event] = {}
        # The queue is bounded by the number of blocks: each is in it twice at most.
        self._queue_send, self._queue_recv = trio.open_memory_channel[
            Persist | DropDisk
        ](math.inf)

    def enqueue(self, effect: Persist | DropDisk) -> None:
        """Write or remove a file after those that were enqueued before."""
        self._queue_send.send_nowait(effect)

    async def open_sink(self, event: WriteBegun, generation: int) -> Sink:
        """Return a sink for an upload to disk; may raise ``OSError``."""
        return await DiskSink.begin(self._files, _make_header(event, generation))

    def chunks(self, key: BlockKey) -> AsyncGenerator[bytes, None]:
        """Return the bytes of a block on disk in chunks."""
        return disk_chunks(self._files, key)

    async def list_files(self) -> None:
        """List the files to scan; remove those that are no whole block."""
        if self._files is None:
            return
        names = await trio.to_thread.run_sync(self._files.names)
        keys = [key for key in map(parse_name, names) if key is not None]
        keys.sort(key=lambda key: key.generation)
        # Parents were written before their children, so they have the lower
        # generation and are scanned first. Of two generations of a block, the
        # newer is scanned and the older is removed.
        for key in keys:
            older = self.unscanned.get(key.block_id)
            if older is not None:
                self.enqueue(DropDisk(*older))
            self.unscanned[key.block_id] = key
        highest = max((key.generation for key in keys), default=0)
        self._state.next_generation = highest + 1
        sealed = {name for name in names if parse_name(name) is not None}
        await trio.to_thread.run_sync(self._remove_leftovers, set(names) - sealed)

    async def scan(self) -> None:
        """Load all files that are listed."""
        for block_id in list(self.unscanned):
            await self.find([block_id])

    async def find(self, block_ids: Iterable[str]) -> None:
        """Load the files of ``block_ids`` that the start-up scan has not reached."""
        for block_id in block_ids:
            if block_id in self._scanning:
                await self._scanning[block_id].wait()
            elif block_id in self.unscanned:
                self._scanning[block_id] = trio.Event()
                try:
                    await self._scan_file(self.unscanned[block_id])
                finally:
                    del self.unscanned[block_id]
                    self._scanning.pop(block_id).set()

    async def run_queue(self) -> None:
        """Write and remove files until cancelled."""
        async for effect in self._queue_recv:
            if isinstance(effect, Persist):
                await self._persist(effect)
            else:
                await self._remove_file(effect)

    def _remove_leftovers(self, names: set[str]) -> None:
        for name in names:
            self._files.remove(name)

    async def _scan_file(self, key: BlockKey) -> None:
        # A file is scanned only once, since a second scan could restore a block
        # that was freed in the meantime. The scan is therefore shielded: it
        # continues if the request that started it is cancelled.
        with trio.CancelScope(shield=True):
            event = await trio.to_thread.run_sync(_read_block_file, self._files, key)
        if event is not None:
            self._apply(event)
            return
        logger.warning("removing a damaged block file", block=key.block_id)
        self.enqueue(DropDisk(*key))

    async def _persist(self, effect: Persist) -> None:
        block = self._state.find(*effect)
        data = self._memory[effect.block_id, effect.generation]
        event = WriteBegun(
            block.block_id,
            block.length,
            block.checksum,
            block.tokens,
            block.parent.block_id if block.parent else "",
        )
        kept = True
        try:
            header = _make_header(event, block.generation)
            await trio.to_thread.run_sync(_write_file, self._files, header, data)
        except OSError as exc:
            kept = False
            logger.warning("failed to write a block to disk", error=repr(exc))
        self._apply(Persisted(*effect, kept=kept))

    async def _remove_file(self, effect: DropDisk) -> None:
        try:
            await trio.to_thread.run_sync(remove_block, self._files, *effect)
        except OSError as exc:
            logger.warning("failed to remove a block file", error=repr(exc))
            await trio.sleep(DISK_RETRY_S)


def _make_header(event: WriteBegun, generation: int) -> BlockHeader:
    return {
        "block_id": event.block_id,
        "generation": generation,
        "length": event.length,
        "checksum": event.checksum,
        "tokens": max(1, event.tokens),
        "parent": event.parent,
    }


def _write_file(files: FileLayer, header: BlockHeader, data: bytearray) -> None:
    writer = BlockWriter(files, header)
    try:
        view = memoryview(data)
        for start in range(0, len(view), CHUNK_BYTES):
            writer.write(view[start : start + CHUNK_BYTES])
        writer.seal()
    except OSError:
        writer.abandon()
        raise


def _read_block_file(files: FileLayer, key: BlockKey) -> BlockFound | None:
    opened = open_block(files, key)
    if isinstance(opened, Failure):
        return None
    header, file = opened.unwrap()
    file.close()
    return BlockFound(
        header["block_id"],
        header["generation"],
        header["length"],
        header["checksum"],
        header["tokens"],
        header["parent"],
        files.age_s(f"{key.block_id}.{key.generation}.block"),
    )
