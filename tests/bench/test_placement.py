"""Prompts placed by entry VMs that hear of each other late, in the model."""

import pytest

from bench.placement import KINDS, POLICIES, Scene, play

HEAVY = Scene(duration_s=12.0, load=1.5, returns_s=6.0)
SEEDS = (1, 2, 3)


def mean(policy, figure, scene=HEAVY):
    found = [play(POLICIES[policy], scene, seed)[figure] for seed in SEEDS]
    return sum(found) / len(found)


def test_a_run_repeats():
    scene = Scene(duration_s=3.0)
    one = play(POLICIES["product"], scene, 1)
    assert one == play(POLICIES["product"], scene, 1)
    assert one != play(POLICIES["product"], scene, 2)


@pytest.mark.parametrize("policy", POLICIES)
def test_every_prompt_is_answered_in_the_end(policy):
    figures = play(POLICIES[policy], Scene(duration_s=4.0), 1)
    assert all(figures[f"{kind.name}_served"] == 1.0 for kind in KINDS)


def test_a_target_that_comes_back_draws_no_rush_of_prompts():
    figure = "long_in_time"
    assert mean("product", figure) > mean("others_unseen", figure)
