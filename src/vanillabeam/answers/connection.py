"""HTTP connections to targets, one for each request, with idle timeouts.

Each run and each call opens a new connection. A device on the path may have dropped
the state of a pooled idle connection; the sender would notice only when the idle
timeout expires and couldn't tell then whether the target got the request.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

import httpcore
import trio

from vanillabeam.addresses import split_address
from vanillabeam.connecting import BROKEN, open_connection
from vanillabeam.exceptions import Run
from vanillabeam.notices import Notice

__all__ = ["Connection", "ConnectionTimeouts", "Head", "Request"]

#: Number of buffered bytes at which reading from the target pauses.
BUFFER_LIMIT_BYTES = 256 * 1024
#: httpcore trace event raised before the first byte of a request is sent.
SENDING_EVENT = "http11.send_request_headers.started"
#: Header of any answer of a target that leaves.
LEAVING_HEADER = "vanillabeam-leaving"
#: Header in which a target says whether the request ran.
RUN_HEADER = "vanillabeam-run"
UNAVAILABLE = 503
CONNECTION_ERRORS = (
    *BROKEN,
    httpcore.UnsupportedProtocol,
    OSError,
    ValueError,
)


class ConnectionTimeouts(NamedTuple):
    """Timeouts of one connection, in seconds.

    :param connect_timeout_s: longest time to open the connection.
    :param idle_timeout_s: longest time for a single read or write.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 12.0


class Request(NamedTuple):
    """An HTTP request to a target.

    :param address: ``host:port``.
    :param target: request target: path and query.
    """

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes = b""


class Head(NamedTuple):
    """Status and headers of an HTTP response; header names are in lower case."""

    status: int
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str:
        """Return the value of header ``name``, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def refused(self) -> bool:
        """Whether the target says that it did not run the request."""
        return self.get(RUN_HEADER) == Run.NOT_RUN

    @property
    def notice(self) -> Notice:
        """Notice that the target gave of itself."""
        pause = self.get("retry-after") if self.status == UNAVAILABLE else ""
        return Notice(self.get(LEAVING_HEADER).strip() == "1", pause or None)


class Connection:
    """One request and its response on a connection of its own.

    :meth:`run`, in a task of its own, reads the response into a bounded buffer.

    :param on_sending: called before the first byte is sent.
    :param send_by_s: monotonic time from which on the request isn't sent any more.
    :param may_send: asked just before the first byte is sent.
    :param end_by_s: monotonic time at which the connection is closed.
    :ivar sent: whether bytes of the request may have been sent.
    :ivar error: why the connection ended early, empty if it did not.
    :ivar timed_out: whether a read or write timeout ended the connection.

    Usage::

        connection = Connection(request, ConnectionTimeouts())
        nursery.start_soon(connection.run)
        head = await connection.head()
        while data := await connection.read():
            ...
    """

    def __init__(
        self,
        request: Request,
        timeouts: ConnectionTimeouts,
        on_sending: Callable[[], None] = lambda: None,
        send_by_s: float = math.inf,
        end_by_s: float = math.inf,
        may_send: Callable[[], bool] = lambda: True,
    ):
        self.request = request
        self.timeouts = timeouts
        self.sent = False
        self.error = ""
        self.timed_out = False
        self._on_sending = on_sending
        self._send_by_s = send_by_s
        self._may_send = may_send
        self._head: Head | None = None
        self._ended = False
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._wakeup: trio.Event | None = None
        self._scope = trio.CancelScope(deadline=end_by_s)

    async def run(self) -> None:
        """Send the request and read the response to its end."""
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
        """Send the request and read the response, for ``limit_s`` seconds at most."""
        with trio.move_on_after(limit_s):
            await self.run()

    def close(self) -> None:
        """Close the connection without waiting until it is closed."""
        self._scope.cancel()

    async def head(self) -> Head | None:
        """Return the response head; ``None`` if the connection ended first."""
        while self._head is None and not self._ended:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return all buffered bytes, waiting until there are some.

        Return an empty string once the connection has ended.
        """
        while not self._buffer and not self._ended:
            await self._wait()
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered = 0
        self._notify()
        return data

    async def read_all(self, limit_bytes: int) -> bytes | None:
        """Return the whole body; ``None`` if it is larger than the limit.

        A body that ended early is returned too: check :attr:`error`.
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
            open_connection(origin) as connection,
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
            if not self._may_send():
                raise ConnectionRefusedError("the target takes no more requests")
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
        """Wait for :meth:`_notify`.

        The reader waits only while the buffer is empty and the writer only
        while it is full, so one event is enough for both.
        """
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
