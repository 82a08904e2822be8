"""Tests of the linearizability check that the log's tests use."""

import math

import pytest

from tests.log.history import History, NotLinearizable, Operation, is_linearizable


def op(number, kind, invoke_s, answer_s=math.inf, answer=None):
    return Operation(number, kind, None, invoke_s, answer_s, answer)


def test_positions_in_a_possible_order_are_linearizable():
    operations = [
        op(1, "propose", 0, 2, 2),
        op(2, "propose", 1, 3, 1),
        op(3, "read", 4, 5, 2),
    ]
    assert is_linearizable(operations)


def test_a_read_that_misses_an_answered_proposal_is_not_linearizable():
    assert not is_linearizable([op(1, "propose", 0, 1, 1), op(2, "read", 2, 3, 0)])


def test_a_read_older_than_an_earlier_read_is_not_linearizable():
    operations = [
        op(1, "propose", 0, 9, 1),
        op(2, "read", 1, 2, 1),
        op(3, "read", 3, 4, 0),
    ]
    assert not is_linearizable(operations)


def test_positions_that_contradict_real_time_are_not_linearizable():
    operations = [op(1, "propose", 0, 1, 2), op(2, "propose", 2, 3, 1)]
    assert not is_linearizable(operations)


def test_one_position_answered_twice_is_not_linearizable():
    operations = [op(1, "propose", 0, 5, 1), op(2, "propose", 0, 5, 1)]
    assert not is_linearizable(operations)


def test_an_unanswered_proposal_may_take_effect_late_or_never():
    unanswered = op(1, "propose", 0)
    assert is_linearizable([unanswered, op(2, "propose", 5, 6, 2)])
    assert is_linearizable([unanswered, op(2, "propose", 5, 6, 1)])


def test_an_unanswered_proposal_has_no_effect_before_it_is_made():
    assert not is_linearizable([op(1, "propose", 7), op(2, "propose", 5, 6, 2)])


def test_a_read_of_a_proposal_reported_as_not_run_is_not_linearizable():
    history = History()
    not_run = history.invoke(0, "propose", "a")
    history.discard(not_run)
    read = history.invoke(1, "read", None)
    history.answer(read, 2, 1)
    with pytest.raises(NotLinearizable):
        history.check()
