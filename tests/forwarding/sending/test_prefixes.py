from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import PartIndex, PartView, StoreEvent
from vanillabeam.forwarding.dialect import PromptPart
from vanillabeam.forwarding.sending.prefixes import Sources, plan_prefix

PARTS = (PromptPart("sys", 10), PromptPart("session", 90), PromptPart("own", 5))
SMALL = Store("small", "10.0.0.1:80", "a", 100)
LARGE = Store("large", "10.0.0.2:80", "b", 900)


def make_view(*stored, received_s=0.0):
    index, view = PartIndex("e"), PartView()
    index.apply(LARGE.address, [StoreEvent("salt", part, 50) for part in stored])
    changes = index.changes_since(view.request(), term=1, clock_ms=1_000.0)
    view.apply(changes, received_s, received_s)
    return view


def plan(
    view,
    now_s=0.0,
    remaining_s=2.0,
    salt="salt",
    stores=(SMALL, LARGE),
    parts=PARTS,
    cached=(),
):
    sources = Sources(view, stores, cached.__contains__)
    return plan_prefix(parts, salt, sources, now_s, remaining_s)


def test_stored_parts_are_fetched_with_their_stored_length():
    result = plan(make_view("sys", "session"))
    assert [stored and stored.tokens for stored in result.fetches] == [50, 50, None]
    assert result.saves == ("", "", "")


def test_parts_that_no_store_keeps_are_saved_except_the_last_one():
    result = plan(make_view())
    assert not any(result.fetches)
    assert [bool(store) for store in result.saves] == [True, True, False]


def test_a_part_after_a_missing_one_is_not_fetched():
    result = plan(make_view("session"))
    assert not any(result.fetches)
    assert result.saves[0]
    assert not result.saves[1]


def test_a_fetch_may_start_until_the_deadline_of_its_request():
    assert plan(make_view("sys"), now_s=0.5, remaining_s=2.0).until_ms == 3_500.0


def test_nothing_is_fetched_or_saved_while_the_part_view_is_stale():
    result = plan(make_view("sys", "session"), now_s=1_000.0)
    assert not any(result.fetches)
    assert not any(result.saves)


def test_parts_of_another_salt_are_not_fetched():
    assert not any(plan(make_view("sys"), salt="other").fetches)


def test_the_store_of_a_part_is_chosen_consistently_and_by_capacity():
    counts = {SMALL.address: 0, LARGE.address: 0}
    for number in range(400):
        parts = (PromptPart(f"p{number}", 1), PromptPart("own", 1))
        one = plan(make_view(), salt="s", stores=(SMALL, LARGE), parts=parts)
        other = plan(make_view(), salt="s", stores=(LARGE, SMALL), parts=parts)
        assert one.saves == other.saves
        counts[one.saves[0]] += 1
    assert 320 < counts[LARGE.address] < 390


def test_parts_after_one_that_the_target_has_cached_are_fetched():
    result = plan(make_view("session"), cached=["sys"])
    assert [stored is not None for stored in result.fetches] == [False, True, False]
    assert result.saves[0]


# Guards against parts that are saved anew in a store that has restarted, while others
# still have them fetched there.
def test_parts_are_saved_in_the_stores_that_do_not_rest_only():
    view = make_view("sys")
    for resting in ([LARGE.address], [SMALL.address], [SMALL.address, LARGE.address]):
        changes = PartIndex("e").changes_since(view.request(), 1, 1_000.0)
        view.apply(changes | {"resting": resting, "whole": False}, 0.0, 0.0)
        result = plan(view)
        assert not {*result.saves} & {*resting}
        assert bool(result.saves[1]) == (len(resting) == 1)
        assert result.fetches[0] is not None
    view.apply(PartIndex("e").changes_since(view.request(), 1, 1_000.0), 0.0, 0.0)
    assert all(plan(view).saves[:2])
