"""Calls and answers of a fake target in JSON over HTTP."""

from typing import Any

import httpcore
import msgspec
from starlette.responses import Response

from bench.fake_settings import Refusal

__all__ = ["as_json", "call", "problem"]

CALL_TIMEOUT_S = 5.0


async def call(
    method: str, url: str, content: bytes | None, headers: dict[str, str] | None = None
) -> httpcore.Response | None:
    """Return the answer to a request, ``None`` if none arrives in time."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                url,
                headers=headers or {},
                content=content,
                extensions={"timeout": timeout},
            )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return None


def as_json(value: Any) -> Response:
    """Return an answer with a value in JSON."""
    return Response(msgspec.json.encode(value), media_type="application/json")


def problem(refusal: Refusal) -> Response:
    """Return the answer to a request that was not executed."""
    body = msgspec.json.encode({"type": refusal.type, "status": refusal.status})
    return Response(
        body,
        refusal.status,
        headers={"vanillabeam-run": "not-run"},
        media_type="application/problem+json",
    )
