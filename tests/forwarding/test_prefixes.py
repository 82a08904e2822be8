from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import PartIndex, PartView, StoreEvent
from vanillabeam.forwarding.dialect import PromptPart
from vanillabeam.forwarding.prefixes import Sources, plan_prefix

PARTS = (PromptPart("sys", 10), PromptPart("session", 90), PromptPart("own", 5))
SMALL = Store("small", "10.0.0.1:80", "a", 100)
LARGE = Store("large", "10.0.0.2:80", "b", 900)


def make_view(*held, asked_s=0.0):
    index, view = PartIndex("e"), PartView()
    index.apply(LARGE.address, [StoreEvent("salt", part, 50) for part in held])
    news = index.changes_since(view.request(), term=1, clock_ms=1_000.0)
    view.apply(news, asked_s, asked_s)
    return view


def plan(
    view,
    now_s=0.0,
    left_s=2.0,
    salt="salt",
    stores=(SMALL, LARGE),
    parts=PARTS,
    cached=(),
):
    sources = Sources(view, stores, cached.__contains__)
    return plan_prefix(parts, salt, sources, now_s, left_s)


def test_kept_parts_are_fetched_by_the_length_that_is_whole():
    found = plan(make_view("sys", "session"))
    assert [held and held.tokens for held in found.fetches] == [50, 50, None]
    assert found.saves == ("", "", "")


def test_what_is_kept_nowhere_is_saved_but_the_requests_own_part():
    found = plan(make_view())
    assert not any(found.fetches)
    assert [bool(store) for store in found.saves] == [True, True, False]


def test_a_part_behind_one_that_is_missing_is_of_no_use():
    found = plan(make_view("session"))
    assert not any(found.fetches)
    assert found.saves[0]
    assert not found.saves[1]


def test_a_fetch_may_wait_at_its_target_as_long_as_its_request():
    assert plan(make_view("sys"), now_s=0.5, left_s=2.0).until_ms == 3_500.0


def test_nothing_is_fetched_or_saved_while_the_leader_is_not_heard():
    found = plan(make_view("sys", "session"), now_s=1_000.0)
    assert not any(found.fetches)
    assert not any(found.saves)


def test_another_salt_finds_nothing():
    assert not any(plan(make_view("sys"), salt="other").fetches)


def test_the_store_of_a_part_is_the_same_everywhere_and_follows_room():
    counts = {SMALL.address: 0, LARGE.address: 0}
    for number in range(400):
        parts = (PromptPart(f"p{number}", 1), PromptPart("own", 1))
        one = plan(make_view(), salt="s", stores=(SMALL, LARGE), parts=parts)
        other = plan(make_view(), salt="s", stores=(LARGE, SMALL), parts=parts)
        assert one.saves == other.saves
        counts[one.saves[0]] += 1
    assert 320 < counts[LARGE.address] < 390


def test_a_part_that_the_target_has_itself_is_no_gap():
    found = plan(make_view("session"), cached=["sys"])
    assert [held is not None for held in found.fetches] == [False, True, False]
    assert found.saves[0]
