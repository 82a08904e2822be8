"""The application behind the targets' listener."""

from typing import Any, Protocol

from returns.result import Failure, Result, Success
from starlette.applications import Starlette

from vanillabeam import wire
from vanillabeam.addresses import is_address
from vanillabeam.exceptions import MalformedBody, VanillabeamError
from vanillabeam.peercall import PeerHandler
from vanillabeam.peerhttp import peer_routes
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = ["TargetListener", "target_app"]


class TargetListener(Protocol):
    """What takes targets' messages."""

    async def announce(self, message: Announcement) -> Result[Any, VanillabeamError]:
        """Take an announcement; the answer names the owner."""

    async def load(self, message: LoadReport) -> Result[Any, VanillabeamError]:
        """Take a load report."""

    async def events(self, message: CacheEvents) -> Result[Any, VanillabeamError]:
        """Take cache events."""


def target_app(listener: TargetListener, on_broken=None) -> Starlette:
    """Return the application that hands targets' messages to ``listener``."""
    routes = {
        "/target/announce": _handler(Announcement, listener.announce),
        "/target/load": _handler(LoadReport, listener.load),
        "/target/events": _handler(CacheEvents, listener.events),
    }
    return Starlette(routes=peer_routes(routes, on_broken))


def _handler(kind: type, take) -> PeerHandler:
    async def handle(body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(kind, body).bind(_check)
        if isinstance(message, Failure):
            return message
        answer = await take(message.unwrap())
        if isinstance(answer, Failure):
            return answer
        return Success(wire.encode(answer.unwrap() or {}))

    return handle


def _check(message: Any) -> Result[Any, MalformedBody]:
    if not message["target"] or not message["boot_id"]:
        return Failure(MalformedBody("target and boot_id must not be empty"))
    if not is_address(message.get("address", "a:1")):
        return Failure(MalformedBody("address: host:port"))
    if not 0 <= message.get("cold_capacity", 0) <= message.get("capacity", 2**31):
        return Failure(MalformedBody("cold_capacity: from 0 to capacity"))
    return Success(message)
