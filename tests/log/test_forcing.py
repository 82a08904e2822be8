"""Continuing a group from one replica whose other voters are lost for good."""

import json

import pytest
import trio
import trio.lowlevel
from returns.result import Failure, Success
from typer.testing import CliRunner

from tests.log.builders import MemoryFolder, wait_until
from tests.log.test_node import with_group
from vanillabeam.cli import app
from vanillabeam.exceptions import PeerSilent, PeerUnreachable
from vanillabeam.log.contents import read_contents
from vanillabeam.log.exceptions import DataFolderDamaged, ForceRefused
from vanillabeam.log.folder import DiskFolder, group_folder
from vanillabeam.log.forcing import MAX_SKIPPED, TERM_GAP, force, plan_force
from vanillabeam.log.founding import BootstrapGroup, bootstrap_contents, store_bootstrap
from vanillabeam.log.records import Member, Membership
from vanillabeam.log.storage import open_storage

GONE = ["vm-2", "vm-3"]


def play(count, **settings):
    """Return a function that runs an async function with a group of some commands."""

    def run(function):
        @with_group(count, **settings)
        async def main(group):
            await group.start_all()
            for number in range(5):
                (await group.leader.propose(f"c{number}")).unwrap()
            await trio.sleep(1.0)
            await function(group)

        main()

    return run


def asker(group, **answers):
    """Return a function that asks the nodes that run, or gives the answer named.

    :param answers: results by the VM's name, with ``_`` for ``-``.
    """

    def ask(address):
        vm = address.removesuffix(":1")
        if vm.replace("-", "_") in answers:
            return answers[vm.replace("-", "_")]
        node = group.nodes.get(vm)
        return Failure(PeerUnreachable(vm)) if node is None else Success(node.status())

    return ask


async def stop(group, *vms):
    for vm in vms:
        group.stop(vm)
    await trio.lowlevel.checkpoint()


def plan(group, vm="vm-1", gone=GONE, above=0, others=(), **answers):
    folder = group.folders[vm]
    ask = asker(group, **answers)
    return plan_force(folder, "tickets", gone, above, ask, others)


def refused(planned):
    failure = planned.failure()
    assert isinstance(failure, ForceRefused)
    return failure.detail


# Guards against a fleet that has lost its majority and can never change again.
def test_a_group_goes_on_from_the_replica_that_is_left():
    @play(3)
    async def _(group):
        before = group.commands("vm-1")
        old_id = group.leader.status()["group_id"]
        old_term = group.leader.term
        await stop(group, *group.nodes.copy())
        planned = plan(group, above=500).unwrap()
        assert (planned["gone"], planned["emptied"]) == (GONE, [])
        assert planned["first_index"] == 501
        assert force(group.folders["vm-1"], planned).unwrap() is None
        node = await group.start("vm-1", bootstrap=False)
        await wait_until(lambda: node.is_leader)
        assert node.term > old_term + TERM_GAP
        applied = (await node.propose("after")).unwrap()
        assert applied.index > 501
        assert group.commands("vm-1") == [*before, "after"]
        status = node.status()
        assert status["group_id"] == planned["group_id"] != old_id
        assert [member["vm"] for member in status["members"]] == ["vm-1"]
        for vm in ("vm-4", "vm-5"):
            seeds = ["vm-1"]
            await group.start(vm, seeds=seeds, bootstrap=False, allow_any_vm=True)
        (await node.add_member("vm-4")).unwrap()
        (await node.add_member("vm-5")).unwrap()
        await wait_until(lambda: group.leader and group.losses_left() == 1)
        await wait_until(lambda: group.commands("vm-5") == [*before, "after"])


# Guards against a replica of the old group whose entries or votes count in the new one.
def test_a_replica_of_the_old_group_does_not_mix_in():
    @play(3)
    async def _(group):
        await stop(group, "vm-1")
        (await group.nodes["vm-2"].propose("lost")).unwrap()
        await stop(group, *GONE)
        assert force(group.folders["vm-1"], plan(group).unwrap()).unwrap() is None
        node = await group.start("vm-1", bootstrap=False)
        await wait_until(lambda: node.is_leader)
        for vm in GONE:
            await group.start(vm, bootstrap=False)
        await trio.sleep(10.0)
        (await node.propose("kept")).unwrap()
        assert "lost" not in group.commands("vm-1")
        assert "kept" not in group.commands("vm-2") + group.commands("vm-3")
        ids = {vm: each.status()["group_id"] for vm, each in group.nodes.items()}
        assert ids["vm-1"] not in (ids["vm-2"], ids["vm-3"])
        await stop(group, *GONE)
        for vm in GONE:
            group.folders[vm] = MemoryFolder()
            (await node.add_member(vm)).unwrap()
            await group.start(vm, bootstrap=False)
        await wait_until(lambda: group.leader and group.losses_left() == 1)
        assert group.commands("vm-2")[-1] == "kept"


