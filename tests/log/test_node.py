"""Tests of groups of nodes over an in-memory network."""

import random
from functools import partial

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from tests.log.builders import (
    MemoryFolder,
    Network,
    Register,
    make_addresses,
    make_node,
    wait_until,
)
from vanillabeam.exceptions import Run
from vanillabeam.log import LogClient
from vanillabeam.log.exceptions import (
    NoLeader,
    StorageFailed,
    WouldLoseQuorum,
)
from vanillabeam.log.records import KEPT_BYTES, SNAPSHOT_BYTES


def run_with_mock_clock(function):
    """Run an async function on a mock clock that skips sleeps."""
    clock = trio.testing.MockClock(autojump_threshold=0.002)
    return trio.run(function, clock=clock)


class Group:
    """Nodes that a test starts and stops individually."""

    def __init__(self, nursery, count, **settings):
        self.nursery = nursery
        self.count = count
        self.settings = settings
        self.network = Network()
        self.folders = {}
        self.nodes = {}
        self.scopes = {}

    async def start(self, vm, **options):
        folder = self.folders.setdefault(vm, MemoryFolder())
        node = make_node(
            vm, self.count, self.network, folder, **(self.settings | options)
        )
        self.nodes[vm] = node
        self.scopes[vm] = await self.nursery.start(partial(self._run, node))
        return node

    async def _run(self, node, *, task_status):
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            task_status.started(nursery.cancel_scope)

    def stop(self, vm):
        self.scopes[vm].cancel()
        self.network.routes.pop(f"{vm}:1")
        return self.nodes.pop(vm)

    async def start_all(self):
        for vm, _ in make_addresses(self.count):
            await self.start(vm)
        await wait_until(lambda: self.leader and self.losses_left() == self.count // 2)

    @property
    def leader(self):
        return next((n for n in self.nodes.values() if n.is_leader), None)

    def losses_left(self):
        return self.leader.status()["losses_left"]

    def commands(self, vm):
        return [command for _, command in self.nodes[vm]._machine.commands]


def with_group(count, **settings):
    """Return a decorator that runs an async test with a group of ``count`` VMs."""

    def decorate(function):
        def test():
            async def main():
                async with trio.open_nursery() as nursery:
                    group = Group(nursery, count, **settings)
                    await function(group)
                    nursery.cancel_scope.cancel()

            run_with_mock_clock(main)

        test.__name__ = function.__name__
        return test

    return decorate


@with_group(1)
async def test_a_single_vm_bootstraps_its_group_and_commits(group):
    node = await group.start("vm-1")
    applied = (await node.propose("a")).unwrap()
    assert applied.reply == "1"
    assert (await node.read()).unwrap() == applied.index
    assert node.status()["losses_left"] == 0


@with_group(3)
async def test_three_vms_accept_commands_from_any_vm_and_from_a_client(group):
    await group.start_all()
    for node in group.nodes.values():
        assert (await node.propose(node.vm)).unwrap()
    client = LogClient("tickets", make_addresses(3), group.network.call_from("x:1"))
    last = (await client.propose("outside")).unwrap()
    for node in group.nodes.values():
        assert (await node.read()).unwrap() >= last.index
        assert group.commands(node.vm)[-1] == "outside"


@with_group(3)
async def test_no_command_is_accepted_before_a_majority_has_joined(group):
    await group.start("vm-1")
    await group.start("vm-2", bootstrap=False)
    failure = (await group.nodes["vm-1"].propose("early")).failure()
    assert isinstance(failure, NoLeader)
    assert failure.run is Run.NOT_RUN
    assert group.nodes["vm-1"].status()["group_id"] == ""


async def start_with_seeds(group, vms, seeds):
    """Start VMs for the first time, of which only some are seeds of all."""
    for vm in vms:
        await group.start(vm, seeds=seeds, allow_any_vm=True, open_requires_all=True)
    await wait_until(lambda: all(n.status()["group_id"] for n in group.nodes.values()))
    assert len({node.status()["group_id"] for node in group.nodes.values()}) == 1
    for node in group.nodes.values():
        assert (await node.propose(f"of {node.vm}")).unwrap()


# Guards against a fleet that never opens: the VM that was first by name but no seed
# founded a group in which no seed could find it.
@with_group(4)
async def test_only_a_seed_founds_the_group(group):
    await start_with_seeds(
        group, ["vm-1", "vm-2", "vm-3", "vm-4"], ["vm-2", "vm-3", "vm-4"]
    )


# Guards against two groups, founded by two VMs that were no seeds.
@with_group(5)
async def test_two_vms_that_are_no_seeds_found_no_groups(group):
    await start_with_seeds(
        group, ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"], ["vm-3", "vm-4", "vm-5"]
    )


def is_joined(group):
    """Return whether all VMs have the same group."""
    ids = {node.status()["group_id"] for node in group.nodes.values()}
    return len(ids) == 1 and "" not in ids


# Guards against a fleet that never opens, as the first process of the founding VM
# had ended before it could store anything and later starts may not found.
@with_group(3)
async def test_another_vm_founds_if_the_first_process_of_the_founder_has_ended(group):
    for vm, bootstrap in (("vm-1", False), ("vm-2", True), ("vm-3", True)):
        await group.start(vm, bootstrap=bootstrap)
    await wait_until(lambda: is_joined(group))
    assert (await group.nodes["vm-1"].propose("open")).unwrap()


# Guards against the same after the founder has stored that it may found.
@with_group(3)
async def test_a_founder_that_starts_again_still_founds(group):
    await group.start("vm-1")
    await trio.sleep(1)
    group.stop("vm-1")
    await group.start("vm-1", bootstrap=False)
    await group.start("vm-2")
    await group.start("vm-3")
    await wait_until(lambda: is_joined(group))


# Guards against two groups where VMs are killed and start again while one is founded.
@pytest.mark.parametrize("seed", range(20))
def test_starts_that_are_broken_off_found_one_group(seed):
    rng = random.Random(seed)

    @with_group(3, open_requires_all=True, allow_any_vm=True)
    async def play(group):
        vms = [vm for vm, _ in make_addresses(3)]
        early = rng.choice([*vms, None])
        for vm in rng.sample(vms, 3):
            await group.start(vm, bootstrap=vm != early)
            await trio.sleep(rng.uniform(0, 0.4))
        for _ in range(rng.randint(0, 4)):
            vm = rng.choice(vms)
            group.stop(vm)
            await trio.sleep(rng.uniform(0, 0.6))
            await group.start(vm, bootstrap=False)
            await trio.sleep(rng.uniform(0, 0.6))
        await wait_until(lambda: is_joined(group))
        assert (await group.nodes["vm-3"].propose("open")).unwrap()

    play()


# Guards against a second group, founded by a VM that has lost its disk.
@with_group(3)
async def test_a_vm_with_a_new_disk_founds_no_group(group):
    await group.start_all()
    for vm in ("vm-1", "vm-2", "vm-3"):
        group.stop(vm)
    group.folders.clear()
    for vm in ("vm-1", "vm-2", "vm-3"):
        await group.start(vm, bootstrap=False)
    await trio.sleep(30)
    assert {n.status()["group_id"] for n in group.nodes.values()} == {""}


# Guards against a large configuration after which nothing was ever committed: its
# entry took longer to pass than any message was given.
@with_group(3)
async def test_an_entry_that_takes_seconds_to_pass_is_committed_once_sent(group):
    await group.start_all()
    await group.leader.propose("first")
    group.network.bytes_s = 1_000_000
    sent_bytes = group.network.sent_bytes
    command = "x" * 2_000_000
    leader = group.leader
    assert (await leader.propose(command)).unwrap()
    assert (await leader.propose("next")).unwrap()
    # Two copies, and the small messages meanwhile.
    assert group.network.sent_bytes - sent_bytes < 2.2 * len(command)


# Guards against a group that never has a leader again while machines are slow: each
# answer came after its call had been given up.
@pytest.mark.parametrize("delay_s", [0.1, 0.25, 0.5])
def test_a_group_whose_answers_are_slow_goes_on(delay_s):
    async def main():
        async with trio.open_nursery() as nursery:
            group = Group(nursery, 3, heartbeat_s=0.2, election_s=0.7)
            await group.start_all()
            group.network.delay_s = delay_s
            await trio.sleep(10.0)
            with trio.fail_after(60.0):
                for number in range(10):
                    while not isinstance(await propose(group, f"{number}"), Success):
                        await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    run_with_mock_clock(main)


async def propose(group, command):
    """Return the result of a proposal to the leader; a failure if there is none."""
    leader = group.leader
    return (
        Failure(NoLeader("none")) if leader is None else await leader.propose(command)
    )


@with_group(3)
async def test_restarted_vms_restore_the_snapshot_and_the_entries_after_it(group):
    await group.start_all()
    for number in range(120):
        (await group.leader.propose(f"c{number}")).unwrap()
    for vm, _ in make_addresses(3):
        group.stop(vm)
    for vm, _ in make_addresses(3):
        await group.start(vm)
        assert group.nodes[vm].status()["snapshot_index"] >= 50
    (await group.nodes["vm-2"].read()).unwrap()
    assert group.commands("vm-2") == [f"c{number}" for number in range(120)]


@with_group(3)
async def test_a_partitioned_leader_is_replaced_and_serves_no_read(group):
    await group.start_all()
    old = group.leader
    for vm, address in make_addresses(3):
        if vm != old.vm:
            group.network.cut |= {(old.address, address), (address, old.address)}
    other = next(node for node in group.nodes.values() if node is not old)
    await wait_until(lambda: other.status()["leader"] not in ("", old.vm))
    (await other.propose("new")).unwrap()
    assert isinstance(await old.read(), Failure)
    failure = (await old.propose("lost?")).failure()
    assert group.commands(other.vm) == ["new"]
    assert failure.run in (Run.NOT_RUN, Run.UNKNOWN)


@with_group(3)
async def test_a_command_succeeds_right_after_a_leadership_transfer(group):
    await group.start_all()
    old = group.leader
    assert await old.transfer_leadership()
    await wait_until(lambda: group.leader is not None)
    assert group.leader is not old
    assert (await old.propose("after")).unwrap()


@with_group(3)
async def test_a_failed_sync_stops_the_replica_and_leaves_the_outcome_unknown(group):
    await group.start_all()
    old = group.leader
    group.folders[old.vm].fail_syncs = True
    failure = (await old.propose("a")).failure()
    assert failure.run is Run.UNKNOWN
    assert old.status()["failure"] == StorageFailed.type
    other = next(node for node in group.nodes.values() if node is not old)
    await wait_until(lambda: group.leader not in (None, old))
    assert (await other.propose("b")).unwrap()


@with_group(3)
async def test_an_initial_vm_that_lost_its_disk_joins_as_a_new_member(group):
    await group.start_all()
    (await group.leader.propose("kept")).unwrap()
    old_id = group.nodes["vm-1"].status()["member_id"]
    group.stop("vm-1")
    group.folders["vm-1"] = MemoryFolder()
    node = await group.start("vm-1")
    assert node.status()["role"] == "joining"
    await wait_until(lambda: group.leader and group.losses_left() == 1)
    ids = {m["member_id"] for m in group.leader.status()["members"]}
    assert node.status()["member_id"] in ids
    assert old_id not in ids
    await wait_until(lambda: group.commands("vm-1") == ["kept"])


@with_group(3)
async def test_a_damaged_folder_never_starts(group):
    await group.start_all()
    group.stop("vm-3")
    group.folders["vm-3"].files["member"][30] ^= 1
    node = await group.start("vm-3")
    assert node.status()["failure"] == "log-data-folder-damaged"
    assert isinstance(await node.read(), Failure)


@with_group(3)
async def test_members_are_removed_and_added_one_at_a_time(group):
    await group.start_all()
    (await group.leader.propose("first")).unwrap()
    (await group.leader.remove_member("vm-3")).unwrap()
    group.stop("vm-3")
    new_node = await group.start("vm-4", bootstrap=False)
    await trio.sleep(5)
    assert new_node.status()["role"] == "joining"
    (await new_node.add_member("vm-4")).unwrap()
    await wait_until(lambda: group.losses_left() == 1)
    names = {m["vm"] for m in group.leader.status()["members"]}
    assert names == {"vm-1", "vm-2", "vm-4"}
    await wait_until(lambda: group.commands("vm-4") == ["first"])


@with_group(3)
async def test_a_removal_that_would_lose_the_quorum_is_refused(group):
    await group.start_all()
    leader = group.leader
    stopped_vm, running_vm = (vm for vm in list(group.nodes) if vm != leader.vm)
    group.stop(stopped_vm)
    failure = (await leader.remove_member(running_vm)).failure()
    assert isinstance(failure, WouldLoseQuorum)
    assert (await leader.propose("still")).unwrap()


@with_group(3, open_requires_all=True)
async def test_open_requires_all_accepts_no_command_before_all_initial_vms_vote(group):
    await group.start("vm-1")
    await group.start("vm-2")
    await group.start("vm-3")
    node = group.nodes["vm-1"]
    while isinstance(await node.propose("a"), Failure):
        await trio.sleep(0.01)
    assert len(voter_names(group)) == 3
    group.stop("vm-1")
    await wait_until(lambda: group.leader)
    (await group.nodes["vm-2"].propose("b")).unwrap()


@with_group(3, allow_any_vm=True)
async def test_allow_any_vm_lets_a_vm_that_is_not_allowed_join_and_vote(group):
    await group.start_all()
    group.stop("vm-3")
    await group.start("vm-4", bootstrap=False)
    await wait_until(lambda: "vm-4" in voter_names(group))
    (await group.leader.remove_member("vm-3")).unwrap()
    assert voter_names(group) == {"vm-1", "vm-2", "vm-4"}


@with_group(3)
async def test_a_vm_that_is_not_allowed_does_not_join_by_default(group):
    await group.start_all()
    await group.start("vm-4", bootstrap=False)
    await trio.sleep(10)
    assert voter_names(group) == {"vm-1", "vm-2", "vm-3"}


def voter_names(group):
    statuses = group.leader.status()["members"]
    return {member["vm"] for member in statuses if member["votes"]}


# Guards against two leaders that act beyond the log, such as by orders to targets,
# while slow answers let the one that is cut off stay the log's leader for longer.
def test_a_leader_without_word_of_a_quorum_does_not_act_as_one():
    async def main():
        async with trio.open_nursery() as nursery:
            group = Group(nursery, 3, heartbeat_s=0.2, election_s=0.7)
            await group.start_all()
            group.network.delay_s = 0.5
            await trio.sleep(30.0)
            await wait_until(lambda: group.leader is not None)
            leader = group.leader
            assert leader._loop.replica.answer_s >= 1.0
            others = set(group.network.routes)
            group.network.cut = {(a, b) for a in others for b in others if a != b}
            cut_s = trio.current_time()
            await wait_until(lambda: not leader.is_leader)
            assert trio.current_time() - cut_s < 1.0 + 0.7
            nursery.cancel_scope.cancel()

    run_with_mock_clock(main)


# Guards against a log that keeps each large command in memory and on disk until there
# are very many: processes passed their memory, and again at each restart.
@pytest.mark.parametrize("body_bytes", [2_000, 100_000, 1_000_000])
def test_a_log_is_bounded_by_bytes_whatever_the_number_of_commands(body_bytes):
    sizes = []

    def measure(group):
        logs = [node._loop.replica.log for node in group.nodes.values()]
        memory = max(log.bytes_between(0, log.last_index) for log in logs)
        disk = max(
            sum(map(len, each.files.values())) for each in group.folders.values()
        )
        sizes.append((memory, disk))

    async def main():
        async with trio.open_nursery() as nursery:
            settings = {"snapshot_entries": 1_000, "kept_entries": 200}
            group = Group(nursery, 3, make_machine=Register, **settings)
            await group.start_all()
            for number in range(60):
                command = str(number).ljust(body_bytes, "x")
                (await group.nodes["vm-1"].propose(command)).unwrap()
                await trio.sleep(0.5)
                measure(group)
            group.stop("vm-2")
            node = await group.start("vm-2")
            (await node.read()).unwrap()
            assert node._machine.command == command
            measure(group)
            nursery.cancel_scope.cancel()

    run_with_mock_clock(main)
    bound_bytes = SNAPSHOT_BYTES + KEPT_BYTES + 2 * body_bytes
    assert max(memory for memory, _ in sizes) <= bound_bytes
    # On disk there is the snapshot beside the entries.
    assert max(disk for _, disk in sizes) <= 2 * bound_bytes
