"""Many entry VMs that share a late view: the herd after a common view."""

import random
from collections import Counter

from tests.fleet.builders import BOUNDS, make_target, make_view
from tests.forwarding.builders import make_prompt, teach_speed
from vanillabeam.fleet import Directory
from vanillabeam.fleet.loads import make_load
from vanillabeam.forwarding.choosing.candidates import sample_candidates
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.choosing.costs import estimate_costs

DATA_CENTRES = "abcdef"
TARGETS = {
    f"t-{n}": make_target(
        f"t-{n}",
        address=f"10.0.0.{n}:80",
        data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
        versions={"m": 1},
    )
    for n in range(60)
}
ENTRIES = tuple(f"vm-{n}" for n in range(200))
#: Work at each target but one, which is the least loaded in everybody's view.
BUSY = make_load({name: {0: 5_000} for name in TARGETS if name != "t-7"})
RATE_S = 50_000


def make_choosers():
    directory = Directory()
    for target in TARGETS.values():
        directory.update(target, 0.0)
    for number, vm in enumerate(ENTRIES):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        yield Chooser(vm, data_centre, directory, BOUNDS, random.Random(vm))


def choose(chooser, session, objective_s=0.0):
    metadata = make_prompt(session)
    costs = estimate_costs(metadata, lambda part: None, 0, objective_s=objective_s)
    return chooser.choose("llm", metadata, make_view(), ENTRIES, set(), 0.0, costs)


def test_a_target_that_looks_free_to_all_is_not_crowded():
    chosen = Counter()
    for number, chooser in enumerate(make_choosers()):
        chooser.load.update_others(BUSY, 0.0)
        chosen[choose(chooser, f"s-{number}").target.name] += 1
    fair_share = len(ENTRIES) / len(TARGETS)
    assert max(chosen.values()) <= 4 * fair_share
    assert len(chosen) > len(TARGETS) / 2


def test_all_targets_are_compared_if_a_prompt_would_be_late_at_the_candidates():
    for number, chooser in enumerate(make_choosers()):
        teach_speed(chooser.load, RATE_S, *TARGETS)
        chooser.load.update_others(BUSY, 0.0)
        objective_s = 5_000 / RATE_S
        assert choose(chooser, f"s-{number}", objective_s).target.name == "t-7"


def sample(seed, data_centre="a", holders=frozenset()):
    return sample_candidates(
        list(TARGETS), TARGETS, holders, data_centre, random.Random(seed)
    )


def test_the_preferred_target_is_always_compared():
    assert all("t-0" in sample(seed) for seed in range(50))


def test_the_others_are_of_the_own_data_centre():
    others = set().union(*(sample(seed, "c") for seed in range(200))) - {"t-0"}
    assert others == {name for name in TARGETS if TARGETS[name].data_centre == "c"}


def test_without_targets_in_the_own_data_centre_all_others_are_possible():
    others = set().union(*(sample(seed, "z") for seed in range(2_000)))
    assert others == set(TARGETS)


def test_targets_that_have_the_shared_parts_are_compared():
    assert "t-9" in sample(1, holders=frozenset({TARGETS["t-9"].incarnation}))


def test_a_single_target_is_the_only_candidate():
    only = {"t-0": TARGETS["t-0"]}
    picked = sample_candidates(["t-0"], only, frozenset(), "a", random.Random(1))
    assert picked == {"t-0"}
