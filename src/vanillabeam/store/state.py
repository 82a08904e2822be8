"""State of the store core and the changes that several events share."""

import random
from collections import Counter, OrderedDict

from vanillabeam.cache.blocks import chain_prefix
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.store.records import (
    Block,
    BlockState,
    DrawSet,
    DropDisk,
    DropMemory,
    Effect,
)
from vanillabeam.store.worth import Worth

__all__ = [
    "StoreLimits",
    "StoreState",
    "account",
    "audit",
    "free",
    "release_hold",
    "retire",
    "seal",
    "touch",
]

GHOSTS = 16_384


class StoreLimits:
    """Limits of one store.

    :param memory_bytes: memory tier; 0 is none.
    :param disk_bytes: disk tier; 0 is none.
    :param max_block_bytes: largest block that is taken.
    :param ttl_s: blocks idle for longer are freed.
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
    """Blocks of one store.

    :param rng: draws the candidates for eviction.
    :param first_generation: above every generation on the disk.
    :ivar blocks: sealed blocks by id, the longest idle first.
    :ivar writing: uploads under way, by id.
    :ivar retired: blocks that wait for their last reader.
    :ivar leaves: by workspace, sealed blocks without children here.
    :ivar memory: sealed blocks that are in memory.
    :ivar ghosts: when blocks that were evicted had last been used.
    :ivar quotas: bytes by workspace tag; ``None`` before a configuration.
    :ivar disk_limit: below ``disk_bytes`` while the disk has refused more.

    >>> state = StoreState(StoreLimits(2**20, 0), random.Random(1))
    >>> state.memory_used
    0
    """

    def __init__(
        self,
        limits: StoreLimits,
        rng: random.Random,
        first_generation: int = 1,
        worth: Worth | None = None,
    ):
        self.limits = limits
        self.rng = rng
        self.next_generation = first_generation
        self.worth = worth or Worth()
        self.blocks: OrderedDict[str, Block] = OrderedDict()
        self.writing: dict[str, Block] = {}
        self.retired: dict[tuple[str, int], Block] = {}
        self.leaves: dict[str, DrawSet] = {}
        self.memory = DrawSet()
        self.ghosts: OrderedDict[str, float] = OrderedDict()
        self.quotas: dict[str, int] | None = None
        self.used: Counter[str] = Counter()
        self.memory_used = 0
        self.disk_used = 0
        self.disk_limit = limits.disk_bytes
        self.disk_limit_until_s = 0.0
        self.counts: Counter[str] = Counter()

    def find(self, block_id: str, generation: int) -> Block | None:
        """Return that generation of a block if its bytes are not freed."""
        for block in (self.blocks.get(block_id), self.writing.get(block_id)):
            if block is not None and block.generation == generation:
                return block
        return self.retired.get((block_id, generation))


def account(state: StoreState, block: Block, memory: int, disk: int) -> None:
    """Reserve (1) or give back (-1) the block's bytes in the tiers."""
    state.memory_used += memory * block.length
    state.disk_used += disk * block.length
    if state.memory_used < 0 or state.disk_used < 0:
        raise InvariantBroken("a store tier has negative use")
    if memory > 0 and state.memory_used > state.limits.memory_bytes:
        raise InvariantBroken("the memory tier is above its limit")
    if disk > 0 and state.disk_used > state.limits.disk_bytes:
        raise InvariantBroken("the disk tier is above its limit")


def touch(state: StoreState, block: Block, now_s: float) -> None:
    """Note a use: the block becomes the last one to expire."""
    block.used_s = now_s
    state.blocks.move_to_end(block.block_id)


def seal(state: StoreState, block: Block, parent_id: str) -> None:
    """Make ``block`` readable."""
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
    state.leaves.setdefault(block.workspace, DrawSet()).add(block)
    state.ghosts.pop(block.block_id, None)


def retire(state: StoreState, block: Block) -> list[Effect]:
    """Take a sealed block out: no new reader, bytes freed with the last one."""
    if block.state is not BlockState.SEALED:
        raise InvariantBroken(f"block {block.block_id} retired from {block.state.name}")
    block.state = BlockState.RETIRED
    del state.blocks[block.block_id]
    state.memory.discard(block)
    _leave_chain(state, block)
    _remember(state, block)
    if block.holds == 0:
        return free(state, block)
    state.retired[block.block_id, block.generation] = block
    return []


def release_hold(state: StoreState, block: Block) -> list[Effect]:
    """End one reader or disk write; the last one of a retired block frees it."""
    if block.holds <= 0:
        raise InvariantBroken(f"block {block.block_id} has no reader to end")
    block.holds -= 1
    if block.state is not BlockState.RETIRED or block.holds:
        return []
    del state.retired[block.block_id, block.generation]
    return free(state, block)


def free(state: StoreState, block: Block) -> list[Effect]:
    """Give the block's bytes back; its generation is never used again."""
    if block.holds or block.state is BlockState.FREED:
        raise InvariantBroken(f"block {block.block_id} freed while it is held")
    block.state = BlockState.FREED
    state.used[block.workspace] -= block.length
    if not state.used[block.workspace]:
        del state.used[block.workspace]
    account(state, block, -block.in_memory, -block.on_disk)
    effects: list[Effect] = []
    if block.in_memory:
        effects.append(DropMemory(block.block_id, block.generation))
    if block.on_disk:
        effects.append(DropDisk(block.block_id, block.generation))
    return effects


def audit(state: StoreState) -> None:
    """Check the whole state; the cost grows with the number of blocks.

    :raises InvariantBroken: if any sum or set is wrong.
    """
    held = [*state.blocks.values(), *state.writing.values(), *state.retired.values()]
    memory = sum(block.length for block in held if block.in_memory)
    disk = sum(block.length for block in held if block.on_disk or block.persisting)
    used: Counter[str] = Counter()
    for block in held:
        used[block.workspace] += block.length
    if (memory, disk) != (state.memory_used, state.disk_used) or used != state.used:
        raise InvariantBroken("the sums of a store do not add up")
    if any(block.state is not BlockState.SEALED for block in state.blocks.values()):
        raise InvariantBroken("a block can be read that is not sealed")
    for block in state.blocks.values():
        is_leaf = block in state.leaves[block.workspace]
        if is_leaf != (block.children == 0):
            raise InvariantBroken("a leaf set is wrong")


def _leave_chain(state: StoreState, block: Block) -> None:
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


def _remember(state: StoreState, block: Block) -> None:
    state.ghosts[block.block_id] = block.used_s
    state.ghosts.move_to_end(block.block_id)
    if len(state.ghosts) > GHOSTS:
        state.ghosts.popitem(last=False)
