"""Going on with an answer on another engine, unnoticed by the caller."""

import math
from typing import Any

import msgspec

from vanillabeam.answers.events import Piece

__all__ = ["Emitted", "Rewriter", "continued_body", "limit_tokens"]

LIMITS = ("max_tokens", "max_completion_tokens")


class Emitted:
    """What the caller has of an answer: text, how many tokens, which id.

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
        """Take in pieces that go to the caller."""
        if not self._first:
            self._first = pieces[0].data
        texts = [piece.text for piece in pieces if piece.text]
        self.tokens += len(texts)
        self._texts.append("".join(texts))

    @property
    def text(self) -> str:
        """Return the text so far."""
        return "".join(self._texts)

    @property
    def first_chunk(self) -> dict[str, Any]:
        """Return the first chunk."""
        return msgspec.json.decode(self._first)


class Rewriter:
    """Makes the pieces of a run that goes on look like those before it."""

    def __init__(self, emitted: Emitted):
        first_chunk = emitted.first_chunk
        self._same = {
            name: first_chunk[name] for name in ("id", "created") if name in first_chunk
        }
        self._tokens = emitted.tokens

    def rewrite(self, piece: Piece) -> Piece:
        """Return ``piece`` with the answer's id, role once, and whole usage."""
        chunk = {**msgspec.json.decode(piece.data), **self._same}
        for choice in chunk.get("choices", []):
            choice.get("delta", {}).pop("role", None)
        usage = chunk.get("usage")
        if usage:
            usage["completion_tokens"] += self._tokens
            usage["prompt_tokens"] -= self._tokens
        return piece._replace(data=msgspec.json.encode(chunk))


def limit_tokens(body: dict[str, Any]) -> float:
    """Return how many tokens the caller asked for at most."""
    limits = [body[name] for name in LIMITS if isinstance(body.get(name), int)]
    return min(limits, default=math.inf)


def continued_body(body: dict[str, Any], emitted: Emitted) -> dict[str, Any]:
    """Return the body that asks an engine to go on.

    :param body: the body of the first run.
    """
    changed = dict(body)
    for name in LIMITS:
        if isinstance(body.get(name), int):
            changed[name] = body[name] - emitted.tokens
    if "messages" not in body:
        return {**changed, "prompt": body["prompt"] + emitted.text}
    said = {"role": "assistant", "content": emitted.text}
    return {
        **changed,
        "messages": [*body["messages"], said],
        "continue_final_message": True,
        "add_generation_prompt": False,
    }
