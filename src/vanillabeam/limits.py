"""Limits of a listener: body size, time to upload it and concurrent requests."""

from typing import TYPE_CHECKING

import trio
from returns.result import Failure, Result, Success
from starlette.types import ASGIApp, Receive, Scope, Send

from vanillabeam.exceptions import (
    BodyTooLarge,
    BodyTooSlow,
    InvariantBroken,
    MalformedBody,
    MemoryShort,
    Overloaded,
    VanillabeamError,
)
from vanillabeam.memory import Holding
from vanillabeam.problems import problem_response

if TYPE_CHECKING:
    from vanillabeam.settings import Limits

__all__ = ["LimitsMiddleware", "collect_body", "read_body"]


class LimitsMiddleware:
    """Enforce a listener's limits in front of an ASGI application.

    Requests that exceed a limit are refused at once and not run.

    :param app: the wrapped application.
    :param limits: the listener's limits.
    :ivar open_requests: number of requests in progress.
    """

    def __init__(self, app: ASGIApp, limits: "Limits"):
        self.app = app
        self.limits = limits
        self.open_requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward one request to the application, or refuse it."""
        if scope["type"] != "http":
            raise InvariantBroken(f"no {scope['type']} here")
        refusal = self._refusal(scope)
        if refusal is not None:
            await problem_response(refusal)(scope, receive, send)
            return
        self.open_requests += 1
        try:
            scope["vanillabeam.limits"] = self.limits
            await self.app(scope, receive, send)
        finally:
            self.open_requests -= 1

    def _refusal(self, scope: Scope) -> VanillabeamError | None:
        if self.open_requests >= self.limits["requests"]:
            return Overloaded("this VM has too many requests open")
        headers = dict(scope["headers"])
        if b"transfer-encoding" in headers and b"content-length" in headers:
            return MalformedBody("both Content-Length and Transfer-Encoding")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit():
            return MalformedBody("Content-Length is not a number")
        if int(length) > self.limits["body_bytes"]:
            return BodyTooLarge(f"the limit is {self.limits['body_bytes']} bytes")
        return None


async def collect_body(
    receive: Receive, body_bytes: int, holding: Holding | None = None
) -> Result[bytes, VanillabeamError]:
    """Read a request's body without a time limit.

    :param body_bytes: largest size that is accepted.
    :param holding: counts the bytes of the body; ``None`` counts them nowhere.
    :returns: the body, :class:`BodyTooLarge`, :class:`MemoryShort`, or
        :class:`MalformedBody` if the caller disconnected before the end of the body.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Failure(MalformedBody("the body ended early"))
        body += message.get("body", b"")
        if len(body) > body_bytes:
            return Failure(BodyTooLarge(f"the limit is {body_bytes} bytes"))
        if holding is not None and not holding.grow_to(len(body)):
            return Failure(MemoryShort(f"after {len(body)} bytes of the body"))
        if not message.get("more_body", False):
            return Success(bytes(body))


async def read_body(scope: Scope, receive: Receive) -> Result[bytes, VanillabeamError]:
    """Read a request's body within the listener's limits.

    :param scope: scope of a request that passed :class:`LimitsMiddleware`.
    :returns: as :func:`collect_body`, or :class:`BodyTooSlow` if the body was
        not complete within ``body_s``.
    """
    limits = scope["vanillabeam.limits"]
    with trio.move_on_after(limits["body_s"]):
        return await collect_body(receive, limits["body_bytes"])
    return Failure(BodyTooSlow(f"the limit is {limits['body_s']:g} s"))
