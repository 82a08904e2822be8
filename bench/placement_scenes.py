"""Traffic, fleets and events of the simulated placement of prompts."""

from typing import NamedTuple

from vanillabeam.fleet.follower import MIN_INTERVAL_S
from vanillabeam.fleet.polling import MIN_WAIT_S

__all__ = ["KINDS", "LARGE_FLEET", "FleetShape", "PromptKind", "Scenario"]

REPORT_PERIOD_S = MIN_WAIT_S + MIN_INTERVAL_S


class PromptKind(NamedTuple):
    """Class of prompts with common sizes and a common objective.

    :param rank: urgency of the prompts, 0 is the most urgent.
    :param shared_tokens: mean tokens of two shared parts: the one that all
        prompts share and the one that the prompts of a session share.
    :param sessions: number of sessions.
    :param own_tokens: tokens of the part that no other prompt shares.
    :param output_tokens: tokens of an answer.
    :param objective_s: seconds within which the first token should arrive.
    :param rate_s: prompts per second.
    """

    name: str
    rank: int
    shared_tokens: tuple[int, int]
    sessions: int
    own_tokens: int
    output_tokens: int
    objective_s: float
    rate_s: float


KINDS = (
    PromptKind("long", 2, (500, 8_600), 234, 2_900, 48, 1.2, 14.6),
    PromptKind("question", 1, (120, 530), 417, 180, 36, 0.6, 26.0),
    PromptKind("check", 0, (340, 1_520), 359, 500, 3, 0.8, 22.4),
)


class FleetShape(NamedTuple):
    """Number of VMs of each kind, and how old their views are.

    Traffic and sessions grow with the targets, so that a target's share of both is
    the same in each fleet.

    :param report_period_s: seconds between two reports of an entry VM's load, each
        of which brings the load of all others.
    """

    entries: int = 9
    targets: int = 9
    stores: int = 7
    data_centres: int = 4
    report_period_s: float = REPORT_PERIOD_S

    @property
    def scale(self) -> float:
        """Traffic relative to the rates of :data:`KINDS`."""
        return self.targets / FleetShape().targets

    def data_centre(self, index: int) -> str:
        """Return the data centre of the VM or target with a number."""
        return f"dc-{index % self.data_centres}"


LARGE_FLEET = FleetShape(entries=194, targets=59, stores=34, data_centres=6)


class Scenario(NamedTuple):
    """Traffic and events of a simulation.

    :param fleet: VMs of the simulation.
    :param load: traffic relative to the usual rates.
    :param burst_size: number of prompts that arrive at the same time.
    :param returns_s: time at which a target that was stopped from the start
        begins to serve, with an empty cache.
    """

    fleet: FleetShape = FleetShape()
    duration_s: float = 30.0
    load: float = 1.0
    burst_size: int = 3
    returns_s: float = 10.0
