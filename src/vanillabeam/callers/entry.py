"""The entry role: runs callers' requests and records their outcomes."""

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result

from vanillabeam.answers import (
    Answer,
    PromptRequest,
    Runner,
    ServiceAnswer,
    ServiceRequest,
)
from vanillabeam.callers.reuse import CacheReuse
from vanillabeam.claims import ClaimError
from vanillabeam.config import Config, Priority, Workspace
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.operators import Accounting
from vanillabeam.targets import Permit, RouteRequest

if TYPE_CHECKING:
    from vanillabeam.components import Components

__all__ = ["Entry"]

#: Longest time that a request waits for a permit.
WAIT_LIMIT_S = {Priority.INTERACTIVE: 20.0, Priority.BATCH: 120.0}


class Entry:
    """Run callers' requests on this VM.

    Implements :class:`~vanillabeam.callers.app.EntryInterface`.

    :param components: the components of the VM.
    :param lifecycle: tracks the open requests.
    :param accounting: receives a record of each request.
    """

    def __init__(
        self, components: "Components", lifecycle: Lifecycle, accounting: Accounting
    ):
        self._components = components
        self._lifecycle = lifecycle
        self._accounting = accounting
        self.reuse = CacheReuse(components)
        self.runner = Runner(
            self._acquire,
            self.reuse.release,
            components.claims,
            trace=self._record_finished,
            notices=components.targets,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this VM."""
        return self._lifecycle.is_ready

    @property
    def is_serving(self) -> bool:
        """Whether this VM serves requests, which it also does while it drains."""
        return self._components.spread.is_ready

    def config(self) -> Config:
        """Return the configuration in force."""
        return self._components.config()

    async def workspace_of(self, key_digest: str) -> Result[Workspace, Any]:
        """Return the workspace of the caller's key with this digest."""
        return await self._components.spread.workspace_of(key_digest)

    async def open_prompt(
        self, request: PromptRequest
    ) -> Result[Answer, VanillabeamError]:
        """Run a prompt and return its answer when the first bytes have arrived."""
        return await self.runner.prompts.open(request)

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, VanillabeamError]:
        """Call a plain service and return its answer."""
        result = await self.runner.services.call(request)
        if isinstance(result, Failure) and isinstance(result.failure(), ClaimError):
            self.request_refused(request.route.request_id, result.failure())
        return result

    def request_started(self, request_id: str) -> None:
        """Track a request as open."""
        self._lifecycle.request_started(request_id)

    def request_ended(self, request_id: str) -> None:
        """Stop tracking a request."""
        self._lifecycle.request_ended(request_id)

    def request_refused(
        self, request_id: str, exc: VanillabeamError, **fields: Any
    ) -> None:
        """Record a request that was refused before a permit was requested."""
        self._accounting.record_refused(request_id, exc, **fields)

    async def _acquire(self, route: RouteRequest) -> Result[Permit, VanillabeamError]:
        wait_s = min(route.deadline_s, WAIT_LIMIT_S[route.priority])
        return await self.reuse.acquire(route._replace(deadline_s=wait_s))

    def _record_finished(self, request_id: str, record: dict[str, Any]) -> None:
        cached, recomputed = self.reuse.pop_token_counts(request_id)
        counts = {"cached_tokens": cached, "recomputed_tokens": recomputed}
        self._accounting.record_finished(request_id, record | counts)
