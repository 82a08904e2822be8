"""A control VM without seeds, and outdated salts."""

import random
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from tests.fleet.builders import BOUNDS, make_target
from vanillabeam.fleet import FleetSettings
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.directory import READ_MARGIN_S
from vanillabeam.fleet.holders import SILENT_TARGET_S
from vanillabeam.fleet.view import MAX_VERSIONS_KEPT
from vanillabeam.log.exceptions import NoLeader

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def make_clock():
    return trio.testing.MockClock(autojump_threshold=0)


def make_control(folder):
    cfg = FleetSettings(
        "core-1",
        "a",
        SEEDS[0],
        "",
        "",
        f"{SEEDS[0]}:1",
        7,
        SEEDS,
        False,
        str(folder),
        0,
        BOUNDS,
    )
    control = FleetControl(cfg, None, random.Random(1), None, None)
    control.node = SimpleNamespace(status=lambda: {"members": []})
    return control


# Each control VM that was told no seeds once founded a log of its own and opened it:
# what one of them confirmed, the others did not know.
def test_a_control_vm_without_seeds_founds_no_log(tmp_path):
    address = f"{SEEDS[0]}:1"
    cfg = FleetSettings(
        *("core-1", "a", SEEDS[0], "", "", address, 7, (), True, str(tmp_path), 0),
        BOUNDS,
    )

    async def main():
        control = FleetControl(cfg, None, random.Random(1), None, None)
        async with trio.open_nursery() as nursery:
            await nursery.start(control.node.run)
            await trio.sleep(1.5)
            nursery.cancel_scope.cancel()
        return control.node.status()

    status = trio.run(main)
    assert (status["group_id"], status["opened"]) == ("", False)


def test_a_salt_is_outdated_only_once_no_target_holds_its_weights(tmp_path):
    control = make_control(tmp_path)
    directory = control.follower.directory

    async def main():
        directory.update(make_target("t-1", versions={"m": 1}), 0.0)
        directory.update(make_target("t-2", versions={"m": 2}), 0.0)
        assert not control._outdated()("/m/1")
        directory.update_weight_version(("t-1", 1_000), "m", 2)
        assert control._outdated()("/m/1")
        assert not control._outdated()("/m/2")

    trio.run(main, clock=make_clock())


# Guards against stored parts that are freed while they are used: a target on older
# weights counted as gone as soon as this VM no longer heard of it.
def test_the_weights_of_a_silent_target_are_not_outdated_for_some_time(tmp_path):
    control = make_control(tmp_path)
    directory = control.follower.directory

    async def main():
        directory.update(make_target("t-1", versions={"m": 1}), 0.0)
        directory.update(make_target("t-2", versions={"m": 2}), 0.0)
        await trio.sleep(1.0)
        assert not control._outdated()("/m/1")
        directory.forget("t-1")
        await trio.sleep(SILENT_TARGET_S - 2.0)
        assert not control._outdated()("/m/1")
        await trio.sleep(2.0)
        assert control._outdated()("/m/1")

    trio.run(main, clock=make_clock())


class StoresStandin:
    """Stores that record which salts they are told are outdated."""

    def __init__(self, salt):
        self.salt = salt
        self.told = []

    async def track(self, stores, nursery):
        pass

    async def free(self, outdated, longest_fetch_s, confirm):
        self.told.append((trio.current_time(), outdated(self.salt)))


