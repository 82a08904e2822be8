"""The leader tracks stores that restart, lose events or stop answering."""

from types import SimpleNamespace

import trio
import trio.testing

from vanillabeam.fleet import Store
from vanillabeam.fleet.control import STORE_CHECK_PERIOD_S
from vanillabeam.fleet.logsettings import LOG_SETTINGS
from vanillabeam.fleet.parts import StoreEvent
from vanillabeam.fleet.storeepochs import apply_epochs
from vanillabeam.fleet.stores import (
    FREE_TIMEOUT_S,
    LIST_PERIOD_S,
    REST_S,
    StoreEvents,
    StoreList,
    StoreTracker,
)

STORE = Store("keep", "10.0.0.5:80", "a", 1_000)
ANSWER_S = 0.001


class StoreVm:
    """Test double of a store that answers requests for lists and events."""

    def __init__(self):
        self.epoch = 1
        self.held = {}
        self.events = []
        self.up = True
        self.list_requests = 0
        self.answers_list_requests = True
        #: Calls that free parts: the parts, the epoch, and until when they count.
        self.freed = []

    async def free(self, store, keys, epoch, until_ms):
        self.freed.append((keys, epoch, until_ms))
        return True

    def save(self, part, sends_event=True):
        self.held[part] = 100
        if sends_event:
            self.events.append(StoreEvent("s", part, 100))

    def restart(self):
        self.epoch += 1
        self.held, self.events = {}, []

    async def answer_list(self, store):
        await trio.sleep(ANSWER_S)
        self.list_requests += 1
        if not self.up or not self.answers_list_requests:
            return None
        held = [StoreEvent("s", part, size) for part, size in self.held.items()]
        return StoreList(self.epoch, len(self.events), held)

    async def answer_events(self, store, since, wait_s):
        epoch = self.epoch
        with trio.move_on_after(wait_s):
            while self.up and self.epoch == epoch and len(self.events) <= since:
                await trio.sleep(0.01)
        if not self.up:
            return None
        events = self.events[since:]
        return StoreEvents(self.epoch, len(self.events), False, events, 5_000.0)


def make_tracker(vm, recorded):
    calls = SimpleNamespace(
        list_parts=vm.answer_list, read_events=vm.answer_events, free=vm.free
    )
    return StoreTracker(calls, "e", lambda: dict(recorded))


async def record_epochs(stores, recorded):
    """Commit the changes of epochs as the control VM does."""
    while True:
        changes = stores.epoch_changes(trio.current_time())
        recorded[:] = apply_epochs(recorded, changes)
        await trio.sleep(STORE_CHECK_PERIOD_S)


def with_store(function):
    def test():
        async def main():
            vm, recorded = StoreVm(), []
            stores = make_tracker(vm, recorded)
            async with trio.open_nursery() as nursery:
                await stores.track((STORE,), nursery)
                nursery.start_soon(record_epochs, stores, recorded)
                await function(vm, stores)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    test.__name__ = function.__name__
    return test


def indexed_parts(stores):
    return {part for (_, part), _ in stores.index.parts_at(STORE.address)}


@with_store
async def test_a_part_is_indexed_once_its_store_reports_it(vm, stores):
    await trio.sleep(0.5)
    vm.save("p")
    await trio.sleep(0.1)
    assert indexed_parts(stores) == {"p"}


@with_store
async def test_the_next_list_adds_a_part_whose_event_was_lost(vm, stores):
    await trio.sleep(0.5)
    vm.save("p", sends_event=False)
    await trio.sleep(1.0)
    assert indexed_parts(stores) == set()
    await trio.sleep(LIST_PERIOD_S + 1.0)
    assert indexed_parts(stores) == {"p"}


