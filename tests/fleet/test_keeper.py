"""Quarantine, trials and release of parts by the leader."""

import pytest

from tests.fleet.evidence import NOW_MS, Fleet, make_evidence, make_record
from vanillabeam.fleet.keeper import (
    SILENT_TRIAL_S,
    UNUSED_S,
    QuarantineKeeper,
    Reason,
)
from vanillabeam.fleet.quarantine import NO_TRIAL, OPEN_TRIAL, apply_change
from vanillabeam.fleet.suspects import MIN_ENDS


class Leader:
    """A leader whose changes are committed at once."""

    def __init__(self, quarantine=None):
        self.keeper = QuarantineKeeper()
        self.quarantine = quarantine or {}
        self.index = 10
        self.fleet = Fleet(self)

    def update(self, vm, evidence, now_s):
        self.keeper.update(vm, evidence, now_s)

    def accused(self, now_s):
        return self.keeper.suspects.accused(now_s)

    def decide(self, now_s):
        """Decide once; return the reason of the change, if any."""
        self.fleet.tell(now_s)
        change = self.keeper.decide(
            self.quarantine, self.fleet.entries, now_s, NOW_MS + 1000 * now_s
        )
        if change is None:
            return None
        self.index += 1
        committed = {
            "part": change.part,
            "basis": change.basis,
            "record": change.record,
        }
        self.quarantine = apply_change(self.quarantine, committed, self.index)
        return change.reason

    def word(self, vm, now_s, **fields):
        self.update(vm, make_evidence(**fields), now_s)

    @property
    def trial(self):
        return self.quarantine["bad"]["trial"]


def convicting_leader():
    leader = Leader()
    for number in range(MIN_ENDS):
        leader.fleet.end(1.0 + number, ("first", "bad"))
    leader.fleet.answer("first", 0.5)
    assert leader.decide(4.0) is Reason.CONVICTED
    return leader


def trying_leader():
    leader = convicting_leader()
    leader.word("vm-2", 4.1, waiting=["bad"])
    assert leader.decide(4.2) is Reason.TRIAL_GIVEN
    return leader


def test_a_convicted_part_is_quarantined_until_an_entry_vm_asks_for_its_trial():
    leader = convicting_leader()
    assert list(leader.quarantine) == ["bad"]
    assert leader.trial == OPEN_TRIAL
    assert leader.decide(4.5) is None


# Guards against a trial that each entry VM makes for itself.
def test_a_trial_is_given_to_one_of_the_entry_vms_that_ask():
    leader = convicting_leader()
    for vm in ("vm-2", "vm-1"):
        leader.word(vm, 4.1, waiting=["bad"])
    assert leader.decide(4.2) is Reason.TRIAL_GIVEN
    assert leader.trial == "vm-1"
    leader.word("vm-2", 4.3, waiting=["bad"])
    assert leader.decide(4.4) is None


def test_a_trial_that_is_answered_ends_the_quarantine_and_the_accusations():
    leader = trying_leader()
    leader.word("vm-2", 4.6, answered={"bad": 0.1})
    assert leader.decide(4.7) is Reason.ANSWERED
    assert leader.quarantine == {}
    assert leader.decide(4.8) is None


def test_an_answer_from_before_the_trial_does_not_end_the_quarantine():
    leader = trying_leader()
    leader.word("vm-2", 4.6, answered={"bad": 2.0})
    assert leader.decide(4.7) is None


def test_a_trial_under_which_a_target_ends_makes_the_next_one_later():
    leader = trying_leader()
    leader.fleet.end(4.6, ("first", "bad"))
    assert leader.decide(4.7) is Reason.TRIAL_FAILED
    assert leader.trial == NO_TRIAL
    assert leader.decide(300.0) is None
    assert leader.decide(4.7 + 600.0) is Reason.TRIAL_DUE
    assert leader.trial == OPEN_TRIAL


def test_the_end_of_a_request_from_before_the_trial_settles_nothing():
    leader = trying_leader()
    leader.fleet.end(4.6, ("first", "bad"), sent_s=4.0)
    assert leader.decide(4.7) is None


def test_a_trial_of_a_silent_entry_vm_is_given_again():
    leader = trying_leader()
    assert leader.decide(4.2 + SILENT_TRIAL_S - 0.1) is None
    assert leader.decide(4.3 + SILENT_TRIAL_S) is Reason.TRIAL_UNSETTLED
    assert leader.trial == OPEN_TRIAL


def test_a_long_trial_is_waited_for():
    leader = trying_leader()
    leader.word("vm-2", 4.2 + SILENT_TRIAL_S, trying=["bad"])
    assert leader.decide(4.3 + SILENT_TRIAL_S) is None


# Guards against a second trial after a change of leader.
@pytest.mark.parametrize("age_s, reason", [(1.0, None), (5.0, Reason.TRIAL_UNSETTLED)])
def test_a_new_leader_knows_how_long_a_trial_has_been_under_way(age_s, reason):
    record = make_record(trial="vm-2", next_ms=NOW_MS - 1000 * age_s)
    leader = Leader({"bad": record})
    assert leader.decide(0.0) is reason


def test_a_part_that_nobody_sends_any_more_is_forgotten():
    leader = convicting_leader()
    assert leader.decide(4.1) is None
    assert leader.decide(4.0 + UNUSED_S) is None
    assert leader.decide(5.0 + UNUSED_S) is Reason.UNUSED
    assert leader.quarantine == {}


def test_a_part_that_an_operator_released_is_not_held_responsible_for_what_was():
    leader = convicting_leader()
    assert leader.decide(4.1) is None
    leader.quarantine = {}
    assert leader.decide(4.5) is None
