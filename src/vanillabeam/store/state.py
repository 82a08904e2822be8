"""State of the store core and the block transitions shared by its events."""

import random
from collections import Counter, OrderedDict

from vanillabeam.blocks import chain_prefix
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.store.records import (
    Block,
    BlockState,
    DropDisk,
    DropMemory,
    Effect,
    SampleSet,
)
from vanillabeam.store.valuation import BlockValuation

__all__ = [
    "StoreLimits",
    "StoreState",
    "adjust_usage",
    "audit",
    "free",
    "release_hold",
    "retire",
    "seal",
    "touch",
]

#: Ghost entries (ids of blocks no longer stored) that are kept for reuse statistics.
MAX_GHOSTS = 16_384


class StoreLimits:
    """Capacity limits of one store.

    :param memory_bytes: capacity of the memory tier; 0 disables it.
    :param disk_bytes: capacity of the disk tier; 0 disables it.
    :param max_block_bytes: size of the largest block that is accepted.
    :param ttl_s: idle time in seconds after which a block expires.
    """

    def __init__(
        self,
        memory_bytes: int,
        disk_bytes: int,
        max_block_bytes: int = 2**31,
        ttl_s: float = 14 * 86_400.0,
    ):
        self.memory_bytes = memory_bytes
        self.disk_bytes = disk_bytes
        self.max_block_bytes = max_block_bytes
        self.ttl_s = ttl_s


class StoreState:
    """State of one store.

    :param limits: capacity limits.
    :param rng: random generator that samples the candidates for eviction.
    :param first_generation: a number above every generation on disk.
    :param valuation: valuation of blocks for eviction.
    :ivar next_generation: generation of the next upload.
    :ivar blocks: sealed blocks by id, least recently used first.
    :ivar writing: uploads in progress, by id.
    :ivar retired: retired blocks that wait for their last reader, by id and
        generation.
    :ivar leaves: sealed blocks without children in this store, by workspace tag.
    :ivar memory: sealed blocks that are in memory.
    :ivar ghosts: time of the last use of blocks no longer stored, by id.
    :ivar quotas: quota in bytes by workspace tag; ``None`` before the first
        configuration.
    :ivar used: bytes stored by workspace tag, uploads in progress included.
    :ivar memory_used: bytes reserved in the memory tier.
    :ivar disk_used: bytes reserved on disk.
    :ivar disk_limit: current disk limit in bytes; below ``limits.disk_bytes``
        for some time after a failed disk write.
    :ivar disk_limit_until_s: monotonic time at which ``disk_limit`` is reset.
    :ivar counts: counts of events such as evictions, by name.

    >>> state = StoreState(StoreLimits(2**20, 0), random.Random(1))
    >>> state.memory_used
    0
    """

    def __init__(
        self,
        limits: StoreLimits,
        rng: random.Random,
        first_generation: int = 1,
        valuation: BlockValuation | None = None,
    ):
        self.limits = limits
        self.rng = rng
        self.next_generation = first_generation
        self.valuation = valuation or BlockValuation()
        self.blocks: OrderedDict[str, Block] = OrderedDict()
        self.writing: dict[str, Block] = {}
        self.retired: dict[tuple[str, int], Block] = {}
        self.leaves: dict[str, SampleSet] = {}
        self.memory = SampleSet()
        self.ghosts: OrderedDict[str, float] = OrderedDict()
        self.quotas: dict[str, int] | None = None
        self.used: Counter[str] = Counter()
        self.memory_used = 0
        self.disk_used = 0
        self.disk_limit = limits.disk_bytes
        self.disk_limit_until_s = 0.0
        self.counts: Counter[str] = Counter()

    def find(self, block_id: str, generation: int) -> Block | None:
        """Return this generation of a block, or ``None`` if it was freed."""
        for block in (self.blocks.get(block_id), self.writing.get(block_id)):
            if block is not None and block.generation == generation:
                return block
        return self.retired.get((block_id, generation))


def adjust_usage(state: StoreState, block: Block, memory: int, disk: int) -> None:
    """Reserve or release the block's bytes in the two tiers.

    :param memory: 1 to reserve memory, -1 to release it, 0 for no change.
    :param disk: the same for disk space.
    :raises InvariantBroken: if a tier exceeds its limit or has negative use.
    """
    state.memory_used += memory * block.length
    state.disk_used += disk * block.length
    if state.memory_used < 0 or state.disk_used < 0:
        raise InvariantBroken("a store tier has negative use")
    if memory > 0 and state.memory_used > state.limits.memory_bytes:
        raise InvariantBroken("the memory tier is above its limit")
    if disk > 0 and state.disk_used > state.limits.disk_bytes:
        raise InvariantBroken("the disk tier is above its limit")


