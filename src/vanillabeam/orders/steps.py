"""Choice of the next order that brings a target closer to the configuration."""

from vanillabeam.orders.desired import DesiredState, desired_state, is_met_by
from vanillabeam.orders.state import OrdersState, TargetState

__all__ = ["is_still_wanted", "next_step"]


def next_step(state: OrdersState, target: TargetState) -> DesiredState | None:
    """Return the state to order next, ``None`` if the target needs no order."""
    if state.config.index == 0 or target.announcement.get("leaving", False):
        return None
    desired = desired_state(state.config, target.announcement)
    if target.known_role() is None:
        # Another owner or an unconfirmed order may have changed the role. Order what
        # is loaded in role serving, so that the role is certain before the target is
        # counted as ready or taken out of service.
        return _current_state(target, "serving")
    desired = _drained_first(target, desired)
    if target.known_role() == desired.role and is_met_by(desired, target.announcement):
        return None
    return desired


def is_still_wanted(state: OrdersState, target: TargetState) -> bool:
    """Return whether the current order's state is still to be brought about.

    While an order is unconfirmed, the target's role is unknown, which is no reason to
    order anything else before.
    """
    if next_step(state, target) == target.desired:
        return True
    desired = desired_state(state.config, target.announcement)
    return target.unconfirmed and _drained_first(target, desired) == target.desired


def _drained_first(target: TargetState, desired: DesiredState) -> DesiredState:
    if desired.role == "standby" and target.running > 0:
        # Drain first: keep what is loaded and take no new work until all runs end.
        return _current_state(target, "draining")
    return desired


def _current_state(target: TargetState, role: str) -> DesiredState:
    models, adapters = _loaded(target, "models"), _loaded(target, "adapters")
    return DesiredState(role, models, adapters, exact=False)


def _loaded(target: TargetState, kind: str) -> dict[str, dict[str, str]]:
    loaded = target.announcement.get(kind, {})
    return {
        name: {"version": version, "weights": ""} for name, version in loaded.items()
    }
