"""A follower polls several control VMs on virtual time."""

import json
from types import SimpleNamespace
from typing import NamedTuple

import msgspec
import trio
import trio.testing
from returns.result import Failure, Success

from tests.canary.builders import make_record
from tests.fleet.builders import BOUNDS, make_deployment, make_target
from vanillabeam import wire
from vanillabeam.canary.records import RolloutReport, Step, is_running
from vanillabeam.exceptions import PeerSilent
from vanillabeam.fleet import Directory, FleetSettings, Follower
from vanillabeam.fleet.ages import merge_ages
from vanillabeam.fleet.loads import ENTRY_SILENCE_S, make_load
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.watch import WatchReply, WatchRequest, make_reply
from vanillabeam.tasks import keep_running

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
#: Addresses of control VMs that answer later than the first one.
LATER = ("10.0.0.2:7", "10.0.0.3:7")


class ControlVm:
    """Test double of a control VM that answers watch requests."""

    def __init__(self, epoch="e"):
        self.epoch = epoch
        self.directory = Directory()
        self.state = FleetState(
            index=0, number=0, document="", evacuated=[], weights={}
        )
        self.version_ages = {}
        self.control_addresses = []
        self.entries = ["vm-1", "vm-2"]
        self.silent = False
        self.request_count = 0
        #: Parts that it asks about as the leader; ``None`` on another control VM.
        self.accused = None
        #: Evidence that it was told, with the time.
        self.told = []
        #: Reports on rollouts that it was sent.
        self.reports = []

    async def answer(self, body):
        self.request_count += 1
        await trio.sleep(0.01)
        if self.silent:
            await trio.sleep_forever()
        request = wire.decode(WatchRequest, body).unwrap()
        if "evidence" in request:
            self.told.append((trio.current_time(), request["evidence"]))
        self.reports += request.get("rollouts", [])
        if self._is_up_to_date(request):
            await trio.sleep(request["wait_s"])
        now_s = trio.current_time()
        reply = make_reply(
            request,
            self.epoch,
            self.directory,
            self.state,
            self.control_addresses,
            self.entries,
            make_load(),
            now_s,
        )
        reply["named"] = self.version_ages
        if self.accused is not None:
            reply["accused"] = self.accused
        return Success(wire.encode(reply))

    def _is_up_to_date(self, request):
        known = request["epoch"] == self.epoch
        newest = request["index"] >= self.state["index"]
        return known and newest and request["version"] >= self.directory.version

    def commit(self, index, number, **fields):
        self.state = self.state | {"index": index, "number": number} | fields


class Harness:
    """An entry VM's follower and the control VMs that it may poll."""

    def __init__(self):
        self.control_vms = {f"{host}:7": ControlVm(f"e-{host}") for host in SEEDS}
        cfg = FleetSettings(
            "vm-1",
            "a",
            "10.0.9.1",
            "10.0.9.1:1",
            "10.0.9.1:2",
            "",
            7,
            SEEDS,
            False,
            "",
            0,
            BOUNDS,
        )
        self.cfg = cfg
        self.follower = Follower(cfg, self.call, self.read)

    async def call(self, address, path, body):
        control_vm = self.control_vms.get(address)
        if control_vm is None:
            return Failure(PeerSilent(address))
        return await control_vm.answer(body)

    def read(self, document):
        return make_deployment(number=int(document))

    def __getitem__(self, number):
        return list(self.control_vms.values())[number]


def with_harness(function):
    def test():
        async def main():
            async with trio.open_nursery() as nursery:
                harness = Harness()
                nursery.start_soon(harness.follower.run)
                await function(harness)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    test.__name__ = function.__name__
    return test


@with_harness
async def test_the_newest_state_of_any_control_vm_is_in_force_and_never_goes_back(
    harness,
):
    harness[0].commit(5, 7, document="7")
    harness[1].commit(3, 6, document="6")
    await trio.sleep(1.0)
    assert harness.follower.view.deployment.number == 7
    harness.control_vms.pop("10.0.0.1:7")
    await trio.sleep(2.0)
    assert harness.follower.view.index == 5


