"""The daemon's listeners: hypercorn under this VM's limits."""

from functools import partial
from typing import TYPE_CHECKING

import trio
from hypercorn.trio import serve

from vanillabeam.limits import LimitsMiddleware
from vanillabeam.tls import ServerTls

if TYPE_CHECKING:
    from vanillabeam.settings import Listener

__all__ = ["ListenerTask"]

HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 5.0


class ListenerTask:
    """One listener, from its first connection to its last answer.

    :param name: ``callers``, ``targets``, ``peers`` or ``store``.
    :param app: ASGI application; put behind the listener's limits.
    :param graceful_s: time that open requests have once it closes.
    :ivar address: ``host:port`` once started.
    """

    def __init__(self, name: str, app, cfg: "Listener", graceful_s: float):
        self.name = name
        self.app = LimitsMiddleware(app, cfg["limits"])
        self.hypercorn = _hypercorn_config(cfg, graceful_s)
        self.address = ""
        self._closing = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`close`; reports the address when it listens."""
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(
                partial(
                    serve,
                    self.app,
                    self.hypercorn,
                    shutdown_trigger=self._closing.wait,
                    mode="asgi",
                )
            )
            self.address = binds[0].split("://", 1)[1]
            task_status.started(self.address)

    def close(self) -> None:
        """Take no new connections; open requests go on."""
        self._closing.set()

    def reload_tls(self):
        """Load the certificate again; see :meth:`ServerTls.reload`."""
        return self.hypercorn.reload()


def _hypercorn_config(cfg: "Listener", graceful_s: float) -> ServerTls:
    hypercorn = ServerTls(cfg["tls"])
    hypercorn.bind = [f"{cfg['host']}:{cfg['port']}"]
    hypercorn.graceful_timeout = graceful_s
    hypercorn.alpn_protocols = ["http/1.1"]
    hypercorn.h11_max_incomplete_size = HEADER_BYTES
    hypercorn.keep_alive_timeout = HEADER_TIMEOUT_S
    hypercorn.include_server_header = False
    hypercorn.accesslog = None
    hypercorn.errorlog = None
    return hypercorn
