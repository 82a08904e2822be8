"""Eviction: choose the blocks that leave a tier, and admit or reject new ones.

Victims are chosen by sampled eviction: the least valuable block of a random
sample is evicted, provided that its value is below that of the new block.
"""

from collections.abc import Callable

from vanillabeam.store.records import Block, BlockState, DropMemory, Effect
from vanillabeam.store.state import StoreState, adjust_usage, retire

__all__ = [
    "drop_memory_copies",
    "evict_for_quota",
    "evict_from_disk",
    "evict_from_memory",
    "sample_leaves",
    "trim_workspace",
]

#: Blocks that are sampled within one workspace or within the memory tier.
SAMPLED_BLOCKS = 16
#: Workspaces from which leaves are sampled across the store.
SAMPLED_WORKSPACES = 16
#: Leaves that are sampled from each of these workspaces.
SAMPLED_PER_WORKSPACE = 4


def drop_memory_copies(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Drop memory copies of blocks that are also on disk until ``block`` fits.

    :param effects: list to which the resulting effects are appended.
    :returns: whether ``block`` fits in memory. Copies dropped before a failure
        stay dropped.
    """
    limit = state.limits.memory_bytes
    while state.memory_used + block.length > limit:
        victim = _find_victim(state, _sample_memory_copies(state), now_s)
        if victim is None or block.length > limit:
            return False
        victim.in_memory = False
        state.memory.discard(victim)
        adjust_usage(state, victim, -1, 0)
        effects.append(DropMemory(victim.block_id, victim.generation))
    return True


def evict_from_disk(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Evict less valuable blocks from disk until ``block`` fits.

    :param effects: list to which the resulting effects are appended.
    :returns: whether ``block`` fits on disk. Blocks evicted before a failure
        stay evicted.
    """
    return _evict_until_it_fits(
        state,
        block,
        min(state.disk_limit, state.limits.disk_bytes),
        lambda: state.disk_used,
        lambda: [leaf for leaf in sample_leaves(state) if leaf.on_disk],
        now_s,
        effects,
    )


def evict_from_memory(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Evict less valuable blocks from memory until ``block`` fits.

    Unlike :func:`drop_memory_copies`, this also evicts blocks that are in
    memory only.

    :param effects: list to which the resulting effects are appended.
    :returns: whether ``block`` fits in memory. Blocks evicted before a failure
        stay evicted.
    """
    return _evict_until_it_fits(
        state,
        block,
        state.limits.memory_bytes,
        lambda: state.memory_used,
        lambda: [leaf for leaf in sample_leaves(state) if leaf.in_memory],
        now_s,
        effects,
    )


def evict_for_quota(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Evict less valuable blocks of a workspace until ``block`` fits its quota.

    :param effects: list to which the resulting effects are appended.
    :returns: whether ``block`` fits in the quota. Blocks evicted before a
        failure stay evicted.
    """
    quota = (state.quotas or {}).get(block.workspace, 0)
    if not quota:
        return True
    return _evict_until_it_fits(
        state,
        block,
        quota,
        lambda: state.used[block.workspace],
        lambda: _sample_workspace(state, block.workspace),
        now_s,
        effects,
    )


def trim_workspace(
    state: StoreState, workspace: str, max_bytes: int, now_s: float
) -> list[Effect]:
    """Retire blocks of ``workspace`` until the others fit in ``max_bytes``.

    :param max_bytes: limit on the sealed blocks; 0 retires all of them.
    :returns: the resulting effects.
    """
    effects: list[Effect] = []
    remaining_bytes = _sealed_bytes(state, workspace) if max_bytes else 0
    while workspace in state.leaves and (not max_bytes or remaining_bytes > max_bytes):
        sampled = state.leaves[workspace].sample(SAMPLED_BLOCKS, state.rng)
        victim = _find_victim(state, sampled, now_s)
        remaining_bytes -= victim.length
        effects.extend(retire(state, victim))
    return effects


def _sealed_bytes(state: StoreState, workspace: str) -> int:
    blocks = state.blocks.values()
    return sum(block.length for block in blocks if block.workspace == workspace)


def _evict_until_it_fits(
    state: StoreState,
    block: Block,
    limit: int,
    used: Callable[[], int],
    sample: Callable[[], list[Block]],
    now_s: float,
    effects: list[Effect],
) -> bool:
    """Evict less valuable blocks until ``block`` fits in ``limit`` bytes.

    :param used: returns the bytes that count towards ``limit``.
    :param sample: draws the candidates of one eviction.
    """
    if block.length > limit:
        return False
    while used() + block.length > limit:
        if not _evict_one(state, block, sample(), now_s, effects):
            return False
    return True


def _evict_one(
    state: StoreState,
    block: Block,
    candidates: list[Block],
    now_s: float,
    effects: list[Effect],
) -> bool:
    victim = _find_victim(state, candidates, now_s)
    if victim is None:
        return False
    if state.valuation.value(victim, now_s) >= state.valuation.value(block, now_s):
        state.counts["not_admitted"] += 1
        return False
    state.counts["evicted"] += 1
    effects.extend(retire(state, victim))
    return True


def _find_victim(state: StoreState, blocks: list[Block], now_s: float) -> Block | None:
    valuation = state.valuation
    return min(blocks, key=lambda block: valuation.value(block, now_s), default=None)


def sample_leaves(state: StoreState) -> list[Block]:
    """Return a random sample of evictable leaves.

    A leaf is a sealed block without children in this store.
    """
    workspaces = list(state.leaves)
    if len(workspaces) > SAMPLED_WORKSPACES:
        workspaces = state.rng.sample(workspaces, SAMPLED_WORKSPACES)
    leaves: list[Block] = []
    for workspace in workspaces:
        leaves.extend(state.leaves[workspace].sample(SAMPLED_PER_WORKSPACE, state.rng))
    return [leaf for leaf in leaves if _is_evictable(leaf)]


def _sample_workspace(state: StoreState, workspace: str) -> list[Block]:
    leaves = state.leaves.get(workspace)
    sampled = leaves.sample(SAMPLED_BLOCKS, state.rng) if leaves else []
    return [leaf for leaf in sampled if _is_evictable(leaf)]


def _sample_memory_copies(state: StoreState) -> list[Block]:
    sampled = state.memory.sample(SAMPLED_BLOCKS, state.rng)
    return [copy for copy in sampled if copy.on_disk and _is_evictable(copy)]


def _is_evictable(candidate: Block) -> bool:
    return candidate.state is BlockState.SEALED and candidate.holds == 0