# Guards against an entry VM that never hears of a log that goes on from an older
# replica: its index has to be above all that were shown, and its deployment too.
@with_harness
async def test_a_log_that_goes_on_from_an_older_replica_is_followed_above_its_index(
    harness,
):
    harness[0].commit(9, 7, document="7", evacuated=["a"])
    await trio.sleep(1.0)
    harness[0].epoch = "of the new group"
    harness[0].commit(8, 6, document="6", evacuated=["b"])
    await trio.sleep(3.0)
    view = harness.follower.view
    assert (view.index, view.evacuated) == (9, {"a"})
    harness[0].commit(501, 6, document="6", evacuated=["b"])
    await trio.sleep(1.0)
    view = harness.follower.view
    assert (view.index, view.deployment.number, view.evacuated) == (501, 7, {"b"})
    harness[0].commit(502, 8, document="8")
    await trio.sleep(1.0)
    assert harness.follower.view.deployment.number == 8


# Guards against the end of every entry VM of an older release, at each start.
@with_harness
async def test_a_document_that_cannot_be_read_leaves_the_one_in_force(harness):
    harness[0].commit(5, 7, document="7")
    await trio.sleep(1.0)
    harness[0].commit(6, 8, document="of another release", evacuated=["b"])
    await trio.sleep(1.0)
    view = harness.follower.view
    assert (view.index, view.deployment.number) == (6, 7)
    assert view.evacuated == {"b"}
    harness[0].commit(7, 9, document="9")
    await trio.sleep(1.0)
    assert harness.follower.view.deployment.number == 9


@with_harness
async def test_it_is_ready_once_most_control_vms_have_answered(harness):
    harness[0].commit(5, 7, document="7")
    harness[1].silent = harness[2].silent = True
    await trio.sleep(1.0)
    assert not harness.follower.is_ready
    harness[1].silent = False
    await trio.sleep(2.0)
    assert harness.follower.is_ready


# Guards against a key or a route that was withdrawn and is in use after a restart: the
# control VM that answers first may be behind.
@with_harness
async def test_the_state_of_one_control_vm_alone_is_not_in_force_after_a_start(harness):
    harness[0].commit(3, 6, document="6")
    later = {address: harness.control_vms.pop(address) for address in LATER}
    await trio.sleep(1.0)
    assert harness.follower.view.is_known
    assert not harness.follower.is_current
    for control_vm in later.values():
        control_vm.commit(5, 7, document="7")
    harness.control_vms.update(later)
    await harness.follower.wait_for_deployment()
    assert harness.follower.is_current
    assert harness.follower.view.deployment.number == 7


# Guards against a VM that stops serving when it hears of more control VMs.
@with_harness
async def test_a_state_that_was_in_force_stays_so(harness):
    for number in range(3):
        harness[number].commit(5, 7, document="7")
    await trio.sleep(1.0)
    assert harness.follower.is_current
    harness[0].control_addresses = [f"10.0.1.{number}:7" for number in range(9)]
    harness[0].commit(6, 8, document="8")
    await trio.sleep(0.5)
    assert harness.follower.is_current


@with_harness
async def test_without_a_deployment_it_is_never_ready(harness):
    await trio.sleep(30.0)
    assert not harness.follower.is_ready


@with_harness
async def test_targets_of_different_control_vms_are_merged(harness):
    harness[0].directory.update(make_target("t-1"), trio.current_time())
    harness[2].directory.update(make_target("t-2"), trio.current_time())
    await trio.sleep(1.0)
    assert sorted(harness.follower.directory.records) == ["t-1", "t-2"]


@with_harness
async def test_a_silent_target_is_dropped_only_while_control_vms_answer(harness):
    harness[0].directory.update(make_target("t-1"), trio.current_time())
    await trio.sleep(1.0)
    for control_vm in harness.control_vms.values():
        control_vm.silent = True
    await trio.sleep(BOUNDS.silence_s + 5.0)
    assert "t-1" in harness.follower.directory.records
    for control_vm in harness.control_vms.values():
        control_vm.silent = False
    await trio.sleep(BOUNDS.silence_s)
    assert harness.follower.directory.records == {}


