"""From a request to a permit: pick, ask the owner, wait, try elsewhere."""

import math
from collections import Counter
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from vanillabeam.admission import RetryBudget
from vanillabeam.config import Config, Priority
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.routing.records import RouteRequest
from vanillabeam.routing.router import Choice, Router
from vanillabeam.targets import exceptions, messages
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.exceptions import NoTarget, NotPermitted, Shed
from vanillabeam.targets.holdings import Held
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import Ask, Permit
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Acquirer"]

PAUSE_S = 0.1
MOVE_FACTOR = 0.5
MOVES = 2
RETRIES_PER_REQUEST = 0.2
RETRIES_SAVED = 50.0
DELAY_SLACK_S = 0.05
BATCH_PART = 0.7
PASSING = (
    "moved-on",
    "not-owner",
    "owner-unreachable",
    "taking-over",
    "target-gone",
)
REFUSALS = {
    cls.type: cls
    for cls in vars(exceptions).values()
    if isinstance(cls, type) and issubclass(cls, NotPermitted)
}


class Acquirer:
    """Gets permits for this entry's requests.

    :param withdraw: tells an owner that an ask is not wanted any more.
    """

    def __init__(
        self,
        vm: str,
        router: Router,
        ownership: Ownership,
        client: OwnerClient,
        settings: TargetsSettings,
        withdraw: Callable[[Ask, str], None],
        first_epoch: int,
    ):
        self.config = Config()
        self.waiting: Counter[Priority] = Counter()
        self._vm = vm
        self._router = router
        self._ownership = ownership
        self._client = client
        self._settings = settings
        self._withdraw = withdraw
        self._life = first_epoch
        self.asks_made = 0
        self._budget = RetryBudget(RETRIES_PER_REQUEST, RETRIES_SAVED)

    async def acquire(self, request: RouteRequest) -> Result[Held, VanillabeamError]:
        """Return a permit, or why there is none."""
        if not self._has_room(request.priority):
            return Failure(Shed("too many requests wait at this VM"))
        self.waiting[request.priority] += 1
        try:
            return await self._search(request)
        finally:
            self.waiting[request.priority] -= 1

    def _has_room(self, priority: Priority) -> bool:
        limit = self._settings.waiting_limit
        if priority is Priority.BATCH:
            limit = int(limit * BATCH_PART)
        return self.waiting.total() < limit

    async def _search(self, request: RouteRequest) -> Result[Held, VanillabeamError]:
        ends_s = trio.current_time() + request.deadline_s
        self._budget.earn()
        passing: set[str] = set()
        refused: VanillabeamError | None = None
        tries = 0
        moves = 0
        while tries < self._settings.tries:
            left_s = ends_s - trio.current_time()
            choices = self._choices(request, passing)
            if not choices and passing:
                if left_s <= max(PAUSE_S, _retry_after_s(refused)):
                    break
                passing.clear()
                await trio.sleep(PAUSE_S)
                continue
            if not choices:
                break
            choice = choices[0]
            if choice.score.wait_s > left_s:
                return Failure(Shed("deadline", choice.score.wait_s))
            limit_s = _delay_limit_s(choices) if moves < MOVES else None
            ask = self._make_ask(request, choice, limit_s)
            result = await self._try(request, choice, ask, ends_s)
            if isinstance(result, Success):
                return result
            refused = result.failure()
            if refused.type == exceptions.MovedOn.type and moves < MOVES:
                moves += 1
                continue
            if refused.type in PASSING:
                passing.add(choice.view.target)
                continue
            tries += 1
            if not self._budget.spend():
                break
            excluded = request.excluded | {choice.view.target}
            request = request._replace(excluded=excluded)
        return Failure(self._final(request, refused))

    def _choices(self, request: RouteRequest, passing: set[str]) -> list[Choice]:
        request = request._replace(excluded=request.excluded | passing)
        out = [d.name for d in self.config.data_centres.values() if not d.in_service]
        return self._router.choose(request, out, trio.current_time())

    async def _try(
        self,
        request: RouteRequest,
        choice: Choice,
        ask: Ask,
        ends_s: float,
    ) -> Result[Held, VanillabeamError]:
        view = choice.view
        entry = self._ownership.owner_of(view.target, view.data_centre)
        if entry is None:
            return Failure(exceptions.NotOwner(view.target))
        settled = False
        try:
            while True:
                left_s = ends_s - trio.current_time()
                if left_s <= 0:
                    return Failure(Shed("deadline", _wait_s(choice)))
                asked_s = trio.current_time()
                reply = await self._client.ask(entry, ask._replace(deadline_s=left_s))
                if isinstance(reply, Failure):
                    return Failure(exceptions.OwnerUnreachable(entry.vm))
                message = reply.unwrap()
                self._learn(message)
                settled = message["status"] != "waiting"
                if message["grant"] is not None:
                    return Success(self._held(request, choice, message, asked_s))
                if settled:
                    return Failure(_failure(message))
                ask = ask._replace(delay_limit_s=None)
                if self._better_elsewhere(request, view.target):
                    return Failure(exceptions.MovedOn(view.target))
        finally:
            if not settled:
                self._withdraw(ask, entry.vm)

    def _make_ask(
        self, request: RouteRequest, choice: Choice, delay_limit_s: float | None
    ) -> Ask:
        self.asks_made += 1
        return Ask(
            permit_id=f"{self._vm}.{self._life}.{self.asks_made}",
            target=choice.view.target,
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

    def _learn(self, message: messages.AskReply) -> None:
        if message["view"] is None:
            return
        view = messages.unpack_view(message["view"], trio.current_time())
        self._router.update(view)

    def _better_elsewhere(self, request: RouteRequest, target: str) -> bool:
        choices = self._choices(request, set())
        here = [c for c in choices if c.view.target == target]
        if not here or choices[0].view.target == target:
            return False
        return choices[0].score.cost_s < MOVE_FACTOR * here[0].score.cost_s

    def _held(
        self,
        request: RouteRequest,
        choice: Choice,
        message: messages.AskReply,
        asked_s: float,
    ) -> Held:
        grant = messages.unpack_grant(message["grant"], trio.current_time())
        view = message["view"]
        permit = Permit(
            id=grant.permit_id,
            target=choice.view.target,
            boot_id=view["boot_id"],
            address=view["address"],
            data_centre=view["data_centre"],
            owner=view["owner"],
            version=request.version,
            epoch=grant.epoch,
            expires_s=asked_s + self._settings.permit_s,
            first_token_s=grant.first_token_s,
            cached_tokens=grant.cached_tokens,
        )
        return Held(permit, grant, request)

    def _final(
        self, request: RouteRequest, refused: VanillabeamError | None
    ) -> VanillabeamError:
        if isinstance(refused, Shed):
            return refused
        wanted = request.service or f"{request.model}@{request.version}"
        reason = f" ({refused.type})" if refused is not None else ""
        return NoTarget(f"no target for {wanted}{reason}", _retry_after_s(refused))


def _delay_limit_s(choices: list[Choice]) -> float | None:
    """Return the delay at which the second choice becomes the better one."""
    if len(choices) < 2:
        return None
    first, second = choices[0].score, choices[1].score
    return first.delay_s + max(0.0, second.cost_s - first.cost_s) + DELAY_SLACK_S


def _wait_s(choice: Choice) -> float:
    return max(1.0, math.ceil(choice.score.wait_s))


def _retry_after_s(refused: VanillabeamError | None) -> float:
    if refused is None or refused.retry_after_s is None:
        return 2.0
    return max(1.0, refused.retry_after_s)


def _failure(message: messages.AskReply) -> VanillabeamError:
    if message["status"] == Shed.type:
        return Shed("queue", message["retry_after_s"])
    kind = REFUSALS.get(message["status"], NotPermitted)
    failure = kind(message["status"])
    failure.retry_after_s = message["retry_after_s"]
    return failure
