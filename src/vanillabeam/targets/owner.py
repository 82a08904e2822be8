"""The owner's core: permits for the targets that this VM owns."""

import random
from functools import singledispatch

from returns.result import Failure, Success

from vanillabeam.admission import FairQueue, ReservedShares, Shares, Waiting
from vanillabeam.admission.shares import Share
from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.routing.records import BLOCK_TOKENS, TargetView
from vanillabeam.targets import takeover
from vanillabeam.targets.eligibility import refusal_of_ask, refusal_of_target
from vanillabeam.targets.events import (
    Announced,
    Answer,
    Asked,
    AskSummary,
    BlocksChanged,
    ConfigChanged,
    Decision,
    Effect,
    Event,
    Handover,
    HandoverAsked,
    HandoverFailed,
    HandoverReceived,
    LoadReported,
    MembersChanged,
    Released,
    Renewed,
    Stopping,
    Tick,
    Withdrawn,
)
from vanillabeam.targets.exceptions import (
    BreakerOpen,
    MovedOn,
    NotOwner,
    PermitUnknown,
    Shed,
    TakingOver,
)
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import Ask, Entry
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Owner", "handle"]

BASE_COST_TOKENS = 256.0


class Owner:
    """State of an owner.

    :param me: this VM.
    :param rng: seeded source of the breakers' pauses.
    :param first_epoch: epochs here are above it; later lives of a VM must
        give a larger one.

    >>> me = Entry("e1", "dc1", "10.0.0.1:7003")
    >>> state = Owner(me, TargetsSettings(), random.Random(1))
    >>> handle(MembersChanged((me,)), state, now_s=0.0)
    []
    """

    def __init__(
        self,
        me: Entry,
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
        self.given_up: dict[str, OwnedTarget] = {}
        self.handed: dict[str, tuple[float, str]] = {}
        self.offers: dict[str, tuple[Handover, float]] = {}
        self.awaiting: dict[str, set[str]] = {}
        self.epochs: dict[str, int] = {}
        self.first_epoch = first_epoch
        self.asks: dict[str, Ask] = {}
        self.polled_s: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.lapsed: dict[str, float] = {}
        self.stopping = False
        self.targets_known = 1

    def share_of(self, workspace: str) -> Share:
        """Return the share that the workspace's ticket gives it at one target."""
        record = self.config.workspaces.get(workspace)
        if record is None:
            return Share()
        reserved = record.reservation_tokens_s / max(1, self.targets_known)
        return Share(record.weight, reserved)

    def make_shares(self) -> Shares:
        """Return the fair shares of a new queue."""
        return ReservedShares(self.share_of)

    def owns(self, target: OwnedTarget) -> bool:
        """Return whether this VM owns ``target`` in its present view."""
        if self.stopping:
            return False
        owner = self.ownership.owner_of(target.name, target.data_centre)
        return owner is not None and owner.vm == self.me.vm

    def share(self, target: OwnedTarget, now_s: float) -> float:
        """Return the part of the target's window that is safe to give out."""
        return self.ownership.share(target.data_centre, target.stranger_s, now_s)

    def limit(self, target: OwnedTarget, now_s: float) -> int:
        """Return how many permits of the target may be out."""
        return target.limit(self.share(target, now_s), now_s)

    def views(self, now_s: float) -> list[TargetView]:
        """Return what other entries may know of the targets owned here."""
        return [self.view(target, now_s) for target in self.owned.values()]

    def view(self, target: OwnedTarget, now_s: float) -> TargetView:
        """Return what other entries may know of one target."""
        refused = refusal_of_target(target, self.config, now_s)
        is_open = refused is None and target.breaker.allows(now_s)
        return target.view(self.me, self.share(target, now_s), is_open, now_s)

    def next_epoch(self, target: str, known: int = 0) -> int:
        """Return an epoch above every one that is known of the target."""
        epoch = max(known, self.epochs.get(target, 0), self.first_epoch) + 1
        self.epochs[target] = epoch
        return epoch


@singledispatch
def handle(event: Event, state: Owner, now_s: float) -> list[Effect]:
    """Change ``state`` by ``event`` and return what the shell must do.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: when an invariant of ownership does not hold.
    """
    raise InvariantBroken(f"owner does not take {type(event).__name__}")


@handle.register
def _(event: MembersChanged, state: Owner, now_s: float) -> list[Effect]:
    state.ownership.members_changed(event.live, now_s)
    return takeover.review(state, now_s)


@handle.register
def _(event: Announced, state: Owner, now_s: float) -> list[Effect]:
    said = event.announcement
    owner = state.ownership.owner_of(said["target"], said["data_centre"])
    if owner is None or owner.vm != state.me.vm or state.stopping:
        return []
    target = state.owned.get(said["target"])
    if target is None:
        return takeover.begin(state, said, now_s)
    before = dict.fromkeys(target.permits, now_s)
    if target.announced(said, now_s):
        state.ended.update(before)
    return _pump(state, target, now_s)


@handle.register
def _(event: LoadReported, state: Owner, now_s: float) -> list[Effect]:
    target = state.owned.get(event.report["target"])
    if target is None:
        return []
    target.loaded(event.report, now_s)
    return _pump(state, target, now_s)


@handle.register
def _(event: BlocksChanged, state: Owner, now_s: float) -> list[Effect]:
    target = state.owned.get(event.events["target"])
    if target is None or event.events["boot_id"] != target.announcement["boot_id"]:
        return []
    if target.blocks.apply(event.events).gap:
        return [AskSummary(target.name, target.announcement["address"])]
    return []


@handle.register
def _(event: ConfigChanged, state: Owner, now_s: float) -> list[Effect]:
    if event.config.index < state.config.index:
        return []
    state.config = event.config
    return _pump_all(state, now_s)


@handle.register
def _(event: Asked, state: Owner, now_s: float) -> list[Effect]:
    ask = event.ask
    target = state.owned.get(ask.target)
    if target is None:
        return [_refuse(state, ask, _not_owner(state, ask.target))]
    if ask.permit_id in target.permits:
        return [_granted(state, target, ask)]
    if ask.permit_id in state.ended or ask.permit_id in state.lapsed:
        return [_refuse(state, ask, PermitUnknown("it was given before"))]
    refused = refusal_of_ask(ask, target, state.config, now_s)
    if refused is not None:
        return [*_drop(state, target, ask.permit_id), _refuse(state, ask, refused)]
    if ask.permit_id in target.queue:
        state.polled_s[ask.permit_id] = now_s
        return []
    return _enqueue(state, target, ask, now_s)


@handle.register
def _(event: Withdrawn, state: Owner, now_s: float) -> list[Effect]:
    state.ended[event.permit_id] = now_s
    target = state.owned.get(event.target)
    if target is None:
        return []
    _drop(state, target, event.permit_id)
    grant = target.permits.pop(event.permit_id, None)
    if grant is not None:
        target.estimates.ended(event.permit_id)
        target.breaker.ended(event.permit_id)
    return _pump(state, target, now_s)


@handle.register
def _(event: Renewed, state: Owner, now_s: float) -> list[Effect]:
    renewal = event.renewal
    grant = renewal.grant
    target = state.owned.get(renewal.target)
    if target is None:
        return [Answer(grant.permit_id, renewal.target, Failure(NotOwner()))]
    stale = renewal.boot_id != target.announcement["boot_id"]
    if stale or grant.permit_id in state.ended:
        return [Answer(grant.permit_id, renewal.target, Failure(PermitUnknown()))]
    if grant.permit_id not in target.permits:
        target.adopt(grant)
    renewed = target.renew(grant.permit_id, now_s)
    decision = _decision(target, renewed, "")
    return [Answer(grant.permit_id, renewal.target, Success(decision))]


@handle.register
def _(event: Released, state: Owner, now_s: float) -> list[Effect]:
    state.ended[event.permit_id] = now_s
    target = state.owned.get(event.target) or state.given_up.get(event.target)
    if target is None:
        return []
    target.release(event.permit_id, event.outcome, now_s)
    if event.target not in state.owned:
        return []
    return _pump(state, target, now_s)


@handle.register
def _(event: HandoverAsked, state: Owner, now_s: float) -> list[Effect]:
    return takeover.hand_over(state, event, now_s)


@handle.register
def _(event: HandoverReceived, state: Owner, now_s: float) -> list[Effect]:
    return takeover.received(state, event, now_s)


@handle.register
def _(event: HandoverFailed, state: Owner, now_s: float) -> list[Effect]:
    takeover.by_loss(state, event.target, now_s)
    return []


@handle.register
def _(event: Stopping, state: Owner, now_s: float) -> list[Effect]:
    return takeover.leave(state, now_s)


@handle.register
def _(event: Tick, state: Owner, now_s: float) -> list[Effect]:
    keep_s = 2 * state.settings.hold_s
    state.ended = {k: t for k, t in state.ended.items() if now_s - t < keep_s}
    state.lapsed = {k: t for k, t in state.lapsed.items() if now_s - t < keep_s}
    for target in [*state.owned.values(), *state.given_up.values()]:
        lapsed = target.expire(now_s)
        state.lapsed.update((grant.permit_id, now_s) for grant in lapsed)
    takeover.forget(state, now_s)
    return _pump_all(state, now_s)


def _enqueue(state: Owner, target: OwnedTarget, ask: Ask, now_s: float) -> list[Effect]:
    limit = state.limit(target, now_s)
    wait_s = target.wait_s(limit, target.queue.ahead_of(ask.priority))
    if wait_s + target.start_s(ask, now_s) > ask.deadline_s:
        return [_refuse(state, ask, Shed("deadline", max(1.0, wait_s)))]
    delay_s = wait_s + target.delay_s(now_s)
    if ask.delay_limit_s is not None and delay_s > ask.delay_limit_s:
        return [_refuse(state, ask, MovedOn(target.name))]
    if limit == 0 and not target.in_use:
        return [_refuse(state, ask, TakingOver(target.name))]
    cached = target.blocks.leading(ask.blocks) * BLOCK_TOKENS
    waiting = Waiting(
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
        _refuse(state, state.asks.pop(w.key), Shed("queue", max(1.0, wait_s)))
        for w in shed
    ]
    return effects + _pump(state, target, now_s)


def _pump_all(state: Owner, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for target in state.owned.values():
        effects.extend(_pump(state, target, now_s))
    return effects


def _pump(state: Owner, target: OwnedTarget, now_s: float) -> list[Effect]:
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
            effects.append(_refuse(state, ask, Shed("deadline", _retry_s(target))))
            continue
        target.grant(ask, share, now_s)
        effects.append(_granted(state, target, ask))
    return effects


def _drop_useless(state: Owner, target: OwnedTarget, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in target.queue.expire(now_s):
        ask = state.asks.pop(waiting.key)
        effects.append(_refuse(state, ask, Shed("deadline", _retry_s(target))))
    for ask in _queued(state, target.queue):
        refused = refusal_of_ask(ask, target, state.config, now_s)
        if refused is None and not target.breaker.allows(now_s):
            refused = BreakerOpen(target.name)
        if refused is not None:
            _drop(state, target, ask.permit_id)
            effects.append(_refuse(state, ask, refused))
        elif now_s - state.polled_s[ask.permit_id] > _poll_limit_s(state):
            _drop(state, target, ask.permit_id)
    return effects


def _retry_s(target: OwnedTarget) -> float:
    return max(1.0, target.estimates.run_s.value)


def _queued(state: Owner, queue: FairQueue) -> list[Ask]:
    return [ask for key, ask in state.asks.items() if key in queue]


def _poll_limit_s(state: Owner) -> float:
    return state.settings.poll_s + state.settings.poll_grace_s


def _drop(state: Owner, target: OwnedTarget, permit_id: str) -> list[Effect]:
    target.queue.remove(permit_id)
    state.asks.pop(permit_id, None)
    state.polled_s.pop(permit_id, None)
    return []


def _refuse(state: Owner, ask: Ask, exc: VanillabeamError) -> Answer:
    state.polled_s.pop(ask.permit_id, None)
    return Answer(ask.permit_id, ask.target, Failure(exc))


def _granted(state: Owner, target: OwnedTarget, ask: Ask) -> Answer:
    decision = _decision(target, target.permits[ask.permit_id], ask.version)
    return Answer(ask.permit_id, ask.target, Success(decision))


def _decision(target: OwnedTarget, grant, version: str) -> Decision:
    said = target.announcement
    return Decision(
        grant=grant,
        target=target.name,
        boot_id=said["boot_id"],
        address=said["address"],
        data_centre=target.data_centre,
        version=version,
    )


def _not_owner(state: Owner, target: str) -> VanillabeamError:
    if target in state.awaiting:
        return TakingOver(target)
    return NotOwner(target)
