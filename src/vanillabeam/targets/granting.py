"""Permits of one target: the queue before it and who goes next."""

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from vanillabeam.admission import FairQueue, QueuedRequest
from vanillabeam.cache.blocks import BLOCK_TOKENS
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.eligibility import refusal_of_ask
from vanillabeam.targets.events import Answer, Decision, Effect
from vanillabeam.targets.exceptions import BreakerOpen, MovedOn, Shed, TakingOver
from vanillabeam.targets.grants import Grant, OwnedTarget
from vanillabeam.targets.records import Ask

if TYPE_CHECKING:
    from vanillabeam.targets.owner import Owner

__all__ = ["decision", "drop", "enqueue", "granted", "pump", "pump_all", "refuse"]

BASE_COST_TOKENS = 256.0


def enqueue(
    state: "Owner", target: OwnedTarget, ask: Ask, now_s: float
) -> list[Effect]:
    """Take an ask into the target's queue, or refuse it at once."""
    limit = state.limit(target, now_s)
    wait_s = target.wait_s(limit, target.queue.ahead_of(ask.priority))
    if wait_s + target.start_s(ask, now_s) > ask.deadline_s:
        return [refuse(state, ask, Shed("deadline", max(1.0, wait_s)))]
    delay_s = wait_s + target.delay_s(now_s)
    if ask.delay_limit_s is not None and delay_s > ask.delay_limit_s:
        return [refuse(state, ask, MovedOn(target.name))]
    if limit == 0 and not target.in_use:
        quiet_s = max(1.0, target.quiet_until_s - now_s)
        return [refuse(state, ask, TakingOver(target.name, quiet_s))]
    cached = target.blocks.leading(ask.blocks) * BLOCK_TOKENS
    waiting = QueuedRequest(
        key=ask.permit_id,
        workspace=ask.workspace,
        priority=ask.priority,
        cost=BASE_COST_TOKENS + max(0, ask.prompt_tokens - cached),
        deadline_s=now_s + ask.deadline_s,
    )
    state.asks[ask.permit_id] = ask
    state.polled_s[ask.permit_id] = now_s
    shed = target.queue.push(waiting)
    effects: list[Effect] = [
        refuse(state, state.asks.pop(w.key), Shed("queue", max(1.0, wait_s)))
        for w in shed
    ]
    return effects + pump(state, target, now_s)


def pump_all(state: "Owner", now_s: float) -> list[Effect]:
    """Grant what there is room for at every target."""
    effects: list[Effect] = []
    for target in state.owned.values():
        effects.extend(pump(state, target, now_s))
    return effects


def pump(state: "Owner", target: OwnedTarget, now_s: float) -> list[Effect]:
    """Grant what there is room for, after dropping what is of no use."""
    if not len(target.queue):
        return []
    effects = _drop_useless(state, target, now_s)
    share = state.share(target, now_s)
    limit = target.limit(share, now_s)
    while target.in_use < limit and target.breaker.allows(now_s):
        batch = target.in_use < target.batch_limit(limit)
        waiting = target.queue.pop(now_s, batch)
        if waiting is None:
            break
        ask = state.asks.pop(waiting.key)
        state.polled_s.pop(waiting.key, None)
        if now_s + target.start_s(ask, now_s) > waiting.deadline_s:
            effects.append(refuse(state, ask, Shed("deadline", _retry_s(target))))
            continue
        target.grant(ask, share, now_s)
        effects.append(granted(state, target, ask))
    return effects


def _drop_useless(state: "Owner", target: OwnedTarget, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in target.queue.expire(now_s):
        ask = state.asks.pop(waiting.key)
        effects.append(refuse(state, ask, Shed("deadline", _retry_s(target))))
    for ask in _queued(state, target.queue):
        refused = refusal_of_ask(ask, target, state.config, now_s)
        if refused is None and not target.breaker.allows(now_s):
            refused = BreakerOpen(target.name)
        if refused is not None:
            drop(state, target, ask.permit_id)
            effects.append(refuse(state, ask, refused))
        elif now_s - state.polled_s[ask.permit_id] > _poll_limit_s(state):
            drop(state, target, ask.permit_id)
    return effects


def _retry_s(target: OwnedTarget) -> float:
    return max(1.0, target.estimates.run_s.value)


def _queued(state: "Owner", queue: FairQueue) -> list[Ask]:
    return [ask for key, ask in state.asks.items() if key in queue]


def _poll_limit_s(state: "Owner") -> float:
    return state.settings.poll_s + state.settings.poll_grace_s


def drop(state: "Owner", target: OwnedTarget, permit_id: str) -> None:
    """Remove an ask that waits."""
    target.queue.remove(permit_id)
    state.asks.pop(permit_id, None)
    state.polled_s.pop(permit_id, None)


def refuse(state: "Owner", ask: Ask, exc: VanillabeamError) -> Answer:
    """Return the final refusal of an ask."""
    state.polled_s.pop(ask.permit_id, None)
    return Answer(ask.permit_id, ask.target, Failure(exc))


def granted(state: "Owner", target: OwnedTarget, ask: Ask) -> Answer:
    """Return the answer to an ask whose permit is out."""
    decided = decision(target, target.permits[ask.permit_id], ask.version)
    return Answer(ask.permit_id, ask.target, Success(decided))


def decision(target: OwnedTarget, grant: Grant, version: str) -> Decision:
    """Return a permit with what its holder needs to use it."""
    said = target.announcement
    return Decision(
        grant=grant,
        target=target.name,
        boot_id=said["boot_id"],
        address=said["address"],
        data_centre=target.data_centre,
        version=version,
    )
