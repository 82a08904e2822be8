"""Queue permit requests for a target and grant them as permits become free."""

from returns.result import Failure, Success

from vanillabeam.admission import FairQueue, QueuedRequest
from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.eligibility import refusal_of_request
from vanillabeam.targets.events import Effect, GrantedPermit, PermitAnswer
from vanillabeam.targets.exceptions import BreakerOpen, MovedOn, Shed, TakingOver
from vanillabeam.targets.grants import Grant, OwnedTarget
from vanillabeam.targets.ownerstate import Owner
from vanillabeam.targets.records import PermitRequest

__all__ = [
    "make_granted_permit",
    "remove_queued",
    "enqueue",
    "granted_answer",
    "grant_queued",
    "grant_all_queued",
    "refusal_answer",
]

#: Cost of a request in the fair queue besides its uncached prompt, in tokens.
BASE_COST_TOKENS = 256.0


def enqueue(
    state: Owner, target: OwnedTarget, request: PermitRequest, now_s: float
) -> list[Effect]:
    """Add a request to the target's queue, or refuse it at once.

    :returns: refusals and grants that follow, of this request or others.
    """
    limit = state.limit(target, now_s)
    wait_s = target.queue_wait_s(limit, target.queue.ahead_of(request.priority))
    if wait_s + target.first_token_delay_s(request, now_s) > request.deadline_s:
        return [refusal_answer(state, request, Shed("deadline", max(1.0, wait_s)))]
    delay_s = wait_s + target.prefill_backlog_s(now_s)
    if request.delay_limit_s is not None and delay_s > request.delay_limit_s:
        return [refusal_answer(state, request, MovedOn(target.name))]
    if limit == 0 and not target.in_use:
        retry_after_s = max(1.0, target.no_grants_until_s - now_s)
        return [refusal_answer(state, request, TakingOver(target.name, retry_after_s))]
    cached = target.blocks.count_leading(request.blocks) * BLOCK_TOKENS
    waiting = QueuedRequest(
        key=request.permit_id,
        workspace=request.workspace,
        priority=request.priority,
        cost=BASE_COST_TOKENS + max(0, request.prompt_tokens - cached),
        deadline_s=now_s + request.deadline_s,
    )
    state.queued_requests[request.permit_id] = request
    state.last_poll_s[request.permit_id] = now_s
    shed = target.queue.push(waiting)
    effects: list[Effect] = [
        refusal_answer(
            state, state.queued_requests.pop(w.key), Shed("queue", max(1.0, wait_s))
        )
        for w in shed
    ]
    return effects + grant_queued(state, target, now_s)


def grant_all_queued(state: Owner, now_s: float) -> list[Effect]:
    """Grant queued requests at every target, as far as its limit allows."""
    effects: list[Effect] = []
    for target in state.owned.values():
        effects.extend(grant_queued(state, target, now_s))
    return effects


def grant_queued(state: Owner, target: OwnedTarget, now_s: float) -> list[Effect]:
    """Grant queued requests of ``target``, as far as its limit allows.

    Requests that can no longer be served are removed first.
    """
    if not len(target.queue):
        return []
    effects = _drop_unservable(state, target, now_s)
    share = state.share(target, now_s)
    limit = target.limit(share, now_s)
    while target.in_use < limit and target.breaker.allows(now_s):
        allows_batch = target.in_use < target.batch_limit(limit)
        waiting = target.queue.pop(now_s, allows_batch)
        if waiting is None:
            break
        request = state.queued_requests.pop(waiting.key)
        state.last_poll_s.pop(waiting.key, None)
        if now_s + target.first_token_delay_s(request, now_s) > waiting.deadline_s:
            effects.append(
                refusal_answer(state, request, Shed("deadline", _retry_after_s(target)))
            )
            continue
        target.grant(request, share, now_s)
        effects.append(granted_answer(state, target, request))
    return effects


def _drop_unservable(state: Owner, target: OwnedTarget, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in target.queue.expire(now_s):
        request = state.queued_requests.pop(waiting.key)
        effects.append(
            refusal_answer(state, request, Shed("deadline", _retry_after_s(target)))
        )
    for request in _queued_requests(state, target.queue):
        refusal = refusal_of_request(request, target, state.config, now_s)
        if refusal is None and not target.breaker.allows(now_s):
            refusal = BreakerOpen(target.name)
        if refusal is not None:
            remove_queued(state, target, request.permit_id)
            effects.append(refusal_answer(state, request, refusal))
        elif now_s - state.last_poll_s[request.permit_id] > _poll_limit_s(state):
            remove_queued(state, target, request.permit_id)
    return effects


def _retry_after_s(target: OwnedTarget) -> float:
    return max(1.0, target.estimates.run_s.value)


def _queued_requests(state: Owner, queue: FairQueue) -> list[PermitRequest]:
    return [request for key, request in state.queued_requests.items() if key in queue]


def _poll_limit_s(state: Owner) -> float:
    return state.settings.poll_s + state.settings.poll_grace_s


def remove_queued(state: Owner, target: OwnedTarget, permit_id: str) -> None:
    """Remove a request from the target's queue, if it waits there."""
    target.queue.remove(permit_id)
    state.queued_requests.pop(permit_id, None)
    state.last_poll_s.pop(permit_id, None)


def refusal_answer(
    state: Owner, request: PermitRequest, exc: VanillabeamError
) -> PermitAnswer:
    """Return the final refusal of a request."""
    state.last_poll_s.pop(request.permit_id, None)
    return PermitAnswer(request.permit_id, request.target, Failure(exc))


def granted_answer(
    state: Owner, target: OwnedTarget, request: PermitRequest
) -> PermitAnswer:
    """Return the answer to a request whose permit was granted."""
    permit = make_granted_permit(
        target, target.permits[request.permit_id], request.version
    )
    return PermitAnswer(request.permit_id, request.target, Success(permit))


def make_granted_permit(
    target: OwnedTarget, grant: Grant, version: str
) -> GrantedPermit:
    """Return a permit with the address and version that its holder needs."""
    announcement = target.announcement
    return GrantedPermit(
        grant=grant,
        target=target.name,
        boot_id=announcement["boot_id"],
        address=announcement["address"],
        data_centre=target.data_centre,
        version=version,
    )
