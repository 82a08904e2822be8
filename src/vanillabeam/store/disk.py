"""File format of blocks on disk, with one file per block.

A file consists of a header (magic, length, JSON, checksum of the JSON) and the
block's bytes. It is written under a temporary name, synced and renamed, and then
the folder is synced. After a crash, every file with the name of a block is
therefore complete.
"""

import hashlib
import struct
from typing import NamedTuple, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.blocks import chain_prefix, is_block_id
from vanillabeam.store.exceptions import BlockDamaged
from vanillabeam.store.files import FileLayer, ReadFile

__all__ = [
    "BlockHeader",
    "BlockWriter",
    "Checksum",
    "BlockKey",
    "block_name",
    "open_block",
    "parse_name",
    "remove_block",
]

MAGIC = b"VBK1"
PREFIX = struct.Struct("!4sI")
HEADER_CHECKSUM_BYTES = 8
MAX_HEADER_BYTES = 1_024
CHECKSUM_BYTES = 16
SEALED_SUFFIX = ".block"
WRITING_SUFFIX = ".writing"


class BlockHeader(TypedDict):
    """Header of a block file.

    :param length: size of the block in bytes, without the header.
    :param checksum: checksum of the block's bytes, in hex.
    :param tokens: number of prompt tokens that the block covers.
    :param parent: id of the block before it in the chain, empty for none.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    parent: str


class BlockKey(NamedTuple):
    """Identity of a stored block, as encoded in the name of its file.

    :param generation: number of the upload, unique within a store.
    """

    block_id: str
    generation: int


class Checksum:
    """Incremental checksum of a block's bytes.

    :ivar length: number of bytes added so far.
    """

    def __init__(self) -> None:
        self._state = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
        self.length = 0

    def update(self, data: bytes | memoryview) -> None:
        """Add ``data`` to the checksum."""
        self._state.update(data)
        self.length += len(data)

    def hex(self) -> str:
        """Return the checksum of all bytes added so far, in hex."""
        return self._state.hexdigest()


class BlockWriter:
    """Writes one block file; every method may raise ``OSError``.

    :param files: folder in which the file is created.
    :param header: header of the file, which also determines its name.
    """

    def __init__(self, files: FileLayer, header: BlockHeader):
        self._files = files
        self._name = block_name(header["block_id"], header["generation"])
        self._temporary = self._name.removesuffix(SEALED_SUFFIX) + WRITING_SUFFIX
        self._file = files.create(self._temporary)
        self._file.write(_encode_header(header))

    def write(self, data: bytes | memoryview) -> None:
        """Append ``data`` to the block."""
        self._file.write(data)

    def seal(self) -> None:
        """Sync the file and rename it to its final name.

        When this returns, the block survives a crash.
        """
        self._file.sync()
        self._file.close()
        self._files.rename(self._temporary, self._name)
        self._files.sync_folder()

    def abandon(self) -> None:
        """Remove the file, whether or not it was renamed already."""
        self._file.close()
        self._files.remove(self._temporary)
        self._files.remove(self._name)


def block_name(block_id: str, generation: int) -> str:
    """Return the file name of a sealed block."""
    return f"{block_id}.{generation}{SEALED_SUFFIX}"


def parse_name(name: str) -> BlockKey | None:
    """Return the block that a file name identifies.

    :returns: the block, or ``None`` if ``name`` is not that of a sealed block.
    """
    if not name.endswith(SEALED_SUFFIX):
        return None
    block_id, _, generation = name.removesuffix(SEALED_SUFFIX).partition(".")
    if not is_block_id(block_id) or not generation.isdecimal():
        return None
    return BlockKey(block_id, int(generation))


def open_block(
    files: FileLayer, key: BlockKey
) -> Result[tuple[BlockHeader, ReadFile], BlockDamaged]:
    """Open a block file, positioned at the block's bytes.

    This verifies the header and the size of the file. The caller verifies the
    checksum of the bytes and closes the file.

    :returns: header and open file, or :class:`BlockDamaged` if the file can't be
        read or its header is invalid.
    """
    try:
        file = files.open(block_name(*key))
    except OSError as exc:
        return Failure(BlockDamaged(type(exc).__name__))
    result = _read_header(file, key)
    if isinstance(result, Failure):
        file.close()
        return result
    return Success((result.unwrap(), file))


def remove_block(files: FileLayer, block_id: str, generation: int) -> None:
    """Remove the file of a sealed block, if it exists."""
    files.remove(block_name(block_id, generation))


def _encode_header(header: BlockHeader) -> bytes:
    text = wire.encode(header)
    return PREFIX.pack(MAGIC, len(text)) + text + _header_checksum(text)


def _header_checksum(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=HEADER_CHECKSUM_BYTES).digest()


def _read_header(file: ReadFile, key: BlockKey) -> Result[BlockHeader, BlockDamaged]:
    try:
        prefix = file.read(PREFIX.size)
        if len(prefix) < PREFIX.size:
            return Failure(BlockDamaged("short prefix"))
        magic, size = PREFIX.unpack(prefix)
        if magic != MAGIC or size > MAX_HEADER_BYTES:
            return Failure(BlockDamaged("no block file"))
        rest = file.read(size + HEADER_CHECKSUM_BYTES)
    except OSError as exc:
        return Failure(BlockDamaged(type(exc).__name__))
    text = rest[:size]
    if rest[size:] != _header_checksum(text):
        return Failure(BlockDamaged("header checksum"))
    result = wire.decode(BlockHeader, text)
    if isinstance(result, Failure):
        return Failure(BlockDamaged("header"))
    header = result.unwrap()
    bytes_before = PREFIX.size + size + HEADER_CHECKSUM_BYTES
    if not _is_header_valid(header, key, file.size - bytes_before):
        return Failure(BlockDamaged("header and file differ"))
    return Success(header)


def _is_header_valid(header: BlockHeader, key: BlockKey, length: int) -> bool:
    parent = header["parent"]
    return (
        BlockKey(header["block_id"], header["generation"]) == key
        and 0 < header["length"] == length
        and header["tokens"] > 0
        and (not parent or chain_prefix(parent) == chain_prefix(key.block_id))
    )
