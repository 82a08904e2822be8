from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import (
    VIEW_LEASE_S,
    PartIndex,
    PartView,
    StoredPart,
    StoreEvent,
)
from vanillabeam.fleet.reclaimer import MIN_IDLE_S, PartReclaimer, is_outdated

STORE = Store("s", "10.0.0.5:80", "a", 1_000)
NOTHING = {"epoch": "", "version": 0}


def make_index(*parts, epoch="e-1"):
    index = PartIndex(epoch)
    index.apply(STORE.address, [StoreEvent("s", part, 100) for part in parts])
    return index


def read(index, view, term=1, asked_s=0.0):
    view.apply(
        index.changes_since(view.request(), term, clock_ms=5_000.0), asked_s, asked_s
    )


def test_a_copy_follows_the_index():
    index, view = make_index("p"), PartView()
    read(index, view)
    assert view.find("s", "p", 0.1) == StoredPart(STORE.address, 100)
    index.apply(STORE.address, [StoreEvent("s", "p", 0), StoreEvent("s", "q", 7)])
    news = index.changes_since(view.request(), 1, 0.0)
    assert not news["whole"]
    read(index, view)
    assert view.find("s", "p", 0.1) is None
    assert view.find("s", "q", 0.1).tokens == 7


def test_a_copy_counts_only_while_the_leader_is_heard():
    index, view = make_index("p"), PartView()
    read(index, view, asked_s=1.0)
    assert view.find("s", "p", 1.0 + VIEW_LEASE_S - 0.01)
    assert view.find("s", "p", 1.0 + VIEW_LEASE_S) is None


def test_a_former_leader_is_not_believed():
    view = PartView()
    read(make_index("new", epoch="e-2"), view, term=2)
    read(make_index("old", epoch="e-1"), view, term=1, asked_s=9.0)
    assert view.find("s", "new", 0.1)
    assert view.find("s", "old", 0.1) is None
    assert not view.is_fresh(9.0)


def test_a_store_that_restarts_empty_is_known_empty():
    index, view = make_index("p"), PartView()
    read(index, view)
    index.reset(STORE.address, [])
    read(index, view)
    assert view.find("s", "p", 0.1) is None


def test_the_clock_runs_on_between_answers():
    view = PartView()
    read(make_index("p"), view, asked_s=1.0)
    assert view.clock_ms(1.5) == 5_500.0


def test_a_part_that_is_retired_is_named_no_longer_though_its_store_holds_it():
    index = make_index("p")
    index.retire(("s", "p"))
    index.apply(STORE.address, [StoreEvent("s", "p", 100)])
    assert index.changes_since(NOTHING, 1, 0.0)["held"] == []
    index.release(("s", "p"))
    index.apply(STORE.address, [StoreEvent("s", "p", 100)])
    assert len(index.changes_since(NOTHING, 1, 0.0)["held"]) == 1


def test_nothing_is_freed_before_every_copy_and_request_has_ended():
    index = make_index("p")
    reclaimer = PartReclaimer(index)
    reclaimer.retire(STORE, lambda salt: True, now_s=10.0)
    ends_s = 10.0 + VIEW_LEASE_S + 12.0
    assert reclaimer.reclaimable(STORE, 12.0, ends_s) == []
    assert reclaimer.reclaimable(STORE, 12.0, ends_s + 10.0) == [("s", "p")]
    reclaimer.mark_freed([("s", "p")])
    assert reclaimer.reclaimable(STORE, 12.0, ends_s + 10.0) == []


def test_a_full_store_loses_what_was_not_used_for_longest():
    index = make_index(*[f"p{i}" for i in range(9)])
    index.mark_used(("s", "p0"), 0.0)
    reclaimer = PartReclaimer(index)
    assert reclaimer.retire(STORE, lambda salt: False, now_s=MIN_IDLE_S) == 2
    left = [key[1] for key, _ in index.parts_at(STORE.address)]
    assert left == ["p3", "p4", "p5", "p6", "p7", "p8", "p0"]
    assert reclaimer.retire(STORE, lambda salt: False, now_s=MIN_IDLE_S) == 0


def test_a_full_store_keeps_what_was_used_lately():
    index = make_index(*[f"p{i}" for i in range(9)])
    for part, used_s in [(f"p{i}", 10.0) for i in range(2, 9)]:
        index.mark_used(("s", part), used_s)
    index.mark_used(("s", "p1"), 10.5)
    index.mark_used(("s", "p1"), 5.0)
    reclaimer = PartReclaimer(index)
    assert reclaimer.retire(STORE, lambda salt: False, now_s=11.0) == 1
    assert reclaimer.retire(STORE, lambda salt: False, now_s=11.0) == 0
    left = [key[1] for key, _ in index.parts_at(STORE.address)]
    assert left == ["p2", "p3", "p4", "p5", "p6", "p7", "p8", "p1"]


def test_salts_of_weights_that_no_target_holds_are_outdated():
    assert is_outdated("studio/m/1", {"m": 2})
    assert not is_outdated("/m/2", {"m": 2})
    assert not is_outdated("/other/1", {"m": 2})
    assert not is_outdated("strange", {"m": 2})
