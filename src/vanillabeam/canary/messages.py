"""Messages of operators' tools about rollouts, between VMs and the command line."""

from typing import NotRequired, TypedDict

from vanillabeam.canary.records import Rollouts

__all__ = ["ROLLOUT_PATH", "RolloutOrder", "RolloutReply", "RolloutRequest"]

#: Path at control VMs at which operators start rollouts and ask for their state.
ROLLOUT_PATH = "/peer/fleet/rollout"


class RolloutOrder(TypedDict):
    """An operator's order of a rollout.

    :param to: software version that the traffic moves to.
    :param duration_s: seconds within which the rollout has to end.
    """

    service: str
    to: str
    duration_s: float


class RolloutRequest(TypedDict):
    """An operator's question about rollouts.

    :param service: service that is asked about; empty for all.
    :param start: order that is committed first; omitted for none.
    """

    service: str
    start: NotRequired[RolloutOrder]


class RolloutReply(TypedDict):
    """Newest rollout of the services that were asked about, as far as there is one."""

    rollouts: Rollouts
