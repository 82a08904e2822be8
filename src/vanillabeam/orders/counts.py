"""Counts of ready targets, which bound how many may be out at once."""

from vanillabeam.orders.desired import is_ready_for
from vanillabeam.orders.state import OrdersState, Phase

__all__ = ["ready_counts"]

BUSY_PHASES = (Phase.ORDERING, Phase.CONFIRMING)


def ready_counts(state: OrdersState, now_s: float) -> dict[str, int]:
    """Return how many targets owned here are ready, for models with a floor.

    A target with a lease is not counted, nor one that another owner may still
    have in its own count.
    """
    counts: dict[str, int] = {}
    for name, model in state.config.models.items():
        if model.min_ready <= 0:
            continue
        counts[name] = sum(
            target.lease is None
            and target.phase not in BUSY_PHASES
            and target.known_role() == "serving"
            and now_s >= target.gained_s + state.cfg.count_after_s
            and is_ready_for(state.config, target.said, name)
            for target in state.targets.values()
        )
    return counts
