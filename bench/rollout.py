"""Rollouts of new weights: rounds, stuck targets, late copies, runs that last."""

from typing import Any, NamedTuple

from loguru import logger

from bench.rollout_model import LOAD_S, Fleet, make_fleet, play
from vanillabeam.fleet.runwaits import Strategy

__all__ = ["SCENARIOS", "SIZES", "Scenario", "run", "simulate"]

SIZES = (2, 9, 65)
DURATION_S = 50.0
#: Time that operators allow for new weights.
VERSION_S = 10.0
#: Strategies beside the product's choice, for scenarios with runs.
STRATEGIES = (Strategy.WAIT, Strategy.TRUNCATE, Strategy.RETAIN)


class Scenario(NamedTuple):
    """Targets and their runs.

    :param stuck: share of the targets that behave as ``behaviour`` says.
    :param runs_s: seconds after which the last of a target's runs ends.
    :param fence: lowest fencing number that the targets take.
    """

    behaviour: str = "sound"
    stuck: float = 0.0
    runs_s: float = 0.0
    fence: int = 0
    load_s: float = LOAD_S


SCENARIOS = {
    "nothing wrong": Scenario(),
    "nothing wrong, loads of 0.9 s": Scenario(load_s=0.9),
    "all have seen a higher number": Scenario(fence=40),
    "a third refuses": Scenario("refuses", 1 / 3),
    "a third is silent": Scenario("silent", 1 / 3),
    "a third is unreachable": Scenario("unreachable", 1 / 3),
    "a third is always busy": Scenario("busy", 1 / 3),
    "a third answers 412": Scenario("fences", 1 / 3),
    "a third accepts and does nothing": Scenario("liar", 1 / 3),
    "two thirds refuse": Scenario("refuses", 2 / 3),
    "a third obeys 3 s late": Scenario("late", 1 / 3),
    "runs of 0.9 s": Scenario(runs_s=0.9),
    "runs of 2 s": Scenario(runs_s=2.0),
    "runs of 5 s": Scenario(runs_s=5.0),
    "runs of 8.75 s": Scenario(runs_s=8.75),
    "runs of 12 s": Scenario(runs_s=12.0),
}


def _count_stuck(size: int, scenario: Scenario) -> int:
    return max(1, round(size * scenario.stuck)) if scenario.stuck else 0


def _summarize(fleet: Fleet, sound: int) -> dict[str, float]:
    targets = fleet.targets.values()
    loaded_s = fleet.loaded()
    return {
        "sound": sound,
        "loaded": len(loaded_s),
        "last_s": round(loaded_s[-1], 2) if loaded_s else 0.0,
        "late_target_s": round(sum(max(0.0, at - VERSION_S) for at in loaded_s), 1),
        "orders": len(fleet.orders()),
        "reports": fleet.reports,
        "most_loading": fleet.most_loading,
        "most_paused": fleet.most_paused,
        "broken_runs": sum(each.broken for each in targets),
        "retained_s": round(sum(each.retained_s for each in targets), 1),
    }


def simulate(
    size: int, scenario: Scenario, strategy: Strategy | None = None
) -> dict[str, float]:
    """Return the figures of a rollout to ``size`` targets.

    :param strategy: strategy of each order; ``None`` for the product's choice.
    """
    stuck = _count_stuck(size, scenario)
    is_late = scenario.behaviour == "late"

    def make() -> Fleet:
        fleet = make_fleet(
            size,
            [scenario.behaviour] * stuck,
            fence=scenario.fence,
            runs_s=scenario.runs_s,
            load_s=scenario.load_s,
        )
        if strategy is not None:
            fleet.rollout._choose_strategy = lambda *args: strategy
        return fleet

    fleet = play(make, DURATION_S)
    return _summarize(fleet, size if is_late else size - stuck)


def run(seed: int) -> dict[str, Any]:
    """Play all scenarios at three sizes; nothing in them is random."""
    logger.disable("vanillabeam")
    figures = {}
    for size in SIZES:
        for name, scenario in SCENARIOS.items():
            key = f"{name}, {size} targets"
            figures[key] = {"product": simulate(size, scenario)}
            for strategy in STRATEGIES if scenario.runs_s else ():
                figures[key][str(strategy)] = simulate(size, scenario, strategy)
    return figures
