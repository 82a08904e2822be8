"""How long a request waits for a target, on virtual time."""

import itertools
from types import SimpleNamespace

import trio
import trio.testing

from tests.fleet.builders import make_route, make_target, make_view
from tests.forwarding.builders import make_chooser, make_facts, make_prompt
from vanillabeam.counters import Counters
from vanillabeam.fleet import RouteKind
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.parts import PartView
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.exceptions import AnswerBroken
from vanillabeam.forwarding.exchange import ROOM_OBJECTIVES, Delivered, Exchange, Tools
from vanillabeam.forwarding.sending import Broken
from vanillabeam.forwarding.sentparts import SentParts

GATHERS_UNTIL_S = 1.5
OBJECTIVE_S = 1.0
TARGET = make_target(versions={"m": 1})


def make_follower(is_discovering):
    return SimpleNamespace(
        view=make_view(),
        entry_vms=("vm-1",),
        parts=PartView(),
        is_discovering=is_discovering,
    )


def wait_for_choice(chooser, facts, events=(), gathers_until_s=0.0):
    """Return the target and when it was found; ``events``: time and function."""

    async def main():
        began_s = trio.current_time()
        follower = make_follower(lambda now_s: now_s - began_s < gathers_until_s)
        route = make_route(objective_s=OBJECTIVE_S)
        order = Admitted(facts, route, None, [], b"", began_s, began_s + 10.0)
        tools = Tools(None, follower, chooser, None, SentParts(), None)
        exchange = Exchange(order, tools, SimpleNamespace(begun=False))
        async with trio.open_nursery() as nursery:
            for at_s, happen in events:
                nursery.start_soon(later, at_s, happen)
            choice = await exchange._wait_for_choice()
            waited_s = trio.current_time() - began_s
            nursery.cancel_scope.cancel()
        return choice, round(waited_s, 1)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def later(at_s, happen):
    await trio.sleep(at_s)
    happen()


def hear(chooser):
    return lambda: chooser._directory.update(TARGET, trio.current_time())


def test_without_any_target_a_request_is_refused_at_once():
    assert wait_for_choice(make_chooser(), make_facts()) == (None, 0.0)


def test_a_vm_that_has_just_begun_waits_for_targets_to_announce_themselves():
    chooser = make_chooser()
    events = [(0.85, hear(chooser))]
    choice, waited_s = wait_for_choice(
        chooser, make_facts(), events, gathers_until_s=GATHERS_UNTIL_S
    )
    assert (choice.target, waited_s) == (TARGET, 0.9)


def test_it_waits_no_longer_than_live_targets_need():
    answer = wait_for_choice(
        make_chooser(), make_facts(), gathers_until_s=GATHERS_UNTIL_S
    )
    assert answer == (None, GATHERS_UNTIL_S)


def test_a_prompt_waits_a_share_of_its_objective_for_memory():
    chooser = make_chooser(TARGET)
    chooser.load.update_others(make_load(room={TARGET.name: 950}))
    choice, waited_s = wait_for_choice(chooser, make_prompt())
    assert (choice, waited_s) == (None, ROOM_OBJECTIVES * OBJECTIVE_S)


def test_it_goes_on_once_there_is_room():
    chooser = make_chooser(TARGET)
    chooser.load.update_others(make_load(room={TARGET.name: 950}))
    events = [(0.35, lambda: chooser.load.update_others(make_load()))]
    choice, waited_s = wait_for_choice(chooser, make_prompt(), events)
    assert (choice.target, waited_s) == (TARGET, 0.4)


class CutOff(Exchange):
    """Attempts in one data centre break off one after the other."""

    breaks = itertools.count()

    def __init__(self, *args):
        super().__init__(*args)
        self.targets = []

    async def _attempt(self, choice):
        self.targets.append(choice.target.name)
        self._tried.add(choice.target.name)
        self._sent += 1
        if choice.target.data_centre != "b":
            return Delivered(200)
        await trio.sleep(0.005 * next(self.breaks))
        self._tools.chooser.failed(choice.target, trio.current_time())
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
        order = Admitted(make_facts(), route, None, [], b"", now_s, now_s + 10.0)
        counters = SimpleNamespace(repeats=Counters().repeats)
        tools = Tools(None, follower, chooser, None, SentParts(), counters)
        exchanges = []
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                exchange = CutOff(order, tools, SimpleNamespace(begun=False))
                exchanges.append(exchange)
                nursery.start_soon(exchange.run)
        return exchanges

    exchanges = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    cut_off = [each.targets for each in exchanges if each.targets[0] in names]
    assert len({first for first, _ in cut_off}) >= 2
    assert {second for _, second in cut_off} == {"far"}
