"""Byte streams of blocks: sinks for uploads and chunk sources for downloads."""

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
    """Destination of the bytes of one upload."""

    async def write(self, data: bytes) -> None:
        """Append ``data``; may raise ``OSError``."""

    async def seal(self) -> None:
        """Complete the upload, synced if it is on disk; may raise ``OSError``."""

    async def abandon(self) -> None:
        """Discard the bytes of an incomplete upload."""


class MemorySink:
    """Sink of an upload to memory.

    :param length: size of the block in bytes.
    :ivar data: buffer of that size, allocated at the start.
    """

    def __init__(self, length: int):
        self.data = bytearray(length)
        self._offset = 0

    async def write(self, data: bytes) -> None:
        """Append ``data``."""
        self.data[self._offset : self._offset + len(data)] = data
        self._offset += len(data)

    async def seal(self) -> None:
        """Do nothing: the bytes are already in memory."""

    async def abandon(self) -> None:
        """Discard the bytes."""
        self.data = bytearray()


class DiskSink:
    """Sink of an upload to disk, buffered into chunks of :data:`CHUNK_BYTES`."""

    def __init__(self, writer: BlockWriter):
        self._writer = writer
        self._buffer = bytearray()

    @classmethod
    async def begin(cls, files: FileLayer, header: BlockHeader) -> "DiskSink":
        """Create the block file; may raise ``OSError``."""
        return cls(await trio.to_thread.run_sync(BlockWriter, files, header))

    async def write(self, data: bytes) -> None:
        """Append ``data``; may raise ``OSError``."""
        self._buffer += data
        if len(self._buffer) >= CHUNK_BYTES:
            await self._flush()

    async def seal(self) -> None:
        """Write the rest, sync the file and rename it; may raise ``OSError``."""
        await self._flush()
        await trio.to_thread.run_sync(self._writer.seal)

    async def abandon(self) -> None:
        """Remove the file; may raise ``OSError``."""
        await trio.to_thread.run_sync(self._writer.abandon)

    async def _flush(self) -> None:
        data, self._buffer = self._buffer, bytearray()
        await trio.to_thread.run_sync(self._writer.write, data)


async def memory_chunks(data: bytearray) -> AsyncGenerator[bytes, None]:
    """Yield ``data`` in chunks of :data:`CHUNK_BYTES`."""
    view = memoryview(data)
    for start in range(0, len(view), CHUNK_BYTES):
        yield bytes(view[start : start + CHUNK_BYTES])


async def disk_chunks(files: FileLayer, key: BlockKey) -> AsyncGenerator[bytes, None]:
    """Yield the bytes of a block file in chunks of :data:`CHUNK_BYTES`.

    The checksum of the bytes is left to the caller.

    :raises BlockDamaged: if the file can't be read or its header is invalid.
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
