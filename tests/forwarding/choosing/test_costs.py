"""Costs of prompts at their targets.

After a cold start no target has cached anything. The costs must follow what the
stores keep at the moment, not what the targets will have cached later.
"""

import pytest

from tests.fleet.builders import make_target
from tests.forwarding.builders import make_metadata, make_prompt
from vanillabeam.forwarding.choosing.costs import (
    DEFAULT_FETCH_COST_RATIO,
    MAX_FETCH_COST_RATIO,
    PREFERRED_FETCH_FACTOR,
    REMOTE_FETCH_FACTOR,
    FetchCost,
    estimate_costs,
    fetch_cost_ratio,
)

#: Parts of 10, 90 and 5 tokens; the last one belongs to the request alone.
PROMPT = make_prompt()
NEAR, FAR = make_target("t-1", data_centre="a"), make_target("t-2", data_centre="b")


def stored_in(*parts, share=0.1):
    return {part: FetchCost("a", share) for part in parts}.get


def test_a_stored_part_lowers_the_costs_at_every_target():
    costs = estimate_costs(PROMPT, stored_in("sys", "s-1"), 0)
    assert costs.work_at(NEAR, is_preferred=False) == 5 + 10
    assert costs.work_at(FAR, is_preferred=False) == 5 + 10 * REMOTE_FETCH_FACTOR
    assert costs.work_at(NEAR, is_preferred=True) == 5 + 10 * PREFERRED_FETCH_FACTOR


def test_parts_that_no_store_keeps_cost_their_full_prefill():
    costs = estimate_costs(PROMPT, stored_in(), 0)
    assert {costs.work_at(NEAR, True), costs.work_at(FAR, False)} == {105}
    costs = estimate_costs(PROMPT, stored_in("sys"), 0)
    assert costs.work_at(NEAR, is_preferred=False) == 96


def test_a_part_after_one_that_is_not_stored_is_prefilled():
    assert estimate_costs(PROMPT, stored_in("s-1"), 0).work_at(NEAR, False) == 105


def test_with_unknown_stores_the_preferred_target_has_cached_all_shared_parts():
    costs = estimate_costs(PROMPT, None, 0)
    assert (costs.work_at(NEAR, True), costs.work_at(NEAR, False)) == (5, 105)


def test_a_target_that_used_the_shared_parts_recently_prefills_only_the_last_one():
    costs = estimate_costs(PROMPT, stored_in(), 0, frozenset([NEAR.incarnation]))
    assert costs.work_at(NEAR, is_preferred=False) == 5
    assert costs.work_at(FAR, is_preferred=True) == 105


def test_a_prompt_takes_memory_for_all_its_parts_and_its_answer():
    costs = estimate_costs(make_prompt(output_tokens=40), None, 2)
    assert (costs.memory_demand.rank, costs.memory_demand.tokens) == (2, 145)


def test_a_plain_call_has_no_costs():
    assert estimate_costs(make_metadata(), None, 0) is None


def test_the_cost_of_a_fetch_follows_the_speed_of_the_link():
    assert fetch_cost_ratio(20_000, 5e9, 50_000) == pytest.approx(0.2)
    assert fetch_cost_ratio(20_000, 1e6, 50_000) == MAX_FETCH_COST_RATIO


@pytest.mark.parametrize("speeds", [(0, 5e9, 50_000), (1, 0, 50_000), (1, 5e9, 0)])
def test_an_unknown_speed_gives_the_default_ratio(speeds):
    assert fetch_cost_ratio(*speeds) == DEFAULT_FETCH_COST_RATIO
