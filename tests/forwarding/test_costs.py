"""A cold start: prompts are as dear as they are, not as dear as they will be."""

import pytest

from tests.fleet.builders import make_target
from tests.forwarding.builders import make_metadata, make_prompt
from vanillabeam.forwarding.costs import (
    DEFAULT_FETCH_COST_RATIO,
    MAX_FETCH_COST_RATIO,
    PREFERRED_FETCH_FACTOR,
    REMOTE_FETCH_FACTOR,
    FetchCost,
    estimate_costs,
    fetch_cost_ratio,
)

#: Parts of 10, 90 and 5 tokens; the last one is the request's own.
PROMPT = make_prompt()
NEAR, FAR = make_target("t-1", data_centre="a"), make_target("t-2", data_centre="b")


def keep(*parts, share=0.1):
    return {part: FetchCost("a", share) for part in parts}.get


def test_a_part_that_a_store_keeps_makes_every_target_cheap():
    costs = estimate_costs(PROMPT, keep("sys", "s-1"), 0)
    assert costs.work_at(NEAR, is_preferred=False) == 5 + 10
    assert costs.work_at(FAR, is_preferred=False) == 5 + 10 * REMOTE_FETCH_FACTOR
    assert costs.work_at(NEAR, is_preferred=True) == 5 + 10 * PREFERRED_FETCH_FACTOR


def test_what_no_store_keeps_nobody_has_read():
    costs = estimate_costs(PROMPT, keep(), 0)
    assert {costs.work_at(NEAR, True), costs.work_at(FAR, False)} == {105}
    costs = estimate_costs(PROMPT, keep("sys"), 0)
    assert costs.work_at(NEAR, is_preferred=False) == 96


def test_a_part_behind_one_that_is_not_kept_is_read():
    assert estimate_costs(PROMPT, keep("s-1"), 0).work_at(NEAR, False) == 105


def test_where_nothing_is_known_of_stores_the_favourite_has_read_all():
    costs = estimate_costs(PROMPT, None, 0)
    assert (costs.work_at(NEAR, True), costs.work_at(NEAR, False)) == (5, 105)


def test_a_target_that_has_used_the_parts_lately_reads_only_the_rest():
    costs = estimate_costs(PROMPT, keep(), 0, frozenset([NEAR.life]))
    assert costs.work_at(NEAR, is_preferred=False) == 5
    assert costs.work_at(FAR, is_preferred=True) == 105


def test_a_prompt_takes_memory_for_all_its_parts_and_its_answer():
    costs = estimate_costs(make_prompt(output_tokens=40), None, 2)
    assert (costs.memory_demand.rank, costs.memory_demand.tokens) == (2, 145)


def test_a_plain_call_has_no_costs():
    assert estimate_costs(make_metadata(), None, 0) is None


def test_a_fetch_costs_the_time_that_its_link_takes():
    assert fetch_cost_ratio(20_000, 5e9, 50_000) == pytest.approx(0.2)
    assert fetch_cost_ratio(20_000, 1e6, 50_000) == MAX_FETCH_COST_RATIO


@pytest.mark.parametrize("known", [(0, 5e9, 50_000), (1, 0, 50_000), (1, 5e9, 0)])
def test_what_is_not_known_leaves_the_usual_share(known):
    assert fetch_cost_ratio(*known) == DEFAULT_FETCH_COST_RATIO