async def announce(control_vm, target, period_s=1.2):
    """Announce a target to a control VM again and again."""
    while True:
        control_vm.directory.update(target, trio.current_time())
        target = target._replace(sequence=target.sequence + 1)
        await trio.sleep(period_s)


# Guards against targets that stay on older weights and get no work: after a cut between
# control VMs, the others never listed again a target that announced itself to one only.
@with_harness
async def test_a_target_heard_by_a_cut_off_control_vm_is_listed_after_the_cut(harness):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce, harness[0], make_target("t-1"))
        nursery.start_soon(announce, harness[1], make_target("t-2"))
        await trio.sleep(1.0)
        harness[0].silent = True
        await trio.sleep(BOUNDS.silence_s + 3.0)
        assert sorted(harness.follower.directory.records) == ["t-2"]
        harness[0].silent = False
        await trio.sleep(3.0)
        assert sorted(harness.follower.directory.records) == ["t-1", "t-2"]
        nursery.cancel_scope.cancel()


def tell_merged_ages(control_vm):
    """Have a control VM tell ages as a real one does; return all announcements."""
    others, answer = Directory(), control_vm.answer

    async def answer_merged(body):
        result = await answer(body)
        reply = wire.decode(WatchReply, result.unwrap()).unwrap()
        merged = merge_ages(control_vm.directory, others, trio.current_time())
        reply |= {"ages_s": merged.ages_s, "starts": merged.starts}
        return Success(wire.encode(reply))

    control_vm.answer = answer_merged
    return others


async def drop_silent(directory):
    while True:
        await trio.sleep(BOUNDS.silence_s / 4)
        limit_s = trio.current_time() - BOUNDS.silence_s
        for incarnation in directory.silent_since(limit_s):
            directory.forget(incarnation[0])


# Guards against an entry VM that returns to an ended start: once it loses touch with
# the control VM that hears the later start, another one passes that one's age on.
@with_harness
async def test_a_merged_age_keeps_the_start_that_it_belongs_to(harness):
    earlier = make_target("t-1", address="10.0.0.9:80", born_ms=1_000)
    later = make_target("t-1", address="10.0.0.8:80", born_ms=5_000)
    others = tell_merged_ages(harness[0])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drop_silent, harness[0].directory)
        harness[0].directory.update(earlier, trio.current_time())
        await trio.sleep(2.0)
        nursery.start_soon(announce, harness[1], later)
        nursery.start_soon(announce, SimpleNamespace(directory=others), later, 0.3)
        await trio.sleep(8.0)
        assert harness.follower.directory.records["t-1"].target.born_ms == 5_000
        harness[1].silent = True
        await trio.sleep(8.0)
        assert harness.follower.directory.records["t-1"].target.born_ms == 5_000
        nursery.cancel_scope.cancel()


# Guards against an entry VM that stays on an ended start, as a merged age of a later
# one, whose host's clock is behind, keeps it alive.
@with_harness
async def test_a_merged_age_keeps_no_ended_start_alive(harness):
    earlier = make_target("t-1", address="10.0.0.9:80", born_ms=9_000)
    later = make_target("t-1", address="10.0.0.8:80", born_ms=2_000)
    others = tell_merged_ages(harness[0])
    async with trio.open_nursery() as nursery:
        for directory in (harness[0].directory, others):
            directory.update(earlier, trio.current_time())
            nursery.start_soon(drop_silent, directory)
        await trio.sleep(2.0)
        nursery.start_soon(announce, harness[1], later)
        nursery.start_soon(announce, SimpleNamespace(directory=others), later, 0.3)
        await trio.sleep(30.0)
        assert harness.follower.directory.records["t-1"].target.born_ms == 2_000
        nursery.cancel_scope.cancel()


# Guards against a target that each reply drops and lists again.
@with_harness
async def test_a_target_that_goes_on_announcing_itself_is_never_dropped(harness):
    forgotten = []
    harness.follower.directory.forget = forgotten.append
    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce, harness[0], make_target("t-1"))
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    assert forgotten == []


