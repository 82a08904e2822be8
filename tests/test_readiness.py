import pytest

from tests.builders import DEADLINE_S, NOTICE_S, make_readiness
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.readiness import (
    CloseListeners,
    ConfigReady,
    DrainRequested,
    Exit,
    Phase,
    Readiness,
    ReportCutRequests,
    RequestEnded,
    RequestStarted,
    Tick,
    handle,
)


def test_not_ready_until_a_config_is_in_force():
    state = make_readiness()
    assert state.phase is Phase.STARTING
    handle(ConfigReady(1), state, 0.0)
    assert state.phase is Phase.READY


def test_drain_waits_for_the_balancer_and_for_open_requests():
    state = make_readiness()
    handle(ConfigReady(1), state, 0.0)
    handle(RequestStarted("a"), state, 0.0)
    assert handle(DrainRequested(), state, 10.0) == []
    assert handle(Tick(), state, 10.0 + NOTICE_S) == [CloseListeners()]
    assert handle(RequestEnded("a"), state, 20.0) == [Exit(0)]


def test_drain_without_requests_still_gives_the_balancer_notice():
    state = make_readiness()
    assert handle(DrainRequested(), state, 0.0) == []
    assert handle(Tick(), state, NOTICE_S - 0.1) == []
    assert handle(Tick(), state, NOTICE_S) == [CloseListeners(), Exit(0)]


# Guards against an exit at the moment at which the listeners close: it cuts off
# requests that had arrived and were not counted yet.
def test_requests_that_had_been_accepted_start_after_the_listeners_closed():
    state = Readiness(NOTICE_S, DEADLINE_S, settle_s=0.5)
    handle(DrainRequested(), state, 0.0)
    assert handle(Tick(), state, NOTICE_S) == [CloseListeners()]
    handle(RequestStarted("a"), state, NOTICE_S + 0.1)
    handle(RequestEnded("a"), state, NOTICE_S + 0.2)
    handle(RequestStarted("b"), state, NOTICE_S + 0.3)
    assert handle(Tick(), state, NOTICE_S + 0.6) == []
    assert handle(RequestEnded("b"), state, NOTICE_S + 0.7) == [Exit(0)]


def test_the_time_to_settle_ends_with_the_drain_deadline():
    state = Readiness(NOTICE_S, NOTICE_S + 0.1, settle_s=0.5)
    handle(DrainRequested(), state, 0.0)
    handle(Tick(), state, NOTICE_S)
    assert handle(Tick(), state, NOTICE_S + 0.1) == [Exit(0)]


def test_the_drain_deadline_reports_the_requests_cut_off():
    state = make_readiness()
    handle(RequestStarted("b"), state, 0.0)
    handle(RequestStarted("a"), state, 0.0)
    handle(DrainRequested(), state, 0.0)
    effects = handle(Tick(), state, DEADLINE_S)
    assert effects == [CloseListeners(), ReportCutRequests(("a", "b")), Exit(3)]


def test_second_stop_request_ends_at_once():
    state = make_readiness()
    handle(RequestStarted("a"), state, 0.0)
    handle(DrainRequested(), state, 0.0)
    assert handle(DrainRequested(), state, 1.0) == [ReportCutRequests(("a",)), Exit(3)]


def test_a_config_during_a_drain_does_not_make_the_vm_ready():
    state = make_readiness()
    handle(DrainRequested(), state, 0.0)
    handle(ConfigReady(7), state, 1.0)
    assert state.phase is Phase.DRAINING


def test_request_started_twice_breaks_an_invariant():
    state = make_readiness()
    handle(RequestStarted("a"), state, 0.0)
    with pytest.raises(InvariantBroken):
        handle(RequestStarted("a"), state, 0.0)
