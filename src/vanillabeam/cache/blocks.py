"""Block ids: how a prompt is cut and how its pieces are named.

An id is hex and has four parts::

    workspace tag | release tag | root tag | chain digest
       12 digits      6 digits    6 digits    32 digits

The chain digest is keyed by the workspace's secret and covers everything
before it, so an id names a whole prefix. The tags let a store or a directory
shard group ids without knowing any secret.
"""

import hashlib
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from vanillabeam import wire
from vanillabeam.config import Workspace
from vanillabeam.exceptions import InvariantBroken

__all__ = [
    "BLOCK_TOKENS",
    "ID_DIGITS",
    "MAX_BLOCKS",
    "PromptSplitter",
    "PromptChunk",
    "block_ids",
    "conversation_root",
    "cut",
    "is_block_id",
    "chain_prefix",
    "release_tag",
    "release_tag_of",
    "salt",
    "workspace_tag",
    "workspace_tag_of",
]

BLOCK_TOKENS = 4_000
BYTES_PER_TOKEN = 4
ROOT_BYTES = 1_024
MAX_BLOCKS = 128
SECRET_BYTES = 32

WORKSPACE_DIGITS = 12
RELEASE_DIGITS = 6
ROOT_DIGITS = 6
CHAIN_DIGITS = 32
LINEAGE_DIGITS = WORKSPACE_DIGITS + RELEASE_DIGITS + ROOT_DIGITS
ID_DIGITS = LINEAGE_DIGITS + CHAIN_DIGITS
HEX_DIGITS = frozenset("0123456789abcdef")

Prompt = str | Sequence[Any]


class PromptChunk(NamedTuple):
    """A part of a prompt that one block covers.

    :param tokens: estimate of its size in tokens.
    """

    content: bytes
    tokens: int


#: Cuts a prompt into whole pieces. Pieces of a prompt must also be the first
#: pieces of every prompt that begins with it.
PromptSplitter = Callable[[Prompt], tuple[PromptChunk, ...]]


def cut(prompt: Prompt, block_tokens: int = BLOCK_TOKENS) -> tuple[PromptChunk, ...]:
    """Return the whole pieces of ``prompt``, first one first.

    What is left after the last whole piece has no block: the next prompt of
    the conversation extends it, so it would never be found again.

    :param prompt: a text, or chat messages in order.
    :param block_tokens: size of a piece in estimated tokens.
    """
    text = _canonical(prompt)
    size = block_tokens * BYTES_PER_TOKEN
    pieces: list[PromptChunk] = []
    start = 0
    while len(text) - start >= size and len(pieces) < MAX_BLOCKS:
        end = _character_start(text, start + size)
        pieces.append(PromptChunk(text[start:end], block_tokens))
        start = end
    return tuple(pieces)


def block_ids(
    workspace: Workspace,
    model: str,
    version: str,
    adapter: str,
    pieces: Sequence[PromptChunk],
) -> tuple[str, ...]:
    """Return the id of each piece's block, parents first.

    :param version: weight version that the request was admitted for.
    :param adapter: ``name@version`` of the adapter, empty for none.
    :raises InvariantBroken: if the workspace has no usable secret.
    """
    if not pieces:
        return ()
    key = _key(workspace)
    release = release_tag(model, version, adapter)
    scope = _join(model, version, adapter)
    root = _digest(key, b"root", pieces[0].content, ROOT_DIGITS)
    prefix = workspace_tag(workspace) + release + root
    parent = _digest(key, b"scope", scope, CHAIN_DIGITS)
    ids: list[str] = []
    for piece in pieces:
        content = bytes.fromhex(parent) + piece.content
        parent = _digest(key, b"block", content, CHAIN_DIGITS)
        ids.append(prefix + parent)
    return tuple(ids)


def conversation_root(workspace: Workspace, model: str, prompt: Prompt) -> str:
    """Return a digest that all prompts of one conversation share.

    It covers the beginning of the prompt only, and no version, so that a
    conversation keeps its place while it grows and across a swap.

    :param prompt: a text, or chat messages in order.
    """
    text = _canonical(_opening(prompt))[:ROOT_BYTES]
    content = _join(model) + text
    return _digest(_key(workspace), b"conversation", content, CHAIN_DIGITS)


def salt(workspace: Workspace, model: str, version: str, adapter: str = "") -> str:
    """Return the cache salt: engines match prefixes only under the same one.

    :param adapter: ``name@version`` of the adapter, empty for none.
    """
    content = _join(model, version, adapter)
    return _digest(_key(workspace), b"salt", content, CHAIN_DIGITS)


def workspace_tag(workspace: Workspace) -> str:
    """Return the part of a block id that is the same for a workspace."""
    return _digest(_key(workspace), b"workspace", b"", WORKSPACE_DIGITS)


def release_tag(model: str, version: str, adapter: str = "") -> str:
    """Return the part of a block id that is the same for a release.

    It has no key: a store knows by it which blocks belong to a release that
    is in force.
    """
    content = _join(model, version, adapter)
    return _digest(b"", b"release", content, RELEASE_DIGITS)


def workspace_tag_of(block_id: str) -> str:
    """Return the workspace tag within ``block_id``."""
    return block_id[:WORKSPACE_DIGITS]


def release_tag_of(block_id: str) -> str:
    """Return the release tag within ``block_id``."""
    return block_id[WORKSPACE_DIGITS : WORKSPACE_DIGITS + RELEASE_DIGITS]


def chain_prefix(block_id: str) -> str:
    """Return what all ids of a chain begin with; placement hashes it."""
    return block_id[:LINEAGE_DIGITS]


def is_block_id(text: str) -> bool:
    """Return whether ``text`` has the form of a block id."""
    return len(text) == ID_DIGITS and HEX_DIGITS.issuperset(text)


def _canonical(prompt: Prompt) -> bytes:
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    return b"".join(wire.encode(message) + b"\n" for message in prompt)


def _opening(prompt: Prompt) -> Prompt:
    if isinstance(prompt, str):
        return prompt
    for position, message in enumerate(prompt):
        if isinstance(message, dict) and message.get("role") == "user":
            return prompt[: position + 1]
    return prompt[:1]


def _character_start(text: bytes, end: int) -> int:
    while end < len(text) and text[end] & 0xC0 == 0x80:
        end -= 1
    return end


def _key(workspace: Workspace) -> bytes:
    secret = bytes.fromhex(workspace.cache_secret)
    if len(secret) < SECRET_BYTES:
        raise InvariantBroken(f"workspace {workspace.name} has a short cache secret")
    name = workspace.name.encode()
    return hashlib.blake2b(name, key=secret[:64], person=b"workspace").digest()


def _join(*fields: str) -> bytes:
    parts = [field.encode() for field in fields]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def _digest(key: bytes, person: bytes, content: bytes, digits: int) -> str:
    state = hashlib.blake2b(content, key=key, person=person, digest_size=digits // 2)
    return state.hexdigest()