# Guards against records of a control VM's process that has ended.
@with_harness
async def test_a_new_process_of_a_control_vm_has_sent_nothing_before(harness):
    harness[0].directory.update(make_target("t-1"), trio.current_time())
    await trio.sleep(1.0)
    harness[0].epoch, harness[0].directory = "next", Directory()
    harness[0].directory.update(make_target("t-2"), trio.current_time())
    harness.follower.directory.forget("t-1")
    tell_merged_ages(harness[0]).update(make_target("t-1"), trio.current_time())
    await trio.sleep(1.0)
    assert sorted(harness.follower.directory.records) == ["t-2"]


# Guards against targets that are lost for good with a reply that could not be applied.
@with_harness
async def test_a_reply_that_could_not_be_applied_is_asked_for_again(harness):
    failures, read = [TypeError()], harness.follower._state._read

    def fail_once(document):
        if failures:
            raise failures.pop()
        return read(document)

    harness.follower._state._read = fail_once
    harness[0].commit(5, 7, document="7")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce, harness[0], make_target("t-1"))
        await trio.sleep(20.0)
        assert "t-1" in harness.follower.directory.records
        nursery.cancel_scope.cancel()


# Guards against a target that stays unlisted: its record came while an earlier start,
# whose host's clock was ahead, was still listed, and was refused for good.
@with_harness
async def test_a_record_that_was_refused_is_taken_once_nothing_contradicts_it(harness):
    earlier = make_target("t-1", address="10.0.0.9:80", born_ms=9_000)
    later = make_target("t-2", address="10.0.0.9:80", born_ms=2_000)
    harness[1].directory.update(earlier, trio.current_time())
    await trio.sleep(1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce, harness[0], later)
        await trio.sleep(BOUNDS.silence_s + 3.0)
        assert sorted(harness.follower.directory.records) == ["t-2"]
        nursery.cancel_scope.cancel()


@with_harness
async def test_a_control_vm_listed_by_another_is_polled(harness):
    newcomer = harness.control_vms["10.0.0.9:7"] = ControlVm("e-9")
    await trio.sleep(1.0)
    assert newcomer.request_count == 0
    harness[0].control_addresses = ["10.0.0.9:7"]
    newcomer.commit(9, 8, document="8")
    await trio.sleep(2.0)
    assert harness.follower.view.deployment.number == 8


@with_harness
async def test_changed_seeds_are_polled_when_all_known_control_vms_are_lost(harness):
    harness.control_vms.clear()
    harness.control_vms["10.0.1.1:7"] = ControlVm("new")
    harness[0].commit(4, 7, document="7")
    await trio.sleep(5.0)
    assert not harness.follower.view.is_known
    harness.follower.update_seeds(harness.cfg._replace(seeds=("10.0.1.1",)))
    await trio.sleep(2.0)
    assert harness.follower.view.is_known


@with_harness
async def test_weights_take_the_earliest_time_that_a_control_vm_reports(harness):
    harness[0].commit(5, 7, document="7", weights={"m": 2})
    harness[0].version_ages = {"m": [(2, 6.0)]}
    await trio.sleep(1.0)
    now_s = trio.current_time()
    view = harness.follower.view
    assert view.version_named_before("m", now_s - 5.0) == 2
    assert view.version_named_before("m", now_s - 8.0) == 0


@with_harness
async def test_a_control_vm_is_not_polled_without_pause(harness):
    await trio.sleep(10.0)
    assert all(
        control_vm.request_count < 60 for control_vm in harness.control_vms.values()
    )


@with_harness
async def test_discovery_ends_some_time_after_the_first_reply(harness):
    for control_vm in harness.control_vms.values():
        control_vm.silent = True
    await trio.sleep(5.0)
    assert harness.follower.is_discovering(trio.current_time())
    for control_vm in harness.control_vms.values():
        control_vm.silent = False
    await trio.sleep(5.0)
    assert not harness.follower.is_discovering(trio.current_time())


@with_harness
async def test_a_control_vm_that_has_just_started_does_not_hide_entry_vms(harness):
    everybody = [f"vm-{number}" for number in range(1, 5)]
    harness[1].entries = harness[2].entries = everybody
    harness[0].entries = ["vm-1"]
    await trio.sleep(2.0)
    assert harness.follower.entry_vms == tuple(everybody)


