"""Checks of the store's core: what it refuses, and what can't be."""

from vanillabeam.blocks import MAX_BLOCKS, chain_prefix, is_block_id, workspace_tag_of
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.store.exceptions import (
    BlockBusy,
    HeaderInvalid,
    WorkspaceNotInForce,
)
from vanillabeam.store.records import Block, BlockState, FindRequested, WriteBegun
from vanillabeam.store.state import StoreState

__all__ = [
    "check_quota",
    "find_refusal",
    "is_in_force",
    "is_over_quota",
    "require_block",
    "require_upload",
    "write_refusal",
]


def write_refusal(event: WriteBegun, state: StoreState) -> VanillabeamError | None:
    """Return why a block may not be written, ``None`` if it may."""
    if not is_block_id(event.block_id):
        return HeaderInvalid("the path does not end in a block id")
    if not 0 < event.length <= state.limits.max_block_bytes:
        return HeaderInvalid(f"{event.length} bytes is no length of a block")
    if event.parent and chain_prefix(event.parent) != chain_prefix(event.block_id):
        return HeaderInvalid("the parent is of another chain")
    if not is_in_force(state, event.block_id):
        return WorkspaceNotInForce()
    if event.block_id in state.writing:
        return BlockBusy()
    return None


def find_refusal(event: FindRequested, state: StoreState) -> VanillabeamError | None:
    """Return why blocks may not be looked up, ``None`` if they may."""
    block_ids = event.block_ids
    if not 0 < len(block_ids) <= MAX_BLOCKS or not all(map(is_block_id, block_ids)):
        return HeaderInvalid("not a list of block ids")
    if len({chain_prefix(block_id) for block_id in block_ids}) > 1:
        return HeaderInvalid("the blocks are of several chains")
    if not is_in_force(state, block_ids[0]):
        return WorkspaceNotInForce()
    return None


def check_quota(state: StoreState, block: Block) -> None:
    """Check that a workspace is within its quota.

    :raises InvariantBroken: if it is not.
    """
    if is_over_quota(state, block.workspace, 0):
        raise InvariantBroken("a workspace is above its quota")


def is_over_quota(state: StoreState, workspace: str, added_bytes: int) -> bool:
    """Return whether a workspace would be above its quota with more bytes."""
    quota = (state.quotas or {}).get(workspace, 0)
    return 0 < quota < state.used[workspace] + added_bytes


def is_in_force(state: StoreState, block_id: str) -> bool:
    """Return whether a block's workspace is in the configuration, if one is known."""
    return state.quotas is None or workspace_tag_of(block_id) in state.quotas


def require_upload(state: StoreState, block_id: str, generation: int) -> Block:
    """Return the block whose upload is under way.

    :raises InvariantBroken: if there is none.
    """
    block = state.writing.get(block_id)
    if block is None or block.generation != generation:
        raise InvariantBroken(f"no upload of {block_id} is under way")
    return block


def require_block(state: StoreState, block_id: str, generation: int) -> Block:
    """Return a block that is held.

    :raises InvariantBroken: if it was freed.
    """
    block = state.find(block_id, generation)
    if block is None or block.state is BlockState.FREED:
        raise InvariantBroken(f"block {block_id} was freed while it was held")
    return block
