"""Counts of ready targets, which bound how many may be out at once."""

from vanillabeam.orders.desired import counts_as_ready
from vanillabeam.orders.state import OrdersState, Phase

__all__ = ["accounted_leases", "ready_counts"]

ENDED_KEPT_S = 45.0

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
            and now_s >= target.busy_until_s
            and target.known_role() == "serving"
            and now_s >= target.owned_since_s + state.cfg.ready_delay_s
            and counts_as_ready(state.config, target.announcement, name)
            for target in state.targets.values()
        )
    return counts


def accounted_leases(state: OrdersState, now_s: float) -> list[str]:
    """Return the leases that :func:`ready_counts` takes into account.

    Those held and those that ended lately: a keeper counts a report that does
    not know of a lease without the target that the lease is for.
    """
    state.ended_leases = {
        lease: ended_s
        for lease, ended_s in state.ended_leases.items()
        if now_s - ended_s < ENDED_KEPT_S
    }
    held = [target.lease for target in state.targets.values() if target.lease]
    return [*held, *state.ended_leases]
