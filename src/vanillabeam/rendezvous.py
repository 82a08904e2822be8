"""Rendezvous hashing: every VM ranks the same names in the same order."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank", "weigh"]

DIGEST_BYTES = 8


def weigh(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the largest one wins."""
    text = f"{key}\0{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` with the choice for ``key`` first.

    When a name leaves, only the keys that it had move.

    >>> rank("engine-1", ["a", "b"]) == rank("engine-1", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (weigh(key, name), name), reverse=True)
