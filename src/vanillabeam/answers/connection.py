"""One connection for one request to a target, with silence limits.

Each run and each call goes out on a fresh connection: one that lay idle in a
pool may have been forgotten by something between the two ends, which shows
only after a silence limit, and then nobody knows what was sent.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

import httpcore
import trio

from vanillabeam.addresses import split_address

__all__ = ["Head", "Connection", "ConnectionTimeouts", "Request"]

BUFFER_LIMIT_BYTES = 256 * 1024
SENDING_EVENT = "http11.send_request_headers.started"
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    OSError,
    ValueError,
)


class ConnectionTimeouts(NamedTuple):
    """Limits of one connection, in seconds.

    :param connect_s: to open it.
    :param silence_s: between two reads, and to take one write.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 12.0


class Request(NamedTuple):
    """What is sent.

    :param address: ``host:port``.
    :param target: path and query.
    """

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes = b""


class Head(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str:
        """Return the header ``name``, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


class Connection:
    """A connection that a task of its own reads into a bounded buffer.

    :param on_sending: called when the first byte is about to leave.
    :param send_by_s: monotonic time from which on nothing may be sent.
    :param end_by_s: monotonic time at which it is closed.
    :ivar sent: whether bytes of the request may have left.
    :ivar lost: why the connection ended early, empty while it has not.
    :ivar silent: whether it ended for its silence.

    Usage::

        link = Link(request, LinkTimes())
        nursery.start_soon(link.run)
        head = await link.head()
        while data := await link.read():
            ...
    """

    def __init__(
        self,
        request: Request,
        timeouts: ConnectionTimeouts,
        on_sending: Callable[[], None] = lambda: None,
        send_by_s: float = math.inf,
        end_by_s: float = math.inf,
    ):
        self.request = request
        self.timeouts = timeouts
        self.sent = False
        self.error = ""
        self.timed_out = False
        self._on_sending = on_sending
        self._send_by_s = send_by_s
        self._head: Head | None = None
        self._ended = False
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._wakeup: trio.Event | None = None
        self._scope = trio.CancelScope(deadline=end_by_s)

    async def run(self) -> None:
        """Send the request and read the answer until it ends."""
        try:
            with self._scope:
                await self._exchange()
        except CONNECTION_ERRORS as exc:
            self.error = f"{type(exc).__name__}: {exc}"
            self.timed_out = isinstance(
                exc, httpcore.ReadTimeout | httpcore.WriteTimeout
            )
        finally:
            if self._scope.cancelled_caught:
                self.error = self.error or "closed"
            self._ended = True
            self._notify()

    async def run_within(self, limit_s: float) -> None:
        """Run, for ``limit_s`` at most."""
        with trio.move_on_after(limit_s):
            await self.run()

    def close(self) -> None:
        """Close the connection; at once, without waiting for it."""
        self._scope.cancel()

    async def head(self) -> Head | None:
        """Return the answer's head; ``None`` if the connection ended first."""
        while self._head is None and not self._ended:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return everything that has come; empty at the end or once lost."""
        while not self._buffer and not self._ended:
            await self._wait()
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered = 0
        self._notify()
        return data

    async def read_all(self, limit_bytes: int) -> bytes | None:
        """Return the whole body; ``None`` if it is larger than the limit.

        A lost connection ends the body early: see :attr:`lost`.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                return None
        return b"".join(parts)

    async def _exchange(self) -> None:
        host, port = split_address(self.request.address)
        origin = httpcore.Origin(b"http", host.encode(), port)
        timeout = {
            "connect": self.timeouts.connect_timeout_s,
            "read": self.timeouts.idle_timeout_s,
            "write": self.timeouts.idle_timeout_s,
        }
        async with (
            httpcore.AsyncHTTPConnection(origin, retries=0) as connection,
            connection.stream(
                self.request.method,
                f"http://{self.request.address}{self.request.target}",
                headers=self._headers(),
                content=self.request.content,
                extensions={"timeout": timeout, "trace": self._on_trace_event},
            ) as response,
        ):
            self._head = Head(response.status, _decode_headers(response.headers))
            self._notify()
            async for data in response.stream:
                await self._append(data)

    def _headers(self) -> list[tuple[str, str]]:
        headers = [("Host", self.request.address), *self.request.headers]
        if self.request.content or self.request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(self.request.content))))
        return headers

    async def _on_trace_event(self, name: str, info: dict) -> None:
        if name == SENDING_EVENT:
            if trio.current_time() >= self._send_by_s:
                raise TimeoutError("too late to send")
            self.sent = True
            self._on_sending()

    async def _append(self, data: bytes) -> None:
        while self._buffered >= BUFFER_LIMIT_BYTES:
            await self._wait()
        self._buffer.append(data)
        self._buffered += len(data)
        if len(self._buffer) == 1:
            self._notify()

    async def _wait(self) -> None:
        """Wait for the other side: reader or connection, never both at once."""
        self._wakeup = trio.Event()
        await self._wakeup.wait()

    def _notify(self) -> None:
        if self._wakeup is not None:
            self._wakeup.set()
            self._wakeup = None


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]
