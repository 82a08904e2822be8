"""Assembly of streamed chunks into one OpenAI completion object."""

from typing import Any

import msgspec

from vanillabeam.answers.events import Piece

__all__ = ["assemble"]


def assemble(pieces: list[Piece]) -> bytes:
    """Return the chat or legacy completion object built from ``pieces``.

    :param pieces: every piece of the answer, in order; at least one.
    :returns: the object encoded as JSON.
    """
    chunks = [msgspec.json.decode(piece.data) for piece in pieces]
    completion = {k: v for k, v in chunks[0].items() if k not in ("choices", "usage")}
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    chat = any("delta" in choice for choice in choices)
    completion["object"] = "chat.completion" if chat else "text_completion"
    completion["choices"] = [_chat_choice(choices) if chat else _text_choice(choices)]
    usages = [chunk["usage"] for chunk in chunks if chunk.get("usage")]
    if usages:
        completion["usage"] = usages[-1]
    return msgspec.json.encode(completion)


def _chat_choice(choices: list[dict[str, Any]]) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": None}
    tool_calls: dict[int, dict[str, Any]] = {}
    for choice in choices:
        for name, value in choice.get("delta", {}).items():
            if name == "tool_calls":
                _add_tool_calls(tool_calls, value or [])
            elif name != "role" and value is not None:
                message[name] = (message.get(name) or "") + value
    if tool_calls:
        message["tool_calls"] = [tool_calls[index] for index in sorted(tool_calls)]
    return {**_common_fields(choices), "message": message}


def _text_choice(choices: list[dict[str, Any]]) -> dict[str, Any]:
    text = "".join(choice.get("text") or "" for choice in choices)
    return {**_common_fields(choices), "text": text}


def _common_fields(choices: list[dict[str, Any]]) -> dict[str, Any]:
    reasons = [c["finish_reason"] for c in choices if c.get("finish_reason")]
    logprobs = [c["logprobs"] for c in choices if c.get("logprobs")]
    return {
        "index": 0,
        "finish_reason": reasons[-1] if reasons else None,
        "logprobs": _merge_logprobs(logprobs) if logprobs else None,
    }


def _merge_logprobs(logprobs: list[dict[str, Any]]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for entry in logprobs:
        for name, value in entry.items():
            merged[name] = (merged.get(name) or []) + (value or [])
    return merged


def _add_tool_calls(
    tool_calls: dict[int, dict[str, Any]], deltas: list[dict[str, Any]]
) -> None:
    for delta in deltas:
        call = tool_calls.setdefault(
            delta["index"], {"function": {"name": "", "arguments": ""}}
        )
        function = delta.get("function") or {}
        for name in ("name", "arguments"):
            call["function"][name] += function.get(name) or ""
        for name in ("id", "type"):
            if delta.get(name):
                call[name] = delta[name]
