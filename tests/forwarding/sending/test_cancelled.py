"""Requests that are cancelled at each step, with a connection pool of their target.

Guards against connections that stay in use for good: the head of an answer that arrived
in the turn of the event loop in which its request was cancelled was dropped unclosed,
and a target's pool ran out of connections.
"""

import httpcore
import pytest
import trio

from tests.cancelling import play_cancelled
from tests.forwarding.exchanges import EntryVm
from vanillabeam.fleet import RouteKind
from vanillabeam.forwarding.sending.upstream import open_response

WAIT_S = 0.01
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", b"ok", b"ok"
STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\n",
    b"data: one\n\n",
    b"data: two\n\n",
)
REFUSAL = b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n", b"no"
FAILURE = b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n", b"no"


class Stream(httpcore.AsyncNetworkStream):
    """Connection to a target that sends a part of its answer at each read."""

    def __init__(self, parts):
        self._parts = list(parts)

    async def read(self, max_bytes, timeout=None):
        await trio.sleep(WAIT_S)
        return self._parts.pop(0) if self._parts else b""

    async def write(self, buffer, timeout=None):
        await trio.sleep(WAIT_S)

    async def aclose(self):
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info):
        return None


class Network(httpcore.AsyncNetworkBackend):
    """Network on which each connection gives the same answer."""

    def __init__(self, parts):
        self._parts = parts

    async def connect_tcp(self, *args, **options):
        await trio.sleep(WAIT_S)
        return Stream(self._parts)


class PooledVm(EntryVm):
    """Entry VM that sends over one pool of connections."""

    def __init__(self, monkeypatch, parts):
        super().__init__(monkeypatch, names=("t-0",))
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=2, network_backend=Network(parts)
        )

    async def _open_response(self, pool, target, metadata, headers, body, may_send):
        headers = [(b"Host", target.address.encode()), *headers]
        return await open_response(self.pool, target, metadata, headers, body, may_send)


def in_use(pool):
    """Return the connections that count as in use."""
    return [
        connection
        for connection in pool.connections
        if not connection.is_idle() and not connection.is_closed()
    ]


@pytest.mark.parametrize(
    ("parts", "expected"), [(PLAIN, 200), (STREAM, 200), (REFUSAL, 503), (FAILURE, 500)]
)
@pytest.mark.parametrize("attempts", [1, 3])
def test_a_request_that_is_cancelled_at_any_step_leaves_no_connection_in_use(
    monkeypatch, parts, expected, attempts
):
    kind = RouteKind.STREAM if parts is STREAM else RouteKind.SAFE

    def make():
        vm = PooledVm(monkeypatch, parts)

        async def act():
            result = await vm.request(limit_s=1.0, kind=kind, attempts=attempts)
            assert result.status == expected

        async def check(after):
            await trio.sleep(1.0)
            assert in_use(vm.pool) == [], f"after {after} steps"

        return act, check

    assert play_cancelled(make) > 5
