"""Platform's documents about rollouts, translated from and to the product's records."""

from typing import TypedDict

from returns.result import Result

from vanillabeam import wire
from vanillabeam.canary.records import Step, VersionRollout
from vanillabeam.exceptions import MalformedBody

__all__ = ["RolloutOrder", "encode_rollout", "read_rollout_order"]

#: State in the platform's words of a rollout that has ended; else it is running.
_ENDED_STATES = {Step.COMPLETE: "complete", Step.ROLLED_BACK: "rolled_back"}


class RolloutOrder(TypedDict):
    """An operator's order: the version that a service moves to, and the time for it."""

    service: str
    to: str
    duration_s: float


class _RolloutState(TypedDict):
    state: str
    to: str


def read_rollout_order(body: bytes) -> Result[RolloutOrder, MalformedBody]:
    """Return the order in the body of a call."""
    return wire.read(RolloutOrder, body)


def encode_rollout(record: VersionRollout) -> bytes:
    """Return the state of a rollout as JSON."""
    state = _ENDED_STATES.get(record["step"], "running")
    return wire.encode(_RolloutState(state=state, to=record["to"]))
