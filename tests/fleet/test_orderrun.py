import pytest

from vanillabeam.fleet.orderrun import (
    BUSY_PAUSE_S,
    BUSY_TIMEOUT_S,
    EFFECT_TIMEOUT_S,
    RESEND_S,
    UNANSWERED_S,
    OrderReply,
    OrderRun,
    Step,
    WeightsReport,
)

IDLE = WeightsReport(version=1, is_busy=False, sequence=7)
BUSY = WeightsReport(version=None, is_busy=True, sequence=8)
DONE = WeightsReport(version=2, is_busy=False, sequence=8)


def start(reply=None, at_s=0.0):
    """Return the run of an order that was sent and answered at a time."""
    run = OrderRun(2, 0.0)
    if reply is not None:
        assert run.next_step(IDLE, at_s) is Step.SEND
        run.record_reply(reply, at_s)
    return run


def test_an_order_names_the_orders_that_the_target_accepted_before():
    run = start()
    assert run.next_step(IDLE, 0.0) is Step.SEND
    assert run.sequence == 7


def test_a_target_that_has_the_version_already_gets_no_order():
    run = start()
    assert run.next_step(DONE, 0.0) is Step.STOP
    assert run.is_done


# Guards against seconds of waiting for an order that never arrived.
def test_a_lost_order_is_sent_again_soon_with_the_same_sequence():
    run = start(OrderReply.UNKNOWN)
    assert run.next_step(IDLE, RESEND_S / 2) is Step.WAIT
    assert run.next_step(IDLE, RESEND_S) is Step.SEND
    assert run.sequence == 7


# Guards against a second order behind one whose answer was lost.
def test_an_order_whose_answer_was_lost_is_not_sent_again():
    run = start(OrderReply.UNKNOWN)
    assert run.next_step(BUSY, RESEND_S) is Step.WAIT
    accepted = WeightsReport(version=1, is_busy=False, sequence=8)
    assert run.next_step(accepted, RESEND_S) is Step.WAIT
    assert run.next_step(DONE, 2.0) is Step.STOP
    assert run.is_done


@pytest.mark.parametrize("reply", [OrderReply.ACCEPTED, OrderReply.HOLDS])
def test_an_accepted_order_is_not_sent_again_whatever_an_old_report_says(reply):
    run = start(reply)
    assert run.next_step(IDLE, EFFECT_TIMEOUT_S) is Step.WAIT
    assert run.next_step(IDLE, EFFECT_TIMEOUT_S + 0.1) is Step.STOP
    assert not run.is_done


def test_an_order_to_a_busy_target_is_sent_again_with_a_new_sequence():
    run = start(OrderReply.BUSY)
    later = IDLE._replace(sequence=9)
    assert run.next_step(later, BUSY_PAUSE_S / 2) is Step.WAIT
    assert run.next_step(later, BUSY_PAUSE_S) is Step.SEND
    assert run.sequence == 9


# Guards against a target that refuses each order and is sent a dozen of them.
@pytest.mark.parametrize("reply", [OrderReply.FENCED, OrderReply.REFUSED])
def test_an_order_that_was_refused_stops_at_once(reply):
    run = start(reply)
    assert run.next_step(IDLE, 0.1) is Step.STOP
    assert not run.is_done


# Guards against a target without reports that holds up the others.
def test_without_reports_an_order_is_soon_given_up():
    run = start()
    assert run.next_step(None, UNANSWERED_S) is Step.WAIT
    assert run.next_step(None, UNANSWERED_S + 0.1) is Step.STOP


@pytest.mark.parametrize("reply", [OrderReply.UNKNOWN, OrderReply.BUSY, None])
def test_an_order_that_nobody_accepts_is_soon_given_up(reply):
    run = start(reply)
    assert run.next_step(BUSY._replace(sequence=7), UNANSWERED_S) is Step.WAIT
    assert run.next_step(BUSY._replace(sequence=7), UNANSWERED_S + 0.1) is Step.STOP


def test_an_order_whose_answer_was_lost_is_accepted_by_the_count_of_orders():
    run = start(OrderReply.UNKNOWN)
    run.next_step(IDLE, 0.5)
    assert not run.is_accepted
    run.next_step(BUSY, 1.0)
    assert run.is_accepted
    assert run.next_step(BUSY, 1.0 + EFFECT_TIMEOUT_S) is Step.WAIT


# Guards against an order that is given up while the target waits for its runs.
def test_an_accepted_order_lasts_while_the_target_is_busy():
    run = start(OrderReply.ACCEPTED)
    now_s = 0.0
    while now_s < BUSY_TIMEOUT_S - 1:
        now_s += 1.0
        assert run.next_step(BUSY, now_s) is Step.WAIT
    assert run.next_step(BUSY, BUSY_TIMEOUT_S + 0.1) is Step.STOP
