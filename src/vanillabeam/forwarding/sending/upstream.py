"""Send one request to one target and read its answer."""

from collections.abc import AsyncIterator, Callable
from enum import StrEnum
from typing import NamedTuple

import httpcore
import trio

from vanillabeam.addresses import split_address
from vanillabeam.connecting import BROKEN
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.fleet import Target
from vanillabeam.forwarding.dialect import Headers, RequestMetadata
from vanillabeam.forwarding.exceptions import (
    AnswerBroken,
    NotListening,
    NotSent,
    TargetWithdrawn,
)
from vanillabeam.httpread import discard_leftover
from vanillabeam.refusals import is_refusal

__all__ = [
    "Broken",
    "Framing",
    "OpenResponse",
    "close_response",
    "iter_body",
    "open_response",
]

CONTENT_TYPE = b"content-type"
LENGTH = b"content-length"
EVENT_STREAM_TYPE = b"text/event-stream"
#: Parts of a body after which other tasks run. Thousands of tiny chunks may come in one
#: read.
PARTS_PER_TURN = 64
CONNECT_TIMEOUT_S = 0.4
POOL_TIMEOUT_S = 0.5
#: Event of httpcore's trace extension just before the first byte is sent.
SENDING_EVENT = "http11.send_request_headers.started"
#: The same when a connection is opened for the request.
CONNECTING_EVENT = "connection.connect_tcp.started"

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.ConnectionNotAvailable,
)


class Framing(StrEnum):
    """Mark of the end of an answer's body (RFC 9112, 6.3).

    :cvar LENGTH: by ``Content-Length``.
    :cvar CHUNKS: by an empty chunk.
    :cvar CLOSE: by the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class OpenResponse(NamedTuple):
    """An answer whose head has arrived.

    :param raw: response to read the body from; the receiver closes it.
    :param is_first: whether it is the first answer on its connection.
    """

    status: int
    headers: Headers
    raw: httpcore.Response
    is_first: bool = False

    @property
    def framing(self) -> Framing:
        """Mark of the end of the body."""
        names = {name.lower() for name, _ in self.headers}
        if b"transfer-encoding" in names:
            return Framing.CHUNKS
        if LENGTH in names:
            return Framing.LENGTH
        return Framing.CLOSE

    @property
    def length(self) -> bytes | None:
        """Length of the body, if that marks its end."""
        if self.framing is not Framing.LENGTH:
            return None
        lengths = [value for name, value in self.headers if name.lower() == LENGTH]
        return lengths[0]

    @property
    def may_be_event_stream(self) -> bool:
        """Whether the answer declares no other type than that of an event stream."""
        types = [value for name, value in self.headers if name.lower() == CONTENT_TYPE]
        return all(value.lower().startswith(EVENT_STREAM_TYPE) for value in types)


class _Withdrawn(Exception):
    """The request must not be sent any more."""


class Broken(NamedTuple):
    """An attempt that failed: no answer, or one that broke off.

    :param exc: the failure; its ``run`` says whether the request may have run.
    """

    exc: VanillabeamError


async def open_response(
    pool: httpcore.AsyncConnectionPool,
    target: Target,
    metadata: RequestMetadata,
    headers: Headers,
    body: bytes,
    may_send: Callable[[], bool],
) -> OpenResponse | Broken:
    """Send a request and return the head of its answer.

    :param headers: to send to the target, without ``Content-Length``.
    :param body: the whole body of the request.
    :param may_send: asked just before the first byte is sent, as a request may wait
        long for a connection.
    """

    is_first = False

    async def check_sending(event: str, info: dict) -> None:
        nonlocal is_first
        is_first = is_first or event == CONNECTING_EVENT
        if event == SENDING_EVENT and not may_send():
            raise _Withdrawn

    host, port = split_address(target.address)
    if body or metadata.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
    request = httpcore.Request(
        metadata.method,
        httpcore.URL(
            scheme=b"http", host=host.encode(), port=port, target=metadata.target
        ),
        headers=headers,
        content=body,
        extensions={
            "timeout": {"connect": CONNECT_TIMEOUT_S, "pool": POOL_TIMEOUT_S},
            "trace": check_sending,
        },
    )
    try:
        response = await pool.handle_async_request(request)
    except _Withdrawn:
        return Broken(TargetWithdrawn(target.name))
    except _NOT_SENT as exc:
        failure = NotListening if is_refusal(exc) else NotSent
        return Broken(failure(f"{target.name}: {type(exc).__name__}"))
    except BROKEN as exc:
        return Broken(AnswerBroken(f"{target.name}: {type(exc).__name__}"))
    return OpenResponse(response.status, response.headers, response, is_first)


async def iter_body(
    response: OpenResponse, target: Target
) -> AsyncIterator[bytes | Broken]:
    """Yield the parts of a body as they arrive; a break yields ``Broken`` last."""
    parts = 0
    try:
        async for data in response.raw.stream:
            yield data
            parts += 1
            if parts % PARTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
    except BROKEN as exc:
        yield Broken(AnswerBroken(f"{target.name}: {type(exc).__name__}"))


async def close_response(response: OpenResponse) -> None:
    """Give the connection of an answer back, or close it if it can't be used again."""
    with trio.CancelScope(shield=True):
        discard_leftover(response.raw)
        await response.raw.aclose()
