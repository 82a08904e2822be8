"""Functional core of an owner: grants permits for the targets of this VM."""

import random
from functools import singledispatch

from returns.result import Failure, Success

from vanillabeam.admission import ReservedShares, Shares
from vanillabeam.admission.shares import Share
from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.routing.records import TargetView
from vanillabeam.targets import takeover
from vanillabeam.targets.eligibility import refusal_of_request, refusal_of_target
from vanillabeam.targets.events import (
    Announced,
    BlocksChanged,
    ConfigChanged,
    Effect,
    Event,
    FetchCacheSummary,
    Handover,
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
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import EntryVm, PermitRequest
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Owner", "handle"]


class Owner:
    """State of an owner.

    :param me: this VM.
    :param rng: seeded source of the breakers' pauses.
    :param first_epoch: lower bound of all epochs of this owner; each start of a
        VM must pass a larger one.

    :ivar owned: targets that this VM owns.
    :ivar relinquished: targets that this VM no longer owns or whose handover it
        awaits.
    :ivar handed_over: time and new owner of the last handover, by target.
    :ivar early_handovers: handovers from VMs that drain, with the time of receipt,
        kept until the target announces itself here.
    :ivar awaiting_handover: VMs whose answer is outstanding, by target.
    :ivar epochs: highest known epoch, by target.
    :ivar queued_requests: queued permit requests by permit id.
    :ivar last_poll_s: time of the last call for a queued request, by permit id.
    :ivar closed_permits: time at which a permit was released, withdrawn or lost
        with its target's boot, by permit id.
    :ivar expired_permits: time at which a permit expired, by permit id.
    :ivar known_target_count: number of targets known in the fleet, among which
        reservations are divided.

    >>> me = EntryVm("e1", "dc1", "10.0.0.1:7003")
    >>> state = Owner(me, TargetsSettings(), random.Random(1))
    >>> handle(MembersChanged((me,)), state, now_s=0.0)
    []
    """

    def __init__(
        self,
        me: EntryVm,
        settings: TargetsSettings,
        rng: random.Random,
        first_epoch: int = 0,
    ):
        self.me = me
        self.settings = settings
        self.rng = rng
        self.config = Config()
        self.ownership = Ownership(me, settings)
        self.owned: dict[str, OwnedTarget] = {}
        self.relinquished: dict[str, OwnedTarget] = {}
        self.handed_over: dict[str, tuple[float, str]] = {}
        self.early_handovers: dict[str, tuple[Handover, float]] = {}
        self.awaiting_handover: dict[str, set[str]] = {}
        self.epochs: dict[str, int] = {}
        self.first_epoch = first_epoch
        self.queued_requests: dict[str, PermitRequest] = {}
        self.last_poll_s: dict[str, float] = {}
        self.closed_permits: dict[str, float] = {}
        self.expired_permits: dict[str, float] = {}
        self.stopping = False
        self.known_target_count = 1

    def share_of(self, workspace: str) -> Share:
        """Return the share of a workspace at one target, as its ticket sets it."""
        record = self.config.workspaces.get(workspace)
        if record is None:
            return Share()
        reserved = record.reservation_tokens_s / max(1, self.known_target_count)
        return Share(record.weight, reserved)

    def make_shares(self) -> Shares:
        """Return the scheduler of fair shares for a new queue."""
        return ReservedShares(self.share_of)

    def owns(self, target: OwnedTarget) -> bool:
        """Return whether this VM owns ``target`` in its present view of the entries."""
        if self.stopping:
            return False
        owner = self.ownership.owner_of(target.name, target.data_centre)
        return owner is not None and owner.vm == self.me.vm

    def share(self, target: OwnedTarget, now_s: float) -> float:
        """Return the fraction of the target's window that is safe to grant."""
        return self.ownership.share(target.data_centre, target.foreign_seen_s, now_s)

    def limit(self, target: OwnedTarget, now_s: float) -> int:
        """Return how many permits of the target may be in use at once."""
        return target.limit(self.share(target, now_s), now_s)

    def views(self, now_s: float) -> list[TargetView]:
        """Return the published views of all owned targets."""
        return [self.view(target, now_s) for target in self.owned.values()]

    def view(self, target: OwnedTarget, now_s: float) -> TargetView:
        """Return the published view of one target."""
        refusal = refusal_of_target(target, self.config, now_s)
        is_open = refusal is None and target.breaker.allows(now_s)
        return target.view(self.me, self.share(target, now_s), is_open, now_s)

    def next_epoch(self, target: str) -> int:
        """Return an epoch above all known epochs of the target."""
        epoch = max(self.epochs.get(target, 0), self.first_epoch) + 1
        self.epochs[target] = epoch
        return epoch


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
