"""Rendezvous hashing: all VMs rank a set of names for a key in the same order."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank", "weigh"]

DIGEST_BYTES = 8


def weigh(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the name with the largest wins."""
    text = f"{key}\0{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by falling weight for ``key``; the first one is chosen.

    If a name is removed, only the keys that were assigned to it change their
    first name.

    >>> rank("engine-1", ["a", "b"]) == rank("engine-1", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (weigh(key, name), name), reverse=True)
