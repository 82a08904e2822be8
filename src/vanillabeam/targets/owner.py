"""Functional core of an owner: grants permits for the targets of this VM."""

from functools import singledispatch

from returns.result import Failure, Success

from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.targets import takeover
from vanillabeam.targets.eligibility import refusal_of_request
from vanillabeam.targets.events import (
    Announced,
    BlocksChanged,
    ConfigChanged,
    Effect,
    Event,
    FetchCacheSummary,
    HandoverFailed,
    HandoverReceived,
    HandoverRequested,
    LoadReported,
    MembersChanged,
    PermitAnswer,
    PermitRequested,
    Released,
    Renewed,
    Stopping,
    Tick,
    Withdrawn,
)
from vanillabeam.targets.exceptions import (
    NotOwner,
    PermitUnknown,
    TakingOver,
)
from vanillabeam.targets.granting import (
    enqueue,
    grant_all_queued,
    grant_queued,
    granted_answer,
    make_granted_permit,
    refusal_answer,
    remove_queued,
)
from vanillabeam.targets.ownerstate import Owner

__all__ = ["Owner", "handle"]


@singledispatch
def handle(event: Event, state: Owner, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return effects for the shell to perform.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if an invariant of ownership is violated.
    """
    raise InvariantBroken(f"owner does not take {type(event).__name__}")


@handle.register
def _(event: MembersChanged, state: Owner, now_s: float) -> list[Effect]:
    state.ownership.members_changed(event.live, now_s)
    return takeover.relinquish_moved(state, now_s)


@handle.register
def _(event: Announced, state: Owner, now_s: float) -> list[Effect]:
    announcement = event.announcement
    owner = state.ownership.owner_of(
        announcement["target"], announcement["data_centre"]
    )
    if owner is None or owner.vm != state.me.vm or state.stopping:
        return []
    target = state.owned.get(announcement["target"])
    if target is None:
        return takeover.begin_ownership(state, announcement, now_s)
    previous = dict.fromkeys(target.permits, now_s)
    if target.apply_announcement(announcement, now_s):
        state.closed_permits.update(previous)
    return grant_queued(state, target, now_s)


@handle.register
def _(event: LoadReported, state: Owner, now_s: float) -> list[Effect]:
    target = state.owned.get(event.report["target"])
    if target is None:
        return []
    target.apply_load_report(event.report, now_s)
    return grant_queued(state, target, now_s)


@handle.register
def _(event: BlocksChanged, state: Owner, now_s: float) -> list[Effect]:
    target = state.owned.get(event.events["target"])
    if target is None or event.events["boot_id"] != target.announcement["boot_id"]:
        return []
    has_gap = target.blocks.apply(event.events).gap
    if not has_gap or now_s - target.summary_requested_s < state.settings.call_s:
        return []
    target.summary_requested_s = now_s
    return [FetchCacheSummary(target.name, target.announcement["address"])]


@handle.register
def _(event: ConfigChanged, state: Owner, now_s: float) -> list[Effect]:
    if event.config.index < state.config.index:
        return []
    state.config = event.config
    return grant_all_queued(state, now_s)


@handle.register
def _(event: PermitRequested, state: Owner, now_s: float) -> list[Effect]:
    request = event.request
    target = state.owned.get(request.target)
    if target is None:
        return [refusal_answer(state, request, _not_owner(state, request.target))]
    if request.permit_id in target.permits:
        return [granted_answer(state, target, request)]
    if (
        request.permit_id in state.closed_permits
        or request.permit_id in state.expired_permits
    ):
        return [refusal_answer(state, request, PermitUnknown("it was given before"))]
    refusal = refusal_of_request(request, target, state.config, now_s)
    if refusal is not None:
        remove_queued(state, target, request.permit_id)
        return [refusal_answer(state, request, refusal)]
    if request.permit_id in target.queue:
        state.last_poll_s[request.permit_id] = now_s
        return []
    return enqueue(state, target, request, now_s)


@handle.register
def _(event: Withdrawn, state: Owner, now_s: float) -> list[Effect]:
    state.closed_permits[event.permit_id] = now_s
    target = state.owned.get(event.target)
    if target is None:
        return []
    remove_queued(state, target, event.permit_id)
    grant = target.permits.pop(event.permit_id, None)
    if grant is not None:
        target.estimates.remove_grant(event.permit_id)
        target.breaker.record_end(event.permit_id)
    return grant_queued(state, target, now_s)


@handle.register
def _(event: Renewed, state: Owner, now_s: float) -> list[Effect]:
    renewal = event.renewal
    grant = renewal.grant
    target = state.owned.get(renewal.target)
    if target is None:
        return [PermitAnswer(grant.permit_id, renewal.target, Failure(NotOwner()))]
    stale = renewal.boot_id != target.announcement["boot_id"]
    if stale or grant.permit_id in state.closed_permits:
        return [PermitAnswer(grant.permit_id, renewal.target, Failure(PermitUnknown()))]
    if grant.permit_id not in target.permits:
        target.adopt(grant)
    renewed = target.renew(grant.permit_id, now_s)
    permit = make_granted_permit(target, renewed, "")
    return [PermitAnswer(grant.permit_id, renewal.target, Success(permit))]


@handle.register
def _(event: Released, state: Owner, now_s: float) -> list[Effect]:
    state.closed_permits[event.permit_id] = now_s
    target = state.owned.get(event.target) or state.relinquished.get(event.target)
    if target is None:
        return []
    target.release(event.permit_id, event.outcome, now_s)
    if event.target not in state.owned:
        return []
    return grant_queued(state, target, now_s)


@handle.register
def _(event: HandoverRequested, state: Owner, now_s: float) -> list[Effect]:
    return takeover.hand_over(state, event, now_s)


@handle.register
def _(event: HandoverReceived, state: Owner, now_s: float) -> list[Effect]:
    return takeover.receive_handover(state, event, now_s)


@handle.register
def _(event: HandoverFailed, state: Owner, now_s: float) -> list[Effect]:
    takeover.take_over_lost(state, event.target, now_s)
    return []


@handle.register
def _(event: Stopping, state: Owner, now_s: float) -> list[Effect]:
    return takeover.hand_over_all(state, now_s)


@handle.register
def _(event: Tick, state: Owner, now_s: float) -> list[Effect]:
    keep_s = 2 * state.settings.takeover_s
    state.closed_permits = {
        k: t for k, t in state.closed_permits.items() if now_s - t < keep_s
    }
    state.expired_permits = {
        k: t for k, t in state.expired_permits.items() if now_s - t < keep_s
    }
    for target in [*state.owned.values(), *state.relinquished.values()]:
        expired = target.expire(now_s)
        state.expired_permits.update((grant.permit_id, now_s) for grant in expired)
    takeover.take_over_unanswered(state, now_s)
    takeover.remove_stale(state, now_s)
    return grant_all_queued(state, now_s)


def _not_owner(state: Owner, target: str) -> VanillabeamError:
    if target in state.awaiting_handover:
        return TakingOver(target)
    return NotOwner(target)
