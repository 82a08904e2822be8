"""Functional core of the store: block lifecycle, tiers, quotas and eviction.

The core does no input or output: the shell passes events to :func:`handle` and
executes the effects that it returns.
"""

from functools import singledispatch
from itertools import islice

from vanillabeam.blocks import (
    workspace_tag_of,
)
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.store.checks import (
    check_quota,
    find_refusal,
    is_in_force,
    is_over_quota,
    require_block,
    require_upload,
    write_refusal,
)
from vanillabeam.store.eviction import (
    drop_memory_copies,
    evict_for_quota,
    evict_from_disk,
    evict_from_memory,
    sample_leaves,
    trim_workspace,
)
from vanillabeam.store.exceptions import (
    BlockUnknown,
    ChecksumMismatch,
    NotWorthKeeping,
    QuotaExceeded,
    StoreFull,
    WorkspaceNotInForce,
)
from vanillabeam.store.records import (
    AlreadyStored,
    Block,
    BlockFound,
    BlockState,
    ConfigUpdated,
    Deleted,
    DropDisk,
    Effect,
    Event,
    FindRequested,
    FindResult,
    Persist,
    Persisted,
    ReadAccepted,
    ReadBegun,
    ReadEnded,
    ReadFailed,
    Refused,
    Sealed,
    StoresUpdated,
    Tick,
    WriteAborted,
    WriteAccepted,
    WriteBegun,
    WriteEnded,
)
from vanillabeam.store.state import (
    StoreState,
    adjust_usage,
    free,
    release_hold,
    retire,
    seal,
    touch,
)

__all__ = ["handle"]

#: Seconds after a failed disk write in which disk use may not grow.
DISK_FULL_PAUSE_S = 60.0
#: Least recently used blocks that each tick checks for expiry.
EXPIRY_CHECKS_PER_TICK = 256
#: Blocks in memory that each tick samples to retry their copy to disk.
PERSIST_RETRIES_PER_TICK = 8


