"""HTTP/1.1 server of a listener, on hypercorn's protocol code.

hypercorn's own server also speaks HTTP/2 and websocket, and an exception of one
connection ends its listener and with it the process. Here a connection speaks only
HTTP/1.0 and HTTP/1.1, and its failure ends nothing else.
"""

import select
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup, _handle
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import parse_socket_addr

from vanillabeam.accepting import accept_rest, hold_socket, open_listeners
from vanillabeam.decisions import ConnectionFailed, ConnectionStalled, log_record
from vanillabeam.requestscope import CONNECTION, ConnectionState
from vanillabeam.socketstate import has_ended, received_age_s

if TYPE_CHECKING:
    from hypercorn.config import Config

__all__ = ["serve"]

MAJOR_VERSION = b"1."
DISCONNECT = "http.disconnect"
HTTP_VERSION_NOT_SUPPORTED = 505
#: Bytes that a caller must take within the listener's idle timeout.
SEND_BYTES = 65_536
#: Longest time from a planned stop, or from the idle timeout, until a request that has
#: begun to arrive has a whole head; also until the first request of a connection that
#: was accepted so shortly before a stop begins to arrive.
ARRIVAL_S = 0.25
POLL_S = 0.01
#: Connections of one listener. Beyond it, those that have been without a request for
#: the longest time are closed.
MAX_CONNECTIONS = 2_000


async def serve(
    app: Any,
    config: "Config",
    *,
    shutdown_trigger: Callable[[], Awaitable[None]],
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until ``shutdown_trigger`` returns.

    Open requests have ``config.graceful_timeout`` to end. The URLs of the listeners
    are reported as the value of ``task_status``.
    """
    context = WorkerContext(None)
    connections = _Connections()
    listeners, urls = open_listeners(config)

    async def serve_stream(stream: trio.abc.Stream) -> None:
        await connections.run(_Connection(app, config, context, connections, stream))

    async with trio.open_nursery() as outer:
        outer.start_soon(connections.abort_on_cancel)
        async with trio.open_nursery() as handlers:
            async with trio.open_nursery() as accepting:
                accept = partial(trio.serve_listeners, handler_nursery=handlers)
                accepting.start_soon(accept, serve_stream, listeners)
                task_status.started(urls)
                await shutdown_trigger()
                held = [hold_socket(listener) for listener in listeners]
                accepting.cancel_scope.cancel()
            for listener, sock in zip(listeners, held, strict=True):
                for stream in accept_rest(listener, sock):
                    handlers.start_soon(serve_stream, stream)
            await context.terminated.set()
            outer.cancel_scope.deadline = trio.current_time() + config.graceful_timeout
        outer.cancel_scope.cancel()


async def _wait_while(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait until a condition no longer holds, but not longer than ``limit_s``."""
    with trio.move_on_after(limit_s):
        while True:
            if not condition():
                return
            await trio.sleep(POLL_S)


def _is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether an open socket has a connection, bytes or an end to give."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class _Connections:
    """The open connections of a listener."""

    def __init__(self):
        self._open: set[_Connection] = set()
        #: Connections without a request, in the order in which they became so.
        self._idle: dict[_Connection, None] = {}

    async def run(self, connection: "_Connection") -> None:
        """Serve a connection; its failure is logged and ends only itself."""
        if len(self._open) >= MAX_CONNECTIONS and self._idle:
            next(iter(self._idle)).abort()
        self._open.add(connection)
        self.set_idle(connection, True)
        try:
            await connection.run()
        except* Exception as group:
            log_record(ConnectionFailed(connection.address, _describe(group)))
        finally:
            self._open.discard(connection)
            self._idle.pop(connection, None)

    def set_idle(self, connection: "_Connection", is_idle: bool) -> None:
        """Record whether a connection is without a request."""
        self._idle.pop(connection, None)
        if is_idle and connection in self._open:
            self._idle[connection] = None

    async def abort_on_cancel(self) -> None:
        """Close all connections when cancelled: a send isn't ended by cancellation."""
        try:
            await trio.sleep_forever()
        finally:
            for connection in list(self._open):
                connection.abort()


def _describe(exc: BaseException) -> str:
    """Return the first exception in a group, for the log."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return repr(exc)


class _Protocol(H11Protocol):
    """HTTP/1.0 and HTTP/1.1 without a switch to another protocol."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Leave ``Upgrade`` and the preface of HTTP/2 without effect."""

    async def _create_stream(self, request: h11.Request) -> None:
        if not request.http_version.startswith(MAJOR_VERSION):
            await self._send_error_response(HTTP_VERSION_NOT_SUPPORTED)
            await self.send(Closed())
            return
        await super()._create_stream(_without_upgrade(request))


def _without_upgrade(request: h11.Request) -> h11.Request:
    headers = [item for item in request.headers if item[0] != b"upgrade"]
    if len(headers) == len(request.headers):
        return request
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=headers,
        http_version=request.http_version,
    )