# Where any VM may join, a replica of the old group is listed and never takes part; its
# VM joins once the old folder is away.
def test_an_old_folder_is_a_learner_that_never_answers_until_it_is_emptied():
    @play(3, allow_any_vm=True)
    async def _(group):
        await stop(group, *group.nodes.copy())
        assert force(group.folders["vm-1"], plan(group).unwrap()).unwrap() is None
        node = await group.start("vm-1", bootstrap=False)
        await wait_until(lambda: node.is_leader)
        old = await group.start("vm-2", bootstrap=False)
        await trio.sleep(10.0)
        found = {m["vm"]: (m["votes"], m["active"]) for m in node.status()["members"]}
        assert found == {"vm-1": (True, True), "vm-2": (False, False)}
        assert old.status()["group_id"] != node.status()["group_id"]
        await stop(group, "vm-2")
        group.folders["vm-2"] = MemoryFolder()
        await group.start("vm-2", bootstrap=False)
        await wait_until(lambda: len(voters(node)) == 2)
        (await node.propose("both")).unwrap()


# Guards against a folder that is broken off with one voter under the old group's id:
# it would lead the old group alone.
@pytest.mark.parametrize("writes", [0, 1])
def test_a_write_that_is_broken_off_leaves_no_leader_and_can_be_repeated(writes):
    class BreakingFolder(MemoryFolder):
        left = None

        def _check(self):
            if self.left is not None:
                self.left -= 1
                if self.left < 0:
                    raise OSError("broken off")

    @play(3)
    async def _(group):
        await stop(group, *group.nodes.copy())
        folder = BreakingFolder()
        folder.files = group.folders["vm-1"].files
        folder.synced = group.folders["vm-1"].synced
        folder.left = writes
        assert isinstance(force(folder, plan(group).unwrap()), Failure)
        folder.left = None
        node = await group.start("vm-1", bootstrap=False)
        await trio.sleep(10.0)
        assert not node.is_leader
        await stop(group, "vm-1")
        assert force(group.folders["vm-1"], plan(group).unwrap()).unwrap() is None
        node = await group.start("vm-1", bootstrap=False)
        await wait_until(lambda: node.is_leader)


# Guards against a second group beside one whose majority only seemed to be gone.
def test_a_majority_that_may_live_refuses_it():
    @play(5)
    async def _(group):
        lost = ["vm-3", "vm-4", "vm-5"]
        await stop(group, "vm-1")
        assert "a majority is there" in refused(plan(group, gone=[]))
        await stop(group, *lost)
        detail = refused(plan(group, gone=["vm-3", "vm-4"]))
        assert detail.endswith("vm-5")
        assert "not gone: vm-2" in refused(plan(group, gone=[*lost, "vm-2"]))
        assert "not gone: vm-1" in refused(plan(group, gone=[*lost, "vm-1"]))
        assert "vm-9" in refused(plan(group, gone=[*lost, "vm-9"]))
        hangs = Failure(PeerSilent("vm-5: ReadTimeout"))
        assert "not clear" in refused(plan(group, gone=lost, vm_5=hangs))
        empty = group.nodes["vm-2"].status() | {"member_id": "", "group_id": ""}
        assert "not clear" in refused(plan(group, gone=lost, vm_5=Success(empty)))
        planned = plan(group, gone=lost).unwrap()
        assert (planned["gone"], planned["emptied"]) == (lost, ["vm-2"])


# Guards against an address that is used again: a replaced disk is no living voter, and
# a replica of another group shows that the group was continued elsewhere.
def test_another_replica_at_the_address_is_no_voter():
    @play(3)
    async def _(group):
        status = group.nodes["vm-2"].status()
        await stop(group, *group.nodes.copy())
        joining = status | {"member_id": "new", "group_id": "", "members": []}
        assert plan(group, vm_2=Success(joining)).unwrap()["gone"] == GONE
        assert "vm-2" in refused(plan(group, gone=["vm-3"], vm_2=Success(joining)))
        other = joining | {"group_id": "other"}
        assert "not clear" in refused(plan(group, vm_2=Success(other)))


# Guards against a folder that is older than the group: the voters that it knows were
# replaced, and those in their place still live.
def test_voters_that_only_another_vm_names_are_asked_too():
    @play(3)
    async def _(group):
        await stop(group, "vm-1")
        await wait_until(lambda: group.leader)
        for vm in ("vm-4", "vm-5"):
            (await group.leader.add_member(vm)).unwrap()
            await group.start(vm, bootstrap=False)
            await wait_until(lambda: group.leader and len(voters(group.leader)) > 3)
        await wait_until(lambda: len(voters(group.leader)) == 5)
        await wait_until(lambda: group.losses_left() == 1)
        await stop(group, *GONE)
        assert plan(group).unwrap()["gone"] == GONE
        assert "vm-5" in refused(plan(group, others=["vm-4:1"], gone=["vm-5"]))
        detail = refused(plan(group, others=["vm-4:1"]))
        assert detail == "a majority is there, start these: vm-1, vm-4, vm-5"
        await stop(group, "vm-5")
        assert refused(plan(group, others=["vm-4:1"])).endswith("vm-5")
        gone = [*GONE, "vm-5"]
        assert refused(plan(group, others=["vm-4:1"], gone=gone)) == (
            "vm-4 holds a newer log: continue from that one"
        )
        elsewhere = group.nodes["vm-4"].status() | {"group_id": "other"}
        answer = {"vm_9": Success(elsewhere), "others": ["vm-9:1"]}
        assert "not clear" in refused(plan(group, **answer))


