"""Data types of the store core: blocks, sample sets, events and effects."""

import random
from enum import IntEnum
from typing import NamedTuple

from vanillabeam.blocks import workspace_tag_of
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
    """Lifecycle states of a block, in order; a block enters each at most once.

    A retired block accepts no new readers and is freed when the last reader or
    disk write ends.
    """

    WRITING = 0
    SEALED = 1
    RETIRED = 2
    FREED = 3


class Block:
    """One generation of a block, that is, the outcome of one upload.

    :ivar generation: number of the upload; it increases with every upload to
        this store and is never reused.
    :ivar length: size in bytes.
    :ivar tokens: number of prompt tokens that the block covers.
    :ivar parent: the block before this one in the chain, if it is in the store.
    :ivar holds: number of readers and disk writes that need the bytes.
    :ivar children: number of sealed blocks in the store whose parent this is.
    :ivar persisting: whether a copy to disk is in progress.
    :ivar used_s: monotonic time of the last use, in seconds.
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
        """Tag of the workspace to which the block belongs."""
        return workspace_tag_of(self.block_id)


class SampleSet:
    """A set of blocks that supports random sampling.

    :ivar blocks: the blocks, in arbitrary order.
    :ivar positions: index of each block in ``blocks``, by block id.
    """

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
        """Add ``block``; do nothing if its id is already in the set."""
        if block.block_id in self.positions:
            return
        self.positions[block.block_id] = len(self.blocks)
        self.blocks.append(block)

    def discard(self, block: Block) -> None:
        """Remove ``block`` if it is in the set."""
        if block not in self:
            return
        position = self.positions.pop(block.block_id)
        last = self.blocks.pop()
        if last is block:
            return
        self.blocks[position] = last
        self.positions[last.block_id] = position

    def sample(self, count: int, rng: random.Random) -> list[Block]:
        """Return up to ``count`` distinct blocks, chosen at random."""
        if len(self.blocks) <= count:
            return list(self.blocks)
        return rng.sample(self.blocks, count)


class WriteBegun(NamedTuple):
    """A client requests the upload of a block.

    :param length: size in bytes, as announced by the client.
    :param checksum: checksum of the bytes, as announced by the client.
    :param tokens: number of prompt tokens that the block covers.
    :param parent: id of the block before it in the chain, empty for none.
    """

    block_id: str
    length: int
    checksum: str
    tokens: int
    parent: str = ""


class WriteEnded(NamedTuple):
    """All bytes of an upload were received and, for the disk tier, synced.

    :param length: number of bytes received.
    :param checksum: checksum of the bytes received.
    :param parent: id of the block before it in the chain, empty for none.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    parent: str = ""


class WriteAborted(NamedTuple):
    """An upload failed or was cancelled.

    :param disk_full: whether it failed because a disk write failed.
    """

    block_id: str
    generation: int
    disk_full: bool = False


class ReadBegun(NamedTuple):
    """A client requests a block."""

    block_id: str


class ReadEnded(NamedTuple):
    """A reader ended, whether or not it received the whole block."""

    block_id: str
    generation: int


class ReadFailed(NamedTuple):
    """A reader detected damaged bytes; its :class:`ReadEnded` is still to follow."""

    block_id: str
    generation: int


class Persisted(NamedTuple):
    """A disk write requested by :class:`Persist` ended.

    :param kept: whether the write succeeded, so that the block is on disk.
    """

    block_id: str
    generation: int
    kept: bool


class BlockFound(NamedTuple):
    """The start-up scan found a sealed block on disk.

    :param idle_s: seconds since the file was written.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    parent: str
    idle_s: float


class FindRequested(NamedTuple):
    """An entry asks which blocks of a prompt's chain are stored here.

    :param block_ids: ids of the chain, parents first.
    """

    block_ids: tuple[str, ...]


class Deleted(NamedTuple):
    """A client requests the deletion of a block."""

    block_id: str


class ConfigUpdated(NamedTuple):
    """A new configuration came into force.

    :param quotas: quota in bytes by workspace tag; 0 means no quota.
    :param releases: tags of the model releases in force.
    """

    quotas: dict[str, int]
    releases: frozenset[str]


class StoresUpdated(NamedTuple):
    """The list of live stores in the data centre changed.

    :param name: name of this store.
    :param stores: names of all live stores, including this one.
    """

    name: str
    stores: tuple[str, ...]


class Tick(NamedTuple):
    """Periodic event that triggers expiry and retries of disk writes."""


class WriteAccepted(NamedTuple):
    """The upload may proceed.

    :param in_memory: whether the bytes go to memory; if not, to disk.
    """

    block_id: str
    generation: int
    in_memory: bool


class AlreadyStored(NamedTuple):
    """The block is already sealed in this store, so no bytes are needed."""

    block_id: str


class Refused(NamedTuple):
    """The request was refused.

    :param failure: reason, as returned to the client.
    """

    failure: VanillabeamError


class Sealed(NamedTuple):
    """The block is complete and can be read."""

    block_id: str
    generation: int


class ReadAccepted(NamedTuple):
    """The reader may proceed; the bytes are kept until its :class:`ReadEnded`.

    :param in_memory: whether to read from memory; if not, from disk.
    """

    block_id: str
    generation: int
    length: int
    checksum: str
    tokens: int
    in_memory: bool


class FindResult(NamedTuple):
    """Answer to :class:`FindRequested`.

    :param lengths: size in bytes of each requested block, 0 if it is not stored.
    :param chance: probability that the prompt's blocks are used again.
    """

    lengths: tuple[int, ...]
    chance: float


class Persist(NamedTuple):
    """Copy the block from memory to disk and report :class:`Persisted`."""

    block_id: str
    generation: int


class DropMemory(NamedTuple):
    """Free the block's memory; it has no readers."""

    block_id: str
    generation: int


class DropDisk(NamedTuple):
    """Remove the block's file; it has no readers."""

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
