"""Endpoint at which the provider asks whether to open new channels to this VM."""

from starlette.responses import Response

from vanillabeam.lifecycle import Lifecycle

__all__ = ["ReadinessApp"]

READY, NOT_READY, NOT_FOUND = 200, 503, 404


class ReadinessApp:
    """ASGI application that reports the VM's readiness at ``/api/ready``."""

    def __init__(self, lifecycle: Lifecycle):
        self._lifecycle = lifecycle

    async def __call__(self, scope, receive, send) -> None:
        """Answer one HTTP request."""
        status = READY if self._lifecycle.is_ready else NOT_READY
        if scope["path"] != "/api/ready":
            status = NOT_FOUND
        await Response(status_code=status)(scope, receive, send)
