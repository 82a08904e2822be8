"""Targets that have told a control VM that they leave."""

import random
from types import SimpleNamespace

import trio
import trio.testing

from tests.fleet.builders import BOUNDS, make_target
from vanillabeam.fleet import Directory, FleetSettings, Follower
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.leaving import READY_ANNOUNCEMENTS, LeavingNotices
from vanillabeam.fleet.targetnews import LEAVING_SILENCE_S

HOST = "10.0.0.1"
HEARTBEAT_S = BOUNDS.heartbeat_s
TARGET = make_target()
SHORT_S = 0.3


class Fleet:
    """A control VM and the follower of an entry VM, on virtual time."""

    def __init__(self, folder):
        cfg = FleetSettings(
            *("core-1", "a", HOST, "", "", f"{HOST}:1", 7, (HOST,), False),
            *(str(folder), 0, BOUNDS),
        )
        self.control = FleetControl(cfg, self.call, random.Random(1), None, None)
        self.control.node = SimpleNamespace(
            status=lambda: {"members": []}, is_leader=False, term=1
        )
        entry = cfg._replace(
            vm="front-1",
            host="10.0.9.1",
            entry_address="10.0.9.1:1",
            control_address="",
            data_folder="",
        )
        self.entry = Follower(entry, self.call, None)
        self.is_silent = False
        self.sequence = 0

    async def call(self, address, path, body):
        if self.is_silent:
            await trio.sleep_forever()
        await trio.sleep(0.01)
        return await self.control._handle_watch(body)

    async def announce(self, **changes):
        while True:
            self.sequence += 1
            target = TARGET._replace(sequence=self.sequence, **changes)
            self.control.receive_announcement(target)
            await trio.sleep(HEARTBEAT_S)

    def beliefs(self):
        """Return whether the control VM and the entry VM take the target to leave."""
        directories = (self.control.follower.directory, self.entry.directory)
        return tuple(
            directory.is_leaving(TARGET.incarnation) for directory in directories
        )


def with_fleet(function):
    def test(tmp_path):
        async def main():
            fleet = Fleet(tmp_path)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.control.leaving.run)
                nursery.start_soon(fleet.control.follower.run)
                nursery.start_soon(fleet.entry.run)
                await function(fleet, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    test.__name__ = function.__name__
    return test


# Guards against a target that gets no order and no request until it starts again: one
# answer said that it leaves, and 198 announcements since said that it is ready.
@with_fleet
async def test_a_target_that_goes_on_announcing_itself_no_longer_counts_as_leaving(
    fleet, nursery
):
    nursery.start_soon(fleet.announce)
    await trio.sleep(1.0)
    fleet.control.leaving.receive(TARGET)
    await trio.sleep(SHORT_S)
    assert fleet.beliefs() == (True, True)
    await trio.sleep((READY_ANNOUNCEMENTS - 1) * HEARTBEAT_S)
    assert fleet.beliefs() == (True, True)
    await trio.sleep(2 * HEARTBEAT_S)
    assert fleet.beliefs() == (False, False)
    await trio.sleep((198 - READY_ANNOUNCEMENTS) * HEARTBEAT_S)
    assert fleet.beliefs() == (False, False)


@with_fleet
async def test_a_target_that_announces_that_it_drains_leaves_whatever_follows(
    fleet, nursery
):
    nursery.start_soon(fleet.announce)
    await trio.sleep(1.0)
    fleet.control.leaving.receive(TARGET)
    fleet.sequence += 1
    draining = TARGET._replace(sequence=fleet.sequence, draining=True)
    fleet.control.receive_announcement(draining)
    await trio.sleep(198 * HEARTBEAT_S)
    assert fleet.beliefs() == (True, True)


@with_fleet
async def test_a_target_that_repeats_that_it_leaves_goes_on_counting_as_leaving(
    fleet, nursery
):
    nursery.start_soon(fleet.announce)
    await trio.sleep(1.0)
    for _ in range(20):
        fleet.control.leaving.receive(TARGET)
        await trio.sleep((READY_ANNOUNCEMENTS - 1) * HEARTBEAT_S)
        assert fleet.beliefs() == (True, True)


@with_fleet
async def test_a_new_start_is_not_taken_to_leave(fleet, nursery):
    nursery.start_soon(fleet.announce)
    await trio.sleep(1.0)
    fleet.control.leaving.receive(TARGET)
    again = TARGET._replace(born_ms=TARGET.born_ms + 1)
    fleet.control.receive_announcement(again)
    await trio.sleep(SHORT_S)
    assert [target.draining for target in fleet.entry.directory.targets()] == [False]
    assert [target.draining for target in fleet.control.directory.targets()] == [False]


@with_fleet
async def test_the_word_of_a_silent_control_vm_ends(fleet, nursery):
    fleet.control.leaving.receive(TARGET)
    await trio.sleep(SHORT_S)
    assert fleet.entry.directory.leaving == {TARGET.incarnation}
    fleet.is_silent = True
    await trio.sleep(LEAVING_SILENCE_S - 1.0)
    assert fleet.entry.directory.leaving == {TARGET.incarnation}
    await trio.sleep(2.0)
    assert fleet.entry.directory.leaving == frozenset()


def test_announcements_that_arrive_together_count_once():
    notices, directory = LeavingNotices(HEARTBEAT_S), Directory()
    notices.record(TARGET.incarnation, 10.0)
    for number in range(2 * READY_ANNOUNCEMENTS):
        at_s = 11.0 + number * HEARTBEAT_S / 100
        directory.update(TARGET._replace(sequence=number), at_s)
        assert notices.weigh(directory, at_s) == []


def test_a_target_that_is_no_longer_listed_stays_noted():
    notices, directory = LeavingNotices(HEARTBEAT_S), Directory()
    notices.record(TARGET.incarnation, 10.0)
    for number in range(2 * READY_ANNOUNCEMENTS):
        assert notices.weigh(directory, 11.0 + number * HEARTBEAT_S) == []
    assert notices.incarnations() == {TARGET.incarnation}
