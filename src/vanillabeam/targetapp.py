"""The ASGI application of the targets' listener."""

from typing import Any, Protocol

from returns.result import Failure, Result, Success
from starlette.applications import Starlette

from vanillabeam import wire
from vanillabeam.addresses import is_address
from vanillabeam.exceptions import MalformedBody, VanillabeamError
from vanillabeam.peercall import PeerHandler
from vanillabeam.peerhttp import peer_routes
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = ["TargetMessageHandler", "target_app"]


class TargetMessageHandler(Protocol):
    """Handler of the messages that targets send."""

    async def announce(self, message: Announcement) -> Result[Any, VanillabeamError]:
        """Handle an announcement and return the target's owner."""

    async def load(self, message: LoadReport) -> Result[Any, VanillabeamError]:
        """Handle a load report."""

    async def events(self, message: CacheEvents) -> Result[Any, VanillabeamError]:
        """Handle cache events."""


def target_app(receiver: TargetMessageHandler, on_broken=None) -> Starlette:
    """Return the application that decodes targets' messages and dispatches them.

    :param on_broken: see :func:`~vanillabeam.peerhttp.peer_routes`.
    """
    routes = {
        "/target/announce": _handler(Announcement, receiver.announce),
        "/target/load": _handler(LoadReport, receiver.load),
        "/target/events": _handler(CacheEvents, receiver.events),
    }
    return Starlette(routes=peer_routes(routes, on_broken))


def _handler(message_type: type, process) -> PeerHandler:
    async def handle(body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(message_type, body).bind(_validate)
        if isinstance(message, Failure):
            return message
        answer = await process(message.unwrap())
        if isinstance(answer, Failure):
            return answer
        return Success(wire.encode(answer.unwrap() or {}))

    return handle


def _validate(message: Any) -> Result[Any, MalformedBody]:
    if not message["target"] or not message["boot_id"]:
        return Failure(MalformedBody("target and boot_id must not be empty"))
    if not is_address(message.get("address", "a:1")):
        return Failure(MalformedBody("address: host:port"))
    if not 0 <= message.get("cold_capacity", 0) <= message.get("capacity", 2**31):
        return Failure(MalformedBody("cold_capacity: from 0 to capacity"))
    return Success(message)
