"""Costs of a call between VMs, with the daemon's own HTTP client and server."""

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


class _CountingRelay:
    """TCP relay that counts the bytes between a client and a listener."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._upstream = (host, int(port))
        self.bytes = 0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, client_stream: trio.SocketStream) -> None:
        server_stream = await trio.open_tcp_stream(*self._upstream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client_stream, server_stream)
            nursery.start_soon(self._copy, server_stream, client_stream)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            self.bytes += len(data)
            await sink.send_all(data)


async def _run_calls(calls: int, is_relayed: bool, body: bytes) -> int:
    app = Starlette(routes=peer_routes({PATH: _echo}))
    listener = ListenerTask("peers", app, _listener(), graceful_s=0.0)
    client = PeerClient(key=KEY, tls=None)
    relayed_bytes = 0
    async with trio.open_nursery() as nursery:
        address = await nursery.start(listener.run)
        relay = _CountingRelay(address)
        if is_relayed:
            address = await nursery.start(relay.run)
        await _repeat_calls(client, address, calls, body)
        relayed_bytes = relay.bytes
        await client.aclose()
        nursery.cancel_scope.cancel()
    return relayed_bytes


async def _repeat_calls(
    call: Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]],
    address: str,
    calls: int,
    body: bytes,
) -> None:
    for _ in range(calls):
        answer = await call(address, PATH, body)
        assert answer.unwrap() == body


def _measure_calls(size: int, seed: int) -> dict[str, float]:
    body = b"x" * BODY_BYTES
    relayed_bytes = trio.run(_run_calls, size, True, body)
    cpu_s = cpu_seconds(partial(trio.run, _run_calls, size, False, body))
    return {"wire_bytes": relayed_bytes - 2 * BODY_BYTES * size, "cpu_s": cpu_s}


MECHANISMS = (Mechanism("peer calls, both ends", "calls", CALLS, _measure_calls),)
