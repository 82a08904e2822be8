"""A leader follows stores that restart, lose events and fall silent."""

from types import SimpleNamespace

import trio
import trio.testing

from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import StoreEvent
from vanillabeam.fleet.stores import LIST_PERIOD_S, StoreEvents, StoreList, StoreTracker

STORE = Store("keep", "10.0.0.5:80", "a", 1_000)
ANSWER_S = 0.001


class StoreVm:
    """Answers as a store does."""

    def __init__(self):
        self.epoch = 1
        self.held = {}
        self.events = []
        self.up = True
        self.lists = 0
        self.answers_lists = True

    def save(self, part, tells=True):
        self.held[part] = 100
        if tells:
            self.events.append(StoreEvent("s", part, 100))

    def restart(self):
        self.epoch += 1
        self.held, self.events = {}, []

    async def answer_list(self, store):
        await trio.sleep(ANSWER_S)
        self.lists += 1
        if not self.up or not self.answers_lists:
            return None
        held = [StoreEvent("s", part, size) for part, size in self.held.items()]
        return StoreList(self.epoch, len(self.events), held)

    async def answer_news(self, store, since, wait_s):
        epoch = self.epoch
        with trio.move_on_after(wait_s):
            while self.up and self.epoch == epoch and len(self.events) <= since:
                await trio.sleep(0.01)
        if not self.up:
            return None
        events = self.events[since:]
        return StoreEvents(self.epoch, len(self.events), False, events, 5_000.0)


def following(function):
    def test():
        async def main():
            vm = StoreVm()
            calls = SimpleNamespace(
                list_parts=vm.answer_list, read_events=vm.answer_news, free=None
            )
            stores = StoreTracker(calls, "e")
            async with trio.open_nursery() as nursery:
                await stores.track((STORE,), nursery)
                await function(vm, stores)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    test.__name__ = function.__name__
    return test


def named(stores):
    return {part for (_, part), _ in stores.index.parts_at(STORE.address)}


@following
async def test_a_part_is_named_once_its_store_tells(vm, stores):
    await trio.sleep(0.5)
    vm.save("p")
    await trio.sleep(0.1)
    assert named(stores) == {"p"}


@following
async def test_a_part_whose_event_was_lost_is_found_by_the_next_list(vm, stores):
    await trio.sleep(0.5)
    vm.save("p", tells=False)
    await trio.sleep(1.0)
    assert named(stores) == set()
    await trio.sleep(LIST_PERIOD_S + 1.0)
    assert named(stores) == {"p"}


@following
async def test_a_list_that_does_not_come_takes_nothing_away(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.answers_lists = False
    await trio.sleep(3 * LIST_PERIOD_S)
    assert named(stores) == {"p"}


@following
async def test_a_list_is_no_use_of_what_was_known(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    used_s = stores.index.last_used_s(("s", "p"))
    await trio.sleep(3 * LIST_PERIOD_S)
    assert stores.index.last_used_s(("s", "p")) == used_s


@following
async def test_a_store_that_is_gone_names_nothing(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.up = False
    await trio.sleep(0.1)
    assert named(stores) == set()


@following
async def test_a_store_that_restarts_empty_names_only_what_is_new(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.restart()
    vm.save("q")
    await trio.sleep(2.0)
    assert named(stores) == {"q"}


@following
async def test_the_clock_is_known_soon_without_any_event(vm, stores):
    await trio.sleep(0.3)
    assert stores.has_clock


@following
async def test_a_store_that_is_gone_is_not_asked_without_pause(vm, stores):
    vm.up = False
    await trio.sleep(10.0)
    assert vm.lists < 50
