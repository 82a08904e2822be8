"""Block ids: cutting a prompt into chunks and naming the block of each chunk.

A block id is a hex string of four fields::

    workspace tag | release tag | root tag | chain digest
       12 digits      6 digits    6 digits    32 digits

The chain digest is keyed by the workspace's secret and covers the chunk and all
chunks before it, so an id identifies a whole prompt prefix. The tags let a store
or a directory shard group ids without access to any secret.
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
    "PromptChunk",
    "PromptSplitter",
    "block_ids",
    "chain_prefix",
    "conversation_root",
    "cut",
    "is_block_id",
    "release_tag",
    "release_tag_of",
    "salt",
    "workspace_tag",
    "workspace_tag_of",
]

#: Estimated tokens of a prompt that one block covers.
BLOCK_TOKENS = 4_000
BYTES_PER_TOKEN = 4
#: Bytes at the beginning of a prompt that determine its conversation root.
ROOT_BYTES = 1_024
#: Maximum number of blocks of a prompt.
MAX_BLOCKS = 128
#: Minimum length of a workspace's cache secret.
SECRET_BYTES = 32

WORKSPACE_DIGITS = 12
RELEASE_DIGITS = 6
ROOT_DIGITS = 6
CHAIN_DIGITS = 32
CHAIN_PREFIX_DIGITS = WORKSPACE_DIGITS + RELEASE_DIGITS + ROOT_DIGITS
ID_DIGITS = CHAIN_PREFIX_DIGITS + CHAIN_DIGITS
HEX_DIGITS = frozenset("0123456789abcdef")

Prompt = str | Sequence[Any]


class PromptChunk(NamedTuple):
    """The part of a prompt that one block covers.

    :param content: encoded text of the chunk.
    :param tokens: estimated size in tokens.
    """

    content: bytes
    tokens: int


#: Cuts a prompt into complete chunks. The chunks of a prompt must also be the
#: first chunks of every longer prompt that begins with it.
PromptSplitter = Callable[[Prompt], tuple[PromptChunk, ...]]


def cut(prompt: Prompt, block_tokens: int = BLOCK_TOKENS) -> tuple[PromptChunk, ...]:
    """Return the complete chunks of ``prompt`` in order.

    The remainder after the last complete chunk gets no block: the next prompt
    of the conversation extends it, so its id would never match again.

    :param prompt: a text, or chat messages in order.
    :param block_tokens: size of a chunk in estimated tokens.
    """
    text = _encode_prompt(prompt)
    size = block_tokens * BYTES_PER_TOKEN
    chunks: list[PromptChunk] = []
    start = 0
    while len(text) - start >= size and len(chunks) < MAX_BLOCKS:
        end = _character_start(text, start + size)
        chunks.append(PromptChunk(text[start:end], block_tokens))
        start = end
    return tuple(chunks)


def block_ids(
    workspace: Workspace,
    model: str,
    version: str,
    adapter: str,
    chunks: Sequence[PromptChunk],
) -> tuple[str, ...]:
    """Return the block id of each chunk, parents first.

    :param version: weight version for which the request was admitted.
    :param adapter: ``name@version`` of the adapter, empty for none.
    :raises InvariantBroken: if the workspace's secret is too short.
    """
    if not chunks:
        return ()
    key = _workspace_key(workspace)
    release = release_tag(model, version, adapter)
    scope = _encode_fields(model, version, adapter)
    root = _digest(key, b"root", chunks[0].content, ROOT_DIGITS)
    prefix = workspace_tag(workspace) + release + root
    parent = _digest(key, b"scope", scope, CHAIN_DIGITS)
    ids: list[str] = []
    for chunk in chunks:
        content = bytes.fromhex(parent) + chunk.content
        parent = _digest(key, b"block", content, CHAIN_DIGITS)
        ids.append(prefix + parent)
    return tuple(ids)


def conversation_root(workspace: Workspace, model: str, prompt: Prompt) -> str:
    """Return a digest that is the same for all prompts of one conversation.

    The digest covers only the beginning of the prompt and no weight version, so
    that a conversation stays at its target as it grows and when the weights are
    swapped.

    :param prompt: a text, or chat messages in order.
    """
    text = _encode_prompt(_first_messages(prompt))[:ROOT_BYTES]
    content = _encode_fields(model) + text
    return _digest(_workspace_key(workspace), b"conversation", content, CHAIN_DIGITS)


def salt(workspace: Workspace, model: str, version: str, adapter: str = "") -> str:
    """Return the cache salt; engines reuse a prefix only under the same salt.

    :param adapter: ``name@version`` of the adapter, empty for none.
    """
    content = _encode_fields(model, version, adapter)
    return _digest(_workspace_key(workspace), b"salt", content, CHAIN_DIGITS)


def workspace_tag(workspace: Workspace) -> str:
    """Return the field of a block id that identifies the workspace."""
    return _digest(_workspace_key(workspace), b"workspace", b"", WORKSPACE_DIGITS)


def release_tag(model: str, version: str, adapter: str = "") -> str:
    """Return the field of a block id that identifies the model release.

    The tag is not keyed, so that a store can compute it and recognize the blocks
    of releases that are in force.

    :param adapter: ``name@version`` of the adapter, empty for none.
    """
    content = _encode_fields(model, version, adapter)
    return _digest(b"", b"release", content, RELEASE_DIGITS)


def workspace_tag_of(block_id: str) -> str:
    """Return the workspace tag within ``block_id``."""
    return block_id[:WORKSPACE_DIGITS]


def release_tag_of(block_id: str) -> str:
    """Return the release tag within ``block_id``."""
    return block_id[WORKSPACE_DIGITS : WORKSPACE_DIGITS + RELEASE_DIGITS]


def chain_prefix(block_id: str) -> str:
    """Return the prefix shared by all ids of a chain; placement hashes it."""
    return block_id[:CHAIN_PREFIX_DIGITS]


def is_block_id(text: str) -> bool:
    """Return whether ``text`` has the form of a block id."""
    return len(text) == ID_DIGITS and HEX_DIGITS.issuperset(text)


def _encode_prompt(prompt: Prompt) -> bytes:
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    return b"".join(wire.encode(message) + b"\n" for message in prompt)


def _first_messages(prompt: Prompt) -> Prompt:
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


def _workspace_key(workspace: Workspace) -> bytes:
    secret = bytes.fromhex(workspace.cache_secret)
    if len(secret) < SECRET_BYTES:
        raise InvariantBroken(f"workspace {workspace.name} has a short cache secret")
    name = workspace.name.encode()
    return hashlib.blake2b(name, key=secret[:64], person=b"workspace").digest()


def _encode_fields(*fields: str) -> bytes:
    parts = [field.encode() for field in fields]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def _digest(key: bytes, person: bytes, content: bytes, digits: int) -> str:
    state = hashlib.blake2b(content, key=key, person=person, digest_size=digits // 2)
    return state.hexdigest()
