"""Wire formats of prompts: run headers, usage, problems and error events."""

from typing import NamedTuple

import msgspec

from vanillabeam.answers.events import Piece
from vanillabeam.answers.promptevents import Send
from vanillabeam.answers.records import PromptRequest
from vanillabeam.config import Priority
from vanillabeam.exceptions import VanillabeamError

__all__ = ["Usage", "error_event", "problem_type", "read_usage", "run_headers"]

#: Maximum number of block ids sent in the header ``Vanillabeam-Blocks``.
BLOCKS_LIMIT = 128


class Usage(NamedTuple):
    """Token counts of a run as reported by the engine."""

    prompt_tokens: int = 0
    cached_tokens: int = 0


class _Problem(msgspec.Struct):
    type: str = ""


class _Details(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _LastChunk(msgspec.Struct):
    usage: _Usage | None = None


def run_headers(request: PromptRequest, effect: Send) -> tuple[tuple[str, str], ...]:
    """Return the headers of the request that starts a run; empty ones are left out."""
    route = request.route
    headers = {
        "Content-Type": "application/json",
        "Vanillabeam-Run-Id": effect.run_id,
        "Vanillabeam-Model-Version": effect.permit.version,
        "Vanillabeam-Boot-Id": effect.permit.boot_id,
        "Vanillabeam-Cache-Salt": request.cache_salt,
        "Vanillabeam-Priority": "1" if route.priority is Priority.BATCH else "0",
        "Vanillabeam-Blocks": ",".join(route.blocks[:BLOCKS_LIMIT]),
        "Idempotency-Key": request.idempotency_key,
    }
    return tuple((name, value) for name, value in headers.items() if value)


def problem_type(body: bytes) -> str:
    """Return the type of a target's problem document; empty if ``body`` isn't one."""
    try:
        return msgspec.json.decode(body, type=_Problem).type
    except msgspec.MsgspecError:
        return ""


def read_usage(piece: Piece) -> Usage | None:
    """Return the usage in a run's last piece; ``None`` if it has none."""
    try:
        usage = msgspec.json.decode(piece.data, type=_LastChunk).usage
    except msgspec.MsgspecError:
        return None
    if usage is None:
        return None
    details = usage.prompt_tokens_details or _Details()
    return Usage(usage.prompt_tokens, details.cached_tokens or 0)


def error_event(failure: VanillabeamError) -> bytes:
    """Return the event that ends an incomplete stream."""
    error = {
        "message": f"{failure.detail or failure.type} {failure.advice}".strip(),
        "type": "server_error",
        "code": failure.type,
        "param": None,
        "run": str(failure.run),
    }
    return b"data: " + msgspec.json.encode({"error": error}) + b"\n\n"
