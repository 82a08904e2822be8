import random

from tests.targets.builders import make_route_request, make_view
from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.rendezvous import rank
from vanillabeam.routing import CostWeights, Router


def make_router(views, **weights):
    router = Router("dc1", CostWeights(**weights), random.Random(1))
    for view in views:
        router.update(view)
    return router


def first(router, out=(), now_s=0.0, **changes):
    choices = router.choose(make_route_request(**changes), out, now_s)
    return choices[0].view.target if choices else None


def test_the_earliest_first_token_wins():
    busy = make_view("a", pending_tokens=9000)
    router = make_router([busy, make_view("b")])
    assert first(router) == "b"


def test_pending_work_is_assumed_done_after_its_expected_time():
    busy = make_view("a", pending_tokens=2000, prefill_tokens_s=1000.0)
    idle = make_view("b", prefill_tokens_s=800.0)
    router = make_router([busy, idle])
    assert first(router, now_s=0.0) == "b"
    assert first(router, now_s=2.0) == "a"


def test_a_conversation_returns_to_the_target_that_holds_its_blocks():
    router = make_router([make_view("a"), make_view("b")])
    blocks = ("x", "y", "z")
    router.placements.record("b", blocks)
    assert first(router, prompt_tokens=12_000, blocks=blocks) == "b"


def test_an_import_is_taken_only_when_cheaper_than_computing():
    slow_link = make_view("a", link_bytes_s=1e6)
    fast_link = make_view("b", link_bytes_s=1e10)
    router = make_router([slow_link, fast_link])
    request = make_route_request(prompt_tokens=2 * BLOCK_TOKENS, stored_blocks=2)
    scores = {c.view.target: c.score for c in router.choose(request, (), 0.0)}
    assert scores["a"].import_tokens == 0
    assert scores["b"].import_tokens == 2 * BLOCK_TOKENS
    priced = make_router([fast_link], link_byte_s=1.0)
    assert priced.choose(request, (), 0.0)[0].score.import_tokens == 0


def test_wrong_versions_closed_and_excluded_targets_are_no_candidates():
    router = make_router(
        [
            make_view("old", models={"ledger": "v0"}),
            make_view("shut", open=False),
            make_view("tried"),
            make_view("out", data_centre="dc2"),
        ]
    )
    assert first(router, out=["dc2"], excluded=frozenset(["tried"])) is None
    router.update(make_view("old"))
    assert first(router, out=["dc2"], excluded=frozenset(["tried"])) == "old"


def test_a_target_in_another_data_centre_costs_extra():
    views = [make_view("far", data_centre="dc2"), make_view("near")]
    assert first(make_router(views)) == "near"
    views[1] = make_view("near", pending_tokens=5000)
    assert first(make_router(views)) == "far"


def test_a_target_above_the_load_bound_is_ranked_last():
    hot = make_view("hot", in_use=40, run_s=0.0)
    router = make_router([hot, make_view("cool", prefill_tokens_s=100.0)])
    assert first(router) == "cool"


def test_entry_vms_agree_on_the_targets_of_a_conversation():
    views = [make_view(f"t{number}") for number in range(50)]
    rankings = set()
    for seed in range(5):
        router = Router("dc1", CostWeights(), random.Random(seed))
        for view in random.Random(seed).sample(views, len(views)):
            router.update(view)
        rankings.add(tuple(router._ranked(make_route_request(), sorted(router.views))))
    assert len(rankings) == 1


def test_removing_a_name_moves_only_its_own_keys():
    names = [f"e{number}" for number in range(9)]
    for key in map(str, range(100)):
        order = rank(key, names)
        rest = [name for name in names if name != order[0]]
        assert rank(key, rest)[0] == order[1]
