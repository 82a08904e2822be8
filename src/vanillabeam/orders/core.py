"""Reconciling the targets that this VM owns with the configuration."""

from functools import singledispatch

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.orders.desired import (
    matches,
    models_put_out,
    stores_used,
)
from vanillabeam.orders.events import (
    AskLease,
    ConfigChanged,
    Effect,
    EndImports,
    Event,
    FreshnessProved,
    FreshnessUnknown,
    ImportsEnded,
    LeaseGranted,
    LeaseRefused,
    OrderAnswered,
    OrderFailed,
    OwnedSeen,
    ProveFreshness,
    ReleaseLease,
    SendOrder,
    Tick,
)
from vanillabeam.orders.state import OrdersState, Phase, TargetState
from vanillabeam.orders.steps import next_step
from vanillabeam.targetwire import Order

__all__ = ["handle"]


@singledispatch
def handle(event: Event, state: OrdersState, now_s: float) -> list[Effect]:
    """Change ``state`` by ``event`` and return what the shell must do.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if an order would be older than one before it, or
        on an event that no shell sends.
    """
    raise InvariantBroken(f"orders do not take {type(event).__name__}")


@handle.register
def _(event: ConfigChanged, state: OrdersState, now_s: float) -> list[Effect]:
    if event.config.index < state.config.index:
        raise InvariantBroken(
            f"index {event.config.index} after {state.config.index} for orders"
        )
    state.config = event.config
    return _review_all(state, now_s)


@handle.register
def _(event: Tick, state: OrdersState, now_s: float) -> list[Effect]:
    return _review_all(state, now_s)


