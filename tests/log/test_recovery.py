"""Replicas whose disk fails for a while, in one process without a restart."""

from functools import partial

import trio

from tests.log.builders import ListMachine, MemoryFolder, wait_until
from tests.log.test_node import with_group
from vanillabeam.exceptions import InvariantBroken, Run
from vanillabeam.log.contents import MEMBER_NAME
from vanillabeam.log.exceptions import (
    DataFolderDamaged,
    ReplicaStopped,
    StorageFailed,
)
from vanillabeam.log.frames import encode_batch
from vanillabeam.log.records import Entry, EntryKind
from vanillabeam.log.storage import SaveEntries, _payloads, open_storage


def runs(group, vm):
    return group.nodes[vm].status()["failure"] == ""


def has_failed(group, vm):
    return group.nodes[vm].status()["failure"] == StorageFailed.type


async def fail_for_a_while(group, vm):
    """Let a follower's disk refuse a write, then accept writes again."""
    group.folders[vm].fail_writes = True
    while not has_failed(group, vm):
        await group.leader.propose("x")
        await trio.sleep(0.1)
    group.folders[vm].fail_writes = False


# Each replica once stopped for good at its first failed write: two disks that were full
# for a second each, at different times, left a group of four without a majority.
@with_group(4)
async def test_a_group_survives_disks_that_fail_one_after_the_other(group):
    for number in range(1, 5):
        await group.start(f"vm-{number}")
    await wait_until(lambda: group.leader and group.losses_left() == 1)
    for vm in [vm for vm in group.nodes if group.nodes[vm] is not group.leader]:
        await fail_for_a_while(group, vm)
        await wait_until(partial(runs, group, vm))
    await wait_until(lambda: group.leader and group.losses_left() == 1)
    (await group.leader.propose("last")).unwrap()
    for vm, node in group.nodes.items():
        (await node.read()).unwrap()
        assert group.commands(vm)[-1] == "last"
        assert group.commands(vm) == group.commands("vm-1")


@with_group(3)
async def test_a_leader_whose_disk_fails_joins_in_again(group):
    await group.start_all()
    old = group.leader
    folder = group.folders[old.vm]
    folder.fail_syncs = True
    (await old.propose("unsure")).failure()
    await wait_until(lambda: group.leader not in (None, old))
    (await group.leader.propose("b")).unwrap()
    folder.fail_syncs = False
    await wait_until(partial(runs, group, old.vm))
    (await old.read()).unwrap()
    assert group.commands(old.vm)[-1] == "b"
    assert group.commands(old.vm) == group.commands(group.leader.vm)


@with_group(3)
async def test_a_disk_that_is_full_at_the_first_start_delays_the_group_only(group):
    group.folders["vm-2"] = MemoryFolder()
    group.folders["vm-2"].fail_writes = True
    for vm in ("vm-1", "vm-2", "vm-3"):
        await group.start(vm)
    await wait_until(partial(has_failed, group, "vm-2"))
    group.folders["vm-2"].fail_writes = False
    await wait_until(lambda: group.leader and group.losses_left() == 1)


# A folder that comes back without what this process has acknowledged must not vote.
@with_group(3)
async def test_a_replica_stays_away_if_its_folder_has_lost_entries(group):
    await group.start_all()
    follower = next(node for node in group.nodes.values() if not node.is_leader)
    folder = group.folders[follower.vm]
    old_files = {name: bytearray(data) for name, data in folder.files.items()}
    for number in range(3):
        (await group.leader.propose(f"c{number}")).unwrap()
    (await follower.read()).unwrap()
    await fail_for_a_while(group, follower.vm)
    folder.files = old_files
    await trio.sleep(5)
    assert not runs(group, follower.vm)


# As is another folder in its place, which belongs to no member of the group.
@with_group(3)
async def test_a_replica_stays_away_if_its_folder_was_replaced(group):
    await group.start_all()
    follower = next(node for node in group.nodes.values() if not node.is_leader)
    await fail_for_a_while(group, follower.vm)
    group.folders[follower.vm].files.clear()
    await trio.sleep(5)
    assert group.nodes[follower.vm].failure.type == DataFolderDamaged.type


# A process that was killed between a write and its sync leaves bytes that the next one
# reads. It acknowledged them unsynced, and a loss of power then took them back.
def test_what_a_start_reads_is_synced():
    folder = MemoryFolder()
    storage, _ = open_storage(folder, "g", lambda: "id-1").unwrap()
    entry = Entry(1, 1, EntryKind.COMMAND, "{}")
    payloads = _payloads(SaveEntries((entry,)))
    (name,) = [name for name in folder.names() if name.startswith("log.")]
    folder.append(name, encode_batch(payloads, 2))
    assert folder.synced[name] < len(folder.files[name])
    _, contents = open_storage(folder, "g", lambda: "id-2").unwrap()
    assert contents.entries == (entry,)
    assert folder.synced[name] == len(folder.files[name])


class ChoosyMachine(ListMachine):
    """State machine that knows no command ``later``."""

    def apply(self, index, command):
        if command == "later":
            raise InvariantBroken("no command of this release")
        return super().apply(index, command)


# A command of a later release once ended the process of each control VM that applied
# it. With the replica only, its VM still answers targets and entry VMs.
@with_group(3)
async def test_a_command_that_cannot_be_applied_stops_only_the_replica(group):
    await group.start_all()
    for node in group.nodes.values():
        node._waiters._machine = ChoosyMachine()
    leader = group.leader
    assert (await leader.propose("later")).failure().run is not Run.NOT_RUN
    await wait_until(lambda: leader.failure is not None)
    assert leader.failure.type == ReplicaStopped.type


# Guards against a promise or a group that a replica which began again tells others of,
# and that a loss of power then takes back: their sync had failed, and no other told.
def test_a_replica_that_begins_again_writes_its_identity_anew():
    folder = MemoryFolder()
    open_storage(folder, "g", lambda: "id-1").unwrap()
    written = []
    replace = folder.replace
    folder.replace = lambda name, data: (written.append(name), replace(name, data))
    open_storage(folder, "g", lambda: "id-2", rewrite=True).unwrap()
    assert MEMBER_NAME in written
