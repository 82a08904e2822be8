"""A store that restarts while the leader changes is not saved in too early."""

import random
from types import SimpleNamespace

import trio

from tests.fleet.builders import BOUNDS, make_deployment
from tests.fleet.test_stores import STORE, StoreVm
from vanillabeam.fleet import FleetSettings
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.machine import (
    FleetMachine,
    make_deploy,
    make_epoch_change,
    store_epochs,
)
from vanillabeam.fleet.storeepochs import MAX_STORES, EpochChange, apply_epochs
from vanillabeam.wire import encode

HOST = "10.0.0.1"
LIMIT_S = 8.0


def make_control(folder, vm):
    cfg = FleetSettings(
        *("core-1", "a", HOST, "", "", f"{HOST}:1", 7, (HOST,), True, str(folder), 0),
        BOUNDS,
    )
    deployment = make_deployment()._replace(stores=(STORE,))
    calls = SimpleNamespace(
        list_parts=vm.answer_list, read_events=vm.answer_events, free=vm.free
    )
    return FleetControl(cfg, call_nobody, random.Random(1), lambda _: deployment, calls)


async def call_nobody(*args, **kwargs):
    await trio.sleep_forever()


def resting(control):
    request = {"epoch": "", "version": 0}
    changes = control.stores.changes_since(request, 1, trio.current_time())
    return changes.get("resting", [])


async def lead(folder, vm, function):
    """Run a control VM on its disk until ``function`` returns."""
    control = make_control(folder, vm)
    async with trio.open_nursery() as nursery:
        await nursery.start(control.run)
        while not control.node.is_leader:
            await trio.sleep(0.05)
        result = await function(control)
        nursery.cancel_scope.cancel()
    return result


async def deploy(control):
    await control.propose(make_deploy(1, "{}"))
    while not control.stores.has_clock or resting(control):
        await trio.sleep(0.05)


async def look(control):
    """Return the stores that rest once this leader has heard of the store."""
    while not control.stores.has_clock:
        await trio.sleep(0.05)
    await trio.sleep(1.0)
    return resting(control)


def play(folder, between):
    """Return the stores that rest with a leader which has started anew."""
    vm = StoreVm()

    async def main():
        with trio.fail_after(LIMIT_S):
            await lead(folder, vm, deploy)
            between(vm)
            return await lead(folder, vm, look)

    return trio.run(main)


# Guards against a part that is fetched from a store by an older copy of the index while
# it is being saved there anew: a leader that has started knew no epoch of before.
def test_a_store_that_restarts_without_a_leader_rests(tmp_path):
    assert play(tmp_path, StoreVm.restart) == [STORE.address]


def test_a_store_that_has_not_restarted_is_saved_in_by_the_next_leader(tmp_path):
    assert play(tmp_path, lambda vm: None) == []


def apply(machine, index, *changes):
    machine.apply(index, encode(make_epoch_change(list(changes))).decode())


# Guards against a former leader, or a late copy of its command, that has a later epoch
# saved in before no copy of the index lists parts of the earlier one.
def test_a_change_with_another_basis_has_no_effect():
    machine = FleetMachine()
    apply(machine, 1, EpochChange(store="s", epoch=1))
    apply(machine, 2, EpochChange(store="s", epoch=2))
    assert store_epochs(machine.state) == {"s": 1}
    apply(machine, 3, EpochChange(store="s", basis=1, epoch=2))
    apply(machine, 4, EpochChange(store="s", basis=1, epoch=3))
    assert store_epochs(machine.state) == {"s": 2}


def test_recorded_epochs_survive_a_snapshot_and_do_not_wake_watchers():
    machine, restored = FleetMachine(), FleetMachine()
    apply(machine, 1, EpochChange(store="s", epoch=1))
    assert machine.news_index == 0
    restored.restore(machine.snapshot())
    assert store_epochs(restored.state) == {"s": 1}


def test_a_bounded_number_of_stores_is_kept():
    changes = [EpochChange(store=f"s-{n}", epoch=n) for n in range(MAX_STORES + 1)]
    kept = apply_epochs([], changes)
    assert (len(kept), kept[-1]) == (MAX_STORES, (f"s-{MAX_STORES}", MAX_STORES))
