"""Counts of ready targets, from which lease keepers enforce ``min_ready``."""

from vanillabeam.orders.desired import counts_as_ready
from vanillabeam.orders.leases import ENDED_LEASE_REPORTED_S
from vanillabeam.orders.state import OrdersState, Phase

__all__ = ["accounted_leases", "ready_counts"]

#: Phases in which a target may be loading or out of service.
BUSY_PHASES = (Phase.ORDERING, Phase.CONFIRMING)


def ready_counts(state: OrdersState, now_s: float) -> dict[str, int]:
    """Return the number of ready targets that this VM owns, by model.

    Only models with a ``min_ready`` above 0 are listed. Targets with a lease are
    not counted, nor targets that the previous owner may still be counting.
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

    These are the leases held and those that ended recently. A keeper subtracts
    one ready target for each of its leases that a report does not list.
    """
    state.ended_leases = {
        lease: ended_s
        for lease, ended_s in state.ended_leases.items()
        if now_s - ended_s < ENDED_LEASE_REPORTED_S
    }
    held = [target.lease for target in state.targets.values() if target.lease]
    return [*held, *state.ended_leases]
