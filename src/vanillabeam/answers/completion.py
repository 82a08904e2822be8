"""The whole OpenAI object for a caller who does not take a stream."""

from typing import Any

import msgspec

from vanillabeam.answers.events import Piece

__all__ = ["assemble"]


def assemble(pieces: list[Piece]) -> bytes:
    """Return the completion object, chat or legacy, that ``pieces`` make.

    :param pieces: every piece of the answer, in order; at least one.
    """
    chunks = [msgspec.json.decode(piece.data) for piece in pieces]
    whole = {k: v for k, v in chunks[0].items() if k not in ("choices", "usage")}
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    chat = any("delta" in choice for choice in choices)
    whole["object"] = "chat.completion" if chat else "text_completion"
    whole["choices"] = [_chat_choice(choices) if chat else _text_choice(choices)]
    usages = [chunk["usage"] for chunk in chunks if chunk.get("usage")]
    if usages:
        whole["usage"] = usages[-1]
    return msgspec.json.encode(whole)


def _chat_choice(choices: list[dict[str, Any]]) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": None}
    calls: dict[int, dict[str, Any]] = {}
    for choice in choices:
        for name, value in choice.get("delta", {}).items():
            if name == "tool_calls":
                _add_calls(calls, value or [])
            elif name != "role" and value is not None:
                message[name] = (message.get(name) or "") + value
    if calls:
        message["tool_calls"] = [calls[index] for index in sorted(calls)]
    return {**_common(choices), "message": message}


def _text_choice(choices: list[dict[str, Any]]) -> dict[str, Any]:
    text = "".join(choice.get("text") or "" for choice in choices)
    return {**_common(choices), "text": text}


def _common(choices: list[dict[str, Any]]) -> dict[str, Any]:
    reasons = [c["finish_reason"] for c in choices if c.get("finish_reason")]
    logprobs = [c["logprobs"] for c in choices if c.get("logprobs")]
    return {
        "index": 0,
        "finish_reason": reasons[-1] if reasons else None,
        "logprobs": _join_lists(logprobs) if logprobs else None,
    }


def _join_lists(parts: list[dict[str, Any]]) -> dict[str, Any]:
    joined: dict[str, Any] = {}
    for part in parts:
        for name, value in part.items():
            joined[name] = (joined.get(name) or []) + (value or [])
    return joined


def _add_calls(calls: dict[int, dict[str, Any]], deltas: list[dict[str, Any]]) -> None:
    for delta in deltas:
        call = calls.setdefault(
            delta["index"], {"function": {"name": "", "arguments": ""}}
        )
        function = delta.get("function") or {}
        for name in ("name", "arguments"):
            call["function"][name] += function.get(name) or ""
        for name in ("id", "type"):
            if delta.get(name):
                call[name] = delta[name]
