"""Simulated targets that end under a part of prompts, or by themselves."""

import pytest

from bench.poison import simulate
from bench.poison_scenes import LARGE, SCENARIOS, SMALL

#: Prompts with the part that may reach targets after contact_ms from the fifth end on.
MAX_LATE_ARRIVALS = 3
#: Sound prompts that must be served at the first attempt from twice that time on.
SERVED_SHARE = 0.5
WITH_PART = [name for name, scenario in SCENARIOS.items() if scenario.poison_s]
WITHOUT = [name for name, scenario in SCENARIOS.items() if not scenario.poison_s]


def test_a_seed_determines_the_figures():
    scenario = SCENARIOS[WITH_PART[0]]
    assert simulate(SMALL, scenario, 1) == simulate(SMALL, scenario, 1)
    assert simulate(SMALL, scenario, 1) != simulate(SMALL, scenario, 2)


# Guards against prompts with one part that end target after target.
@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("name", WITH_PART)
def test_a_part_under_which_targets_end_is_kept_from_them(name, seed):
    figures = simulate(SMALL, SCENARIOS[name], seed)
    assert figures["late_arrivals"] <= MAX_LATE_ARRIVALS
    assert figures["served_after"] >= SERVED_SHARE


@pytest.mark.parametrize("name", ["part, 7 a second", "part, 0.3 a second"])
def test_the_same_holds_with_194_entry_vms(name):
    figures = simulate(LARGE, SCENARIOS[name], 1)
    assert figures["late_arrivals"] <= MAX_LATE_ARRIVALS
    assert figures["served_after"] >= SERVED_SHARE


def test_the_bound_is_broken_where_parts_are_not_kept_from_targets():
    figures = simulate(SMALL, SCENARIOS["part, 7 a second"], 1, acts=False)
    assert figures["late_arrivals"] > MAX_LATE_ARRIVALS
    assert figures["served_after"] < SERVED_SHARE


# Guards against blame for parts when targets end for another cause.
@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("name", WITHOUT)
def test_sound_prompts_are_served_as_often_when_targets_end_by_themselves(name, seed):
    figures = simulate(SMALL, SCENARIOS[name], seed)
    assert figures["sound_barred"] <= 0.01 * figures["sound_served"]


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize(
    "name",
    [
        "half killed at once",
        "killed in series",
        "all killed, hot part",
        "answers lost",
    ],
)
def test_no_part_is_blamed_for_targets_that_were_killed(name, seed):
    assert simulate(SMALL, SCENARIOS[name], seed)["sound_parts_blamed"] == 0
