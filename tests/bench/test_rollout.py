"""Simulated rollouts: each sound target loads, within the share and in time."""

import pytest

from bench.rollout import SCENARIOS, SIZES, VERSION_S, simulate

CALM = [name for name, scenario in SCENARIOS.items() if "nothing wrong" in name]
STUCK = [name for name, scenario in SCENARIOS.items() if scenario.stuck]
LASTING = [name for name, scenario in SCENARIOS.items() if scenario.runs_s]


def test_the_figures_are_the_same_each_time():
    scenario = SCENARIOS["a third refuses"]
    assert simulate(9, scenario) == simulate(9, scenario)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", CALM)
def test_in_calm_each_target_gets_one_order_in_time(size, name):
    figures = simulate(size, SCENARIOS[name])
    assert figures["loaded"] == figures["orders"] == size
    assert figures["last_s"] <= 0.8 * VERSION_S
    assert figures["most_loading"] <= -(-size // 3)
    assert figures["broken_runs"] == figures["retained_s"] == 0


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", STUCK)
def test_each_sound_target_loads_in_time_beside_stuck_ones(size, name):
    figures = simulate(size, SCENARIOS[name])
    assert figures["loaded"] == figures["sound"]
    assert figures["last_s"] <= VERSION_S


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", LASTING)
def test_with_runs_that_last_each_target_loads(size, name):
    figures = simulate(size, SCENARIOS[name])
    assert figures["loaded"] == size
    assert figures["last_s"] <= 1.4 * VERSION_S
