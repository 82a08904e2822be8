"""TLS contexts from the settings, and their reload."""

import ssl
from typing import TYPE_CHECKING

from hypercorn.config import Config as HypercornConfig
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import SettingsInvalid

if TYPE_CHECKING:
    from vanillabeam.settings import Tls

__all__ = ["ServerTls", "client_context"]


def client_context(tls: "Tls | None") -> Result[ssl.SSLContext | None, SettingsInvalid]:
    """Return the context with which this VM calls others.

    The far end must have a certificate of the same CA, and is shown ours.

    :param tls: the peers' listener's files; ``None`` is plain HTTP.
    """
    if tls is None:
        return Success(None)
    try:
        ctx = ssl.create_default_context(cafile=tls["ca"])
        ctx.load_cert_chain(tls["certificate"], tls["key"])
    except (OSError, ssl.SSLError) as exc:
        return Failure(SettingsInvalid(f"tls: {exc}"))
    return Success(ctx)


class ServerTls(HypercornConfig):
    """Hypercorn's settings with a context that can be reloaded.

    Loading a new chain into the same context leaves open connections as they
    are and serves the new one to the next handshake.

    :param tls: files of the listener, or ``None`` for plain HTTP.
    """

    def __init__(self, tls: "Tls | None"):
        super().__init__()
        self.tls = tls
        self.context: ssl.SSLContext | None = None
        if tls is not None:
            self.certfile = tls["certificate"]
            self.keyfile = tls["key"]
            if tls["ca"] is not None:
                self.ca_certs = tls["ca"]
                self.verify_mode = ssl.CERT_REQUIRED

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context that the listener uses, made once."""
        if self.context is None:
            self.context = super().create_ssl_context()
        return self.context

    def reload(self) -> Result[None, SettingsInvalid]:
        """Load the chain and key again from their files."""
        if self.context is None:
            return Success(None)
        try:
            self.context.load_cert_chain(self.tls["certificate"], self.tls["key"])
        except (OSError, ssl.SSLError) as exc:
            return Failure(SettingsInvalid(f"tls: {exc}"))
        return Success(None)
