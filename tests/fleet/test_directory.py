import pytest
from hypothesis import given, strategies as st

from tests.fleet.builders import make_target
from vanillabeam.fleet import Directory
from vanillabeam.fleet.directory import READ_MARGIN_S


def names(directory):
    return sorted(directory.records)


def test_a_late_announcement_changes_nothing():
    directory = Directory()
    assert directory.update(make_target(sequence=5, draining=True), 1.0)
    assert not directory.update(make_target(sequence=4), 2.0)
    assert directory.records["t-1"].target.draining


def test_an_unchanged_announcement_only_keeps_the_target_alive():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    version = directory.version
    assert not directory.update(make_target(sequence=2), 2.0)
    assert directory.version == version
    assert directory.silent_since(1.5) == []


def test_a_draining_target_stays_draining_until_it_restarts():
    directory = Directory()
    directory.update(make_target(sequence=1, draining=True), 1.0)
    directory.update(make_target(sequence=2, draining=False), 2.0)
    assert directory.records["t-1"].target.draining
    directory.update(make_target(born_ms=2_000, sequence=1), 3.0)
    assert not directory.records["t-1"].target.draining


def test_an_announcement_of_an_earlier_incarnation_is_ignored():
    directory = Directory()
    directory.update(make_target(born_ms=2_000, sequence=1), 1.0)
    assert not directory.update(make_target(born_ms=1_000, sequence=99), 2.0)


def test_an_ended_incarnation_at_a_reused_address_is_not_added_again():
    directory = Directory()
    address = "10.0.0.9:80"
    directory.update(make_target("old", address=address, born_ms=1_000), 1.0)
    directory.update(make_target("new", address=address, born_ms=2_000), 2.0)
    assert names(directory) == ["new"]
    late = make_target("old", address=address, born_ms=1_000, sequence=9)
    assert not directory.update(late, 3.0)
    assert names(directory) == ["new"]


def test_a_target_that_left_returns_only_with_a_new_incarnation():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    directory.mark_ended(("t-1", 1_000))
    assert not directory.update(make_target(sequence=2), 2.0)
    assert names(directory) == []
    assert directory.update(make_target(born_ms=2_000, sequence=1), 3.0)


def test_a_silent_target_returns_with_its_next_announcement():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    assert directory.silent_since(2.0) == [("t-1", 1_000)]
    directory.forget("t-1")
    assert names(directory) == []
    assert directory.update(make_target(sequence=2), 3.0)


def test_turning_cold_counts_as_a_change():
    directory = Directory()
    directory.update(make_target(sequence=1), 1.0)
    assert directory.update(make_target(sequence=2, cold_ms=3_000.0), 2.0)
    assert directory.records["t-1"].cold_until_s == 5.0


def test_changes_after_a_version_are_returned():
    directory = Directory()
    directory.update(make_target("t-1"), 1.0)
    version = directory.version
    directory.update(make_target("t-2"), 1.0)
    directory.mark_ended(("t-3", 5))
    changed = [record.target.name for record in directory.changed_after(version)]
    assert changed == ["t-2"]
    assert directory.ended_after(version) == [("t-3", 5)]


def test_a_target_drains_whichever_announcement_says_so():
    directory = Directory()
    directory.update(make_target(sequence=5), 1.0)
    assert directory.update(make_target(sequence=3, draining=True), 2.0)
    assert directory.records["t-1"].target.draining
    assert directory.records["t-1"].target.sequence == 5
    assert not directory.update(make_target(sequence=4), 3.0)


def test_an_earlier_start_says_nothing_of_the_present_one():
    directory = Directory()
    directory.update(make_target(born_ms=2_000), 1.0)
    assert not directory.update(make_target(draining=True), 2.0)
    assert not directory.mark_draining(("t-1", 1_000))
    assert not directory.records["t-1"].target.draining


def test_a_target_that_is_marked_as_draining_stays_so():
    directory = Directory()
    directory.update(make_target(), 1.0)
    version = directory.version
    assert directory.mark_draining(("t-1", 1_000))
    assert not directory.mark_draining(("t-1", 1_000))
    assert [r.target.name for r in directory.changed_after(version)] == ["t-1"]
    directory.update(make_target(sequence=2), 2.0)
    assert directory.records["t-1"].target.draining


# Guards against a target that gets no order for newer weights: one false report said
# that it has them, and none of its later announcements, which differ, changed that.
def test_a_version_that_was_read_counts_until_later_announcements_differ():
    directory = Directory()
    directory.update(make_target(versions={"m": 1}), 1.0)
    assert directory.update_weight_version(("t-1", 1_000), "m", 2)
    version = directory.version
    directory.refresh("t-1", 1.0 + READ_MARGIN_S)
    assert directory.records["t-1"].target.versions == {"m": 2}
    directory.refresh("t-1", 1.1 + READ_MARGIN_S)
    assert directory.records["t-1"].target.versions == {"m": 1}
    assert [r.target.name for r in directory.changed_after(version)] == ["t-1"]


def test_a_version_that_was_read_and_announced_stays():
    directory = Directory()
    directory.update(make_target(versions={"m": 1}), 1.0)
    directory.update_weight_version(("t-1", 1_000), "m", 2)
    directory.update(make_target(sequence=2, versions={"m": 2}), 2.0)
    directory.refresh("t-1", 9.0)
    assert directory.records["t-1"].target.versions == {"m": 2}


def test_a_version_that_is_read_again_and_again_stays():
    directory = Directory()
    directory.update(make_target(versions={"m": 1}), 1.0)
    directory.update_weight_version(("t-1", 1_000), "m", 2)
    for number in range(2, 30):
        directory.refresh("t-1", float(number))
        assert not directory.update_weight_version(("t-1", 1_000), "m", 2)
        assert directory.records["t-1"].target.versions == {"m": 2}
    assert directory.records["t-1"].announced_versions == {"m": 1}


