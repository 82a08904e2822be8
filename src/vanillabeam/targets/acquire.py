"""Acquisition of permits: choose a target, request a permit, retry elsewhere."""

import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import trio
from returns.result import Failure, Result, Success

from vanillabeam.admission import RetryBudget
from vanillabeam.config import Config, Priority
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.notices import TargetNotices
from vanillabeam.routing.records import RouteRequest
from vanillabeam.routing.router import Candidate, Router
from vanillabeam.targets import exceptions, messages
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.exceptions import NoTarget, NotPermitted, Shed
from vanillabeam.targets.heldpermits import HeldPermit
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import Permit, PermitRequest
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Acquirer"]

#: Seconds after a data centre is back in service for which requests wait for its
#: targets: their owners may hear of it later than this VM, and views may overtake each
#: other on their way here.
REOPENING_S = 2.0
#: Seconds before targets that refused for a transient reason are tried again.
RETRY_PAUSE_S = 0.1
#: A waiting request moves to a target whose cost is below this fraction of the
#: present target's cost.
MOVE_COST_FACTOR = 0.5
#: Times that one request may move to a better target.
MAX_MOVES = 2
#: Retries that each request adds to the budget, and the most that it holds.
RETRIES_PER_REQUEST = 0.2
RETRY_BUDGET_MAX = 50.0
#: Slack on the delay limit of a permit request.
DELAY_SLACK_S = 0.05
#: Batch requests are refused above this fraction of ``max_waiting``.
BATCH_SHARE = 0.7
#: Refusals after which a target is skipped for a pause and not excluded.
TRANSIENT_REFUSALS = (
    "moved-on",
    "not-owner",
    "owner-unreachable",
    "taking-over",
    "target-gone",
)
REFUSALS_BY_TYPE = {
    cls.type: cls
    for cls in vars(exceptions).values()
    if isinstance(cls, type) and issubclass(cls, NotPermitted)
}


class _Wait(NamedTuple):
    """Wait for a target.

    :param required_s: seconds that the request must have left.
    :param pause_s: seconds until targets are looked for again.
    """

    required_s: float
    pause_s: float