# Guards against stored parts that are freed while they are used: a leader that had just
# started knew only the targets that had announced themselves first.
def test_no_weights_are_outdated_until_all_live_targets_may_have_announced(tmp_path):
    control = make_control(tmp_path)
    control.node.is_leader = True
    control.stores = StoresStandin("/m/1")

    async def main():
        control.follower._first_reply_s = trio.current_time()
        target = make_target("t-2", versions={"m": 2})
        control.follower.directory.update(target, trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(control._track_stores, nursery)
            await trio.sleep(3.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=make_clock())
    began_s = control.stores.told[0][0]
    early = [told for at_s, told in control.stores.told if at_s < began_s + 1.5]
    assert set(early) == {False}
    assert control.stores.told[-1][1]


def test_the_weights_of_a_target_that_has_ended_are_outdated_at_once(tmp_path):
    control = make_control(tmp_path)
    directory = control.follower.directory

    async def main():
        directory.update(make_target("t-1", versions={"m": 1}), 0.0)
        directory.update(make_target("t-2", versions={"m": 2}), 0.0)
        assert not control._outdated()("/m/1")
        directory.mark_ended(("t-1", 1_000))
        assert control._outdated()("/m/1")

    trio.run(main, clock=make_clock())


def test_observed_versions_of_targets_that_have_left_are_forgotten(tmp_path):
    control = make_control(tmp_path)
    stays, leaves = make_target("t-1", versions={"m": 1}), make_target("t-2")
    control.follower.directory.update(stays, 0.0)
    control.report_weights(stays, "m", 2)
    control.report_weights(leaves, "m", 2)
    control.observed.forget_outdated()
    assert control.observed.versions == {stays.incarnation: ("m", 2)}


# Guards against a false report that the leader repeats in each reply for ever.
def test_an_observed_version_is_forgotten_once_later_announcements_can_tell(tmp_path):
    control = make_control(tmp_path)
    directory = control.follower.directory
    target = make_target("t-1", versions={"m": 1})
    directory.update(target, 10.0)
    control.report_weights(target, "m", 2)
    directory.refresh("t-1", 10.0 + READ_MARGIN_S)
    control.observed.forget_outdated()
    assert control.observed.versions == {target.incarnation: ("m", 2)}
    directory.refresh("t-1", 10.1 + READ_MARGIN_S)
    control.observed.forget_outdated()
    assert control.observed.versions == {}
    assert directory.records["t-1"].target.versions == {"m": 1}


def test_an_observed_version_that_is_announced_too_is_kept(tmp_path):
    control = make_control(tmp_path)
    directory = control.follower.directory
    target = make_target("t-1", versions={"m": 1})
    directory.update(target, 10.0)
    control.report_weights(target, "m", 2)
    directory.update(target._replace(sequence=2, versions={"m": 2}), 11.0)
    directory.refresh("t-1", 90.0)
    control.observed.forget_outdated()
    assert control.observed.versions == {target.incarnation: ("m", 2)}


def test_the_times_of_the_newest_weight_versions_only_are_kept(tmp_path):
    control = make_control(tmp_path)

    async def main():
        for version in range(1, 3 * MAX_VERSIONS_KEPT):
            control.machine.state["weights"]["m"] = version
            control._state_changed()

    trio.run(main, clock=trio.testing.MockClock())
    versions = [version for version, _ in control._version_times.ages_s(0.0)["m"]]
    assert len(versions) == MAX_VERSIONS_KEPT
    assert max(versions) == 3 * MAX_VERSIONS_KEPT - 1


# Guards against a target that has left and is in use again after a restart of a control
# VM: a delayed announcement arrived there, and a new entry VM believed it.
def test_a_restarted_control_vm_believes_the_others_that_a_target_has_ended(tmp_path):
    control = make_control(tmp_path)
    left, returned = make_target("t-1"), make_target("t-1", born_ms=2_000)
    control.follower.directory.mark_ended(left.incarnation)

    async def main():
        control.receive_announcement(left)
        names = set(control.directory.records)
        control.receive_announcement(returned)
        return names, control.directory.records["t-1"].target

    names, target = trio.run(main, clock=trio.testing.MockClock())
    assert names == set()
    assert target == returned


# Guards against a leave call without a start time that is acknowledged without effect,
# as this VM has never heard the target, or as it comes again after a failure.
@pytest.mark.parametrize("heard", ["here", "elsewhere", "before", "silent"])
def test_a_leave_call_without_a_start_time_ends_the_last_one_that_was_listed(
    tmp_path, heard
):
    control = make_control(tmp_path)

    async def main():
        elsewhere = heard == "elsewhere"
        directory = control.follower.directory if elsewhere else control.directory
        directory.update(make_target("t-1"), 0.0)
        directory.update(make_target("t-1", born_ms=2_000), 0.0)
        if heard == "before":
            control.receive_leave("t-1", None)
        if heard == "silent":
            directory.forget("t-1")
        return control.receive_leave("t-1", None), control.receive_leave("t-9", None)

    left, unknown = trio.run(main, clock=trio.testing.MockClock())
    assert (left, unknown) == (("t-1", 2_000), None)
    assert control.directory.has_ended(("t-1", 2_000))


# Guards against a VM that was paused while another one was elected, and still acts as
# the leader because it hasn't noticed.
@pytest.mark.parametrize(
    "after, leads",
    [
        ({}, True),
        ({"is_leader": False}, False),
        ({"term": 4}, False),
        ({"answer": Failure(NoLeader())}, False),
    ],
)
def test_a_leader_is_confirmed_by_a_read(tmp_path, after, leads):
    control = make_control(tmp_path)
    node = SimpleNamespace(is_leader=True, term=3, answer=Success(7))

    async def read():
        vars(node).update(after)
        return node.answer

    node.read = read
    control.node = node
    assert trio.run(control._confirm_leadership) == leads