# Guards against a live target that is never listed again: one late announcement of an
# earlier start at its address, whose host's clock was ahead, ended it for good.
def test_a_target_outlives_an_earlier_one_at_its_address():
    directory = Directory()
    address = "10.0.0.9:80"
    live = make_target("live", address=address, born_ms=2_000)
    directory.update(live, 1.0)
    directory.update(make_target("earlier", address=address, born_ms=9_000), 1.1)
    assert names(directory) == ["earlier"]
    assert not directory.update(live._replace(sequence=2), 2.2)
    directory.forget("earlier")
    assert directory.update(live._replace(sequence=3), 3.4)
    assert names(directory) == ["live"]


def listed(directory):
    """Return the targets of both services, by the list that requests use."""
    return [t for s in ("llm", "app") for t in directory.targets_of(s)]


# Guards against requests that choose from an outdated list of targets.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["update", "drain", "end", "forget", "leave", "weights"]),
            st.sampled_from(["t-1", "t-2", "t-3"]),
            st.integers(1, 4),
            st.sampled_from(["llm", "app"]),
        ),
        max_size=30,
    )
)
def test_the_targets_of_each_service_are_always_those_of_the_directory(steps):
    directory = Directory()
    for number, (step, name, born_ms, service) in enumerate(steps):
        incarnation = (name, born_ms)
        match step:
            case "update":
                target = make_target(
                    name,
                    born_ms=born_ms,
                    sequence=number,
                    service=service,
                    versions={"m": 1},
                )
                directory.update(target, float(number))
            case "drain":
                directory.mark_draining(incarnation)
            case "end":
                directory.mark_ended(incarnation)
            case "forget":
                directory.forget(name)
            case "leave":
                directory.set_leaving(frozenset({incarnation}))
            case "weights":
                directory.update_weight_version(incarnation, "m", number)
        directory.refresh(name, float(number) + 5.0)
        by_name = sorted(directory.targets(), key=lambda target: target.name)
        assert sorted(listed(directory), key=lambda target: target.name) == by_name


NAMED = {"llm"}
STRANGE = "strange"


def make_directory():
    """Return a directory under a deployment that names one service."""
    return Directory(NAMED.__contains__)


# Guards against a sound target that is taken out by another writer: an announcement
# with its name and a service that no deployment names replaced its record.
@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": 6, "draining": True},
        {"sequence": 9_999},
        {"sequence": 6, "address": "10.9.9.9:80"},
        {"born_ms": 9_000, "sequence": 1},
        {"born_ms": 9_000, "sequence": 1, "draining": True},
        {"sequence": 1, "draining": True},
    ],
)
def test_a_service_that_is_not_named_changes_nothing_of_a_known_target(changes):
    directory, target = make_directory(), make_target(sequence=5)
    directory.update(target, 1.0)
    record, version = directory.records["t-1"], directory.version
    assert not directory.update(make_target(service=STRANGE, **changes), 2.0)
    assert (directory.records, directory.version) == ({"t-1": record}, version)
    directory.update(target._replace(sequence=6), 3.0)
    assert directory.records["t-1"].target == target._replace(sequence=6)


# Guards against the same by the address: a later start there stands for the target.
def test_a_service_that_is_not_named_takes_no_address():
    directory, target = make_directory(), make_target()
    strange = make_target("x", born_ms=9_000, service=STRANGE, address=target.address)
    directory.update(target, 1.0)
    directory.update(strange, 2.0)
    assert "t-1" in directory.records
    directory.forget("t-1")
    assert directory.update(target._replace(sequence=2), 3.0)
    assert names(directory) == ["t-1"]


# Guards against a target of a service that was just added, and that a VM which doesn't
# know the newest deployment refuses.
def test_a_target_counts_as_soon_as_its_service_is_named():
    named = set()
    directory = Directory(named.__contains__)
    assert directory.update(make_target(), 1.0)
    named.add("llm")
    assert not directory.update(make_target(service=STRANGE, sequence=2), 2.0)
    assert [target.name for target in directory.targets_of("llm")] == ["t-1"]


@pytest.mark.parametrize("changes", [{"service": "app"}, {"address": "10.9.9.9:80"}])
def test_the_service_and_address_of_a_start_do_not_change(changes):
    directory, target = Directory(), make_target()
    directory.update(target, 1.0)
    assert not directory.update(make_target(sequence=2, **changes), 2.0)
    assert directory.records["t-1"].target == target
    assert directory.update(make_target(born_ms=2_000, **changes), 3.0)


strange_targets = st.builds(
    make_target,
    st.sampled_from(["t-1", "t-2", "x"]),
    service=st.just(STRANGE),
    born_ms=st.sampled_from([1, 1_000, 9_000]),
    sequence=st.integers(0, 1_000),
    address=st.sampled_from(["10.0.0.1:80", "10.0.0.2:80", "10.9.9.9:80"]),
    draining=st.booleans(),
)


@given(st.lists(st.one_of(st.sampled_from(["t-1", "t-2"]), strange_targets)))
def test_no_announcements_of_services_that_are_not_named_hide_a_target(played):
    directory = make_directory()
    for step, played_target in enumerate(played):
        if isinstance(played_target, str):
            address = f"10.0.0.{played_target[-1]}:80"
            sound = make_target(played_target, sequence=step, address=address)
            directory.update(sound, float(step))
            assert directory.records[played_target].target == sound
        else:
            directory.update(played_target, float(step))
    for name in {each for each in played if isinstance(each, str)}:
        record = directory.records[name].target
        assert (record.service, record.draining) == ("llm", False)
