"""HTTP client and HTTP routes for calls between VMs."""

import ssl
from collections.abc import Mapping

import httpcore
import trio
from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from vanillabeam.addresses import is_address
from vanillabeam.connecting import BROKEN, open_pool
from vanillabeam.exceptions import (
    InvariantBroken,
    PeerSilent,
    PeerUnreachable,
    VanillabeamError,
)
from vanillabeam.httpread import request_bounded
from vanillabeam.limits import read_body
from vanillabeam.peercall import PeerHandler, PeerRoutes
from vanillabeam.problems import from_problem, problem_response

__all__ = ["PeerClient", "peer_routes"]

CONNECT_TIMEOUT_S = 1.0
IO_TIMEOUT_S = 5.0
#: Time after which an idle connection is closed.
IDLE_EXPIRY_S = 4.0
#: Connections to one VM.
MAX_CONNECTIONS = 64
#: Longest answer of another VM, which may be a block of KV cache.
MAX_ANSWER_BYTES = 2**31
JSON_TYPE = b"application/json"


class PeerClient:
    """HTTP client for other VMs; a :data:`~vanillabeam.peercall.PeerCall`.

    Idle connections are closed after a few seconds: if a middlebox has dropped
    the state of a connection, the next request on it would run into a timeout.

    :param key: secret that all VMs share, or ``None``.
    :param tls: context that verifies the remote VM, or ``None`` for plain HTTP.
    :param io_timeout_s: timeout of one read or write, and of the wait for a
        free connection; a whole request may take twice as long.
    :param connect_timeout_s: timeout for opening a connection. A VM that is
        starting may lose the first packet, and TCP sends the next one only a
        second later.
    :param answer_bytes: longest body of an answer; a longer one counts as silence.

    >>> client = PeerClient(key=None, tls=None)
    >>> answer = await client("10.0.0.2:7003", "/peer/ping", b"{}")
    """

    def __init__(
        self,
        key: str | None,
        tls: ssl.SSLContext | None,
        io_timeout_s: float = IO_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.scheme = "http" if tls is None else "https"
        self.io_timeout_s = io_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.answer_bytes = answer_bytes
        self.headers = [(b"Content-Type", JSON_TYPE)]
        if key is not None:
            self.headers.append((b"Authorization", b"Bearer " + key.encode()))
        self._tls = tls
        #: Pool of each VM's address. A pool looks at all of its connections for each
        #: request, so one pool for all VMs costs more the more VMs are called.
        self.pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._used_s: dict[str, float] = {}

    async def __call__(
        self, address: str, path: str, body: bytes
    ) -> Result[bytes, VanillabeamError]:
        """Send ``body`` with POST and return the answer's body or a typed failure."""
        return await self.request("POST", address, path, body)

    async def request(
        self, method: str, address: str, path: str, body: bytes
    ) -> Result[bytes, VanillabeamError]:
        """Send one request and return the answer's body or a typed failure.

        :param address: ``host:port``.
        :returns: the body, :class:`PeerUnreachable` if nothing was sent,
            :class:`PeerSilent` if the request may have arrived, or the failure
            with which the remote VM answered.
        """
        if not is_address(address):
            return Failure(PeerUnreachable("no address"))
        url = f"{self.scheme}://{address}{path}"
        timeout = {
            "connect": self.connect_timeout_s,
            "pool": self.io_timeout_s,
            "read": self.io_timeout_s,
            "write": self.io_timeout_s,
        }
        try:
            with trio.fail_after(2 * self.io_timeout_s):
                res = await request_bounded(
                    await self._pool(address),
                    method,
                    url,
                    self.answer_bytes,
                    headers=self.headers,
                    content=body,
                    extensions={"timeout": timeout},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            return Failure(PeerUnreachable(address))
        except (*BROKEN, trio.TooSlowError) as exc:
            return Failure(PeerSilent(f"{address}: {type(exc).__name__}"))
        if res.status >= 300:
            return Failure(from_problem(res.status, res.content))
        return Success(res.content)

    async def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of an address; close those that have not been used lately."""
        self._used_s[address] = now_s = trio.current_time()
        if address not in self.pools:
            self.pools[address] = open_pool(
                ssl_context=self._tls,
                max_connections=MAX_CONNECTIONS,
                keepalive_expiry=IDLE_EXPIRY_S,
            )
            await self._close_unused(now_s - IDLE_EXPIRY_S)
        return self.pools[address]

    async def _close_unused(self, since_s: float) -> None:
        unused = [
            address
            for address, pool in self.pools.items()
            if self._used_s[address] < since_s
            and all(connection.is_idle() for connection in pool.connections)
        ]
        for pool in [self.pools.pop(address) for address in unused]:
            await pool.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        while self.pools:
            _, pool = self.pools.popitem()
            await pool.aclose()


def peer_routes(routes: PeerRoutes, on_broken=None) -> list[Route]:
    """Return Starlette routes for handlers of other VMs' requests.

    :param routes: handlers by path.
    :param on_broken: called with each :class:`InvariantBroken` that a handler
        raises; the request is answered with it and the process continues.
    """
    return [
        Route(path, _endpoint(handler, on_broken), methods=["POST"])
        for path, handler in routes.items()
    ]


def _endpoint(handler: PeerHandler, on_broken):
    async def endpoint(request: Request) -> Response:
        body = await read_body(request.scope, request.receive)
        if isinstance(body, Failure):
            return problem_response(body.failure())
        try:
            answer = await handler(body.unwrap())
        except InvariantBroken as exc:
            if on_broken is not None:
                on_broken(exc)
            answer = Failure(exc)
        if isinstance(answer, Failure):
            return problem_response(answer.failure())
        return Response(answer.unwrap(), media_type="application/json")

    return endpoint


def bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the key in an ``Authorization: Bearer`` header, or ``None``."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return None
    return key.strip()
