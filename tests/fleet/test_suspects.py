"""Which part of prompts is held responsible for the ends of targets."""

import pytest

from tests.fleet.evidence import Fleet
from vanillabeam.fleet.suspects import (
    ANSWERS_WAIT_S,
    MAX_ENDS,
    MIN_ENDS,
    MIN_ENDS_ANSWERED,
    WINDOW_S,
    Suspects,
)


def make_fleet():
    suspects = Suspects()
    return suspects, Fleet(suspects)


def convicted(suspects, fleet, now_s, **quarantined):
    """Return the convicted part.

    :param quarantined: whether a trial has failed, by quarantined part.
    """
    fleet.tell(now_s)
    found = suspects.convict(fleet.entries, quarantined, now_s)
    return found and found.part


# Guards against a part that ends target after target and is never held responsible.
def test_a_part_under_which_targets_end_one_after_the_other_is_convicted():
    suspects, fleet = make_fleet()
    fleet.answer("first", 0.9)
    for number in range(MIN_ENDS):
        assert convicted(suspects, fleet, 1.0 + number) is None
        fleet.end(1.0 + number, ("first", "bad"), ("first",))
    assert convicted(suspects, fleet, 4.0) == "bad"


def test_a_conviction_names_its_evidence():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("bad",), ("sound",))
    fleet.answer("sound", 3.5)
    fleet.tell(4.0)
    found = suspects.convict(fleet.entries, {}, 4.0)
    assert found.targets == ("t-1", "t-2", "t-3")
    assert found.requests == ("r-1-0", "r-2-0", "r-3-0")
    assert (found.ends, found.first_age_s, found.answered_age_s) == (3, 3.0, None)


# Guards against blame for parts of sound requests when targets are killed together.
@pytest.mark.parametrize("count", [3, 12])
def test_targets_that_end_at_the_same_time_convict_no_part(count):
    suspects, fleet = make_fleet()
    for number in range(count):
        fleet.end(2.0 + 0.01 * number, ("hot",), ("hot", "rare"), sent_s=1.5)
    assert convicted(suspects, fleet, 2.5) is None
    assert convicted(suspects, fleet, 2.5 + ANSWERS_WAIT_S) is None


def test_a_part_that_is_answered_between_the_ends_is_not_convicted():
    suspects, fleet = make_fleet()
    for number in range(10):
        fleet.end(1.0 + number, ("hot",))
        fleet.answer("hot", 1.5 + number)
        assert convicted(suspects, fleet, 1.6 + number) is None


# Guards against blame for what merely was open beside the culprit: all sound requests
# break with their targets as well.
def test_a_sound_part_beside_the_culprit_is_not_convicted():
    suspects, fleet = make_fleet()
    fleet.answer("f-1", 0.5)
    fleet.answer("f-2", 0.5)
    for number in range(MIN_ENDS_ANSWERED + 2):
        beside = [("f-1",), ("f-2",), ("new",)] if number else [("f-2",)]
        fleet.end(1.0 + number, ("f-1", "bad"), *beside)
    assert convicted(suspects, fleet, 12.0) == "bad"
    assert convicted(suspects, fleet, 12.1, bad=False) is None


# Guards against a culprit that goes on because another part, which was open beside it
# each time, was quarantined first.
def test_a_culprit_is_convicted_beside_a_part_that_explains_no_more():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("f", "bad"), ("f", "beside"))
    fleet.answer("f", 0.5)
    assert convicted(suspects, fleet, 4.0, beside=False) == "bad"
    assert convicted(suspects, fleet, 4.0, beside=True) is None


# Guards against blame for the first part of all prompts before any was answered.
def test_a_part_before_the_quarantined_one_is_not_convicted_by_the_same_ends():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("first", "bad"), ("first",))
    assert convicted(suspects, fleet, 4.0) == "bad"
    assert convicted(suspects, fleet, 4.1, bad=False) is None
    fleet.end(4.2, ("first", "another"))
    assert convicted(suspects, fleet, 4.3, bad=False) == "first"


def test_a_culprit_that_is_the_first_part_is_found_once_the_next_is_quarantined():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("bad", "second"))
    assert convicted(suspects, fleet, 4.0) == "second"
    for number in range(MIN_ENDS):
        fleet.end(5.0 + number, ("bad", f"other-{number}"))
    assert convicted(suspects, fleet, 8.0, second=False) == "bad"


def test_a_part_that_was_answered_before_needs_more_ends_and_most_of_them():
    suspects, fleet = make_fleet()
    fleet.answer("old", 0.5)
    for number in range(MIN_ENDS_ANSWERED):
        assert convicted(suspects, fleet, 1.0 + number) is None
        fleet.end(1.0 + number, ("old",))
    assert convicted(suspects, fleet, 8.0) == "old"
    for number in range(3):
        fleet.end(8.1 + number, (f"another-{number}",))
    assert convicted(suspects, fleet, 12.0) is None


def test_a_verdict_waits_for_what_the_entry_vms_know():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + 0.2 * number, ("bad",))
    suspects.accused(1.5)
    assert suspects.convict(fleet.entries, {}, 1.6) is None
    assert suspects.convict(fleet.entries, {}, 1.5 + ANSWERS_WAIT_S).part == "bad"
    assert convicted(suspects, fleet, 1.7) == "bad"


def test_entry_vms_are_not_asked_about_parts_of_a_single_end():
    suspects, fleet = make_fleet()
    fleet.end(1.0, *[(f"p-{number}",) for number in range(100)])
    assert suspects.accused(1.0) == {}


def test_what_was_held_against_an_acquitted_part_no_longer_counts():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("bad",))
    suspects.acquit("bad", 4.0)
    assert convicted(suspects, fleet, 4.1) is None
    for number in range(MIN_ENDS):
        fleet.end(5.0 + number, ("bad",))
    assert convicted(suspects, fleet, 8.1) == "bad"


def test_ends_no_longer_count_after_some_time_and_are_bounded():
    suspects, fleet = make_fleet()
    for number in range(MIN_ENDS):
        fleet.end(1.0 + number, ("bad",))
    assert convicted(suspects, fleet, 4.0 + WINDOW_S) is None
    assert suspects.is_empty
    for number in range(MAX_ENDS + 10):
        fleet.end(100.0 + 0.01 * number, ("bad",))
    assert len(suspects._ends) == MAX_ENDS


def test_a_report_that_comes_again_counts_once():
    suspects, fleet = make_fleet()
    for _ in range(5):
        fleet._ended = 0
        fleet.end(1.0, ("bad",))
    fleet.end(2.0, ("bad",))
    assert suspects.accused(2.0) == {"bad": 2}


# Guards against a leader that is busy with the evidence of a large loss: many entry VMs
# ask several times a second.
def test_a_large_loss_costs_little_for_each_entry_vm_that_asks():
    suspects, fleet = make_fleet()
    for number in range(60):
        requests = [(f"first-{n % 4}", f"p-{number}-{n}") for n in range(30)]
        fleet.end(1.0 + 0.01 * number, *requests)
    calls = []
    suspects._count = lambda ends, part: calls.append(part) or 2
    for number in range(1_000):
        suspects.accused(2.0 + 0.001 * number)
    assert len(calls) < 40 * 4
