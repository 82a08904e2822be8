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
