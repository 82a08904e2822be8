"""What a target is ordered next on its way to the configuration."""

from vanillabeam.orders.desired import DesiredState, desired_state, matches_announcement
from vanillabeam.orders.state import OrdersState, TargetState

__all__ = ["next_step"]


def next_step(state: OrdersState, target: TargetState) -> DesiredState | None:
    """Return what to order the target next; ``None`` if it is as it should be."""
    if state.config.index == 0 or target.announcement.get("leaving", False):
        return None
    desired = desired_state(state.config, target.announcement)
    if target.known_role() is None:
        # Ordered by another owner: what it is must be sure before it is
        # counted, or put out.
        return _current_state(target, "serving")
    if desired.role == "standby" and target.running > 0:
        # Runs end first: as it is, but without new work.
        desired = _current_state(target, "draining")
    if target.known_role() == desired.role and matches_announcement(
        desired, target.announcement
    ):
        return None
    return desired


def _current_state(target: TargetState, role: str) -> DesiredState:
    models, adapters = (
        _loaded_versions(target, "models"),
        _loaded_versions(target, "adapters"),
    )
    return DesiredState(role, models, adapters, exact=False)


def _loaded_versions(target: TargetState, kind: str) -> dict[str, dict[str, str]]:
    loaded = target.announcement.get(kind, {})
    return {
        name: {"version": version, "weights": ""} for name, version in loaded.items()
    }
