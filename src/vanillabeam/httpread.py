"""Calls over HTTP whose answers are read up to a bound."""

from typing import Any

import h11
import httpcore

__all__ = ["AnswerUnbounded", "discard_leftover", "request_bounded"]


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
        discard_leftover(response)
    whole = httpcore.Response(
        response.status, headers=response.headers, content=bytes(body)
    )
    whole.read()
    return whole


def discard_leftover(response: httpcore.Response) -> None:
    """Have the connection closed if more bytes came with the end of an answer.

    They belong to no request; the next one on the connection would be given them.
    httpcore keeps them and shows them nowhere, hence its private attributes.

    :param response: answer that is not closed yet; one that came over no connection
        has no such bytes.
    """
    source = getattr(response.stream, "_stream", None)
    connection = getattr(source, "_connection", None)
    if connection is None:
        return
    state: h11.Connection = connection._h11_state
    leftover, _ = state.trailing_data
    if leftover and state.their_state is h11.DONE:
        state.send_failed()
