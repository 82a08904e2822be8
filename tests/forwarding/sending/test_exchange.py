"""Waits of a request for a target, with a virtual clock."""

import itertools
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from tests.fleet.builders import make_route, make_target, make_view
from tests.forwarding.builders import (
    make_chooser,
    make_metadata,
    make_prompt,
    make_resources,
)
from vanillabeam.capacity.core import MIN_SAMPLE_TOKENS
from vanillabeam.fleet import RouteKind
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.parts import PartView
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.load import SPEED_TTL_S
from vanillabeam.forwarding.exceptions import AnswerBroken
from vanillabeam.forwarding.sending.exchange import Exchange
from vanillabeam.forwarding.sending.outcomes import Delivered
from vanillabeam.forwarding.sending.upstream import Broken
from vanillabeam.waiting.rates import WINDOW_S

GATHERS_UNTIL_S = 1.5
OBJECTIVE_S = 1.0
TARGET = make_target(versions={"m": 1})


def make_follower(is_discovering):
    return SimpleNamespace(
        view=make_view(),
        entry_vms=("vm-1",),
        parts=PartView(),
        is_discovering=is_discovering,
        accused={},
    )


def wait_for_choice(chooser, metadata, events=(), gathers_until_s=0.0, limit_s=10.0):
    """Return the choice and the seconds until it was made.

    :param events: pairs of a time in seconds and a function to call then.
    """

    async def main():
        began_s = trio.current_time()
        follower = make_follower(lambda now_s: now_s - began_s < gathers_until_s)
        route = make_route(objective_s=OBJECTIVE_S)
        request = AdmittedRequest(
            metadata, route, None, [], b"", began_s, began_s + limit_s
        )
        resources = make_resources(follower, chooser)
        exchange = Exchange(
            request, resources, SimpleNamespace(has_begun=False, started=False)
        )
        async with trio.open_nursery() as nursery:
            for at_s, func in events:
                nursery.start_soon(call_after, at_s, func)
            selected = await exchange._selection.wait(0, False)
            waited_s = trio.current_time() - began_s
            nursery.cancel_scope.cancel()
        return selected and selected.choice, round(waited_s, 1)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def call_after(at_s, func):
    await trio.sleep(at_s)
    func()


def announce(chooser):
    return lambda: chooser._directory.update(TARGET, trio.current_time())


def test_without_any_target_a_request_is_refused_at_once():
    assert wait_for_choice(make_chooser(), make_metadata()) == (None, 0.0)


def test_a_vm_that_has_just_started_waits_for_announcements_of_targets():
    chooser = make_chooser()
    events = [(0.85, announce(chooser))]
    choice, waited_s = wait_for_choice(
        chooser, make_metadata(), events, gathers_until_s=GATHERS_UNTIL_S
    )
    assert (choice.target, waited_s) == (TARGET, 0.9)


def test_the_wait_for_announcements_is_limited():
    answer = wait_for_choice(
        make_chooser(), make_metadata(), gathers_until_s=GATHERS_UNTIL_S
    )
    assert answer == (None, GATHERS_UNTIL_S)


# Guards against prompts that are refused although memory becomes free within their time
# limit, and against prompts that wait for it until nothing can be done in time.
def test_a_prompt_waits_for_memory_while_it_is_likely_to_get_some_in_time():
    chooser = make_chooser(TARGET)
    chooser.load.update_others(make_load(room={TARGET.name: 950}), 0.0)
    choice, waited_s = wait_for_choice(chooser, make_prompt())
    # No place for so long: the next one is likely to be later than the answer is due.
    assert choice is None
    assert waited_s == pytest.approx(10.0 - OBJECTIVE_S - WINDOW_S, abs=0.11)


def test_a_late_prompt_is_sent_if_its_answer_is_due_later():
    chooser = make_chooser(TARGET)
    chooser.load.update_others(make_load(room={TARGET.name: 950}), 0.0)
    events = [(3.05, lambda: chooser.load.update_others(make_load(), 0.0))]
    choice, waited_s = wait_for_choice(chooser, make_prompt(), events)
    assert choice is not None and waited_s == pytest.approx(3.05, abs=0.06)


