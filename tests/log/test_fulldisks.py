"""Disks that are full for some seconds each, one after another, never two at once.

Operators of other systems saw changes refused to the end of the day, long after the
last disk had room again.
"""

import errno
import os
import random
from itertools import count, product

import pytest
import trio

from tests.log.builders import MemoryFolder
from tests.log.replacements import catch_up_s, fleet_settings
from tests.log.test_node import Group, run_with_mock_clock

#: Seconds between two changes.
CHANGE_S = 0.15
OPEN_S = 20.0


class FillingFolder(MemoryFolder):
    """Data folder that takes the begin of what is written while its disk is full.

    :ivar room_bytes: bytes that the disk takes yet; ``None`` for all.
    :ivar refusals: number of writes that were refused.
    """

    room_bytes = None
    refusals = 0

    def append(self, name, data):
        taken = self._take(len(data))
        self.files.setdefault(name, bytearray()).extend(data[:taken])
        self.synced.setdefault(name, 0)
        self._refuse(taken < len(data))

    def replace(self, name, data):
        taken = self._take(len(data))
        if taken < len(data):
            self.files[name + ".tmp"] = bytearray(data[:taken])
            self._refuse(True)
        self.files.pop(name + ".tmp", None)
        super().replace(name, data)

    def truncate(self, name, size):
        self._refuse(self.room_bytes is not None)
        super().truncate(name, size)

    def _take(self, size):
        if self.room_bytes is None:
            return size
        taken = min(size, self.room_bytes)
        self.room_bytes -= taken
        return taken

    def _refuse(self, is_full):
        if is_full:
            self.refusals += 1
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class Scenario:
    """Changes beside full disks, on one group of control VMs.

    :ivar acknowledged: changes that were acknowledged.
    """

    def __init__(self, group, size, seed):
        self.group = group
        self.size = size
        self.rng = random.Random(f"{size}/{seed}")
        self.acknowledged = []
        self.numbers = count()

    async def open(self):
        """Start the group and wait until each VM is a voter."""
        for number in range(1, self.size + 1):
            vm = f"vm-{number}"
            self.group.folders[vm] = FillingFolder()
            await self.group.start(vm)
        with trio.fail_after(OPEN_S):
            while not self.is_whole():
                await trio.sleep(0.1)

    def is_whole(self):
        """Return whether all VMs are voters that the leader hears."""
        leader = self.group.leader
        if leader is None:
            return False
        spare = (self.size - 1) // 2
        return leader.status()["losses_left"] == spare and (
            len(leader._loop.replica.membership.voters) == self.size
        )

    async def keep_changing(self):
        while True:
            await trio.sleep(CHANGE_S)
            vm = self.rng.choice(sorted(self.group.nodes))
            command = f"c{next(self.numbers)}"
            applied = await self.group.nodes[vm].propose(command)
            if applied.value_or(None) is not None:
                self.acknowledged.append(command)

    def order(self, first):
        """Return the VMs in the order in which their disks fill up.

        :param first: ``leader``, whose disk is the first, or ``follower``; then it
            is the last.
        """
        leader = self.group.leader
        names = sorted(self.group.nodes)
        self.rng.shuffle(names)
        if leader is not None:
            names.remove(leader.vm)
            names.insert(0 if first == "leader" else len(names), leader.vm)
        return names

    async def fill(self, vm, full_s, room_bytes):
        folder = self.group.folders[vm]
        folder.room_bytes = room_bytes
        await trio.sleep(full_s)
        folder.room_bytes = None


def play(size, seed, first, full_s, gap_s, rounds, room_bytes, snapshot_entries=8):
    """Fill the disks of a group one after another; check what holds afterwards."""

    async def main():
        settings = fleet_settings(size)._replace(
            snapshot_entries=snapshot_entries, kept_entries=2
        )
        async with trio.open_nursery() as nursery:
            group = Group(nursery, size, **settings._asdict())
            scenario = Scenario(group, size, seed)
            await scenario.open()
            async with trio.open_nursery() as changes:
                changes.start_soon(scenario.keep_changing)
                for _ in range(rounds):
                    for vm in scenario.order(first):
                        await scenario.fill(vm, full_s, room_bytes)
                        await trio.sleep(gap_s)
                await trio.sleep(catch_up_s(size))
                changes.cancel_scope.cancel()
            await check(scenario)
            nursery.cancel_scope.cancel()

    run_with_mock_clock(main)


async def check(scenario):
    """Check that each VM takes a change and obeys all that were acknowledged."""
    group = scenario.group
    assert all(folder.refusals for folder in group.folders.values())
    for vm, node in group.nodes.items():
        began_s = trio.current_time()
        (await node.propose(f"last of {vm}")).unwrap()
        assert trio.current_time() - began_s < 1.0
        scenario.acknowledged.append(f"last of {vm}")
    for vm, node in group.nodes.items():
        (await node.read()).unwrap()
        assert node.status()["failure"] == ""
        assert set(scenario.acknowledged) <= set(group.commands(vm))
        assert group.commands(vm) == group.commands("vm-1")
    with trio.fail_after(4 * catch_up_s(scenario.size)):
        while not scenario.is_whole():
            await trio.sleep(0.1)
    assert len(scenario.acknowledged) > scenario.size


CASES = [
    (size, first, full_s, gap_s, room)
    for (size, first), (full_s, gap_s, room) in product(
        product((3, 4, 5, 6), ("leader", "follower")),
        [(1.0, 0.0, 0), (2.5, 0.0, 70), (5.0, 0.3, 300), (9.0, 1.0, 0)],
    )
]


# Guards against control VMs that take no more changes once their disks have been full.
@pytest.mark.parametrize(("size", "first", "full_s", "gap_s", "room"), CASES)
def test_disks_that_fill_up_in_turn_leave_a_group_that_takes_changes(
    size, first, full_s, gap_s, room
):
    play(size, 1, first, full_s, gap_s, 2, room)