def touch(state: StoreState, block: Block, now_s: float) -> None:
    """Record a use of ``block``, which makes it the most recently used one."""
    block.used_s = now_s
    state.blocks.move_to_end(block.block_id)


def seal(state: StoreState, block: Block, parent_id: str) -> None:
    """Make ``block`` readable and link it to its parent.

    :param parent_id: id of the block before it in the chain, empty for none.
    """
    if block.state is not BlockState.WRITING:
        raise InvariantBroken(f"block {block.block_id} sealed from {block.state.name}")
    if block.block_id in state.blocks:
        raise InvariantBroken(f"block {block.block_id} sealed twice")
    block.state = BlockState.SEALED
    state.blocks[block.block_id] = block
    if block.in_memory:
        state.memory.add(block)
    parent = state.blocks.get(parent_id)
    if parent is not None and parent is not block:
        if chain_prefix(parent_id) != chain_prefix(block.block_id):
            raise InvariantBroken("a block has a parent of another chain")
        block.parent = parent
        parent.children += 1
        state.leaves[parent.workspace].discard(parent)
    state.leaves.setdefault(block.workspace, SampleSet()).add(block)
    state.ghosts.pop(block.block_id, None)


def retire(state: StoreState, block: Block) -> list[Effect]:
    """Remove a sealed block from the store.

    The block accepts no new readers. Its bytes are freed when the last reader or
    disk write ends.

    :returns: effects that free the bytes, if nothing needs them any more.
    """
    if block.state is not BlockState.SEALED:
        raise InvariantBroken(f"block {block.block_id} retired from {block.state.name}")
    block.state = BlockState.RETIRED
    del state.blocks[block.block_id]
    state.memory.discard(block)
    _unlink(state, block)
    _add_ghost(state, block)
    if block.holds == 0:
        return free(state, block)
    state.retired[block.block_id, block.generation] = block
    return []


def release_hold(state: StoreState, block: Block) -> list[Effect]:
    """Release the hold of one reader or disk write.

    :returns: effects that free the bytes, if this was the last hold of a
        retired block.
    """
    if block.holds <= 0:
        raise InvariantBroken(f"block {block.block_id} has no reader to end")
    block.holds -= 1
    if block.state is not BlockState.RETIRED or block.holds:
        return []
    del state.retired[block.block_id, block.generation]
    return free(state, block)


def free(state: StoreState, block: Block) -> list[Effect]:
    """Release the block's bytes; its generation is never used again.

    :returns: effects that drop the bytes from memory and disk.
    """
    if block.holds or block.state is BlockState.FREED:
        raise InvariantBroken(f"block {block.block_id} freed while it is held")
    block.state = BlockState.FREED
    state.used[block.workspace] -= block.length
    if not state.used[block.workspace]:
        del state.used[block.workspace]
    adjust_usage(state, block, -block.in_memory, -block.on_disk)
    effects: list[Effect] = []
    if block.in_memory:
        effects.append(DropMemory(block.block_id, block.generation))
    if block.on_disk:
        effects.append(DropDisk(block.block_id, block.generation))
    return effects


def audit(state: StoreState) -> None:
    """Check the consistency of the whole state, in time linear in its blocks.

    :raises InvariantBroken: if a sum or a set is inconsistent.
    """
    blocks = [*state.blocks.values(), *state.writing.values(), *state.retired.values()]
    memory = sum(block.length for block in blocks if block.in_memory)
    disk = sum(block.length for block in blocks if block.on_disk or block.persisting)
    used: Counter[str] = Counter()
    for block in blocks:
        used[block.workspace] += block.length
    if (memory, disk) != (state.memory_used, state.disk_used) or used != state.used:
        raise InvariantBroken("the sums of a store do not add up")
    if any(block.state is not BlockState.SEALED for block in state.blocks.values()):
        raise InvariantBroken("a block can be read that is not sealed")
    for block in state.blocks.values():
        is_leaf = block in state.leaves[block.workspace]
        if is_leaf != (block.children == 0):
            raise InvariantBroken("a leaf set is wrong")


def _unlink(state: StoreState, block: Block) -> None:
    leaves = state.leaves[block.workspace]
    leaves.discard(block)
    parent = block.parent
    block.parent = None
    if parent is not None:
        parent.children -= 1
        if parent.children == 0 and parent.state is BlockState.SEALED:
            leaves.add(parent)
    if not leaves:
        del state.leaves[block.workspace]


def _add_ghost(state: StoreState, block: Block) -> None:
    state.ghosts[block.block_id] = block.used_s
    state.ghosts.move_to_end(block.block_id)
    if len(state.ghosts) > MAX_GHOSTS:
        state.ghosts.popitem(last=False)
