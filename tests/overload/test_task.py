"""The tasks around the overload cores, on a clock that a test moves."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from tests.fleet.builders import make_route
from tests.forwarding.builders import make_metadata
from vanillabeam.fleet.loads import NoLoad, make_load
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.exceptions import VmOverloaded
from vanillabeam.forwarding.overloadgate import OverloadGate, ReportedOverload
from vanillabeam.overload.task import NEWS_AGE_S, Overload
from vanillabeam.overload.turns import Turns
from vanillabeam.overload.withdrawal import LONG_S


def make_overload(entries=10):
    lifecycle = SimpleNamespace(is_withdrawn=False)
    return Overload("vm-1", lifecycle, lambda: entries), lifecycle


def make_request(now_s, waited_s=0.0, limit_s=8.0, last_event_id="", objective_s=1.0):
    began_s = now_s - waited_s
    return AdmittedRequest(
        make_metadata()._replace(last_event_id=last_event_id),
        make_route(objective_s=objective_s),
        None,
        [],
        b"",
        began_s,
        began_s + limit_s,
    )


def queue(overload, now_s, waited_s):
    """Let requests have waited for some time until now."""
    for number in range(10):
        at_s = now_s - 0.4 + 0.04 * number
        overload.backlog.record_start(waited_s, at_s)


def check(waited_s=2.0, queued_s=2.0, **request):
    """Return what becomes of a request in a VM with a queue."""

    async def main():
        overload, _ = make_overload()
        now_s = trio.current_time()
        queue(overload, now_s, queued_s)
        return OverloadGate(overload).check(make_request(now_s, waited_s, **request))

    return trio.run(main)


# Guards against requests that are kept and sent to a target after their objective.
def test_a_request_that_would_be_sent_too_late_is_refused_as_not_run():
    refused = check().failure()
    assert isinstance(refused, VmOverloaded)
    assert refused.run == "not-run"
    assert refused.retry_after_s >= 1.9


@pytest.mark.parametrize(
    "request_",
    [
        {"queued_s": 0.0},
        {"objective_s": 5.0},
        {"objective_s": 0.0},
        {"last_event_id": "7"},
    ],
)
def test_a_request_that_may_be_in_time_goes_on(request_):
    assert check(**request_).unwrap()


# Guards against work for a request whose time limit passed before it was read.
def test_a_request_whose_time_has_passed_is_refused_without_a_queue():
    assert check(waited_s=9.0, queued_s=0.0).failure().run == "not-run"


# Guards against refusals where nothing measures the backlog.
def test_without_a_measurement_every_request_in_time_goes_on():
    async def main():
        return OverloadGate(None).check(make_request(trio.current_time(), 3.0))

    assert trio.run(main).unwrap()


def run_turns(is_overloaded):
    """Return how many new requests begin in one turn of the event loop at most."""

    async def main():
        turns, began, most = Turns(lambda: is_overloaded), [], 0

        async def begin():
            await turns.take()
            began.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(begin)
            before = 0
            while len(began) < 20:
                await trio.lowlevel.checkpoint()
                most = max(most, len(began) - before)
                before = len(began)
        return most

    return trio.run(main)


# Guards against answers under way that wait for all new requests of a moment.
def test_one_new_request_begins_in_a_turn_of_an_overloaded_vm():
    assert run_turns(is_overloaded=True) == 1
    assert run_turns(is_overloaded=False) > 1


class Steps:
    """An overloaded VM that hears of the others, step by step."""

    def __init__(self, entries=10):
        self.overload, self.lifecycle = make_overload(entries)
        self.now_s = 100.0

    def run(self, length_s, waited_s, others=None):
        for _ in range(round(length_s / 0.1)):
            self.now_s += 0.1
            self.overload.backlog.record_start(waited_s, self.now_s)
            if others is not None:
                self.overload.update_others(others, self.now_s)
            self.overload.update(self.now_s)


def test_a_vm_that_is_overloaded_for_long_reports_itself_not_ready():
    steps = Steps()
    steps.run(1.0, 2.0, {})
    assert steps.overload.own() == {"vm-1": 1}
    steps.run(LONG_S + 0.5, 2.0, {})
    assert steps.lifecycle.is_withdrawn
    assert steps.overload.own() == {"vm-1": 2}
    steps.run(8.0, 0.0, {})
    assert not steps.lifecycle.is_withdrawn
    assert steps.overload.own() == {}


# Guards against a VM that leaves although it doesn't know whether others have room.
def test_a_vm_without_recent_news_of_the_others_stays_ready():
    steps = Steps()
    steps.run(1.0, 0.0, {})
    steps.run(NEWS_AGE_S + LONG_S + 1.0, 2.0)
    assert steps.overload.is_overloaded
    assert not steps.lifecycle.is_withdrawn


def test_the_state_is_reported_with_the_load():
    steps = Steps()
    load = ReportedOverload(NoLoad(), steps.overload)
    assert load.own(0.0)["overloaded"] == {}
    steps.run(1.0, 2.0, {})
    assert load.own(0.0)["overloaded"] == {"vm-1": 1}
    others = {f"vm-{number}": 1 for number in range(2, 8)}
    load.update_others(make_load(overloaded=others), steps.now_s)
    steps.run(1.0, 2.0)
    assert not steps.lifecycle.is_withdrawn


# Guards against a report of an older release, which lacks the field.
def test_a_load_without_the_field_says_that_all_have_room():
    steps = Steps()
    load = ReportedOverload(NoLoad(), steps.overload)
    older = {"work": {}, "room": {}}
    for _ in range(45):
        steps.run(0.1, 2.0)
        load.update_others(older, steps.now_s)
    assert steps.lifecycle.is_withdrawn


# Guards against a timer that takes its own period for lateness.
def test_the_timer_of_an_idle_process_shows_no_backlog():
    async def main():
        overload, _ = make_overload()
        with trio.move_on_after(2.0):
            await overload.run()
        return overload.backlog.delay_s(trio.current_time())

    assert trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)) == 0.0
