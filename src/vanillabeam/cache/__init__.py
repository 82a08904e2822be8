"""Work that stays reusable: block ids, placement and transfers."""

from vanillabeam.cache.blocks import (
    BLOCK_TOKENS,
    MAX_BLOCKS,
    Cutter,
    Piece,
    block_ids,
    conversation_root,
    cut,
    salt,
)

__all__ = [
    "BLOCK_TOKENS",
    "MAX_BLOCKS",
    "Cutter",
    "Piece",
    "block_ids",
    "conversation_root",
    "cut",
    "salt",
]