class Acquirer:
    """Acquires permits for the requests of this entry.

    :param withdraw: cancels a permit request at an owner, given by VM name.
    :param first_epoch: number of this incarnation of the VM; makes the ids of its
        permits unique.
    :param notices: what targets have asked of this VM.
    """

    def __init__(
        self,
        vm: str,
        router: Router,
        ownership: Ownership,
        client: OwnerClient,
        settings: TargetsSettings,
        withdraw: Callable[[PermitRequest, str], None],
        first_epoch: int,
        notices: TargetNotices,
    ):
        self.config = Config()
        self._notices = notices
        self.waiting: Counter[Priority] = Counter()
        self._vm = vm
        self._router = router
        self._ownership = ownership
        self._client = client
        self._settings = settings
        self._withdraw = withdraw
        self._incarnation = first_epoch
        self.permit_requests_made = 0
        self._budget = RetryBudget(RETRIES_PER_REQUEST, RETRY_BUDGET_MAX)
        self._reopened_s = float("-inf")

    def update_config(self, config: Config) -> None:
        """Apply the configuration that is in force now."""
        if set(_out_of_service(self.config)) - set(_out_of_service(config)):
            self._reopened_s = trio.current_time()
        self.config = config

    async def acquire(
        self, request: RouteRequest
    ) -> Result[HeldPermit, VanillabeamError]:
        """Return a permit, or the failure that prevented it."""
        if not self._has_capacity(request.priority):
            return Failure(Shed("too many requests wait at this VM"))
        self.waiting[request.priority] += 1
        try:
            return await self._find_permit(request)
        finally:
            self.waiting[request.priority] -= 1

    def _has_capacity(self, priority: Priority) -> bool:
        limit = self._settings.max_waiting
        if priority is Priority.BATCH:
            limit = int(limit * BATCH_SHARE)
        return self.waiting.total() < limit

    async def _find_permit(
        self, request: RouteRequest
    ) -> Result[HeldPermit, VanillabeamError]:
        deadline_s = trio.current_time() + request.deadline_s
        self._budget.earn()
        skipped: set[str] = set()
        refusal: VanillabeamError | None = None
        tries = 0
        moves = 0
        while tries < self._settings.max_tries:
            remaining_s = deadline_s - trio.current_time()
            candidates = self._candidates(request, skipped)
            if not candidates:
                wait = self._wait_for_candidates(request, skipped, refusal)
                if wait is None or remaining_s <= wait.required_s:
                    break
                skipped.clear()
                await trio.sleep(wait.pause_s)
                continue
            candidate = candidates[0]
            if candidate.score.wait_s > remaining_s:
                return Failure(Shed("deadline", candidate.score.wait_s))
            limit_s = _delay_limit_s(candidates) if moves < MAX_MOVES else None
            permit_request = self._make_permit_request(request, candidate, limit_s)
            result = await self._try_and_count(
                request, candidate, permit_request, deadline_s
            )
            if isinstance(result, Success):
                return result
            refusal = result.failure()
            if refusal.type == exceptions.MovedOn.type and moves < MAX_MOVES:
                moves += 1
                continue
            if refusal.type in TRANSIENT_REFUSALS:
                skipped.add(candidate.view.target)
                continue
            tries += 1
            if not self._budget.spend():
                break
            excluded = request.excluded | {candidate.view.target}
            request = request._replace(excluded=excluded)
        return Failure(self._final_failure(request, refusal))

    def _wait_for_candidates(
        self,
        request: RouteRequest,
        skipped: set[str],
        refusal: VanillabeamError | None,
    ) -> _Wait | None:
        """Return how long to wait for a target; ``None`` if there will be none."""
        if skipped:
            required_s = max(RETRY_PAUSE_S, _retry_after_s(refusal))
            return _Wait(required_s, RETRY_PAUSE_S)
        pause_s = self._pause_left_s(request)
        if pause_s is None and self._may_reopen(request):
            return _Wait(RETRY_PAUSE_S, RETRY_PAUSE_S)
        if pause_s is None:
            return None
        return _Wait(pause_s, max(pause_s, RETRY_PAUSE_S))

    def _may_reopen(self, request: RouteRequest) -> bool:
        """Return whether a closed target may take work again in a moment."""
        is_recent = trio.current_time() - self._reopened_s < REOPENING_S
        return is_recent and self._router.knows_targets(request)

    def _candidates(self, request: RouteRequest, skipped: set[str]) -> list[Candidate]:
        return self._choose(request, skipped | self._left_out())

    def _choose(self, request: RouteRequest, skipped: set[str]) -> list[Candidate]:
        request = request._replace(excluded=request.excluded | skipped)
        out_of_service = _out_of_service(self.config)
        return self._router.choose(request, out_of_service, trio.current_time())

    def _left_out(self) -> set[str]:
        """Return the names of the targets that asked this VM to send them nothing."""
        if self._notices.is_empty:
            return set()
        now_s = trio.current_time()
        return {
            view.target
            for view in self._router.views.values()
            if self._notices.left_out((view.target, view.boot_id), now_s)
        }

    def _pause_left_s(self, request: RouteRequest) -> float | None:
        """Return the seconds until a paused target may take the request."""
        now_s = trio.current_time()
        views = [candidate.view for candidate in self._choose(request, set())]
        found = [
            self._notices.left_out((view.target, view.boot_id), now_s) for view in views
        ]
        ends_s = [why.remaining_s for why in found if why is not None]
        pause_s = min(ends_s, default=math.inf)
        return None if math.isinf(pause_s) else pause_s

    async def _try_and_count(
        self,
        request: RouteRequest,
        candidate: Candidate,
        permit_request: PermitRequest,
        deadline_s: float,
    ) -> Result[HeldPermit, VanillabeamError]:
        """Request a permit; count the request if the target's pause has ended.

        It counts from here on, so that requests that wait for the end of the same
        pause don't all choose the target at once.
        """
        incarnation = (candidate.view.target, candidate.view.boot_id)
        is_counted = self._notices.record_sent(incarnation)
        result: Result[HeldPermit, VanillabeamError] | None = None
        try:
            result = await self._try_target(
                request, candidate, permit_request, deadline_s
            )
            if not isinstance(result, Success):
                return result
            return Success(result.unwrap()._replace(is_counted=is_counted))
        finally:
            if is_counted and not isinstance(result, Success):
                self._notices.record_end(incarnation, False)

    async def _try_target(
        self,
        request: RouteRequest,
        candidate: Candidate,
        permit_request: PermitRequest,
        deadline_s: float,
    ) -> Result[HeldPermit, VanillabeamError]:
        view = candidate.view
        entry = self._ownership.owner_of(view.target, view.data_centre)
        if entry is None:
            return Failure(exceptions.NotOwner(view.target))
        settled = False
        try:
            while True:
                remaining_s = deadline_s - trio.current_time()
                if remaining_s <= 0:
                    return Failure(Shed("deadline", _wait_s(candidate)))
                requested_s = trio.current_time()
                reply = await self._client.request_permit(
                    entry, permit_request._replace(deadline_s=remaining_s)
                )
                if isinstance(reply, Failure):
                    return Failure(exceptions.OwnerUnreachable(entry.vm))
                message = reply.unwrap()
                self._update_view(message)
                settled = message["status"] != "waiting"
                if message["grant"] is not None:
                    return Success(
                        self._make_held_permit(request, candidate, message, requested_s)
                    )
                if settled:
                    return Failure(_refusal(message))
                permit_request = permit_request._replace(delay_limit_s=None)
                if self._better_elsewhere(request, view.target):
                    return Failure(exceptions.MovedOn(view.target))
        finally:
            if not settled:
                self._withdraw(permit_request, entry.vm)

    def _make_permit_request(
        self, request: RouteRequest, candidate: Candidate, delay_limit_s: float | None
    ) -> PermitRequest:
        self.permit_requests_made += 1
        return PermitRequest(
            permit_id=f"{self._vm}.{self._incarnation}.{self.permit_requests_made}",
            target=candidate.view.target,
            holder=self._vm,
            workspace=request.workspace,
            model=request.model,
            version=request.version,
            adapter=request.adapter,
            adapter_version=request.adapter_version,
            service=request.service,
            priority=request.priority,
            deadline_s=request.deadline_s,
            prompt_tokens=request.prompt_tokens,
            blocks=request.blocks,
            delay_limit_s=delay_limit_s,
        )

    def _update_view(self, message: messages.PermitReply) -> None:
        if message["view"] is None:
            return
        view = messages.unpack_view(message["view"], trio.current_time())
        self._router.update(view)

    def _better_elsewhere(self, request: RouteRequest, target: str) -> bool:
        candidates = self._candidates(request, set())
        current = [c for c in candidates if c.view.target == target]
        if not current or candidates[0].view.target == target:
            return False
        return candidates[0].score.cost_s < MOVE_COST_FACTOR * current[0].score.cost_s

    def _make_held_permit(
        self,
        request: RouteRequest,
        candidate: Candidate,
        message: messages.PermitReply,
        requested_s: float,
    ) -> HeldPermit:
        grant = messages.unpack_grant(message["grant"], trio.current_time())
        view = message["view"]
        permit = Permit(
            id=grant.permit_id,
            target=candidate.view.target,
            boot_id=view["boot_id"],
            address=view["address"],
            data_centre=view["data_centre"],
            owner=view["owner"],
            version=request.version,
            epoch=grant.epoch,
            expires_s=requested_s + self._settings.permit_s,
            first_token_s=grant.first_token_s,
            cached_tokens=grant.cached_tokens,
        )
        return HeldPermit(permit, grant, request)

    def _final_failure(
        self, request: RouteRequest, refusal: VanillabeamError | None
    ) -> VanillabeamError:
        if isinstance(refusal, Shed):
            return refusal
        wanted = request.service or f"{request.model}@{request.version}"
        pause_s = self._pause_left_s(request)
        if refusal is None and pause_s is not None:
            return NoTarget(f"all targets for {wanted} asked for a pause", pause_s)
        reason = f" ({refusal.type})" if refusal is not None else ""
        return NoTarget(f"no target for {wanted}{reason}", _retry_after_s(refusal))


def _out_of_service(config: Config) -> list[str]:
    """Return the names of the data centres that get no new work."""
    return [each.name for each in config.data_centres.values() if not each.in_service]


def _delay_limit_s(candidates: list[Candidate]) -> float | None:
    """Return the delay above which the second candidate is better than the first."""
    if len(candidates) < 2:
        return None
    first, second = candidates[0].score, candidates[1].score
    return first.delay_s + max(0.0, second.cost_s - first.cost_s) + DELAY_SLACK_S


def _wait_s(candidate: Candidate) -> float:
    return max(1.0, math.ceil(candidate.score.wait_s))


def _retry_after_s(refusal: VanillabeamError | None) -> float:
    if refusal is None or refusal.retry_after_s is None:
        return 2.0
    return max(1.0, refusal.retry_after_s)


def _refusal(message: messages.PermitReply) -> VanillabeamError:
    if message["status"] == Shed.type:
        return Shed("queue", message["retry_after_s"])
    kind = REFUSALS_BY_TYPE.get(message["status"], NotPermitted)
    failure = kind(message["status"])
    failure.retry_after_s = message["retry_after_s"]
    return failure