@with_store
async def test_a_failed_list_removes_nothing(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.answers_list_requests = False
    await trio.sleep(3 * LIST_PERIOD_S)
    assert indexed_parts(stores) == {"p"}


@with_store
async def test_a_list_does_not_mark_known_parts_as_used(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    used_s = stores.index.last_used_s(("s", "p"))
    await trio.sleep(3 * LIST_PERIOD_S)
    assert stores.index.last_used_s(("s", "p")) == used_s


@with_store
async def test_the_parts_of_a_lost_store_are_removed(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.up = False
    await trio.sleep(0.1)
    assert indexed_parts(stores) == set()


@with_store
async def test_a_restarted_store_has_only_its_new_parts(vm, stores):
    vm.save("p")
    await trio.sleep(0.5)
    vm.restart()
    vm.save("q")
    await trio.sleep(2.0)
    assert indexed_parts(stores) == {"q"}


def resting(stores):
    request = {"epoch": "", "version": 0}
    changes = stores.changes_since(request, 1, trio.current_time())
    return changes.get("resting", [])


# Guards against a part that is fetched from a store which has restarted, by an older
# copy of the index, while it is being saved there anew.
@with_store
async def test_nothing_is_saved_in_a_restarted_store_while_old_copies_count(vm, stores):
    await trio.sleep(0.5)
    assert resting(stores) == []
    vm.restart()
    for _ in range(int(REST_S)):
        await trio.sleep(1.0)
        assert resting(stores) == [STORE.address]
    await trio.sleep(1.5)
    assert resting(stores) == []


@with_store
async def test_nothing_is_saved_in_a_lost_store_until_it_is_known_to_be_the_same(
    vm, stores
):
    await trio.sleep(0.5)
    vm.up = False
    await trio.sleep(2 * REST_S)
    assert resting(stores) == [STORE.address]
    vm.up = True
    await trio.sleep(1.0)
    assert resting(stores) == []


# Guards against a rest that ends with the leader that began it: each later leader knew
# only the epoch that it found.
def test_a_restarted_store_rests_although_leaders_change_meanwhile():
    async def lead(vm, recorded, lead_s):
        stores = make_tracker(vm, recorded)
        async with trio.open_nursery() as nursery:
            await stores.track((STORE,), nursery)
            nursery.start_soon(record_epochs, stores, recorded)
            await trio.sleep(lead_s)
            nursery.cancel_scope.cancel()
        return resting(stores)

    async def main():
        vm, recorded = StoreVm(), []
        assert await lead(vm, recorded, 1.0) == []
        vm.restart()
        for _ in range(3):
            assert await lead(vm, recorded, REST_S - 1.0) == [STORE.address]
        assert await lead(vm, recorded, REST_S + 1.0) == []
        assert await lead(vm, recorded, 1.0) == []

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against parts that are saved in a store before the leader has heard of it.
def test_a_store_that_has_not_answered_yet_rests():
    async def main():
        vm, recorded = StoreVm(), [(STORE.address, 1)]
        vm.answers_list_requests = False
        stores = make_tracker(vm, recorded)
        async with trio.open_nursery() as nursery:
            await stores.track((STORE,), nursery)
            assert resting(stores) == [STORE.address]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@with_store
async def test_the_clock_is_known_soon_without_any_event(vm, stores):
    await trio.sleep(0.3)
    assert stores.has_clock


@with_store
async def test_a_lost_store_is_not_polled_without_pause(vm, stores):
    vm.up = False
    await trio.sleep(10.0)
    assert vm.list_requests < 50


#: Seconds after which a retired part may be freed, with a fetch of at most 1 s.
RETIRED_S = 15.0


async def free_after_a_while(vm, stores, leads):
    """Retire a part and free it; return the time at which a quorum was asked."""
    asked_s = []

    async def confirm():
        asked_s.append(trio.current_time())
        await trio.sleep(0.05)
        return leads

    vm.save("p-1")
    await trio.sleep(1.0)
    await stores.free(lambda salt: True, 1.0, confirm)
    assert (vm.freed, asked_s) == ([], [])
    await trio.sleep(RETIRED_S)
    await stores.free(lambda salt: True, 1.0, confirm)
    return asked_s


# Guards against a former leader that frees parts which the next one has listed: entry
# VMs have targets fetch them by the list of the next one.
@with_store
async def test_a_leader_that_is_not_confirmed_frees_nothing(vm, stores):
    assert await free_after_a_while(vm, stores, leads=False)
    assert vm.freed == []


@with_store
async def test_parts_are_freed_only_as_long_as_no_other_leader_can_be_elected(
    vm, stores
):
    (asked_s,) = await free_after_a_while(vm, stores, leads=True)
    ((keys, epoch, until_ms),) = vm.freed
    assert (keys, epoch) == ([("s", "p-1")], 1)
    assert until_ms <= stores._clock(asked_s) + 1000 * FREE_TIMEOUT_S
    assert LOG_SETTINGS.election_s > FREE_TIMEOUT_S
