"""Requests to a VM that has just started, and slow callers, with a virtual clock."""

from types import SimpleNamespace

import trio
import trio.testing

from tests.fleet.builders import make_view
from tests.forwarding.builders import make_metadata
from vanillabeam.fleet import Directory, FleetView
from vanillabeam.forwarding.app import (
    STARTUP_S,
    STATE_WAIT_S,
    ForwardingApp,
    _abort_at,
)
from vanillabeam.forwarding.exceptions import NoTarget, StateUnknown
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.readiness import Readiness


def wait_for_state(known_after_s, arrived_s=0.0):
    """Return how long a request waits that arrives ``arrived_s`` after the start."""

    async def main():
        known = trio.Event()
        follower = SimpleNamespace(
            view=FleetView(),
            is_current=False,
            wait_for_deployment=known.wait,
            targets=SimpleNamespace(is_paused=None),
            directory=Directory(),
        )
        chooser = SimpleNamespace(load=None)
        app = ForwardingApp(None, follower, chooser, None, None, None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.run)
            nursery.start_soon(become_known, follower, known, known_after_s)
            await trio.sleep(arrived_s)
            began_s = trio.current_time()
            await app._wait_for_state(began_s)
            nursery.cancel_scope.cancel()
        return round(trio.current_time() - began_s, 1)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def become_known(follower, known, after_s):
    await trio.sleep(after_s)
    follower.view = make_view()
    follower.is_current = True
    known.set()


def test_a_request_waits_for_a_state_that_arrives_soon():
    assert wait_for_state(known_after_s=0.3) == 0.3


def test_the_wait_for_a_missing_state_is_limited():
    assert wait_for_state(known_after_s=60.0) == STATE_WAIT_S


def test_after_the_startup_a_request_does_not_wait_for_a_missing_state():
    assert wait_for_state(known_after_s=60.0, arrived_s=STARTUP_S) == 0.0


def test_a_request_does_not_wait_when_the_state_is_known():
    assert wait_for_state(known_after_s=0.0, arrived_s=0.1) == 0.0


# Guards against requests that are served by a state that may be an older one.
def test_a_request_is_refused_until_the_state_is_likely_to_be_the_newest():
    async def main():
        follower = SimpleNamespace(
            view=make_view(),
            is_current=False,
            targets=SimpleNamespace(is_paused=None),
            directory=Directory(),
        )
        chooser = SimpleNamespace(load=None)
        lifecycle = Lifecycle(Readiness(1.0, 1.0), lambda: None)
        app = ForwardingApp(None, follower, chooser, lifecycle, None, None)
        metadata = make_metadata()._replace(host="shop.example", path="/orders/1")
        refused = app._admit(metadata, {"headers": []}, 0.0)
        follower.is_current = True
        return refused, app._admit(metadata, {"headers": []}, 0.0)

    refused, admitted = trio.run(main)
    assert isinstance(refused.failure(), StateUnknown)
    assert admitted.unwrap().route.name == "orders"


def is_cut_at_the_limit(send_answer):
    """Return whether a caller that takes nothing for 3 s is cut off after 1 s."""

    async def main():
        may_send = trio.Event()
        writer = ResponseWriter(lambda message: may_send.wait())
        aborts = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_abort_at, 1.0, writer, lambda: aborts.append(1))
            nursery.start_soon(send_answer, writer)
            await trio.sleep(3.0)
            may_send.set()
        return bool(aborts)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def send_whole_answer(writer):
    await writer.send_response(200, [], b"whole")


async def send_refusal(writer):
    await writer.send_problem(NoTarget("none"), 1.0)


async def send_begin_of_long_answer(writer):
    await writer.start_long(200, [], b"1000000")


# Guards against an answer that was there in time and is cut, as its caller is slow.
def test_a_whole_answer_is_delivered_late_to_a_slow_caller():
    assert not is_cut_at_the_limit(send_whole_answer)
    assert not is_cut_at_the_limit(send_refusal)


def test_an_answer_that_still_arrives_is_cut_at_the_time_limit():
    assert is_cut_at_the_limit(send_begin_of_long_answer)
