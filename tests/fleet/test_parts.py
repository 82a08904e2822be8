from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import (
    VIEW_LEASE_S,
    PartIndex,
    PartView,
    RecentFetches,
    StoredPart,
    StoreEvent,
)
from vanillabeam.fleet.reclaimer import MIN_IDLE_S, PartReclaimer, is_outdated

STORE = Store("s", "10.0.0.5:80", "a", 1_000)
EMPTY_REQUEST = {"epoch": "", "version": 0}


def make_index(*parts, epoch="e-1"):
    index = PartIndex(epoch)
    index.apply(STORE.address, [StoreEvent("s", part, 100) for part in parts])
    return index


def pull(index, view, term=1, requested_s=0.0):
    view.apply(
        index.changes_since(view.request(), term, clock_ms=5_000.0),
        requested_s,
        requested_s,
    )


def test_a_copy_follows_the_index():
    index, view = make_index("p"), PartView()
    pull(index, view)
    assert view.find("s", "p", 0.1) == StoredPart(STORE.address, 100)
    index.apply(STORE.address, [StoreEvent("s", "p", 0), StoreEvent("s", "q", 7)])
    changes = index.changes_since(view.request(), 1, 0.0)
    assert not changes["whole"]
    pull(index, view)
    assert view.find("s", "p", 0.1) is None
    assert view.find("s", "q", 0.1).tokens == 7


def test_a_copy_expires_when_the_leader_stops_answering():
    index, view = make_index("p"), PartView()
    pull(index, view, requested_s=1.0)
    assert view.find("s", "p", 1.0 + VIEW_LEASE_S - 0.01)
    assert view.find("s", "p", 1.0 + VIEW_LEASE_S) is None


def test_answers_of_a_former_leader_are_ignored():
    view = PartView()
    pull(make_index("new", epoch="e-2"), view, term=2)
    pull(make_index("old", epoch="e-1"), view, term=1, requested_s=9.0)
    assert view.find("s", "new", 0.1)
    assert view.find("s", "old", 0.1) is None
    assert not view.is_fresh(9.0)


def test_the_parts_of_a_restarted_store_are_removed_from_copies():
    index, view = make_index("p"), PartView()
    pull(index, view)
    index.reset(STORE.address, [])
    pull(index, view)
    assert view.find("s", "p", 0.1) is None


def test_the_clock_advances_between_answers():
    view = PartView()
    pull(make_index("p"), view, requested_s=1.0)
    assert view.clock_ms(1.5) == 5_500.0


def test_a_retired_part_stays_out_of_the_index_until_its_release():
    index = make_index("p")
    index.retire(("s", "p"))
    index.apply(STORE.address, [StoreEvent("s", "p", 100)])
    assert index.changes_since(EMPTY_REQUEST, 1, 0.0)["held"] == []
    index.release(("s", "p"))
    index.apply(STORE.address, [StoreEvent("s", "p", 100)])
    assert len(index.changes_since(EMPTY_REQUEST, 1, 0.0)["held"]) == 1


def test_a_part_is_freed_only_after_all_copies_and_requests_have_expired():
    index = make_index("p")
    reclaimer = PartReclaimer(index)
    reclaimer.retire(STORE, lambda salt: True, now_s=10.0)
    ends_s = 10.0 + VIEW_LEASE_S + 12.0
    assert reclaimer.reclaimable(STORE, 12.0, ends_s) == []
    assert reclaimer.reclaimable(STORE, 12.0, ends_s + 10.0) == [("s", "p")]
    reclaimer.mark_freed([("s", "p")])
    assert reclaimer.reclaimable(STORE, 12.0, ends_s + 10.0) == []


def test_a_full_store_retires_the_least_recently_used_parts():
    index = make_index(*[f"p{i}" for i in range(9)])
    index.mark_used(("s", "p0"), 0.0)
    reclaimer = PartReclaimer(index)
    assert reclaimer.retire(STORE, lambda salt: False, now_s=MIN_IDLE_S) == 2
    remaining = [key[1] for key, _ in index.parts_at(STORE.address)]
    assert remaining == ["p3", "p4", "p5", "p6", "p7", "p8", "p0"]
    assert reclaimer.retire(STORE, lambda salt: False, now_s=MIN_IDLE_S) == 0


def test_a_full_store_keeps_recently_used_parts():
    index = make_index(*[f"p{i}" for i in range(9)])
    for part, used_s in [(f"p{i}", 10.0) for i in range(2, 9)]:
        index.mark_used(("s", part), used_s)
    index.mark_used(("s", "p1"), 10.5)
    index.mark_used(("s", "p1"), 5.0)
    reclaimer = PartReclaimer(index)
    assert reclaimer.retire(STORE, lambda salt: False, now_s=11.0) == 1
    assert reclaimer.retire(STORE, lambda salt: False, now_s=11.0) == 0
    remaining = [key[1] for key, _ in index.parts_at(STORE.address)]
    assert remaining == ["p2", "p3", "p4", "p5", "p6", "p7", "p8", "p1"]


def test_salts_of_weights_that_no_target_holds_are_outdated():
    assert is_outdated("studio/m/1", {"m": 2})
    assert not is_outdated("/m/2", {"m": 2})
    assert not is_outdated("/other/1", {"m": 2})
    assert not is_outdated("strange", {"m": 2})


def test_a_reader_gets_only_the_changes_since_its_version():
    index = make_index("p", "q", "r")
    since = {"epoch": "e-1", "version": index.version}
    index.apply(STORE.address, [StoreEvent("s", "q", 0), StoreEvent("s", "p", 50)])
    index.apply("10.0.0.6:80", [StoreEvent("s", "z", 7)])
    changes = index.changes_since(since, 1, 0.0)
    assert sorted(changes["held"]) == [
        ("s", "p", STORE.address, 50),
        ("s", "z", "10.0.0.6:80", 7),
    ]
    assert changes["gone"] == [("s", "q")]


def test_a_part_that_moves_to_another_store_counts_there_only():
    index = make_index("p", "q")
    index.apply("10.0.0.6:80", [StoreEvent("s", "p", 30)])
    assert index.tokens_at(STORE.address) == 100
    assert index.tokens_at("10.0.0.6:80") == 30
    assert [key for key, _ in index.parts_at(STORE.address)] == [("s", "q")]


def test_parts_are_selected_by_salt():
    index = make_index("p", "q")
    index.apply(STORE.address, [StoreEvent("other", "p", 30)])
    keys = index.keys_of(STORE.address, lambda salt: salt == "other")
    assert keys == [("other", "p")]
    assert index.keys_of("10.0.0.6:80", lambda salt: True) == []


def test_requests_report_the_time_since_a_part_was_last_fetched():
    fetches = RecentFetches()
    fetches.mark("s", "p", 0.0)
    fetches.mark("s", "q", 1.0)
    assert fetches.ages_s(2.0) == [("s", "p", 2.0), ("s", "q", 1.0)]
    fetches.mark("s", "p", 2.0)
    assert fetches.ages_s(2.0) == [("s", "q", 1.0), ("s", "p", 0.0)]
