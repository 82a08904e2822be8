"""Blocks as files: one file a block, whole and synced before it has its name.

A file is a header (magic, length, JSON, checksum of the JSON) and the block's
bytes. It is written under a temporary name, synced, renamed, and the folder
synced, so that after a crash a file with a block's name is whole.
"""

import hashlib
import struct
from typing import NamedTuple, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.cache.blocks import chain_prefix, is_block_id
from vanillabeam.store.exceptions import BlockDamaged
from vanillabeam.store.files import FileLayer, ReadFile

__all__ = [
    "BlockFile",
    "BlockWriter",
    "Checksum",
    "FileName",
    "block_name",
    "open_block",
    "parse_name",
    "remove_block",
]

MAGIC = b"VBK1"
PREFIX = struct.Struct("!4sI")
HEADER_CHECK_BYTES = 8
MAX_HEADER_BYTES = 1_024
CHECKSUM_BYTES = 16
SEALED_SUFFIX = ".block"
WRITING_SUFFIX = ".writing"


class BlockFile(TypedDict):
    """Header of a block's file."""

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    parent: str


class FileName(NamedTuple):
    """What a sealed file's name says."""

    block_id: str
    generation: int


class Checksum:
    """Checksum of a block's bytes, fed piece by piece.

    :ivar length: bytes seen so far.
    """

    def __init__(self) -> None:
        self._state = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
        self.length = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Add ``data``."""
        self._state.update(data)
        self.length += len(data)

    def hex(self) -> str:
        """Return the checksum of what was seen."""
        return self._state.hexdigest()


class BlockWriter:
    """Writes one block's file; every method may raise ``OSError``.

    :param files: where to.
    :param header: what the file is to hold.
    """

    def __init__(self, files: FileLayer, header: BlockFile):
        self._files = files
        self._name = block_name(header["block_id"], header["generation"])
        self._temporary = self._name.removesuffix(SEALED_SUFFIX) + WRITING_SUFFIX
        self._file = files.create(self._temporary)
        self._file.write(_encode_header(header))

    def write(self, data: bytes | memoryview) -> None:
        """Append ``data`` to the block."""
        self._file.write(data)

    def seal(self) -> None:
        """Sync the file and give it its name; then it survives a crash."""
        self._file.sync()
        self._file.close()
        self._files.rename(self._temporary, self._name)
        self._files.sync_folder()

    def abandon(self) -> None:
        """Remove what was written, under whichever name it has."""
        self._file.close()
        self._files.remove(self._temporary)
        self._files.remove(self._name)


def block_name(block_id: str, generation: int) -> str:
    """Return the name of a sealed block's file."""
    return f"{block_id}.{generation}{SEALED_SUFFIX}"


def parse_name(name: str) -> FileName | None:
    """Return what ``name`` says, or ``None`` for no sealed block's file."""
    if not name.endswith(SEALED_SUFFIX):
        return None
    block_id, _, generation = name.removesuffix(SEALED_SUFFIX).partition(".")
    if not is_block_id(block_id) or not generation.isdecimal():
        return None
    return FileName(block_id, int(generation))


def open_block(
    files: FileLayer, named: FileName
) -> Result[tuple[BlockFile, ReadFile], BlockDamaged]:
    """Open a sealed file with its bytes next to read; the caller closes it.

    The header and the file's size are checked, the bytes are not: whoever
    reads them compares their checksum.
    """
    try:
        file = files.open(block_name(*named))
    except OSError as exc:
        return Failure(BlockDamaged(type(exc).__name__))
    result = _read_header(file, named)
    if isinstance(result, Failure):
        file.close()
        return result
    return Success((result.unwrap(), file))


def remove_block(files: FileLayer, block_id: str, generation: int) -> None:
    """Remove a sealed block's file."""
    files.remove(block_name(block_id, generation))


def _encode_header(header: BlockFile) -> bytes:
    text = wire.encode(header)
    return PREFIX.pack(MAGIC, len(text)) + text + _header_check(text)


def _header_check(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=HEADER_CHECK_BYTES).digest()


def _read_header(file: ReadFile, named: FileName) -> Result[BlockFile, BlockDamaged]:
    try:
        prefix = file.read(PREFIX.size)
        if len(prefix) < PREFIX.size:
            return Failure(BlockDamaged("short prefix"))
        magic, size = PREFIX.unpack(prefix)
        if magic != MAGIC or size > MAX_HEADER_BYTES:
            return Failure(BlockDamaged("no block file"))
        rest = file.read(size + HEADER_CHECK_BYTES)
    except OSError as exc:
        return Failure(BlockDamaged(type(exc).__name__))
    text = rest[:size]
    if rest[size:] != _header_check(text):
        return Failure(BlockDamaged("header checksum"))
    result = wire.decode(BlockFile, text)
    if isinstance(result, Failure):
        return Failure(BlockDamaged("header"))
    header = result.unwrap()
    bytes_before = PREFIX.size + size + HEADER_CHECK_BYTES
    if not _header_holds(header, named, file.size - bytes_before):
        return Failure(BlockDamaged("header and file differ"))
    return Success(header)


def _header_holds(header: BlockFile, named: FileName, length: int) -> bool:
    parent = header["parent"]
    return (
        FileName(header["block_id"], header["generation"]) == named
        and 0 < header["length"] == length
        and header["tokens"] > 0
        and (not parent or chain_prefix(parent) == chain_prefix(named.block_id))
    )
