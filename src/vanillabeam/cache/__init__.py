"""Reuse of computed prompts: block ids, placement in stores and transfers."""

from vanillabeam.blocks import (
    BLOCK_TOKENS,
    MAX_BLOCKS,
    PromptChunk,
    PromptSplitter,
    block_ids,
    conversation_root,
    cut,
    salt,
)
from vanillabeam.cache.costs import Prices
from vanillabeam.cache.lookup import LookupResult, StoreAddress
from vanillabeam.cache.records import CacheReport, CacheSettings
from vanillabeam.cache.shell import Cache
from vanillabeam.cache.transferrecords import TargetRef

__all__ = [
    "BLOCK_TOKENS",
    "MAX_BLOCKS",
    "Cache",
    "CacheReport",
    "CacheSettings",
    "LookupResult",
    "Prices",
    "PromptChunk",
    "PromptSplitter",
    "StoreAddress",
    "TargetRef",
    "block_ids",
    "conversation_root",
    "cut",
    "salt",
]