@singledispatch
def handle(event: Event, state: StoreState, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects to execute.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the event violates the lifecycle of a block or a
        limit.
    """
    raise InvariantBroken(f"a store does not take {type(event).__name__}")


@handle.register
def _(event: WriteBegun, state: StoreState, now_s: float) -> list[Effect]:
    failure = write_refusal(event, state)
    if failure is not None:
        return _refuse(state, failure)
    if event.block_id in state.blocks:
        touch(state, state.blocks[event.block_id], now_s)
        return [AlreadyStored(event.block_id)]
    block = Block(event.block_id, 0, event.length, event.checksum, max(1, event.tokens))
    block.used_s = now_s
    effects: list[Effect] = []
    failure = _admit(state, block, now_s, effects)
    if failure is not None:
        return effects + _refuse(state, failure)
    block.generation = state.next_generation
    state.next_generation += 1
    state.writing[event.block_id] = block
    state.used[block.workspace] += block.length
    adjust_usage(state, block, block.in_memory, block.on_disk)
    check_quota(state, block)
    return [*effects, WriteAccepted(block.block_id, block.generation, block.in_memory)]


@handle.register
def _(event: WriteEnded, state: StoreState, now_s: float) -> list[Effect]:
    block = require_upload(state, event.block_id, event.generation)
    del state.writing[event.block_id]
    failure: VanillabeamError | None = None
    if (event.length, event.checksum) != (block.length, block.checksum):
        failure = ChecksumMismatch(f"{event.length} bytes of {block.length}")
    elif not is_in_force(state, block.block_id):
        failure = WorkspaceNotInForce()
    if failure is not None:
        return free(state, block) + _refuse(state, failure)
    block.used_s = now_s
    seal(state, block, event.parent)
    effects: list[Effect] = [Sealed(block.block_id, block.generation)]
    if not block.on_disk:
        effects.extend(_begin_persist(state, block, now_s))
    return effects


@handle.register
def _(event: WriteAborted, state: StoreState, now_s: float) -> list[Effect]:
    block = require_upload(state, event.block_id, event.generation)
    del state.writing[event.block_id]
    state.counts["aborted"] += 1
    effects = free(state, block)
    if event.disk_full:
        _cap_disk_use(state, now_s)
    return effects


@handle.register
def _(event: ReadBegun, state: StoreState, now_s: float) -> list[Effect]:
    block = state.blocks.get(event.block_id)
    if block is None:
        return _refuse(state, BlockUnknown())
    if block.state is not BlockState.SEALED:
        raise InvariantBroken(f"read of a block that is {block.state.name}")
    if not (block.in_memory or block.on_disk):
        raise InvariantBroken("read of a block without bytes")
    block.holds += 1
    state.counts["reads"] += 1
    return [
        ReadAccepted(
            block.block_id,
            block.generation,
            block.length,
            block.checksum,
            block.tokens,
            block.in_memory,
        )
    ]


@handle.register
def _(event: ReadEnded, state: StoreState, now_s: float) -> list[Effect]:
    return release_hold(state, require_block(state, event.block_id, event.generation))


@handle.register
def _(event: ReadFailed, state: StoreState, now_s: float) -> list[Effect]:
    block = require_block(state, event.block_id, event.generation)
    state.counts["damaged"] += 1
    if block.state is not BlockState.SEALED:
        return []
    return retire(state, block)


@handle.register
def _(event: Persisted, state: StoreState, now_s: float) -> list[Effect]:
    block = require_block(state, event.block_id, event.generation)
    if not block.persisting:
        raise InvariantBroken("a disk write ended that had not begun")
    block.persisting = False
    block.on_disk = event.kept
    if not event.kept:
        adjust_usage(state, block, 0, -1)
        _cap_disk_use(state, now_s)
    return release_hold(state, block)


@handle.register
def _(event: BlockFound, state: StoreState, now_s: float) -> list[Effect]:
    block = Block(
        event.block_id, event.generation, event.length, event.checksum, event.tokens
    )
    state.next_generation = max(state.next_generation, event.generation + 1)
    if state.find(event.block_id, event.generation) is not None:
        return []
    drop = [DropDisk(event.block_id, event.generation)]
    is_stored = event.block_id in state.blocks or event.block_id in state.writing
    fits = state.disk_used + event.length <= state.limits.disk_bytes
    expired = event.idle_s > state.limits.ttl_s
    if is_stored or not fits or expired or not is_in_force(state, event.block_id):
        return drop
    if is_over_quota(state, block.workspace, event.length):
        return drop
    block.on_disk = True
    block.used_s = now_s - event.idle_s
    state.used[block.workspace] += block.length
    adjust_usage(state, block, 0, 1)
    seal(state, block, event.parent)
    return [Sealed(block.block_id, block.generation)]


@handle.register
def _(event: FindRequested, state: StoreState, now_s: float) -> list[Effect]:
    failure = find_refusal(event, state)
    if failure is not None:
        return _refuse(state, failure)
    blocks = [state.blocks.get(block_id) for block_id in event.block_ids]
    workspace = workspace_tag_of(event.block_ids[0])
    _record_reuse(state, event.block_ids, blocks, now_s)
    for block in reversed(blocks):
        if block is not None:
            touch(state, block, now_s)
    lengths = tuple(block.length if block else 0 for block in blocks)
    return [FindResult(lengths, state.valuation.reuse.chance(workspace))]


@handle.register
def _(event: Deleted, state: StoreState, now_s: float) -> list[Effect]:
    block = state.blocks.get(event.block_id)
    if block is None:
        return _refuse(state, BlockUnknown())
    return retire(state, block)


@handle.register
def _(event: ConfigUpdated, state: StoreState, now_s: float) -> list[Effect]:
    state.quotas = dict(event.quotas)
    state.valuation.releases = event.releases
    effects: list[Effect] = []
    for workspace in list(state.leaves):
        if workspace not in state.quotas:
            effects.extend(trim_workspace(state, workspace, 0, now_s))
            state.valuation.reuse.forget(workspace)
        elif 0 < state.quotas[workspace] < state.used[workspace]:
            quota = state.quotas[workspace]
            effects.extend(trim_workspace(state, workspace, quota, now_s))
    return effects


@handle.register
def _(event: StoresUpdated, state: StoreState, now_s: float) -> list[Effect]:
    state.valuation.name = event.name
    state.valuation.stores = event.stores
    return []


@handle.register
def _(event: Tick, state: StoreState, now_s: float) -> list[Effect]:
    if now_s >= state.disk_limit_until_s:
        state.disk_limit = state.limits.disk_bytes
    effects = _expire(state, now_s)
    for block in state.memory.sample(PERSIST_RETRIES_PER_TICK, state.rng):
        if not block.on_disk and not block.persisting:
            effects.extend(_begin_persist(state, block, now_s))
    return effects


def _expire(state: StoreState, now_s: float) -> list[Effect]:
    """Retire blocks that have been idle for longer than ``ttl_s``.

    ``state.blocks`` is ordered by last use, except for blocks that the start-up
    scan added. Sampling some leaves finds those too.
    """
    effects: list[Effect] = []
    oldest = list(islice(state.blocks.values(), EXPIRY_CHECKS_PER_TICK))
    for block in oldest + sample_leaves(state):
        expired = now_s - block.used_s > state.limits.ttl_s
        if expired and block.state is BlockState.SEALED:
            state.counts["expired"] += 1
            effects.extend(retire(state, block))
    return effects


def _admit(
    state: StoreState, block: Block, now_s: float, effects: list[Effect]
) -> VanillabeamError | None:
    """Choose the tier of a new block and free capacity for it.

    :param effects: list to which the resulting effects are appended.
    :returns: reason for rejecting the block, ``None`` if it is admitted.
    """
    if not evict_for_quota(state, block, now_s, effects):
        return QuotaExceeded()
    if drop_memory_copies(state, block, now_s, effects):
        block.in_memory = True
        return None
    if evict_from_disk(state, block, now_s, effects):
        block.on_disk = True
        return None
    if evict_from_memory(state, block, now_s, effects):
        block.in_memory = True
        return None
    largest = max(state.limits.memory_bytes, state.disk_limit)
    return NotWorthKeeping() if block.length <= largest else StoreFull()


def _begin_persist(state: StoreState, block: Block, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    if not evict_from_disk(state, block, now_s, effects):
        return effects
    block.holds += 1
    block.persisting = True
    adjust_usage(state, block, 0, 1)
    return [*effects, Persist(block.block_id, block.generation)]


def _cap_disk_use(state: StoreState, now_s: float) -> None:
    state.counts["disk_full"] += 1
    state.disk_limit = min(state.disk_limit, state.disk_used)
    state.disk_limit_until_s = now_s + DISK_FULL_PAUSE_S


def _record_reuse(
    state: StoreState,
    block_ids: tuple[str, ...],
    blocks: list[Block | None],
    now_s: float,
) -> None:
    """Record a reuse if the store has seen at least half of the prompt before."""
    reuse = state.valuation.reuse
    workspace = workspace_tag_of(block_ids[0])
    for position in reversed(range(len(block_ids) // 2, len(block_ids))):
        block = blocks[position]
        used_s = block.used_s if block else state.ghosts.get(block_ids[position])
        if used_s is not None:
            reuse.record_reuse(workspace, now_s - used_s)
            break
    reuse.record_idle_start(workspace)


def _refuse(state: StoreState, failure: VanillabeamError) -> list[Effect]:
    state.counts[failure.type] += 1
    return [Refused(failure)]
