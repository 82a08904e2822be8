"""Where blocks belong: rendezvous hashing, so that no node keeps a map.

Every VM that knows the live stores works out the same order for a chain. All
blocks of a chain have the same order, so one call finds them all.
"""

from collections.abc import Iterable

from vanillabeam.cache.blocks import chain_prefix
from vanillabeam.rendezvous import rank

__all__ = ["COPIES", "preferred_stores", "store_rank"]

COPIES = 2


def preferred_stores(block_id: str, stores: Iterable[str]) -> tuple[str, ...]:
    """Return the live ``stores`` that should hold ``block_id``, first one first."""
    return tuple(rank(chain_prefix(block_id), stores)[:COPIES])


def store_rank(block_id: str, store: str, stores: Iterable[str]) -> int:
    """Return the place of ``store`` in the order, 0 for the first copy."""
    return rank(chain_prefix(block_id), stores).index(store)
