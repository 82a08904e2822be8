"""Costs of one call between VMs, through the daemon's own HTTP halves."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from returns.result import Result, Success
from starlette.applications import Starlette

from bench.cost import cpu_seconds
from bench.mechanisms.base import Mechanism
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.listeners import ListenerTask
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.settings import Limits, Listener

__all__ = ["MECHANISMS"]

CALLS = (50, 100, 200, 400)
BODY_BYTES = 200
PATH = "/peer/echo"
KEY = "k" * 32
CHUNK_BYTES = 65_536


async def _echo(body: bytes) -> Result[bytes, VanillabeamError]:
    return Success(body)


def _listener() -> Listener:
    limits = Limits(body_bytes=1 << 20, body_s=5.0, requests=256)
    return Listener(host="127.0.0.1", port=0, tls=None, limits=limits)


class _Tap:
    """Passes bytes on between a caller and a listener and counts them."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._far = (host, int(port))
        self.bytes = 0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._pass_on, listeners)

    async def _pass_on(self, near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream(*self._far)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far)
            nursery.start_soon(self._copy, far, near)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            self.bytes += len(data)
            await sink.send_all(data)


async def _call_many(calls: int, tapped: bool, body: bytes) -> int:
    app = Starlette(routes=peer_routes({PATH: _echo}))
    listener = ListenerTask("peers", app, _listener(), graceful_s=0.0)
    client = PeerClient(key=KEY, tls=None)
    counted = 0
    async with trio.open_nursery() as nursery:
        address = await nursery.start(listener.run)
        tap = _Tap(address)
        if tapped:
            address = await nursery.start(tap.run)
        await _repeat(client, address, calls, body)
        counted = tap.bytes
        await client.aclose()
        nursery.cancel_scope.cancel()
    return counted


async def _repeat(
    call: Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]],
    address: str,
    calls: int,
    body: bytes,
) -> None:
    for _ in range(calls):
        answer = await call(address, PATH, body)
        assert answer.unwrap() == body


def _calls(size: int, seed: int) -> dict[str, float]:
    body = b"x" * BODY_BYTES
    counted = trio.run(_call_many, size, True, body)
    cpu_s = cpu_seconds(partial(trio.run, _call_many, size, False, body))
    return {"wire_bytes": counted - 2 * BODY_BYTES * size, "cpu_s": cpu_s}


MECHANISMS = (Mechanism("peer calls, both ends", "calls", CALLS, _calls),)
