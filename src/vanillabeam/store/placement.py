"""Placement of blocks in stores by rendezvous hashing, without a stored map.

Every VM computes the same order of stores for a chain from the set of live
stores. All blocks of a chain share one order, so one request to a store looks up
all of them.
"""

from collections.abc import Iterable

from vanillabeam.blocks import chain_prefix
from vanillabeam.rendezvous import rank

__all__ = ["COPIES", "preferred_stores", "store_rank"]

#: Stores that should hold a block.
COPIES = 2


def preferred_stores(block_id: str, stores: Iterable[str]) -> tuple[str, ...]:
    """Return the stores that should hold ``block_id``, the preferred one first.

    :param stores: names of the live stores.
    """
    return tuple(rank(chain_prefix(block_id), stores)[:COPIES])


def store_rank(block_id: str, store: str, stores: Iterable[str]) -> int:
    """Return the rank of ``store`` for ``block_id``, 0 for the first copy.

    :param stores: names of the live stores, ``store`` included.
    """
    return rank(chain_prefix(block_id), stores).index(store)
