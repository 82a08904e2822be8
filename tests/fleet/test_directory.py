from tests.fleet.builders import make_target
from vanillabeam.fleet import Directory


def names(directory):
    return sorted(directory.records)


def test_a_late_announcement_changes_nothing():
    directory = Directory()
    assert directory.update(make_target(sequence=5, draining=True), 1.0)
    assert not directory.update(make_target(sequence=4), 2.0)
    assert directory.records["t-1"].target.draining


def test_an_announcement_that_says_the_same_is_no_news_but_keeps_it_alive():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    version = directory.version
    assert not directory.update(make_target(sequence=2), 2.0)
    assert directory.version == version
    assert directory.silent_since(1.5) == []


def test_a_target_that_drains_stays_so_within_one_start():
    directory = Directory()
    directory.update(make_target(sequence=1, draining=True), 1.0)
    directory.update(make_target(sequence=2, draining=False), 2.0)
    assert directory.records["t-1"].target.draining
    directory.update(make_target(born_ms=2_000, sequence=1), 3.0)
    assert not directory.records["t-1"].target.draining


def test_a_start_before_the_known_one_is_ignored():
    directory = Directory()
    directory.update(make_target(born_ms=2_000, sequence=1), 1.0)
    assert not directory.update(make_target(born_ms=1_000, sequence=99), 2.0)


def test_a_dead_start_at_a_reused_address_is_not_brought_back():
    directory = Directory()
    address = "10.0.0.9:80"
    directory.update(make_target("old", address=address, born_ms=1_000), 1.0)
    directory.update(make_target("new", address=address, born_ms=2_000), 2.0)
    assert names(directory) == ["new"]
    late = make_target("old", address=address, born_ms=1_000, sequence=9)
    assert not directory.update(late, 3.0)
    assert names(directory) == ["new"]


def test_one_that_left_comes_back_only_with_a_new_start():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    directory.mark_ended(("t-1", 1_000))
    assert not directory.update(make_target(sequence=2), 2.0)
    assert names(directory) == []
    assert directory.update(make_target(born_ms=2_000, sequence=1), 3.0)


def test_a_silent_one_comes_back_with_its_next_word():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    assert directory.silent_since(2.0) == [("t-1", 1_000)]
    directory.forget("t-1")
    assert names(directory) == []
    assert directory.update(make_target(sequence=2), 3.0)


def test_turning_cold_is_news():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    assert directory.update(make_target(sequence=2, cold_ms=3_000.0), 2.0)
    assert directory.records["t-1"].cold_until_s == 5.0


def test_what_changed_after_a_version_is_told():
    directory = Directory()
    directory.update(make_target("t-1"), 1.0)
    version = directory.version
    directory.update(make_target("t-2"), 1.0)
    directory.mark_ended(("t-3", 5))
    changed = [each.target.name for each in directory.changed_after(version)]
    assert changed == ["t-2"]
    assert directory.ended_after(version) == [("t-3", 5)]
