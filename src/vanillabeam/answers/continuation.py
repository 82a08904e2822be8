"""Continuation of a partly sent answer on another engine."""

import math
from typing import Any

import msgspec

from vanillabeam.answers.events import Piece

__all__ = ["Emitted", "Rewriter", "continued_body", "limit_tokens"]

LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")


class Emitted:
    """Pieces already sent to the caller: text, token count and first chunk.

    :ivar tokens: pieces that added text; each counts as one token.

    >>> emitted = Emitted()
    >>> emitted.add([Piece(1, b'{"id":"a"}', "Hel"), Piece(2, b"", "lo")])
    >>> emitted.text
    'Hello'
    """

    def __init__(self):
        self.tokens = 0
        self._texts: list[str] = []
        self._first = b""

    def add(self, pieces: list[Piece]) -> None:
        """Record pieces sent to the caller; at least one."""
        if not self._first:
            self._first = pieces[0].data
        texts = [piece.text for piece in pieces if piece.text]
        self.tokens += len(texts)
        self._texts.append("".join(texts))

    @property
    def text(self) -> str:
        """Return the text sent so far."""
        return "".join(self._texts)

    @property
    def first_chunk(self) -> dict[str, Any]:
        """Return the first chunk, decoded."""
        return msgspec.json.decode(self._first)


class Rewriter:
    """Rewrites the chunks of a continued run to match the first run's chunks.

    :param emitted: pieces sent to the caller before the continued run.
    """

    def __init__(self, emitted: Emitted):
        first_chunk = emitted.first_chunk
        self._identity = {
            name: first_chunk[name] for name in ("id", "created") if name in first_chunk
        }
        self._tokens = emitted.tokens

    def rewrite(self, piece: Piece) -> Piece:
        """Return ``piece`` with the first run's id and creation time.

        The role is removed, since the first run has sent it. The usage counts
        the tokens sent before as completion tokens, not as prompt tokens.
        """
        chunk = {**msgspec.json.decode(piece.data), **self._identity}
        for choice in chunk.get("choices", []):
            choice.get("delta", {}).pop("role", None)
        usage = chunk.get("usage")
        if usage:
            usage["completion_tokens"] += self._tokens
            usage["prompt_tokens"] -= self._tokens
        return piece._replace(data=msgspec.json.encode(chunk))


def limit_tokens(body: dict[str, Any]) -> float:
    """Return the token limit set in the caller's body, infinity if there is none."""
    limits = [body[name] for name in LIMIT_FIELDS if isinstance(body.get(name), int)]
    return min(limits, default=math.inf)


def continued_body(body: dict[str, Any], emitted: Emitted) -> dict[str, Any]:
    """Return a body that makes an engine continue the answer.

    :param body: the first run's body.
    :param emitted: pieces sent to the caller so far.
    """
    continued = dict(body)
    for name in LIMIT_FIELDS:
        if isinstance(body.get(name), int):
            continued[name] = body[name] - emitted.tokens
    if "messages" not in body:
        return {**continued, "prompt": body["prompt"] + emitted.text}
    message = {"role": "assistant", "content": emitted.text}
    return {
        **continued,
        "messages": [*body["messages"], message],
        "continue_final_message": True,
        "add_generation_prompt": False,
    }
