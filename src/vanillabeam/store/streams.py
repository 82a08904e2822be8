"""Where the bytes of uploads go and those of downloads come from."""

from collections.abc import AsyncGenerator
from typing import Protocol

import trio
from returns.result import Failure

from vanillabeam.store.disk import BlockHeader, BlockKey, BlockWriter, open_block
from vanillabeam.store.exceptions import BlockDamaged
from vanillabeam.store.files import FileLayer, ReadFile

__all__ = ["DiskSink", "MemorySink", "Sink", "disk_chunks", "memory_chunks"]

CHUNK_BYTES = 2**20


class Sink(Protocol):
    """Takes the bytes of one upload."""

    async def write(self, data: bytes) -> None:
        """Take ``data``; may raise ``OSError``."""

    async def seal(self) -> None:
        """Return once the bytes are kept; may raise ``OSError``."""

    async def abandon(self) -> None:
        """Drop what was taken."""


class MemorySink:
    """An upload to memory.

    :ivar data: the bytes, of full size from the beginning.
    """

    def __init__(self, length: int):
        self.data = bytearray(length)
        self._end = 0

    async def write(self, data: bytes) -> None:
        """Take ``data``."""
        self.data[self._end : self._end + len(data)] = data
        self._end += len(data)

    async def seal(self) -> None:
        """Keep the bytes."""

    async def abandon(self) -> None:
        """Drop the bytes."""
        self.data = bytearray()


class DiskSink:
    """An upload to disk, collected into pieces of :data:`CHUNK_BYTES`."""

    def __init__(self, writer: BlockWriter):
        self._writer = writer
        self._collected = bytearray()

    @classmethod
    async def begin(cls, files: FileLayer, header: BlockHeader) -> "DiskSink":
        """Begin the block's file; may raise ``OSError``."""
        return cls(await trio.to_thread.run_sync(BlockWriter, files, header))

    async def write(self, data: bytes) -> None:
        """Take ``data``."""
        self._collected += data
        if len(self._collected) >= CHUNK_BYTES:
            await self._flush()

    async def seal(self) -> None:
        """Sync and name the file."""
        await self._flush()
        await trio.to_thread.run_sync(self._writer.seal)

    async def abandon(self) -> None:
        """Remove the file."""
        await trio.to_thread.run_sync(self._writer.abandon)

    async def _flush(self) -> None:
        data, self._collected = self._collected, bytearray()
        await trio.to_thread.run_sync(self._writer.write, data)


async def memory_chunks(data: bytearray) -> AsyncGenerator[bytes, None]:
    """Yield ``data`` in pieces."""
    view = memoryview(data)
    for start in range(0, len(view), CHUNK_BYTES):
        yield bytes(view[start : start + CHUNK_BYTES])


async def disk_chunks(files: FileLayer, key: BlockKey) -> AsyncGenerator[bytes, None]:
    """Yield the bytes of a block's file in pieces.

    :raises BlockDamaged: if the file is not what was sealed.
    """
    opened = await trio.to_thread.run_sync(open_block, files, key)
    if isinstance(opened, Failure):
        raise opened.failure()
    _header, file = opened.unwrap()
    try:
        while data := await _read(file):
            yield data
    finally:
        file.close()


async def _read(file: ReadFile) -> bytes:
    try:
        return await trio.to_thread.run_sync(file.read, CHUNK_BYTES)
    except OSError as exc:
        raise BlockDamaged(type(exc).__name__) from exc
