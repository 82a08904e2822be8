"""What the store core keeps: blocks, sets to draw from, events, effects."""

import random
from enum import IntEnum
from typing import NamedTuple

from vanillabeam.cache.blocks import workspace_tag_of
from vanillabeam.exceptions import VanillabeamError

__all__ = [
    "AlreadyStored",
    "Block",
    "BlockFound",
    "BlockState",
    "ConfigUpdated",
    "Deleted",
    "DropDisk",
    "DropMemory",
    "Effect",
    "Event",
    "FindRequested",
    "FindResult",
    "Persist",
    "Persisted",
    "ReadAccepted",
    "ReadBegun",
    "ReadEnded",
    "ReadFailed",
    "Refused",
    "SampleSet",
    "Sealed",
    "StoresUpdated",
    "Tick",
    "WriteAborted",
    "WriteAccepted",
    "WriteBegun",
    "WriteEnded",
]


class BlockState(IntEnum):
    """States of a block, in order; none is ever entered twice.

    A retired block takes no new reader; it is freed when the last one ends.
    """

    WRITING = 0
    SEALED = 1
    RETIRED = 2
    FREED = 3


class Block:
    """One generation of a block.

    :ivar holds: readers and disk writes that still need the bytes.
    :ivar children: sealed blocks of the store whose parent this is.
    """

    __slots__ = (
        "block_id",
        "checksum",
        "children",
        "generation",
        "holds",
        "in_memory",
        "length",
        "on_disk",
        "parent",
        "persisting",
        "state",
        "tokens",
        "used_s",
    )

    def __init__(
        self, block_id: str, generation: int, length: int, checksum: str, tokens: int
    ):
        self.block_id = block_id
        self.generation = generation
        self.length = length
        self.checksum = checksum
        self.tokens = tokens
        self.parent: Block | None = None
        self.state = BlockState.WRITING
        self.holds = 0
        self.children = 0
        self.in_memory = False
        self.on_disk = False
        self.persisting = False
        self.used_s = 0.0

    @property
    def workspace(self) -> str:
        """Tag of the workspace that the block belongs to."""
        return workspace_tag_of(self.block_id)


class SampleSet:
    """A set of blocks from which a few can be drawn at random."""

    __slots__ = ("blocks", "positions")

    def __init__(self) -> None:
        self.blocks: list[Block] = []
        self.positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.blocks)

    def __contains__(self, block: Block) -> bool:
        position = self.positions.get(block.block_id)
        return position is not None and self.blocks[position] is block

    def add(self, block: Block) -> None:
        """Put ``block`` in; a block that is in stays in."""
        if block.block_id in self.positions:
            return
        self.positions[block.block_id] = len(self.blocks)
        self.blocks.append(block)

    def discard(self, block: Block) -> None:
        """Take ``block`` out if it is in."""
        if block not in self:
            return
        position = self.positions.pop(block.block_id)
        last = self.blocks.pop()
        if last is block:
            return
        self.blocks[position] = last
        self.positions[last.block_id] = position

    def sample(self, count: int, rng: random.Random) -> list[Block]:
        """Return up to ``count`` different blocks."""
        if len(self.blocks) <= count:
            return list(self.blocks)
        return rng.sample(self.blocks, count)


class WriteBegun(NamedTuple):
    """An upload wants to begin.

    :param parent: id of the block before it in the chain, empty for none.
    """

    block_id: str
    length: int
    checksum: str
    tokens: int
    parent: str = ""


class WriteEnded(NamedTuple):
    """All bytes of an upload are there and synced where they must be.

    :param length: bytes received.
    :param checksum: checksum of the bytes received.
    :param parent: id of the block before it in the chain, empty for none.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    parent: str = ""


class WriteAborted(NamedTuple):
    """An upload ended early.

    :param disk_full: because the disk refused to take more.
    """

    block_id: str
    generation: int
    disk_full: bool = False


class ReadBegun(NamedTuple):
    """A reader wants a block."""

    block_id: str


class ReadEnded(NamedTuple):
    """A reader has ended, whole or not."""

    block_id: str
    generation: int


class ReadFailed(NamedTuple):
    """A reader found bytes that are not those sealed; it has not ended yet."""

    block_id: str
    generation: int


class Persisted(NamedTuple):
    """A disk write asked for by :class:`Persist` has ended.

    :param kept: whether the block is on disk now.
    """

    block_id: str
    generation: int
    kept: bool


class BlockFound(NamedTuple):
    """The start-up scan found a sealed block on disk.

    :param idle_s: seconds since the file was written or last used.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    parent: str
    idle_s: float


class FindRequested(NamedTuple):
    """A prompt asks which blocks of its chain are held; parents first."""

    block_ids: tuple[str, ...]


class Deleted(NamedTuple):
    """A block is no longer wanted."""

    block_id: str


class ConfigUpdated(NamedTuple):
    """A configuration is in force.

    :param quotas: bytes by workspace tag; 0 is no quota.
    :param releases: release tags in force.
    """

    quotas: dict[str, int]
    releases: frozenset[str]


class StoresUpdated(NamedTuple):
    """The stores of the data centre are these, this one under ``name``."""

    name: str
    stores: tuple[str, ...]


class Tick(NamedTuple):
    """Time has passed."""


class WriteAccepted(NamedTuple):
    """The upload may send its bytes."""

    block_id: str
    generation: int
    in_memory: bool


class AlreadyStored(NamedTuple):
    """The block is sealed here already: no bytes are needed."""

    block_id: str


class Refused(NamedTuple):
    """The event's work is refused."""

    failure: VanillabeamError


class Sealed(NamedTuple):
    """The block may be read from now on."""

    block_id: str
    generation: int


class ReadAccepted(NamedTuple):
    """The reader may read; the bytes stay until its ``ReadEnded``."""

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    in_memory: bool


class FindResult(NamedTuple):
    """Answer to :class:`FindRequested`.

    :param lengths: bytes of each block asked for, 0 where it is not held.
    :param chance: chance that this prompt returns.
    """

    lengths: tuple[int, ...]
    chance: float


class Persist(NamedTuple):
    """Copy the block from memory to disk."""

    block_id: str
    generation: int


class DropMemory(NamedTuple):
    """Free the block's memory; nobody reads it."""

    block_id: str
    generation: int


class DropDisk(NamedTuple):
    """Remove the block's file; nobody reads it."""

    block_id: str
    generation: int


Event = (
    WriteBegun
    | WriteEnded
    | WriteAborted
    | ReadBegun
    | ReadEnded
    | ReadFailed
    | Persisted
    | BlockFound
    | FindRequested
    | Deleted
    | ConfigUpdated
    | StoresUpdated
    | Tick
)
Effect = (
    WriteAccepted
    | AlreadyStored
    | Refused
    | Sealed
    | ReadAccepted
    | FindResult
    | Persist
    | DropMemory
    | DropDisk
)