def voters(node):
    return [member for member in node.status()["members"] if member["votes"]]


def test_a_replica_with_a_newer_log_is_the_one_to_go_on_from():
    @play(5)
    async def _(group):
        await stop(group, "vm-1")
        (await group.nodes["vm-2"].propose("newer")).unwrap()
        lost = ["vm-3", "vm-4", "vm-5"]
        await stop(group, *lost)
        assert "vm-2 holds a newer log" in refused(plan(group, gone=lost))
        # Nothing beyond the entries of vm-1 is known as committed there.
        status = group.nodes["vm-2"].status() | {"commit": 0}
        same = read_contents(group.folders["vm-1"]).unwrap().entries[-1]
        equal = status | {"last_index": same.index, "last_term": same.term}
        assert plan(group, gone=lost, vm_2=Success(equal)).unwrap()
        for more in ({"last_index": same.index + 1}, {"last_term": same.term + 1}):
            answer = Success(equal | more)
            assert "newer log" in refused(plan(group, gone=lost, vm_2=answer))
        await stop(group, "vm-2")
        await group.start("vm-1", bootstrap=False)
        planned = plan(group, vm="vm-2", gone=lost).unwrap()
        assert planned["emptied"] == ["vm-1"]


def test_a_vm_that_runs_is_refused():
    @play(3)
    async def _(group):
        await stop(group, *GONE)
        assert "vm-1 answers: stop it first" in refused(plan(group))


def test_too_far_an_index_and_an_empty_folder_are_refused():
    @play(1)
    async def _(group):
        await stop(group, "vm-1")
        detail = refused(plan(group, gone=[], above=MAX_SKIPPED + 1000))
        assert f"more than {MAX_SKIPPED}" in detail
        group.folders["vm-1"] = MemoryFolder()
        assert "holds no group" in refused(plan(group, gone=[]))


def test_a_folder_that_changed_since_the_plan_is_left_alone():
    @play(3)
    async def _(group):
        await stop(group, *group.nodes.copy())
        planned = plan(group).unwrap()
        planned["last_index"] -= 1
        files = dict(group.folders["vm-1"].files)
        assert "changed" in refused(force(group.folders["vm-1"], planned))
        assert group.folders["vm-1"].files == files


def make_folder(path):
    """Write the files of an opened group of three voters that nothing answers for."""
    folder = DiskFolder(group_folder(path, "tickets"))
    storage, contents = open_storage(folder, "tickets", lambda: "id-1").unwrap()
    voters = tuple(Member(f"id-{n}", f"vm-{n}", f"127.0.0.1:{n}") for n in (1, 2, 3))
    membership = Membership(1, voters, (), ("vm-1", "vm-2", "vm-3"), 3, opened=True)
    founded = bootstrap_contents(contents.identity, BootstrapGroup("old", membership))
    store_bootstrap(storage, founded).unwrap()
    storage.close()
    return folder


def run_force(path, *options):
    line = ["data", "force", str(path), "tickets", "--above", "7", *options]
    return CliRunner().invoke(app, line)


def test_the_command_prints_first_and_writes_only_when_told(tmp_path):
    folder = make_folder(tmp_path)
    before = read_contents(folder).unwrap()
    result = run_force(tmp_path, "--gone", "vm-2")
    assert (result.exit_code, "vm-3" in result.stderr) == (1, True)
    gone = ("--gone", "vm-2", "--gone", "vm-3")
    result = run_force(tmp_path, *gone)
    assert result.exit_code == 0, result.output
    assert "Nothing was changed" in result.stdout
    assert "Later entries are lost" in result.stdout
    assert read_contents(folder).unwrap() == before
    result = run_force(tmp_path, *gone, "--write", "--json")
    assert json.loads(result.stdout)["written"] is True
    after = read_contents(folder).unwrap()
    assert after.identity["group_id"] not in ("", "old")
    assert [entry.index for entry in after.entries] == list(range(1, 9))


def test_a_damaged_folder_is_refused(tmp_path):
    folder = make_folder(tmp_path)
    for path in folder.path.iterdir():
        path.write_bytes(b"\xff" * 40)
    planned = plan_force(folder, "tickets", GONE, 0, lambda address: None)
    assert isinstance(planned.failure(), DataFolderDamaged)
