"""What an entry VM refuses that is short of processor time, without a network."""

import random

import pytest
from hypothesis import given, strategies as st

from vanillabeam.overload.backlog import MAX_RETRY_S, TICK_S, Backlog
from vanillabeam.pauses import SETTLE_S


class Vm:
    """A process whose timers and requests a test plays.

    :ivar now_s: its clock.
    """

    def __init__(self):
        self.backlog = Backlog()
        self.now_s = 100.0

    def run(self, length_s, lag_s=0.0, waits_s=(), spread=None):
        """Run for a time.

        :param lag_s: lateness of each timer, or the longest if ``spread`` is given.
        :param waits_s: waits of the requests that begin after each timer.
        :param spread: random source of the share of ``lag_s`` for each timer.
        """
        end_s = self.now_s + length_s
        while self.now_s < end_s:
            late_s = lag_s if spread is None else spread.uniform(0.0, lag_s)
            self.now_s += TICK_S + late_s
            self.backlog.record_lag(late_s, self.now_s, 0.1 * (TICK_S + late_s))
            for waited_s in waits_s:
                self.backlog.record_start(waited_s, self.now_s)

    def freeze(self, length_s):
        self.now_s += TICK_S + length_s
        self.backlog.record_lag(length_s, self.now_s, ran_s=0.001)

    def refusal_s(self, left_s=0.8, needed_s=0.0):
        return self.backlog.refusal_s(needed_s, left_s, self.now_s)


def test_a_vm_with_processor_time_to_spare_refuses_nothing():
    vm = Vm()
    vm.run(5.0, lag_s=0.002, waits_s=[0.001])
    assert vm.backlog.delay_s(vm.now_s) == 0.0
    assert vm.refusal_s(left_s=0.0) is None


# Guards against requests that are kept and sent seconds late: 0.12 of a core.
def test_requests_that_wait_longer_than_their_objective_are_refused():
    vm = Vm()
    vm.run(2.0, lag_s=0.2, waits_s=[3.0])
    assert vm.backlog.delay_s(vm.now_s) >= 3.0
    assert vm.refusal_s(left_s=0.8) >= 3.0
    assert vm.refusal_s(left_s=60.0) is None


def test_the_time_that_a_request_needs_at_a_target_counts():
    vm = Vm()
    vm.run(2.0, waits_s=[0.5])
    assert vm.refusal_s(left_s=0.8) is None
    assert vm.refusal_s(left_s=0.8, needed_s=0.4) is not None


# Guards against a backlog that isn't seen where the kernel doesn't tell arrivals.
def test_late_timers_alone_show_a_backlog():
    vm = Vm()
    vm.run(3.0, lag_s=0.25, spread=random.Random(1))
    assert vm.refusal_s(left_s=0.5) is not None


# Guards against a backlog that isn't seen as each turn is longer than the window.
def test_a_backlog_with_long_turns_is_seen():
    vm = Vm()
    vm.run(5.0, lag_s=1.0)
    assert vm.refusal_s(left_s=0.8) is not None


# Guards against refusals after a burst that took one long turn.
@pytest.mark.parametrize("length_s", [0.3, 0.9, 3.0])
def test_one_long_turn_is_no_backlog(length_s):
    vm = Vm()
    vm.run(2.0)
    vm.run(0.01, lag_s=length_s, waits_s=[length_s, length_s / 2, 0.0])
    assert vm.refusal_s() is None


# Guards against refusals where a burst waits and others don't.
def test_a_burst_beside_requests_that_do_not_wait_is_no_backlog():
    vm = Vm()
    vm.run(2.0, waits_s=[0.4, 0.3, 0.0])
    assert vm.refusal_s(left_s=0.1) is None


# Guards against a frozen VM that refuses what waited for it: it has the time now.
@pytest.mark.parametrize("length_s", [0.6, 3.0, 30.0])
def test_a_vm_that_was_frozen_refuses_nothing_when_it_wakes(length_s):
    vm = Vm()
    vm.run(2.0)
    vm.freeze(length_s)
    for number in range(200):
        vm.backlog.record_start(length_s * number / 200, vm.now_s)
        assert vm.refusal_s(left_s=-length_s) is None
    vm.run(SETTLE_S / 2, lag_s=0.1, waits_s=[length_s])
    assert vm.refusal_s(left_s=0.0) is None


def test_a_backlog_from_before_a_freeze_is_forgotten():
    vm = Vm()
    vm.run(2.0, lag_s=0.3, waits_s=[3.0])
    vm.freeze(2.0)
    assert vm.refusal_s() is None


# Guards against a short VM whose long turns are taken for pauses.
def test_a_process_that_ran_all_the_time_was_not_paused():
    vm = Vm()
    vm.run(6.0, lag_s=0.9, waits_s=[2.0])
    assert vm.refusal_s() is not None


def test_the_refusals_end_with_the_backlog():
    vm = Vm()
    vm.run(2.0, lag_s=0.2, waits_s=[3.0])
    assert vm.refusal_s() is not None
    vm.run(1.0, waits_s=[0.0])
    assert vm.refusal_s() is None


# Guards against callers that all return at the same moment.
def test_returns_are_spread_at_the_rate_at_which_requests_begin():
    vm = Vm()
    vm.run(2.0, lag_s=0.0, waits_s=[1.0])
    returns_s = [vm.refusal_s() for _ in range(60)]
    gaps_s = [b - a for a, b in zip(returns_s, returns_s[1:], strict=False)]
    assert returns_s[0] == pytest.approx(1.0)
    assert all(gap_s == pytest.approx(TICK_S, rel=0.2) for gap_s in gaps_s)
    assert vm.backlog.refused == 60


@given(
    st.floats(0.05, 20.0), st.integers(1, 400), st.floats(-5.0, 5.0), st.integers(0, 3)
)
def test_a_retry_after_is_never_before_the_backlog_is_served(
    waited_s, count, left_s, starts
):
    vm = Vm()
    vm.run(1.0, waits_s=[waited_s] * starts)
    delay_s = vm.backlog.delay_s(vm.now_s)
    for _ in range(count):
        retry_s = vm.refusal_s(left_s)
        if retry_s is None:
            assert delay_s == 0.0 or delay_s <= left_s
        else:
            assert delay_s <= retry_s <= max(delay_s, MAX_RETRY_S) + 1e-6


# Guards against refusals in a VM with processor time to spare: its timers are late only
# while the event loop is busy, and no request queues.
@given(st.integers(0, 2**32), st.floats(0.0, 0.5))
def test_a_vm_whose_loop_is_idle_at_every_other_timer_refuses_nothing(seed, busy_s):
    vm, rng = Vm(), random.Random(seed)
    for number in range(200):
        vm.run(0.01, lag_s=rng.uniform(0.0, busy_s) if number % 2 else 0.0)
        assert vm.refusal_s(left_s=0.0) is None
