"""Keys and secrets of workspaces: made for operators, kept as digests."""

import secrets
from hashlib import sha256
from typing import NamedTuple

__all__ = ["WorkspaceKey", "key_digest", "make_workspace_key"]

KEY_BYTES = 32
SECRET_BYTES = 32
KEY_PREFIX = "vb-"


class WorkspaceKey(NamedTuple):
    """A new caller key with what its workspace's ticket carries.

    :param key: for the caller; it is shown once and kept nowhere.
    :param digest: for ``key_digests``.
    :param cache_secret: for a new workspace's ``cache_secret``; a workspace
        that is there keeps its own, or its cached blocks are lost to it.
    """

    key: str
    digest: str
    cache_secret: str


def key_digest(key: str) -> str:
    """Return the hex SHA-256 of a caller key."""
    return sha256(key.encode()).hexdigest()


def make_workspace_key() -> WorkspaceKey:
    """Return a new key from the system's random source."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return WorkspaceKey(key, key_digest(key), secrets.token_hex(SECRET_BYTES))
