"""Caller keys and secrets of workspaces; only digests of keys are stored."""

import secrets
from hashlib import sha256
from typing import NamedTuple

__all__ = ["WorkspaceKey", "key_digest", "make_workspace_key"]

KEY_BYTES = 32
SECRET_BYTES = 32
KEY_PREFIX = "vb-"


class WorkspaceKey(NamedTuple):
    """New caller key, with the values for the ticket that sets its workspace.

    :param key: the key for the caller; it is shown once and stored nowhere.
    :param digest: value for the workspace's ``key_digests``.
    :param cache_secret: value for ``cache_secret`` of a new workspace. An existing
        workspace must keep its own, or it loses access to its cached blocks.
    """

    key: str
    digest: str
    cache_secret: str


def key_digest(key: str) -> str:
    """Return the hex SHA-256 of a caller key."""
    return sha256(key.encode()).hexdigest()


def make_workspace_key() -> WorkspaceKey:
    """Return a new key from the operating system's random source."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return WorkspaceKey(key, key_digest(key), secrets.token_hex(SECRET_BYTES))
