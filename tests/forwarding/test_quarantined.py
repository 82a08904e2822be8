"""Exchanges of requests whose prompts have suspect or quarantined parts."""

import time

import pytest
import trio

from tests.fleet.evidence import make_record
from tests.forwarding.builders import make_prompt
from tests.forwarding.exchanges import RESET, EntryVm, Reply, play
from vanillabeam.exceptions import Run
from vanillabeam.fleet import RouteKind
from vanillabeam.fleet.quarantine import NO_TRIAL
from vanillabeam.forwarding.exceptions import AnswerBroken, PartQuarantined

NAMES = ("t-0", "t-1", "t-2", "t-3")
PART = "s-1"


def make_vm(monkeypatch, replies, **route):
    fields = {"kind": RouteKind.STREAM, "resumable": True, "attempts": 3} | route
    vm = EntryVm(monkeypatch, NAMES, **fields)
    vm.targets = [target._replace(versions={"m": 1}) for target in vm.targets]
    queue = [*replies, Reply(body=b"id: 1\ndata: x\n\n")]
    vm.replies = dict.fromkeys(NAMES, queue)
    return vm


def serve(vm, before=None):
    async def main():
        vm.announce()
        if before is not None:
            await before()
        began_s = trio.current_time()
        result = await vm.request(metadata=make_prompt())
        return result, trio.current_time() - began_s

    return play(main)


# Guards against requests that are sent to targets though these end under their part.
def test_a_request_with_a_quarantined_part_is_refused_at_once_and_has_not_run(
    monkeypatch,
):
    vm = make_vm(monkeypatch, [])
    vm.quarantine[PART] = make_record(trial=NO_TRIAL)
    result, took_s = serve(vm)
    assert isinstance(result.failure, PartQuarantined)
    assert (result.failure.status, result.failure.run) == (503, Run.NOT_RUN)
    assert (vm.sent, took_s) == ([], 0.0)


# Guards against a long pause for callers of a part that may be released at once.
@pytest.mark.parametrize("wait_s, least_s, most_s", [(0, 1, 1), (60, 50, 60)])
def test_callers_are_told_when_a_part_may_be_released(
    monkeypatch, wait_s, least_s, most_s
):
    vm = make_vm(monkeypatch, [])
    next_ms = int(1000 * (time.time() + wait_s))
    vm.quarantine[PART] = make_record(trial=NO_TRIAL, next_ms=next_ms)
    result, _ = serve(vm)
    assert least_s <= result.failure.retry_after_s <= most_s


def test_the_last_part_of_a_prompt_is_never_quarantined(monkeypatch):
    vm = make_vm(monkeypatch, [])
    vm.quarantine["own"] = make_record(trial=NO_TRIAL)
    assert serve(vm)[0].status == 200


def test_a_request_with_a_suspect_part_gets_no_second_target(monkeypatch):
    vm = make_vm(monkeypatch, [RESET])
    vm.accused[PART] = 2
    result, _ = serve(vm)
    assert len(vm.sent) == 1
    assert isinstance(result.failure, AnswerBroken)


def test_one_end_of_a_target_takes_no_second_attempt_away(monkeypatch):
    vm = make_vm(monkeypatch, [RESET])
    vm.accused[PART] = 1
    assert serve(vm)[0].status == 200


# Guards against "not run" for a request under which a target has ended.
def test_a_part_that_is_quarantined_after_the_first_attempt_is_not_called_not_run(
    monkeypatch,
):
    vm = make_vm(monkeypatch, [Reply(0, after_s=0.1)])

    async def quarantine_soon():
        async def later():
            await trio.sleep(0.05)
            vm.quarantine[PART] = make_record(trial=NO_TRIAL)

        trio.lowlevel.spawn_system_task(later)

    result, _ = serve(vm, quarantine_soon)
    assert len(vm.sent) == 1
    assert isinstance(result.failure, AnswerBroken)
    assert result.failure.run is Run.UNKNOWN


# Guards against requests without parts that end one target after the other.
def test_a_request_under_which_two_targets_ended_gets_no_third(monkeypatch):
    vm = make_vm(monkeypatch, [RESET, RESET], attempts=4)

    async def end_all():
        vm.ends.has_ended = lambda incarnation: True

    result, _ = serve(vm, end_all)
    assert len(vm.sent) == 2
    assert isinstance(result.failure, AnswerBroken)


def test_a_trial_is_sent_once_and_to_one_target(monkeypatch):
    vm = make_vm(monkeypatch, [RESET])
    vm.quarantine[PART] = make_record(trial="vm-1")
    result, _ = serve(vm)
    assert len(vm.sent) == 1
    assert isinstance(result.failure, AnswerBroken)
    result, _ = serve(vm)
    assert len(vm.sent) == 1
    assert isinstance(result.failure, PartQuarantined)


def test_a_request_waits_for_its_trial_and_goes_on_once_the_part_is_released(
    monkeypatch,
):
    vm = make_vm(monkeypatch, [])
    vm.quarantine[PART] = make_record()

    async def release_soon():
        async def later():
            await trio.sleep(0.3)
            assert vm.gate.evidence({}, 0.0)["waiting"] == [PART]
            vm.quarantine.clear()

        trio.lowlevel.spawn_system_task(later)

    result, took_s = serve(vm, release_soon)
    assert result.status == 200
    assert 0.3 <= took_s < 0.4


def test_a_request_that_waits_in_vain_for_its_trial_is_refused(monkeypatch):
    vm = make_vm(monkeypatch, [])
    vm.quarantine[PART] = make_record()
    result, took_s = serve(vm)
    assert isinstance(result.failure, PartQuarantined)
    assert 1.0 <= took_s < 1.1


# Guards against blame for parts when targets leave as planned.
def test_the_end_of_a_target_that_drains_is_not_checked(monkeypatch):
    vm = make_vm(monkeypatch, [Reply(0, after_s=0.1)], attempts=1)

    async def drain_soon():
        async def later():
            await trio.sleep(0.05)
            for target in vm.targets:
                vm.directory.mark_draining(target.incarnation)

        trio.lowlevel.spawn_system_task(later)

    serve(vm, drain_soon)
    assert (len(vm.sent), vm.checked) == (1, [])


def test_a_target_whose_answer_broke_off_is_checked(monkeypatch):
    vm = make_vm(monkeypatch, [RESET], attempts=1)
    serve(vm)
    assert [target.name for target in vm.checked] == [vm.sent[0].target]
