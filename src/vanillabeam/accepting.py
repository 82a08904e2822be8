"""Listening sockets of an HTTP server, and connections that wait when one closes."""

import os
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import TYPE_CHECKING

import trio
from hypercorn.utils import repr_socket_addr

if TYPE_CHECKING:
    from hypercorn.config import Config

__all__ = ["accept_rest", "hold_socket", "open_listeners"]


def open_listeners(config: "Config") -> tuple[list[trio.abc.Listener], list[str]]:
    """Return the listeners of a configuration, and the URL of each."""
    sockets = config.create_sockets()
    tls = config.create_ssl_context()
    listeners: list[trio.abc.Listener] = []
    urls = []
    for sock in (*sockets.secure_sockets, *sockets.insecure_sockets):
        sock.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        if tls is not None:
            listener = trio.SSLListener(listener, tls, https_compatible=True)
        listeners.append(listener)
        scheme = "http" if tls is None else "https"
        urls.append(f"{scheme}://{repr_socket_addr(sock.family, sock.getsockname())}")
    return listeners, urls


def hold_socket(listener: trio.abc.Listener) -> socket.socket | None:
    """Return a second handle on a listener's socket, which stays open with it.

    :returns: ``None`` if the listener is closed already.
    """
    is_tls = isinstance(listener, trio.SSLListener)
    transport = listener.transport_listener if is_tls else listener
    if transport.socket.fileno() < 0:
        return None
    sock = socket.socket(fileno=os.dup(transport.socket.fileno()))
    sock.setblocking(False)
    return sock


def accept_rest(
    listener: trio.abc.Listener, sock: socket.socket | None
) -> Iterator[trio.abc.Stream]:
    """Yield the connections that wait at a listener's socket, then close it.

    Closing it resets those that were not accepted.

    :param listener: the listener, whose own handle is closed.
    :param sock: the handle that was held, if any.
    """
    if sock is None:
        return
    with sock, suppress(OSError):
        while True:
            accepted, _ = sock.accept()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            if isinstance(listener, trio.SSLListener):
                stream = trio.SSLStream(
                    stream,
                    listener._ssl_context,
                    server_side=True,
                    https_compatible=True,
                )
            yield stream
