"""Making room: which blocks leave a tier, and whether a new one gets in."""

from vanillabeam.store.records import Block, BlockState, DropMemory, Effect
from vanillabeam.store.state import StoreState, account, retire

__all__ = [
    "draw_leaves",
    "make_disk_room",
    "make_last_memory_room",
    "make_memory_room",
    "make_quota_room",
    "trim_workspace",
]

DRAWN_BLOCKS = 16
DRAWN_WORKSPACES = 16
DRAWN_PER_WORKSPACE = 4


def make_memory_room(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Drop memory copies that are on disk too until ``block`` fits.

    :param effects: what the shell must do is added here.
    :returns: whether it fits; what was dropped by then stays dropped.
    """
    limit = state.limits.memory_bytes
    while state.memory_used + block.length > limit:
        victim = _cheapest(state, _memory_copies(state), now_s)
        if victim is None or block.length > limit:
            return False
        victim.in_memory = False
        state.memory.discard(victim)
        account(state, victim, -1, 0)
        effects.append(DropMemory(victim.block_id, victim.generation))
    return True


def make_disk_room(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Free blocks on disk that are worth less until ``block`` fits."""
    limit = min(state.disk_limit, state.limits.disk_bytes)
    if block.length > limit:
        return False
    while state.disk_used + block.length > limit:
        candidates = [leaf for leaf in draw_leaves(state) if leaf.on_disk]
        if not _evict_one(state, block, candidates, now_s, effects):
            return False
    return True


def make_last_memory_room(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Free blocks that are only in memory and worth less."""
    limit = state.limits.memory_bytes
    if block.length > limit:
        return False
    while state.memory_used + block.length > limit:
        candidates = [leaf for leaf in draw_leaves(state) if leaf.in_memory]
        if not _evict_one(state, block, candidates, now_s, effects):
            return False
    return True


def make_quota_room(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> bool:
    """Free blocks of the same workspace until its quota takes ``block``."""
    quota = (state.quotas or {}).get(block.workspace, 0)
    if not quota:
        return True
    if block.length > quota:
        return False
    while state.used[block.workspace] + block.length > quota:
        leaves = state.leaves.get(block.workspace)
        drawn = leaves.draw(DRAWN_BLOCKS, state.rng) if leaves else []
        candidates = [leaf for leaf in drawn if _idle(leaf)]
        if not _evict_one(state, block, candidates, now_s, effects):
            return False
    return True


def trim_workspace(
    state: StoreState, workspace: str, most_bytes: int, now_s: float
) -> list[Effect]:
    """Retire blocks of ``workspace`` until the others fit in ``most_bytes``."""
    effects: list[Effect] = []
    left = _sealed_bytes(state, workspace) if most_bytes else 0
    while workspace in state.leaves and (not most_bytes or left > most_bytes):
        drawn = state.leaves[workspace].draw(DRAWN_BLOCKS, state.rng)
        victim = _cheapest(state, drawn, now_s)
        left -= victim.length
        effects.extend(retire(state, victim))
    return effects


def _sealed_bytes(state: StoreState, workspace: str) -> int:
    blocks = state.blocks.values()
    return sum(block.length for block in blocks if block.workspace == workspace)


def _evict_one(
    state: StoreState,
    block: Block,
    candidates: list[Block],
    now_s: float,
    effects: list[Effect],
) -> bool:
    victim = _cheapest(state, candidates, now_s)
    if victim is None:
        return False
    if state.valuation.value(victim, now_s) >= state.valuation.value(block, now_s):
        state.counts["not_admitted"] += 1
        return False
    state.counts["evicted"] += 1
    effects.extend(retire(state, victim))
    return True


def _cheapest(state: StoreState, blocks: list[Block], now_s: float) -> Block | None:
    valuation = state.valuation
    return min(blocks, key=lambda block: valuation.value(block, now_s), default=None)


def draw_leaves(state: StoreState) -> list[Block]:
    """Return some blocks that nobody reads and that have no children here."""
    workspaces = list(state.leaves)
    if len(workspaces) > DRAWN_WORKSPACES:
        workspaces = state.rng.sample(workspaces, DRAWN_WORKSPACES)
    leaves: list[Block] = []
    for workspace in workspaces:
        leaves.extend(state.leaves[workspace].draw(DRAWN_PER_WORKSPACE, state.rng))
    return [leaf for leaf in leaves if _idle(leaf)]


def _memory_copies(state: StoreState) -> list[Block]:
    drawn = state.memory.draw(DRAWN_BLOCKS, state.rng)
    return [copy for copy in drawn if copy.on_disk and _idle(copy)]


def _idle(candidate: Block) -> bool:
    return candidate.state is BlockState.SEALED and candidate.holds == 0