@handle.register
def _(event: OwnedSeen, state: OrdersState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for name in list(state.targets):
        owned = event.owned.get(name)
        if owned is None or owned.epoch != state.targets[name].epoch:
            target = state.targets.pop(name)
            effects += _give_up(target, now_s)
            _drop_lease(state, target, now_s)
    for name, owned in event.owned.items():
        target = state.targets.get(name)
        if target is None:
            target = TargetState(owned.announcement, owned.epoch, now_s)
            state.targets[name] = target
        elif target.said["boot_id"] != owned.announcement["boot_id"]:
            effects += _restarted(state, target, now_s)
        target.said = owned.announcement
        target.running = owned.running
        target.note_index(owned.announcement.get("order_index", 0))
    return effects + _review_all(state, now_s)


def _give_up(target: TargetState, now_s: float) -> list[Effect]:
    # While an order may still arrive, or what it loads is under way, the lease
    # is left to end by itself.
    loading = target.phase is Phase.CONFIRMING or now_s < target.busy_until_s
    if target.lease is None or loading:
        return []
    return [ReleaseLease(target.lease)]


def _drop_lease(state: OrdersState, target: TargetState, now_s: float) -> None:
    if target.lease is not None:
        state.ended_leases[target.lease] = now_s
        target.lease = None


def _restarted(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    # Whatever was loaded or ordered is gone with the boot; the order on its
    # way may still arrive at the new one.
    effects = _give_up(target, now_s)
    _drop_lease(state, target, now_s)
    target.role = None
    target.unsure = now_s < target.busy_until_s
    target.go(Phase.IDLE, now_s)
    return effects


def _review_all(state: OrdersState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for target in state.targets.values():
        effects += _review(state, target, now_s)
    return effects


def _review(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    match target.phase:
        case Phase.IDLE:
            return _begin(state, target, now_s)
        case Phase.CONFIRMING:
            return _confirm(state, target, now_s)
        case Phase.ORDERING if now_s < target.phase_s + 2 * state.cfg.order_timeout_s:
            return _keep_lease(state, target, now_s)
    # A shell that lost its answer must not hold the target up for good.
    if now_s - target.phase_s >= state.cfg.step_timeout_s:
        return _stop(state, target, now_s)
    return []


def _begin(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    desired = next_step(state, target)
    if desired is None or now_s < target.retry_at_s:
        return []
    target.desired = desired
    target.held_by = _held_by(state, target, now_s)
    if target.held_by:
        return []
    return _ask_lease(state, target, now_s)


def _held_by(state: OrdersState, target: TargetState, now_s: float) -> str:
    if state.config.index < target.highest_index:
        return f"config behind: {target.highest_index} was ordered"
    if now_s < target.busy_until_s:
        return "an earlier order may still arrive"
    if not target.fencing and now_s < state.takeover_ends_s(target):
        return "waiting out the owner before"
    # The owner before may still allow imports, which an order must not meet.
    if now_s < target.gained_s + state.cfg.predecessor_lease_s:
        return "waiting out the owner before"
    return ""


def _ask_lease(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    stores = stores_used(target.desired, target.said)
    floors = _floors_touched(state, target)
    if not stores and not floors:
        return _end_imports(target, now_s)
    target.go(Phase.LEASING, now_s)
    return [AskLease(target.name, stores, floors)]


def _floors_touched(state: OrdersState, target: TargetState) -> tuple[str, ...]:
    # A target that is out by its role is in no ready count: it takes nothing
    # from it.
    if target.known_role() != "serving":
        return ()
    models = state.config.models
    out = models_put_out(target.desired, target.said)
    return tuple(m for m in out if m in models and models[m].min_ready > 0)


@handle.register
def _(event: LeaseGranted, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.targets.get(event.target)
    if target is not None and target.lease == event.lease:
        target.lease_until_s = now_s + event.lasts_s
        return []
    target = state.in_phase(event.target, Phase.LEASING)
    if target is None:
        return [ReleaseLease(event.lease)]
    target.lease = event.lease
    target.lease_until_s = now_s + event.lasts_s
    return _end_imports(target, now_s)


@handle.register
def _(event: LeaseRefused, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.LEASING)
    if target is None:
        return []
    target.held_by = event.why
    target.retry_at_s = now_s + state.cfg.lease_retry_s
    target.go(Phase.IDLE, now_s)
    return []


def _end_imports(target: TargetState, now_s: float) -> list[Effect]:
    # Before any order: one that changes a role only still loads models if it
    # reaches a target that has restarted meanwhile.
    target.go(Phase.ENDING_IMPORTS, now_s)
    return [EndImports(target.name)]


@handle.register
def _(event: ImportsEnded, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.ENDING_IMPORTS)
    return [] if target is None else _prove(state, target, now_s)


def _prove(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    if target.fencing:
        return _send(state, target, now_s)
    target.go(Phase.PROVING, now_s)
    return [ProveFreshness(target.name)]


@handle.register
def _(event: FreshnessProved, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.PROVING)
    if target is None:
        return []
    late = now_s - target.phase_s > state.cfg.proof_max_age_s
    if late or event.index > state.config.index:
        target.held_by = f"config behind: {event.index} is accepted"
        return _stop(state, target, now_s)
    return _send(state, target, now_s)


@handle.register
def _(event: FreshnessUnknown, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.PROVING)
    if target is None:
        return []
    target.held_by = "cut off from the ticket log; the target checks no fencing"
    return _stop(state, target, now_s)


def _send(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    # What is wanted may have changed while leases and proofs were fetched.
    if next_step(state, target) != target.desired:
        return _stop(state, target, now_s, retry_after_s=0.0)
    index = state.config.index
    if index < target.highest_index or now_s < target.busy_until_s:
        raise InvariantBroken(
            f"order {index} to {target.name} after {target.highest_index}"
        )
    target.note_index(index)
    target.index_before = target.said.get("order_index", 0)
    target.unsure = True
    state.attempts += 1
    target.attempt = state.attempts
    target.busy_until_s = now_s + state.cfg.order_timeout_s
    target.go(Phase.ORDERING, now_s)
    target.order = Order(
        index=index,
        owner=state.name,
        epoch=target.epoch,
        boot_id=target.said["boot_id"],
        role=target.desired.role,
        models=target.desired.models,
        adapters=target.desired.adapters,
    )
    address = target.said["address"]
    return [SendOrder(target.name, address, target.order, target.attempt)]


@handle.register
def _(event: OrderAnswered, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.targets.get(event.target)
    if target is None or target.attempt != event.attempt:
        return []
    target.busy_until_s = now_s
    if target.phase is not Phase.ORDERING:
        return []
    target.note_index(event.reply["order_index"])
    if event.reply["status"] in ("obeyed", "in-progress"):
        target.obeyed = event.reply["status"] == "obeyed"
        target.go(Phase.CONFIRMING, now_s)
        return []
    target.held_by = f"{event.reply['status']}: {event.reply.get('detail', '')}"
    return _stop(state, target, now_s, failed=event.reply["status"] == "failed")


@handle.register
def _(event: OrderFailed, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.targets.get(event.target)
    if target is None or target.attempt != event.attempt:
        return []
    if target.phase is not Phase.ORDERING:
        return []
    # It may have obeyed: the announcement tells, or it is asked again. One
    # that checks fencing can be asked at once.
    if target.fencing:
        target.busy_until_s = now_s
    target.obeyed = False
    target.go(Phase.CONFIRMING, now_s)
    return []


def _confirm(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    # Several orders may have one index: a number that the target had before
    # this one was sent says nothing of it.
    said_index = target.said.get("order_index", 0)
    is_new = said_index >= target.order["index"] > target.index_before
    ordered = target.obeyed or is_new
    if ordered and matches(target.desired, target.said):
        target.role = target.order["role"]
        target.unsure = False
        target.failures = 0
        target.held_by = ""
        return _stop(state, target, now_s, retry_after_s=0.0)
    waited_s = now_s - target.phase_s
    if waited_s >= state.cfg.load_timeout_s:
        return _stop(state, target, now_s, failed=True)
    if waited_s >= state.cfg.confirm_timeout_s and now_s >= target.busy_until_s:
        # Compare and repeat, under the same lease.
        return _repeat(state, target, now_s)
    return _keep_lease(state, target, now_s)


def _repeat(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    if target.lease is not None and now_s >= target.lease_until_s:
        return _stop(state, target, now_s)
    if next_step(state, target) != target.desired:
        return _stop(state, target, now_s, retry_after_s=0.0)
    return _prove(state, target, now_s)


def _keep_lease(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    if target.lease is None or now_s < target.lease_until_s - state.cfg.renew_before_s:
        return []
    # Asked once a renewal period: the answer moves the end on.
    if now_s < target.renewed_s + state.cfg.lease_retry_s:
        return []
    target.renewed_s = now_s
    stores = stores_used(target.desired, target.said)
    floors = _floors_touched(state, target)
    return [AskLease(target.name, stores, floors, target.lease)]


def _stop(
    state: OrdersState,
    target: TargetState,
    now_s: float,
    retry_after_s: float | None = None,
    failed: bool = False,
) -> list[Effect]:
    effects = [] if target.lease is None else [ReleaseLease(target.lease)]
    _drop_lease(state, target, now_s)
    if target.unsure:
        target.role = None
    if failed:
        target.failures += 1
    if retry_after_s is None:
        doubled_s = state.cfg.retry_base_s * 2 ** min(target.failures, 10)
        retry_after_s = min(doubled_s, state.cfg.retry_max_s)
        retry_after_s *= state.rng.uniform(0.5, 1.0)
    target.retry_at_s = now_s + retry_after_s
    target.go(Phase.IDLE, now_s)
    return effects