def test_a_waiting_prompt_is_sent_once_memory_is_free():
    chooser = make_chooser(TARGET)
    chooser.load.update_others(make_load(room={TARGET.name: 950}), 0.0)
    events = [(0.42, lambda: chooser.load.update_others(make_load(), 0.0))]
    choice, waited_s = wait_for_choice(chooser, make_prompt(), events)
    assert (choice.target, waited_s) == (TARGET, 0.4)


def record_slow_answer(chooser, at_s):
    """Record an answer after which every prompt seems to be too late."""
    load = chooser.load
    opened = load.record_start(TARGET.name, 0, MIN_SAMPLE_TOKENS, at_s - 4_000.0)
    load.record_response(opened, TARGET.service, at_s)
    load.record_end(opened)


def test_a_prompt_that_would_be_too_late_is_refused_at_once():
    chooser = make_chooser(TARGET)
    record_slow_answer(chooser, at_s=0.0)
    choice, waited_s = wait_for_choice(chooser, make_prompt(), limit_s=4.0)
    assert (choice, waited_s) == (None, 0.0)


# Guards against long prompts that are refused by an idle target, as their own prefill
# takes longer than the objective.
def test_a_long_prompt_is_sent_late_if_it_can_be_served_within_its_limit():
    chooser = make_chooser(TARGET)
    record_slow_answer(chooser, at_s=0.0)
    choice, waited_s = wait_for_choice(chooser, make_prompt())
    assert choice is not None and (choice.target, waited_s) == (TARGET, 0.0)


# Guards against prompts that are all refused as too late for ever: slow answers lowered
# the speed so far that none was sent whose answer would have raised it.
def test_a_prompt_is_sent_to_an_idle_target_once_the_known_speed_is_old():
    chooser = make_chooser(TARGET)
    record_slow_answer(chooser, at_s=-SPEED_TTL_S - 0.1)
    choice, waited_s = wait_for_choice(chooser, make_prompt())
    assert choice is not None and (choice.target, waited_s) == (TARGET, 0.0)


def test_an_old_speed_counts_where_other_work_is_queued():
    chooser = make_chooser(TARGET)
    record_slow_answer(chooser, at_s=-SPEED_TTL_S - 0.1)
    chooser.load.update_others(make_load({TARGET.name: {0: 50}}), 0.0)
    choice, _ = wait_for_choice(chooser, make_prompt())
    assert choice is None


class FailingExchange(Exchange):
    """Exchange whose attempts in data centre b break off one after the other."""

    breaks = itertools.count()

    def __init__(self, *args):
        super().__init__(*args)
        self.targets = []

    async def _attempt(self, selected):
        choice = selected.choice
        self.targets.append(choice.target.name)
        self._selection.tried.add(choice.target.name)
        self._sent += 1
        if choice.target.data_centre != "b":
            return Delivered(200)
        await trio.sleep(0.005 * next(self.breaks))
        self._resources.chooser.record_failure(choice.target, trio.current_time())
        return Broken(AnswerBroken("reset"))


def test_targets_that_fail_at_the_same_moment_are_not_tried_next():
    names = [f"cut-{number}" for number in range(6)]
    cut = [make_target(name, data_centre="b") for name in names]
    chooser = make_chooser(*cut, make_target("far", data_centre="c"))

    async def main():
        now_s = trio.current_time()
        follower = make_follower(lambda now_s: False)
        for target in [*cut, make_target("far", data_centre="c")]:
            chooser._directory.update(target._replace(sequence=2), now_s)
        route = make_route(kind=RouteKind.SAFE, attempts=2)
        request = AdmittedRequest(
            make_metadata(), route, None, [], b"", now_s, now_s + 10.0
        )
        resources = make_resources(follower, chooser)
        exchanges = []
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                exchange = FailingExchange(
                    request, resources, SimpleNamespace(has_begun=False, started=False)
                )
                exchanges.append(exchange)
                nursery.start_soon(exchange.run)
        return exchanges

    exchanges = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    retried = [each.targets for each in exchanges if each.targets[0] in names]
    assert len({first for first, _ in retried}) >= 2
    assert {second for _, second in retried} == {"far"}
