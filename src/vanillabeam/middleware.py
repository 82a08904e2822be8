"""Who may use the inner listeners' paths."""

import hmac
from pathlib import Path

from starlette.types import ASGIApp, Receive, Scope, Send

from vanillabeam.exceptions import NotReady, Unauthenticated
from vanillabeam.problems import problem_response

__all__ = ["SharedKeyMiddleware", "DeferredApp", "read_key"]


def read_key(path: str | None) -> str | None:
    """Return the secret in the file ``path``; ``None`` without a file."""
    if path is None:
        return None
    return Path(path).read_text().strip()


class SharedKeyMiddleware:
    """Lets requests below one prefix pass only with a shared secret.

    :param app: the application behind it.
    :param prefix: paths that it guards.
    :param key: the secret; ``None`` lets everybody pass, for systems whose
        listeners are guarded by TLS or by a private network.
    """

    def __init__(self, app: ASGIApp, prefix: str, key: str | None):
        self._app = app
        self._prefix = prefix
        self._expected = None if key is None else b"Bearer " + key.encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass the request on, or refuse it."""
        if self._expected is not None and scope["path"].startswith(self._prefix):
            given = dict(scope["headers"]).get(b"authorization", b"")
            if not hmac.compare_digest(given, self._expected):
                refusal = Unauthenticated("this path is for VMs of the system")
                await problem_response(refusal)(scope, receive, send)
                return
        await self._app(scope, receive, send)


class DeferredApp:
    """An application that is set after its listener has begun.

    :ivar app: what serves; until it is set, requests are refused as not run.
    """

    def __init__(self):
        self.app: ASGIApp | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the request, or refuse it as not ready."""
        if self.app is None:
            refusal = NotReady("this VM is starting")
            await problem_response(refusal)(scope, receive, send)
            return
        await self.app(scope, receive, send)
