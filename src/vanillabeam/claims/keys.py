"""Idempotency keys: their digests, creation times and shards."""

import uuid
from hashlib import blake2b

__all__ = ["key_digest", "key_time_ms", "request_digest", "shard_of"]

DIGEST_BYTES = 16
UUID_V7 = 7
UUID_TIME_SHIFT_BITS = 80


def key_digest(workspace: str, key: str) -> bytes:
    """Return the digest that identifies ``key`` of ``workspace``."""
    return _digest(workspace.encode(), key.encode()).digest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a hex digest that is equal for equal requests.

    :param path: path with query string.
    """
    return _digest(method.encode(), path.encode(), body).hexdigest()


def key_time_ms(key: str) -> int | None:
    """Return the Unix time in ms of a UUIDv7, or ``None`` for any other key.

    >>> key_time_ms("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058518
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_V7:
        return None
    return value.int >> UUID_TIME_SHIFT_BITS


def shard_of(workspace: str, key: str, shards: int) -> int:
    """Return the shard that holds the claim of ``key``."""
    return int.from_bytes(key_digest(workspace, key)[:8], "big") % shards


def _digest(*parts: bytes):
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest
