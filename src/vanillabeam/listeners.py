"""The daemon's HTTP listeners, served by :mod:`vanillabeam.httpserver`."""

import socket
from functools import partial
from typing import TYPE_CHECKING

import trio

from vanillabeam.httpserver import serve
from vanillabeam.limits import LimitsMiddleware
from vanillabeam.tls import ServerTls

if TYPE_CHECKING:
    from vanillabeam.settings import Listener

__all__ = ["ListenerTask"]

MAX_HEADER_BYTES = 65_536
#: Time for a connection to deliver its next complete request head. This limits
#: idle connections as well as slow headers.
HEADER_TIMEOUT_S = 5.0


class ListenerTask:
    """Run one listener until it is closed and its open requests have ended.

    :param name: ``callers``, ``targets``, ``peers`` or ``store``.
    :param app: ASGI application, which is wrapped in the listener's limits.
    :param cfg: the listener's settings.
    :param graceful_s: time that open requests have to end after the listener
        was closed.
    :param sock: socket to listen on, in place of the settings' address; it belongs
        to the task from then on.
    :ivar address: ``host:port`` that the listener is bound to; empty until it
        has started.
    """

    def __init__(
        self,
        name: str,
        app,
        cfg: "Listener",
        graceful_s: float,
        sock: socket.socket | None = None,
    ):
        self.name = name
        self.app = LimitsMiddleware(app, cfg["limits"])
        self.hypercorn = _hypercorn_config(cfg, graceful_s)
        self.address = ""
        self._sock = sock
        self._closing = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`close` is called.

        The address is reported as the value of ``task_status``.
        """
        if self._sock is not None:
            self.hypercorn.bind = [f"fd://{self._sock.detach()}"]
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(
                partial(
                    serve,
                    self.app,
                    self.hypercorn,
                    shutdown_trigger=self._closing.wait,
                )
            )
            self.address = binds[0].split("://", 1)[1]
            task_status.started(self.address)

    def close(self) -> None:
        """Stop accepting connections; open requests continue."""
        self._closing.set()

    def reload_tls(self):
        """Reload the certificate; see :meth:`ServerTls.reload`."""
        return self.hypercorn.reload()


def _hypercorn_config(cfg: "Listener", graceful_s: float) -> ServerTls:
    hypercorn = ServerTls(cfg["tls"])
    hypercorn.bind = [f"{cfg['host']}:{cfg['port']}"]
    hypercorn.graceful_timeout = graceful_s
    hypercorn.alpn_protocols = ["http/1.1"]
    hypercorn.h11_max_incomplete_size = MAX_HEADER_BYTES
    hypercorn.keep_alive_timeout = HEADER_TIMEOUT_S
    hypercorn.include_server_header = False
    hypercorn.accesslog = None
    hypercorn.errorlog = None
    return hypercorn
