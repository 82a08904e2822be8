"""What a target is ordered next on its way to the configuration."""

from vanillabeam.orders.desired import Desired, matches, want
from vanillabeam.orders.state import OrdersState, TargetState

__all__ = ["next_step"]


def next_step(state: OrdersState, target: TargetState) -> Desired | None:
    """Return what to order the target next; ``None`` if it is as it should be."""
    if state.config.index == 0 or target.said.get("leaving", False):
        return None
    desired = want(state.config, target.said)
    if target.known_role() is None:
        # Ordered by another owner: what it is must be sure before it is
        # counted, or put out.
        return _as_it_is(target, "serving")
    if desired.role == "standby" and target.running > 0:
        # Runs end first: as it is, but without new work.
        desired = _as_it_is(target, "draining")
    if target.known_role() == desired.role and matches(desired, target.said):
        return None
    return desired


def _as_it_is(target: TargetState, role: str) -> Desired:
    models, adapters = _as_loaded(target, "models"), _as_loaded(target, "adapters")
    return Desired(role, models, adapters, exact=False)


def _as_loaded(target: TargetState, kind: str) -> dict[str, dict[str, str]]:
    loaded = target.said.get(kind, {})
    return {
        name: {"version": version, "weights": ""} for name, version in loaded.items()
    }
