"""Calls over HTTP whose answers are read up to a bound."""

from typing import Any

import httpcore

__all__ = ["AnswerUnbounded", "request_bounded"]


class AnswerUnbounded(httpcore.ProtocolError):
    """The body of an answer is longer than its reader allows."""


async def request_bounded(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: httpcore.URL | str,
    limit_bytes: int,
    **request: Any,
) -> httpcore.Response:
    """Send a request and return its whole answer.

    :param limit_bytes: longest body that is read.
    :param request: headers, content and extensions, as httpcore takes them.
    :raises AnswerUnbounded: if the body is longer; its connection is closed.
    """
    body = bytearray()
    async with pool.stream(method, url, **request) as response:
        async for part in response.aiter_stream():
            body += part
            if len(body) > limit_bytes:
                raise AnswerUnbounded(f"over {limit_bytes} bytes")
    whole = httpcore.Response(
        response.status, headers=response.headers, content=bytes(body)
    )
    whole.read()
    return whole
