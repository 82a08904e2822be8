"""ASGI middleware of the internal listeners."""

import hmac
from pathlib import Path

from starlette.types import ASGIApp, Receive, Scope, Send

from vanillabeam.exceptions import NotReady, Unauthenticated
from vanillabeam.problems import problem_response

__all__ = ["DeferredApp", "SharedKeyMiddleware", "read_key"]


def read_key(path: str | None) -> str | None:
    """Return the secret in the file ``path``, or ``None`` if no path is given."""
    if path is None:
        return None
    return Path(path).read_text().strip()


class SharedKeyMiddleware:
    """Require a shared secret for every path below a prefix.

    The secret is expected as a bearer token.

    :param app: the wrapped application.
    :param prefix: prefix of the protected paths.
    :param key: the secret; ``None`` disables the check, for systems whose
        listeners are protected by TLS or by a private network.
    """

    def __init__(self, app: ASGIApp, prefix: str, key: str | None):
        self._app = app
        self._prefix = prefix
        self._expected = None if key is None else b"Bearer " + key.encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward the request to the application, or refuse it."""
        if self._expected is not None and scope["path"].startswith(self._prefix):
            token = dict(scope["headers"]).get(b"authorization", b"")
            if not hmac.compare_digest(token, self._expected):
                refusal = Unauthenticated("this path is for VMs of the system")
                await problem_response(refusal)(scope, receive, send)
                return
        await self._app(scope, receive, send)


class DeferredApp:
    """An application that is set after its listener has started.

    :ivar app: the application; until it is set, requests are refused with
        :class:`NotReady`.
    """

    def __init__(self):
        self.app: ASGIApp | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the request, or refuse it while no application is set."""
        if self.app is None:
            refusal = NotReady("this VM is starting")
            await problem_response(refusal)(scope, receive, send)
            return
        await self.app(scope, receive, send)
