"""Which VM founds a group at the first start of a system, and after early ends."""

from functools import partial

import trio

from tests.log.builders import wait_until
from tests.log.test_node import Group, run_with_mock_clock

FIRST = ("vm-1", "vm-2", "vm-3")


def with_open_group(test):
    """Run an async test with a group of three initial VMs that any VM may join."""

    async def main():
        async with trio.open_nursery() as nursery:
            group = Group(nursery, 3, allow_any_vm=True, open_requires_all=True)
            with trio.fail_after(60):
                await test(group)
            nursery.cancel_scope.cancel()

    def run():
        run_with_mock_clock(main)

    return run


def is_open(group):
    leader = group.leader
    return leader is not None and leader.status()["opened"]


def have_promised(group):
    """Return whether all others have promised to wait for the first VM."""
    storages = [group.nodes[vm]._loop.storage for vm in FIRST[1:]]
    return all(storage.identity["promised"] for storage in storages)


def votes(group, vm):
    members = group.leader.status()["members"] if group.leader else []
    return any(member["vm"] == vm and member["votes"] for member in members)


# A control VM that is no seed and sorts before the seeds once founded too: both
# candidates promised each other, and no configuration was ever confirmed.
@with_open_group
async def test_a_vm_that_is_no_initial_member_leaves_the_founding_to_those(group):
    for vm in ("vm-0", *FIRST):
        await group.start(vm)
    await wait_until(partial(is_open, group))
    await wait_until(lambda: votes(group, "vm-0"))
    assert group.nodes["vm-0"].status()["group_id"]


# The platform sets the flag for founding at the first start only. A founder that had
# ended before the group stood once came back without it, and nobody founded.
@with_open_group
async def test_a_founder_that_restarts_without_the_flag_still_founds(group):
    await group.start("vm-1")
    group.stop("vm-1")
    for vm in FIRST:
        await group.start(vm, bootstrap=vm != "vm-1")
    await wait_until(partial(is_open, group))


@with_open_group
async def test_vms_that_all_restart_without_the_flag_still_found(group):
    for vm in FIRST:
        await group.start(vm)
    for vm in FIRST:
        group.stop(vm)
    for vm in FIRST:
        await group.start(vm, bootstrap=False)
    await wait_until(partial(is_open, group))


# As before, with the founder's disk lost too.
@with_open_group
async def test_the_next_initial_vm_founds_if_the_first_has_lost_its_disk(group):
    await group.start("vm-1")
    group.stop("vm-1")
    del group.folders["vm-1"]
    for vm in FIRST:
        await group.start(vm, bootstrap=vm != "vm-1")
    await wait_until(partial(is_open, group))


# A second founder would be worse than none: the group's state would be forgotten.
@with_open_group
async def test_a_vm_with_a_lost_disk_founds_nothing_beside_its_group(group):
    for vm in FIRST:
        await group.start(vm)
    await wait_until(partial(is_open, group))
    group_id = group.leader.status()["group_id"]
    group.stop("vm-1")
    del group.folders["vm-1"]
    await group.start("vm-1", bootstrap=False)
    await wait_until(lambda: group.nodes["vm-1"].status()["group_id"])
    assert group.nodes["vm-1"].status()["group_id"] == group_id


@with_open_group
async def test_vms_with_new_disks_and_without_the_flag_found_nothing(group):
    for vm in FIRST:
        await group.start(vm, bootstrap=False)
    await trio.sleep(20)
    assert not any(node.status()["group_id"] for node in group.nodes.values())


@with_open_group
async def test_an_initial_vm_founds_nothing_while_one_before_it_is_away(group):
    for vm in ("vm-2", "vm-3"):
        await group.start(vm)
    await trio.sleep(20)
    assert not any(node.status()["group_id"] for node in group.nodes.values())
    await group.start("vm-1")
    await wait_until(partial(is_open, group))


# Guards against a group that is never founded: its founder lost its disk after the
# others had promised to let it found.
@with_open_group
async def test_another_vm_founds_if_the_founder_loses_its_disk_after_the_promises(
    group,
):
    for vm in FIRST:
        await group.start(vm)
    await wait_until(partial(have_promised, group))
    group.stop("vm-1")
    del group.folders["vm-1"]
    await group.start("vm-1", bootstrap=False)
    await wait_until(partial(is_open, group))


# Guards against a second group: one that had opened with VMs that are no initial ones
# would be unknown to a VM that withdraws its promise.
@with_open_group
async def test_a_group_opens_only_with_each_initial_vm(group):
    for vm in FIRST:
        await group.start(vm)
    await wait_until(lambda: group.leader is not None)
    group.stop("vm-3")
    for vm in ("vm-4", "vm-5"):
        await group.start(vm)
    await trio.sleep(20)
    assert not votes(group, "vm-3")
    assert votes(group, "vm-4")
    assert not is_open(group)
    await group.start("vm-3")
    await wait_until(partial(is_open, group))


# Guards against a promise that is withdrawn while its founder still exists.
@with_open_group
async def test_a_vm_keeps_its_promise_while_the_founder_is_away_with_its_disk(group):
    for vm in FIRST:
        await group.start(vm)
    await wait_until(partial(have_promised, group))
    group.stop("vm-1")
    await trio.sleep(20)
    assert not is_open(group)
    await group.start("vm-1", bootstrap=False)
    await wait_until(partial(is_open, group))
