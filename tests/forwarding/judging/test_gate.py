"""Requests with quarantined parts at one entry VM."""

from tests.fleet.evidence import make_record
from vanillabeam.fleet.quarantine import NO_TRIAL
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.forwarding.judging.gate import Pass, QuarantineGate

PARTS = ("first", "bad")


def make_gate():
    return QuarantineGate("vm-1", TargetEnds())


def judge(gate, parts=PARTS, **records):
    return gate.judge(parts, {p: make_record(trial=t) for p, t in records.items()})


def test_requests_without_quarantined_parts_pass():
    assert judge(make_gate(), ("first",), bad=NO_TRIAL).result is Pass.FREE


def test_a_request_with_a_quarantined_part_is_barred():
    verdict = judge(make_gate(), bad=NO_TRIAL)
    assert (verdict.result, verdict.part) == (Pass.BARRED, "bad")


def test_a_request_waits_while_the_trial_is_given_away():
    assert judge(make_gate(), bad="*").result is Pass.WAIT


def test_only_the_vm_that_was_given_the_trial_sends_one_request():
    gate = make_gate()
    assert judge(gate, bad="vm-2").result is Pass.WAIT
    verdict = judge(gate, bad="vm-1")
    assert verdict.result is Pass.TRIAL
    gate.begin_trial(verdict)
    assert judge(gate, bad="vm-1").result is Pass.WAIT
    record = make_record(trial="vm-1", number=2)
    assert gate.judge(PARTS, {"bad": record}).result is Pass.TRIAL


def test_a_request_with_two_quarantined_parts_tries_neither():
    assert judge(make_gate(), first="vm-1", bad="vm-1").result is Pass.BARRED


def test_the_leader_hears_what_waits_what_is_tried_and_what_was_answered():
    ends = TargetEnds()
    gate = QuarantineGate("vm-1", ends)
    assert gate.evidence({}, 1.0) is None
    gate.begin_wait("bad")
    assert gate.evidence({}, 1.0)["waiting"] == ["bad"]
    gate.end_wait("bad")
    verdict = judge(gate, bad="vm-1")
    gate.begin_trial(verdict)
    ends.record_answer(("bad",), 1.5)
    told = gate.evidence({"other": 2}, 2.0)
    assert told["trying"] == ["bad"]
    assert told["answered"] == {"other": None, "bad": 0.5}
    gate.end_trial(verdict)
    gate.keep_only({})
    assert gate.evidence({}, 2.0) is None


def test_a_part_is_suspect_once_two_targets_have_ended_one_after_the_other():
    gate = make_gate()
    assert not gate.is_suspect(PARTS, {"bad": 1})
    assert gate.is_suspect(PARTS, {"bad": 2})
    assert not gate.is_suspect(PARTS, {"another": 5})
