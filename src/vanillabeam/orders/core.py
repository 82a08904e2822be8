"""Reconciliation of the targets that this VM owns with the configuration."""

from functools import singledispatch

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.orders.desired import (
    is_met_by,
    models_taken_out,
    stores_to_load_from,
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
from vanillabeam.orders.steps import is_still_wanted, next_step
from vanillabeam.targetwire import Order

__all__ = ["handle"]


@singledispatch
def handle(event: Event, state: OrdersState, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects for the shell to run.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if an order or a configuration would be older than the
        one before it, if an earlier order may still arrive at the target, or if
        the type of ``event`` is unknown.
    """
    raise InvariantBroken(f"orders do not take {type(event).__name__}")


@handle.register
def _(event: ConfigChanged, state: OrdersState, now_s: float) -> list[Effect]:
    if event.config.index < state.config.index:
        raise InvariantBroken(
            f"index {event.config.index} after {state.config.index} for orders"
        )
    state.config = event.config
    return _advance_all(state, now_s)


@handle.register
def _(event: Tick, state: OrdersState, now_s: float) -> list[Effect]:
    return _advance_all(state, now_s)


@handle.register
def _(event: OwnedSeen, state: OrdersState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for name in list(state.targets):
        owned = event.owned.get(name)
        if owned is None or owned.epoch != state.targets[name].epoch:
            target = state.targets.pop(name)
            effects += _release_effects(target, now_s)
            _forget_lease(state, target, now_s)
    for name, owned in event.owned.items():
        target = state.targets.get(name)
        if target is None:
            target = TargetState(owned.announcement, owned.epoch, now_s)
            state.targets[name] = target
        elif target.announcement["boot_id"] != owned.announcement["boot_id"]:
            effects += _reset_after_restart(state, target, now_s)
        target.announcement = owned.announcement
        target.running = owned.running
        target.record_index(owned.announcement.get("order_index", 0))
    return effects + _advance_all(state, now_s)


def _release_effects(target: TargetState, now_s: float) -> list[Effect]:
    # While an order may still arrive or the target may be loading, the lease is
    # not released but expires by itself.
    loading = target.phase is Phase.CONFIRMING or now_s < target.busy_until_s
    if target.lease is None or loading:
        return []
    return [ReleaseLease(target.lease)]


def _forget_lease(state: OrdersState, target: TargetState, now_s: float) -> None:
    if target.lease is not None:
        state.ended_leases[target.lease] = now_s
        target.lease = None


def _reset_after_restart(
    state: OrdersState, target: TargetState, now_s: float
) -> list[Effect]:
    # A restart discards what was loaded and ordered. An order that is still on its
    # way may arrive after the restart.
    effects = _release_effects(target, now_s)
    _forget_lease(state, target, now_s)
    target.role = None
    target.unconfirmed = now_s < target.busy_until_s
    target.enter_phase(Phase.IDLE, now_s)
    return effects


def _advance_all(state: OrdersState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for target in state.targets.values():
        effects += _advance(state, target, now_s)
    return effects


def _advance(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    match target.phase:
        case Phase.IDLE:
            return _start_order(state, target, now_s)
        case Phase.CONFIRMING:
            return _check_confirmation(state, target, now_s)
        case Phase.ORDERING if (
            now_s < target.phase_since_s + 2 * state.cfg.order_timeout_s
        ):
            return _renew_lease(state, target, now_s)
    # If the shell never reports the result of an effect, do not block the target.
    if now_s - target.phase_since_s >= state.cfg.step_timeout_s:
        return _return_to_idle(state, target, now_s)
    return []


def _start_order(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    desired = next_step(state, target)
    if desired is None or now_s < target.retry_at_s:
        return []
    target.desired = desired
    target.hold_reason = _hold_reason(state, target, now_s)
    if target.hold_reason:
        return []
    return _request_lease(state, target, now_s)


def _hold_reason(state: OrdersState, target: TargetState, now_s: float) -> str:
    if state.config.index < target.highest_index:
        return f"config behind: index {target.highest_index} was ordered"
    if now_s < target.busy_until_s:
        return "an earlier order may still arrive"
    if not target.checks_fencing and now_s < state.takeover_ends_s(target):
        return "orders of the previous owner may still arrive"
    # The previous owner may still allow imports, which must not overlap an order.
    if now_s < target.owned_since_s + state.cfg.predecessor_lease_s:
        return "the previous owner may still allow imports"
    return ""


def _request_lease(
    state: OrdersState, target: TargetState, now_s: float
) -> list[Effect]:
    stores = stores_to_load_from(target.desired, target.announcement)
    floors = _floored_models(state, target)
    if not stores and not floors:
        return _end_imports(target, now_s)
    target.enter_phase(Phase.LEASING, now_s)
    return [AskLease(target.name, stores, floors, failures=target.failures)]


def _floored_models(state: OrdersState, target: TargetState) -> tuple[str, ...]:
    # A target that is out of service by its role is in no ready count, so that
    # its order lowers none.
    if target.known_role() != "serving":
        return ()
    models = state.config.models
    taken_out = models_taken_out(target.desired, target.announcement)
    return tuple(m for m in taken_out if m in models and models[m].min_ready > 0)


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
    target.hold_reason = event.reason
    target.retry_at_s = now_s + state.cfg.lease_retry_s
    target.enter_phase(Phase.IDLE, now_s)
    return []


def _end_imports(target: TargetState, now_s: float) -> list[Effect]:
    # Imports end before every order: even an order that changes only the role
    # loads models if it reaches a target that has restarted in the meantime.
    target.began_s = now_s
    target.enter_phase(Phase.ENDING_IMPORTS, now_s)
    return [EndImports(target.name)]


@handle.register
def _(event: ImportsEnded, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.ENDING_IMPORTS)
    return [] if target is None else _prove_freshness(state, target, now_s)


def _prove_freshness(
    state: OrdersState, target: TargetState, now_s: float
) -> list[Effect]:
    if target.checks_fencing:
        return _send_order(state, target, now_s)
    target.enter_phase(Phase.PROVING, now_s)
    return [ProveFreshness(target.name)]


@handle.register
def _(event: FreshnessProved, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.PROVING)
    if target is None:
        return []
    stale = now_s - target.phase_since_s > state.cfg.proof_max_age_s
    if stale or event.index > state.config.index:
        target.hold_reason = f"config behind: index {event.index} is accepted"
        return _return_to_idle(state, target, now_s)
    return _send_order(state, target, now_s)


@handle.register
def _(event: FreshnessUnknown, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.in_phase(event.target, Phase.PROVING)
    if target is None:
        return []
    target.hold_reason = "no ticket log quorum, and the target checks no fencing"
    return _return_to_idle(state, target, now_s)


def _send_order(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    # The desired state may have changed while a lease and a proof were requested.
    if not is_still_wanted(state, target):
        return _return_to_idle(state, target, now_s, retry_after_s=0.0)
    index = state.config.index
    if index < target.highest_index or now_s < target.busy_until_s:
        raise InvariantBroken(
            f"order {index} to {target.name} after {target.highest_index}"
        )
    target.record_index(index)
    target.announced_index_before = target.announcement.get("order_index", 0)
    target.unconfirmed = True
    state.attempts += 1
    target.attempt = state.attempts
    target.busy_until_s = now_s + state.cfg.order_timeout_s
    target.enter_phase(Phase.ORDERING, now_s)
    target.order = Order(
        index=index,
        owner=state.name,
        epoch=target.epoch,
        boot_id=target.announcement["boot_id"],
        role=target.desired.role,
        models=target.desired.models,
        adapters=target.desired.adapters,
    )
    address = target.announcement["address"]
    return [SendOrder(target.name, address, target.order, target.attempt)]


@handle.register
def _(event: OrderAnswered, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.targets.get(event.target)
    if target is None or target.attempt != event.attempt:
        return []
    target.busy_until_s = now_s
    if target.phase is not Phase.ORDERING:
        return []
    target.record_index(event.reply["order_index"])
    if event.reply["status"] in ("obeyed", "in-progress"):
        target.obeyed = event.reply["status"] == "obeyed"
        target.enter_phase(Phase.CONFIRMING, now_s)
        return []
    target.hold_reason = f"{event.reply['status']}: {event.reply.get('detail', '')}"
    return _return_to_idle(
        state, target, now_s, failed=event.reply["status"] == "failed"
    )


@handle.register
def _(event: OrderFailed, state: OrdersState, now_s: float) -> list[Effect]:
    target = state.targets.get(event.target)
    if target is None or target.attempt != event.attempt:
        return []
    if target.phase is not Phase.ORDERING:
        return []
    # The target may have obeyed. Its announcement shows it, or the order is sent
    # again; at once if the target refuses outdated orders itself.
    if target.checks_fencing:
        target.busy_until_s = now_s
    target.obeyed = False
    target.enter_phase(Phase.CONFIRMING, now_s)
    return []


def _check_confirmation(
    state: OrdersState, target: TargetState, now_s: float
) -> list[Effect]:
    # Several orders may share one index, so an index that the target announced
    # before this order was sent does not prove that it was obeyed.
    announced_index = target.announcement.get("order_index", 0)
    is_new = announced_index >= target.order["index"] > target.announced_index_before
    ordered = target.obeyed or is_new
    if ordered and is_met_by(target.desired, target.announcement):
        target.role = target.order["role"]
        target.unconfirmed = False
        # An order that only confirms the role says nothing of what failed before.
        if next_step(state, target) is None:
            target.failures = 0
        target.hold_reason = ""
        return _return_to_idle(state, target, now_s, retry_after_s=0.0)
    if now_s - target.began_s >= state.cfg.load_timeout_s:
        return _return_to_idle(state, target, now_s, failed=True)
    waited_s = now_s - target.phase_since_s
    if waited_s >= state.cfg.confirm_timeout_s and now_s >= target.busy_until_s:
        # Compare with the configuration and send again under the same lease.
        return _send_again(state, target, now_s)
    return _renew_lease(state, target, now_s)


def _send_again(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    if target.lease is not None and now_s >= target.lease_until_s:
        return _return_to_idle(state, target, now_s)
    if not is_still_wanted(state, target):
        return _return_to_idle(state, target, now_s, retry_after_s=0.0)
    return _prove_freshness(state, target, now_s)


def _renew_lease(state: OrdersState, target: TargetState, now_s: float) -> list[Effect]:
    if target.lease is None or now_s < target.lease_until_s - state.cfg.renew_before_s:
        return []
    # Ask at most once per lease_retry_s; an answer moves lease_until_s on.
    if now_s < target.renewal_requested_s + state.cfg.lease_retry_s:
        return []
    target.renewal_requested_s = now_s
    stores = stores_to_load_from(target.desired, target.announcement)
    floors = _floored_models(state, target)
    return [AskLease(target.name, stores, floors, target.lease)]


def _return_to_idle(
    state: OrdersState,
    target: TargetState,
    now_s: float,
    retry_after_s: float | None = None,
    failed: bool = False,
) -> list[Effect]:
    effects = [] if target.lease is None else [ReleaseLease(target.lease)]
    _forget_lease(state, target, now_s)
    if target.unconfirmed:
        target.role = None
    if failed:
        target.failures += 1
    if retry_after_s is None:
        doubled_s = state.cfg.retry_base_s * 2 ** min(target.failures, 10)
        retry_after_s = min(doubled_s, state.cfg.retry_max_s)
        retry_after_s *= state.rng.uniform(0.5, 1.0)
    target.retry_at_s = now_s + retry_after_s
    target.enter_phase(Phase.IDLE, now_s)
    return effects
