"""Connections that this process opens, whose broken answers it recognises.

All answers of other processes are read over these connections, whoever asks.
"""

import ssl
from typing import Any

import httpcore
from httpcore import AsyncConnectionInterface

from vanillabeam.answerheads import HeadCheck, HeadFault
from vanillabeam.decisions import ConnectionUnowned, log_record
from vanillabeam.socketstate import is_cut

__all__ = [
    "BROKEN",
    "AnswerCutShort",
    "AnswerMalformed",
    "CheckedPool",
    "open_connection",
    "open_pool",
]

#: Failures of a call without a whole answer, those to connect included.
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class AnswerCutShort(httpcore.ReadError):
    """The connection was reset, or ended before all of the request was taken."""


class AnswerMalformed(httpcore.RemoteProtocolError):
    """The head of an answer is none."""


class CheckedStream(httpcore.AsyncNetworkStream):
    """Connection on which the heads of answers and the end are checked.

    An answer with neither a length nor chunks is whole once its connection ends. A
    reset says otherwise, but the kernel tells it only once: if a write of the request
    was told, after which httpcore reads the answer, that seems to end in order.

    :param stream: stream of httpcore that sends and receives.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._has_failed_write = False
        self._head = HeadCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes; none at an end in order.

        :raises AnswerCutShort: at an end that isn't one.
        :raises AnswerMalformed: if the head of an answer is none.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_cut():
            raise AnswerCutShort("ended before the request was taken")
        try:
            self._head.feed(data)
        except HeadFault as exc:
            raise AnswerMalformed(str(exc)) from exc
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request; an answer follows."""
        self._head.begin()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._has_failed_write = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> "CheckedStream":
        """Return the connection over TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return CheckedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return what the stream tells of itself, as httpcore names it."""
        return self._stream.get_extra_info(info)

    def _is_cut(self) -> bool:
        if self._has_failed_write:
            return True
        sock = self.get_extra_info("socket")
        return sock is not None and is_cut(sock)


class CheckedNetwork(httpcore.TrioBackend):
    """Network of a pool whose connections are checked."""

    async def connect_tcp(self, *args: Any, **options: Any) -> CheckedStream:
        """Open a TCP connection."""
        return CheckedStream(await super().connect_tcp(*args, **options))


class CheckedPool(httpcore.AsyncConnectionPool):
    """Pool of checked connections that drops those that belong to no request.

    httpcore assigns a connection to a request before the request's task runs again. If
    the request is cancelled meanwhile, it leaves the pool, and its connection stays:
    neither idle nor closed, and counted as in use for good. Hence the private methods.
    """

    def _assign_requests_to_connections(self) -> list[AsyncConnectionInterface]:
        """Assign connections to waiting requests; return those to be closed.

        The pool calls it whenever a request comes or goes.
        """
        assigned = {request.connection for request in self._requests}
        unowned = [
            connection
            for connection in self._connections
            if connection not in assigned and not _is_at_rest(connection)
        ]
        for connection in unowned:
            self._connections.remove(connection)
            log_record(ConnectionUnowned(connection.info()))
        return [*unowned, *super()._assign_requests_to_connections()]

    def counts(self) -> dict[str, int]:
        """Return the number of connections by state, and of requests in line."""
        idle = sum(1 for each in self.connections if each.is_idle())
        return {
            "idle": idle,
            "in_use": len(self.connections) - idle,
            "waiting": sum(1 for each in self._requests if each.is_queued()),
        }


def _is_at_rest(connection: AsyncConnectionInterface) -> bool:
    return connection.is_idle() or connection.is_closed()


def open_pool(**options: Any) -> CheckedPool:
    """Return a pool of checked connections.

    :param options: as httpcore takes them.
    """
    return CheckedPool(network_backend=CheckedNetwork(), **options)


def open_connection(origin: httpcore.Origin) -> httpcore.AsyncHTTPConnection:
    """Return one checked connection, which is opened by its request."""
    return httpcore.AsyncHTTPConnection(
        origin, retries=0, network_backend=CheckedNetwork()
    )
