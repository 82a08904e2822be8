"""A cold start: prompts are as dear as they are, not as dear as they will be."""

import pytest

from tests.fleet.builders import make_target
from tests.forwarding.builders import make_facts, make_prompt
from vanillabeam.forwarding.costs import (
    FAR_FACTOR,
    FAVOURITE_SHARE,
    FETCH_SHARE,
    MOST_FETCH_SHARE,
    Kept,
    fetch_share,
    prompt_costs,
)

#: Parts of 10, 90 and 5 tokens; the last one is the request's own.
PROMPT = make_prompt()
NEAR, FAR = make_target("t-1", data_centre="a"), make_target("t-2", data_centre="b")


def keep(*parts, share=0.1):
    return {part: Kept("a", share) for part in parts}.get


def test_a_part_that_a_store_keeps_makes_every_target_cheap():
    costs = prompt_costs(PROMPT, keep("sys", "s-1"), 0)
    assert costs.at(NEAR, is_favourite=False) == 5 + 10
    assert costs.at(FAR, is_favourite=False) == 5 + 10 * FAR_FACTOR
    assert costs.at(NEAR, is_favourite=True) == 5 + 10 * FAVOURITE_SHARE


def test_what_no_store_keeps_nobody_has_read():
    costs = prompt_costs(PROMPT, keep(), 0)
    assert {costs.at(NEAR, True), costs.at(FAR, False)} == {105}
    costs = prompt_costs(PROMPT, keep("sys"), 0)
    assert costs.at(NEAR, is_favourite=False) == 96


def test_a_part_behind_one_that_is_not_kept_is_read():
    assert prompt_costs(PROMPT, keep("s-1"), 0).at(NEAR, False) == 105


def test_where_nothing_is_known_of_stores_the_favourite_has_read_all():
    costs = prompt_costs(PROMPT, None, 0)
    assert (costs.at(NEAR, True), costs.at(NEAR, False)) == (5, 105)


def test_a_target_that_has_used_the_parts_lately_reads_only_the_rest():
    costs = prompt_costs(PROMPT, keep(), 0, frozenset([NEAR.incarnation]))
    assert costs.at(NEAR, is_favourite=False) == 5
    assert costs.at(FAR, is_favourite=True) == 105


def test_a_prompt_takes_memory_for_all_its_parts_and_its_answer():
    costs = prompt_costs(make_prompt(output_tokens=40), None, 2)
    assert (costs.needed.rank, costs.needed.tokens) == (2, 145)


def test_a_plain_call_has_no_costs():
    assert prompt_costs(make_facts(), None, 0) is None


def test_a_fetch_costs_the_time_that_its_link_takes():
    assert fetch_share(20_000, 5e9, 50_000) == pytest.approx(0.2)
    assert fetch_share(20_000, 1e6, 50_000) == MOST_FETCH_SHARE


@pytest.mark.parametrize("known", [(0, 5e9, 50_000), (1, 0, 50_000), (1, 5e9, 0)])
def test_what_is_not_known_leaves_the_usual_share(known):
    assert fetch_share(*known) == FETCH_SHARE