class _TaskGroup(TaskGroup):
    """Tasks of a connection.

    The end of a connection is told to its application by the end of its queue. As a
    message it would wait for room in the queue of an application that reads no more.
    """

    async def spawn_app(self, app: Any, config: "Config", scope: Any, send: Any) -> Any:
        """Start an application; return the function that queues its messages."""
        sending, receiving = trio.open_memory_channel(config.max_app_queue_size)

        async def receive() -> Any:
            try:
                return await receiving.receive()
            except trio.EndOfChannel:
                return {"type": DISCONNECT}

        async def put(message: Any) -> None:
            if message["type"] == DISCONNECT:
                sending.close()
                return
            with suppress(trio.ClosedResourceError):
                await sending.send(message)

        self._nursery.start_soon(
            _handle,
            app,
            config,
            scope,
            receive,
            send,
            trio.to_thread.run_sync,
            trio.from_thread.run,
        )
        return put


class _Connection(TCPServer):
    """One connection of a caller.

    :ivar address: ``host:port`` of the caller, for the log.
    """

    def __init__(
        self,
        app: Any,
        config: "Config",
        context: WorkerContext,
        connections: _Connections,
        stream: trio.abc.Stream,
    ):
        super().__init__(self._call, config, context, {}, stream)
        self.address = ""
        self._asgi_app = app
        self._connections = connections
        self._accepted_s = trio.current_time()
        self._is_idle = True
        #: Time from which on bytes that arrive are those of the next request.
        self._ended_s = -inf
        self._reading = trio.CancelScope()
        self._is_tls = isinstance(stream, trio.SSLStream)
        transport = stream.transport_stream if self._is_tls else stream
        self._socket = transport.socket

    def abort(self) -> None:
        """Close the connection at once; a send that waits for the caller ends."""
        self._socket.close()
        self._reading.cancel()

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            if await self._shake_hands():
                await self._serve()
        except OSError:
            # The connection ended before its addresses were read.
            pass
        finally:
            await self._close()

    async def _shake_hands(self) -> bool:
        if not self._is_tls:
            return True
        with trio.move_on_after(self.config.ssl_handshake_timeout):
            try:
                await self.stream.do_handshake()
            except trio.BrokenResourceError:
                return False
            return True
        return False

    async def _serve(self) -> None:
        family = self._socket.family
        client = parse_socket_addr(family, self._socket.getpeername())
        server = parse_socket_addr(family, self._socket.getsockname())
        self.address = f"{client[0]}:{client[1]}"
        async with _TaskGroup() as task_group:
            self._task_group = task_group
            self.protocol = _Protocol(
                self.app,
                self.config,
                self.context,
                task_group,
                {},
                self._is_tls,
                client,
                server,
                self.protocol_send,
            )
            await self.idle_task.restart(task_group, self._idle_timeout)
            with self._reading:
                await self._read_data()
            await self.idle_task.stop()

    async def protocol_send(self, event: Event) -> None:
        """Carry out an event of the protocol."""
        if isinstance(event, RawData):
            await self._send(event.data)
            return
        if isinstance(event, Updated):
            self._is_idle = event.idle
            self._connections.set_idle(self, event.idle)
            if event.idle:
                self._ended_s = trio.current_time()
        await super().protocol_send(event)
        if isinstance(event, Closed):
            # The reader may wait for an application that has ended.
            self._reading.cancel()

    async def _idle_timeout(self) -> None:
        """Close the connection when it was idle for too long, or at a planned stop.

        A request that arrives at that moment is served.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        await _wait_while(self._is_request_arriving, ARRIVAL_S)
        # A request that has begun in this turn can't end this task any more.
        if not self._is_idle:
            return
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    def _is_request_arriving(self) -> bool:
        """Return whether the next request has begun to arrive, or is about to."""
        unread, _ = self.protocol.connection.trailing_data
        if unread or _is_readable(self._socket):
            return True
        age_s = trio.current_time() - self._accepted_s
        return not self.protocol.keep_alive_requests and age_s < ARRIVAL_S

    def _arrived_s(self) -> float:
        """Return when the request that begins now has arrived, as the kernel knows.

        One that was sent behind another arrives with the end of that one.
        """
        arrived_s = trio.current_time() - received_age_s(self._socket)
        return max(arrived_s, self._ended_s)

    def _has_left(self) -> bool:
        """Return whether the caller has ended the connection.

        A caller that has sent further requests may end only its own side and still
        read; its end counts once these requests have been read.
        """
        unread, _ = self.protocol.connection.trailing_data
        return not unread and has_ended(self._socket)

    async def _send(self, data: bytes) -> None:
        """Send bytes; close the connection if the caller takes none of them."""
        async with self.send_lock:
            try:
                for start in range(0, len(data), SEND_BYTES):
                    part = memoryview(data)[start : start + SEND_BYTES]
                    with trio.CancelScope(shield=True) as scope:
                        scope.deadline = (
                            trio.current_time() + self.config.keep_alive_timeout
                        )
                        await self.stream.send_all(part)
                    if scope.cancelled_caught:
                        log_record(ConnectionStalled(self.address))
                        self.abort()
                        await self.protocol.handle(Closed())
                        return
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(Closed())

    async def _call(
        self,
        scope: Any,
        receive: Any,
        send: Any,
        sync_spawn: Any,
        call_soon: Any,
    ) -> None:
        """Call the application as hypercorn does, with the connection in its scope."""
        scope["extensions"][CONNECTION] = ConnectionState(
            self.abort, self._accepted_s, self._arrived_s(), self._has_left
        )
        try:
            await self._asgi_app(scope, receive, send)
        except* Exception as group:
            log_record(ConnectionFailed(self.address, _describe(group)))
            raise