@with_harness
async def test_an_entry_vm_that_no_control_vm_hears_is_forgotten(harness):
    await trio.sleep(1.0)
    assert harness.follower.entry_vms == ("vm-1", "vm-2")
    for control_vm in harness.control_vms.values():
        control_vm.entries = ["vm-1"]
    await trio.sleep(1.0)
    assert harness.follower.entry_vms == ("vm-1",)


@with_harness
async def test_what_a_silent_control_vm_has_said_of_entry_vms_expires(harness):
    harness[0].entries = ["vm-1", "vm-2", "vm-3"]
    await trio.sleep(1.0)
    assert "vm-3" in harness.follower.entry_vms
    harness[0].silent = True
    await trio.sleep(ENTRY_SILENCE_S + 1.0)
    assert harness.follower.entry_vms == ("vm-1", "vm-2")


# Guards against control VMs that count entry VMs for ever after all have ended: an
# empty list also says that nothing has changed.
@with_harness
async def test_entry_vms_that_have_all_ended_are_forgotten(harness):
    harness.follower._cfg = harness.cfg._replace(entry_address="")
    await trio.sleep(1.0)
    assert harness.follower.entry_vms == ("vm-1", "vm-2")
    for control_vm in harness.control_vms.values():
        control_vm.entries = []
    await trio.sleep(2.0)
    assert harness.follower.entry_vms == ()


# Guards against entry VMs that a control VM never named: its empty list was taken for
# those known when the reply came, not for those of the request.
@with_harness
async def test_an_unchanged_list_of_entry_vms_is_that_of_the_request(harness):
    await trio.sleep(1.0)
    harness.follower.entry_vms = ("vm-1", "vm-2", "vm-3")
    for _ in range(50):
        await trio.sleep(0.01)
        for control_vm in harness.follower.control_vms.values():
            assert control_vm.entries == {"vm-1", "vm-2"}


# Guards against an entry VM that hears of no change any more: after an error of the
# task that starts the polls, the control VMs polled before were never polled again.
def test_polls_go_on_after_a_failure_of_the_task_that_starts_them(monkeypatch):
    async def main():
        harness = Harness()
        failures = iter([None, ZeroDivisionError()])

        def drop():
            failure = next(failures, None)
            if failure is not None:
                raise failure

        monkeypatch.setattr(harness.follower.targets, "drop_silent", drop)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "follower", harness.follower.run)
            await trio.sleep(5.0)
            harness[0].commit(1, 1, document="1")
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        assert harness.follower.view.deployment.number == 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class Observer:
    """Observations that there always are some of."""

    def evidence(self, accused, now_s):
        return {
            "broken": [],
            "answered": dict.fromkeys(accused, 0.5),
            "waiting": [],
            "trying": [],
        }


# Guards against evidence that is lost with a leader, or goes to all control VMs.
def test_evidence_goes_to_the_leader_and_to_the_next_one():
    harness = Harness()
    harness.follower.evidence = Observer()
    told = {address: [] for address in harness.control_vms}
    for address, control_vm in harness.control_vms.items():
        control_vm.told = told[address]

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.follower.run)
            harness[0].accused = {"p-1": 2}
            await trio.sleep(3.0)
            since_s = trio.current_time()
            first = [at_s for at_s, _ in told["10.0.0.1:7"]]
            assert max(first) > since_s - 1.0
            assert told["10.0.0.1:7"][-1][1]["answered"] == {"p-1": 0.5}
            assert all(at_s < 1.0 for at_s, _ in told["10.0.0.2:7"])
            harness[0].accused = None
            harness[1].accused = {}
            await trio.sleep(3.0)
            assert max(at_s for at_s, _ in told["10.0.0.2:7"]) > since_s + 2.0
            assert all(at_s < since_s + 1.0 for at_s, _ in told["10.0.0.1:7"])
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class Reporter:
    """Reports of an entry VM on the rollouts that it knows to run.

    :param follower: its view names the rollouts.
    """

    def __init__(self, follower):
        self._follower = follower

    def reports(self):
        rollouts = self._follower.view.rollouts.values()
        return [
            RolloutReport(
                service=record["service"],
                order=record["order"],
                boot="b",
                new={},
                old={},
                open_old=0,
            )
            for record in rollouts
            if is_running(record)
        ]


