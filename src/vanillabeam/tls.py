"""Creation and reloading of TLS contexts from the settings."""

import ssl
from typing import TYPE_CHECKING

from hypercorn.config import Config as HypercornConfig
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import SettingsInvalid

if TYPE_CHECKING:
    from vanillabeam.settings import Tls

__all__ = ["ServerTls", "client_context"]


def client_context(tls: "Tls | None") -> Result[ssl.SSLContext | None, SettingsInvalid]:
    """Return the TLS context for connections to other VMs.

    The remote VM must present a certificate of the same CA; this VM presents
    its own certificate.

    :param tls: files of the peers' listener, or ``None`` for plain HTTP.
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
    """Hypercorn configuration whose TLS context can be reloaded.

    The new certificate chain is loaded into the existing context: open
    connections keep the old chain, and new handshakes use the new one.

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
        """Return the context of the listener, which is created only once."""
        if self.context is None:
            self.context = super().create_ssl_context()
        return self.context

    def reload(self) -> Result[None, SettingsInvalid]:
        """Load the certificate chain and the key again from their files."""
        if self.context is None:
            return Success(None)
        try:
            self.context.load_cert_chain(self.tls["certificate"], self.tls["key"])
        except (OSError, ssl.SSLError) as exc:
            return Failure(SettingsInvalid(f"tls: {exc}"))
        return Success(None)
