"""Where blocks belong: rendezvous hashing, so that no node keeps a map.

Every VM that knows the live stores works out the same order for a chain. All
blocks of a chain have the same order, so one call finds them all.
"""

import hashlib
from collections.abc import Iterable

from vanillabeam.cache.blocks import lineage

__all__ = ["COPIES", "place", "rank"]

COPIES = 2


def place(block_id: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return ``nodes`` in the order in which they should hold ``block_id``.

    :param nodes: names of live stores, or of live entries for a directory.
    """
    chain = lineage(block_id)
    return tuple(sorted(nodes, key=lambda node: _weight(chain, node), reverse=True))


def rank(block_id: str, node: str, nodes: Iterable[str]) -> int:
    """Return the position of ``node`` in the order, 0 for the first."""
    chain = lineage(block_id)
    own = _weight(chain, node)
    return sum(_weight(chain, other) > own for other in nodes)


def _weight(chain: str, node: str) -> bytes:
    return hashlib.blake2b(f"{chain}/{node}".encode(), digest_size=8).digest()