# Guards against reports that burden all control VMs, or all the time.
@with_harness
async def test_reports_on_rollouts_go_to_the_leader_while_one_runs(harness):
    harness.follower.rollouts = Reporter(harness.follower)
    harness[0].accused = {}
    for number in range(3):
        harness[number].commit(5, 7, document="7")
    await trio.sleep(1.0)
    assert [harness[number].reports for number in range(3)] == [[], [], []]
    record = make_record(Step.TRIAL, 0.06)
    for number in range(3):
        harness[number].commit(6, 7, document="7", rollouts={"app": record})
    await trio.sleep(1.0)
    assert harness.follower.view.rollouts == {"app": record}
    assert harness[0].reports[-1]["order"] == record["order"]
    assert harness[1].reports == harness[2].reports == []
    ended = make_record(Step.COMPLETE, 1.0)
    for number in range(3):
        harness[number].commit(7, 7, document="7", rollouts={"app": ended})
    await trio.sleep(1.0)
    harness[0].reports.clear()
    await trio.sleep(1.0)
    assert harness[0].reports == []


# Guards against exposure by a VM that hears only control VMs that are cut off from the
# leader, and have the old state.
@with_harness
async def test_the_age_of_the_leader_grows_while_other_control_vms_reply(harness):
    assert harness.follower.leader_age_s() == float("inf")
    harness[0].accused = {}
    for number in range(3):
        harness[number].commit(5, 7, document="7")
    await trio.sleep(3.0)
    assert harness.follower.leader_age_s() < 1.0
    harness[0].silent = True
    await trio.sleep(3.0)
    assert harness.follower.leader_age_s() > 2.0
    assert harness.follower.age_s() < 1.0
    harness[1].accused = {}
    await trio.sleep(1.0)
    assert harness.follower.leader_age_s() < 1.0


# Guards against exposure by a process that was paused, and reads an old reply as if
# it were new.
@with_harness
async def test_a_late_reply_of_the_leader_is_as_old_as_its_request(harness):
    harness[0].accused = {}
    for number in range(3):
        harness[number].commit(5, 7, document="7")
    await trio.sleep(1.0)
    answer = harness[0].answer

    async def answer_late(body):
        reply = await answer(body)
        await trio.sleep(2.0)
        return reply

    harness[0].answer = answer_late
    await trio.sleep(4.0)
    ages_s = []
    for _ in range(50):
        await trio.sleep(0.1)
        ages_s.append(harness.follower.leader_age_s())
    # A reply is late by 2 s, of which 0.5 s may be its wait and its way.
    assert min(ages_s) >= 1.5


class OldTarget(NamedTuple):
    """A target as releases of before the software version read it."""

    name: str
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    cold_ms: float = 0.0
    versions: dict[str, int] = {}


# Guards against entry VMs of an older release that can't read any reply of a newer
# control VM, and know no targets: lists of named fields may not become longer.
@with_harness
async def test_an_older_release_reads_targets_with_a_software_version(harness):
    target = make_target("t-1", software="v2")
    harness[0].directory.update(target, trio.current_time())
    harness[0].commit(5, 7, document="7")
    await trio.sleep(1.0)
    assert harness.follower.directory.records["t-1"].target == target
    request = WatchRequest(
        vm="vm-9",
        sends=True,
        epoch="",
        version=0,
        index=0,
        wait_s=0.0,
        parts=harness.follower.parts.request(),
        load=make_load(),
        fetched=[],
    )
    reply = (await harness[0].answer(wire.encode(request))).unwrap()
    documents = json.loads(reply)["targets"]
    old = [msgspec.convert(document["target"], OldTarget) for document in documents]
    assert [each.name for each in old] == ["t-1"]
    assert documents[0]["software"] == "v2"
