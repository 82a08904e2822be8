"""The provider's question whether this machine takes new channels."""

from starlette.responses import Response

from vanillabeam.lifecycle import Lifecycle

__all__ = ["ReadinessApp"]

READY, NOT_READY, NOT_FOUND = 200, 503, 404


class ReadinessApp:
    """ASGI application that answers ``GET /api/ready``."""

    def __init__(self, lifecycle: Lifecycle):
        self._lifecycle = lifecycle

    async def __call__(self, scope, receive, send) -> None:
        """Answer one question."""
        status = READY if self._lifecycle.is_ready else NOT_READY
        if scope["path"] != "/api/ready":
            status = NOT_FOUND
        await Response(status_code=status)(scope, receive, send)
