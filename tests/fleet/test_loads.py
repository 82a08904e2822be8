from collections import Counter

from hypothesis import given, strategies as st

from vanillabeam.fleet.loads import (
    ENTRY_SILENCE_S,
    LOAD_SILENCE_S,
    EntryLoads,
    add_loads,
    make_load,
)


def make_loads():
    loads = EntryLoads()
    loads.update("e-1", make_load({"t": {0: 5, 2: 10}}, {"t": 100}), now_s=0.0)
    second = make_load({"t": {2: 7}, "u": {1: 3}}, {"t": 50, "u": 9})
    loads.update("e-2", second, now_s=1.0)
    loads.update("e-3", make_load(), now_s=1.0)
    return loads


def test_work_and_memory_of_all_others_are_summed():
    loads = EntryLoads()
    loads.update("x", make_load({"t": {0: 5, 2: 7}}, {"t": 50}), now_s=0.0)
    loads.update("y", make_load({"t": {2: 1}}, {"t": 8}), now_s=0.0)
    loads.update("z", make_load({"u": {1: 9}}, {"u": 3}), now_s=0.0)
    assert loads.total_except("z", 0.0)["work"] == {"t": {0: 5, 2: 8}}
    assert loads.total_except("y", 0.0)["room"] == {"t": 50, "u": 3}


def test_each_entry_vm_gets_the_sum_of_all_others():
    loads = make_loads()
    assert loads.total_except("e-3", 1.0)["work"] == {"t": {0: 5, 2: 17}, "u": {1: 3}}
    assert loads.total_except("e-3", 1.0)["room"] == {"t": 150, "u": 9}
    assert loads.total_except("e-1", 1.0)["work"] == {"t": {2: 7}, "u": {1: 3}}
    assert loads.total_except("e-2", 1.0)["room"] == {"t": 100}


def test_the_load_of_an_unreachable_entry_vm_soon_expires():
    load = make_loads().total_except("e-3", LOAD_SILENCE_S + 0.1)
    assert load["room"] == {"t": 50, "u": 9}
    assert load["work"] == {"t": {2: 7}, "u": {1: 3}}


def test_a_silent_entry_vm_stays_active_longer_than_its_load_counts():
    loads = make_loads()
    assert loads.active_vms(LOAD_SILENCE_S + 0.1) == ["e-1", "e-2", "e-3"]
    assert loads.active_vms(ENTRY_SILENCE_S + 0.1) == ["e-2", "e-3"]
    assert loads.total_except("e-3", 1.0)["room"] == {"t": 50, "u": 9}


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(["e-1", "e-2", "e-3", "e-4"]),
        st.dictionaries(
            st.sampled_from(["t", "u"]),
            st.dictionaries(st.integers(0, 2), st.integers(1, 9), min_size=1),
        ),
        st.dictionaries(st.sampled_from(["t", "u"]), st.integers(1, 9)),
        st.floats(0.0, 2.0),
    ),
    max_size=20,
)


@given(REPORTS)
def test_the_sum_that_is_kept_up_to_date_equals_a_new_one(reports):
    loads, newest, now_s = EntryLoads(), {}, 0.0
    for vm, work, room, pause_s in reports:
        now_s += pause_s
        loads.update(vm, make_load(work, room), now_s)
        newest[vm] = (work, room, now_s)
        loads.active_vms(now_s)
        total = loads.total_except("e-1", now_s)
        counted = [
            load
            for other, (*load, at_s) in newest.items()
            if other != "e-1" and at_s > now_s - LOAD_SILENCE_S
        ]
        assert total["room"] == sums(room for _, room in counted)
        assert {target: sums([work]) for target, work in total["work"].items()} == {
            target: sums(work.get(target, {}) for work, _ in counted)
            for target in {target for work, _ in counted for target in work}
        }


def sums(dicts):
    total = Counter()
    for each in dicts:
        total.update(each)
    return dict(total)


# Guards against sums that change a report, or keep what a VM no longer reports.
def test_sums_over_answers_are_added_and_taken_back():
    loads = EntryLoads()
    first = make_load(prefills={"t": [1, 2, 3, 400, 5_000]}, calls={"t": 1})
    loads.update("x", first, 0.0)
    second = make_load(prefills={"t": [1, 1, 9, 100, 1_000], "u": [1, 1, 1, 1, 1]})
    loads.update("y", second, 0.0)
    total = loads.total_except("z", 0.0)
    assert total["prefills"] == {"t": [2, 3, 12, 500, 6_000], "u": [1, 1, 1, 1, 1]}
    assert loads.total_except("y", 0.0)["prefills"] == {"t": [1, 2, 3, 400, 5_000]}
    assert first["prefills"] == {"t": [1, 2, 3, 400, 5_000]}
    loads.update("x", make_load(), 0.0)
    loads.forget("y")
    assert loads.total_except("z", 0.0) == make_load()


def test_reports_of_older_releases_have_no_sums():
    loads = EntryLoads()
    loads.update("x", {"work": {}, "room": {"t": 5}}, 0.0)
    loads.update("y", make_load(ended={"t": [1, 1, 1, 9, 1]}), 0.0)
    assert loads.total_except("z", 0.0)["ended"] == {"t": [1, 1, 1, 9, 1]}


def test_a_vm_gets_no_open_work_of_its_own_group_twice():
    """It hears of that directly; outcomes only come from control VMs."""
    loads = EntryLoads()
    for vm, group in (("a-1", "a"), ("a-2", "a"), ("b-1", "b")):
        load = make_load({"t": {1: 10}}, {"t": 100}, answers={"t": 1})
        loads.update(vm, load, 0.0, {group: make_load({"t": {1: 10}}, {"t": 100})})
    loads.update("c-1", make_load({"t": {1: 5}}), 0.0)
    total = loads.total_except("a-1", 0.0, "a")
    assert total["work"] == {"t": {1: 15}}
    assert total["room"] == {"t": 100}
    assert total["answers"] == {"t": 2}
    assert loads.total_except("c-1", 0.0)["work"] == {"t": {1: 30}}
    loads.forget("a-2")
    assert loads.group_totals(0.0)["a"]["room"] == {"t": 100}
    assert loads.total_except("b-1", 0.0, "b")["work"] == {"t": {1: 15}}


# Guards against a sum that is added to another one and differs from the sum alone.
@given(REPORTS, REPORTS)
def test_a_sum_added_to_another_is_the_sum_of_both(first, second):
    sums = [EntryLoads(), EntryLoads()]
    now_s = 0.0
    for loads, reports in zip(sums, (first, second), strict=True):
        for vm, work, room, at_s in reports:
            now_s = max(now_s, at_s)
            loads.update(vm, make_load(work, room), now_s)
    expected = add_loads(*(loads.total_except("e-1", now_s) for loads in sums))
    total = sums[0].total_except("e-1", now_s)
    sums[1].add_to(total, "e-1", now_s)
    assert total == expected


def test_a_sum_that_a_reader_changes_is_a_copy():
    loads = make_loads()
    total = loads.total_except("e-3", 1.0)
    total["work"]["t"][0] += 9
    total["room"].clear()
    assert loads.total_except("e-3", 1.0) == make_loads().total_except("e-3", 1.0)
