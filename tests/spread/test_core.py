import os
import random

import pytest

from tests.members.builders import Network, make_seeds
from tests.spread.builders import (
    MemoryFiles,
    SpreadVm,
    make_copy,
    make_model_body,
    make_spread_fleet,
)
from tests.tickets.builders import make_body, make_workspace
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.spread.core import SpreadState, handle
from vanillabeam.spread.events import CopyOffered, DigestSeen, StoreSteps

SIZES = {"kgl-1": 3, "kgl-2": 2, "kgl-3": 2, "kgl-4": 2}
CONTROL = ("kgl-1-0", "kgl-2-0", "kgl-3-0")


def indexes(fleet) -> set[int]:
    return {vm.spread.copy.index for vm in fleet if vm.alive}


def test_a_ticket_comes_into_force_on_every_vm():
    net = Network(1)
    fleet, log = make_spread_fleet(net, SIZES, CONTROL)
    net.run_until(10)
    assert all(vm.ready_s is not None for vm in fleet)
    log.accept(make_model_body(1))
    net.run_until(13)
    assert indexes(fleet) == {1}
    assert len({vm.spread.copy.hash for vm in fleet}) == 1


def test_heartbeats_repair_missed_pushes():
    net = Network(2)
    fleet, log = make_spread_fleet(net, SIZES, CONTROL)
    net.run_until(10)
    for vm in fleet:
        answer = vm.answer
        vm.answer = lambda path, m, done, answer=answer: (
            None if path == "push" else answer(path, m, done)
        )
    log.accept(make_model_body(1))
    net.run_until(20)
    assert indexes(fleet) == {1}


def test_a_vm_restarted_hundreds_of_tickets_later_fetches_the_newest_copy():
    net = Network(3)
    fleet, log = make_spread_fleet(net, SIZES, CONTROL)
    net.run_until(10)
    fleet[1].stop()
    for number in range(1, 1_500):
        log.accept(make_model_body(number))
    net.run_until(30)
    arguments = {"control": CONTROL, "log": log}
    restarted = SpreadVm(net, fleet[1].name, "kgl-1", make_seeds(SIZES), **arguments)
    net.run_until(40)
    assert restarted.ready_s is not None
    assert indexes(fleet) == {1_499}
    first_s, first = restarted.in_force[0]
    assert (first, restarted.ready_s >= first_s) == (1_499, True)


def test_workspaces_are_fetched_in_pages_while_tickets_are_applied():
    net = Network(4)
    fleet, log = make_spread_fleet(net, {"kgl-1": 3}, ("kgl-1-0",))
    for number in range(1, 80):
        records = {
            f"w{number}-{i}": make_workspace(key_digests=[f"{number * 32 + i:064x}"])
            for i in range(20)
        }
        log.accept(make_body(number, workspaces=records))
    net.run_until(30)
    log.accept(make_model_body(90))
    arguments = {"control": ("kgl-1-0",), "log": log}
    fleet[2].stop()
    for number in range(100, 1_300):
        log.accept(make_model_body(number))
    net.run_until(40)
    late = SpreadVm(net, "kgl-1-2", "kgl-1", make_seeds({"kgl-1": 3}), **arguments)
    net.run_until(50)
    assert late.ready_s is not None
    assert not late.spread.copy.is_complete
    log.accept(make_body(2_000, remove={"workspaces": ["w1-1", "w70-7"]}))
    net.run_until(140)
    assert late.spread.copy.is_complete
    assert late.spread.copy.config == fleet[0].spread.copy.config


def test_an_isolated_control_vm_never_lowers_the_index_of_other_vms():
    net = Network(5)
    fleet, log = make_spread_fleet(net, SIZES, CONTROL)
    net.run_until(10)
    log.accept(make_model_body(1))
    net.run_until(15)
    log.cut_off["kgl-1-0"] = 1
    net.cut = lambda a, b: "kgl-1-0" in (a, b) and not {a, b} <= {"kgl-1-0", "kgl-1-1"}
    log.accept(make_model_body(2))
    net.run_until(30)
    assert indexes(fleet[1:]) == {2}
    fleet[1].stop()
    arguments = {"control": CONTROL, "log": log}
    restarted = SpreadVm(net, "kgl-1-1", "kgl-1", make_seeds(SIZES), **arguments)
    net.run_until(60)
    assert restarted.ready_s is not None
    assert [index for _, index in restarted.in_force][-1] == 2


def test_an_isolated_vm_without_a_disk_is_not_ready_until_a_peer_answers():
    net = Network(6)
    fleet, log = make_spread_fleet(net, SIZES, CONTROL)
    log.accept(make_model_body(1))
    net.run_until(10)
    fleet[2].stop()
    net.cut = lambda a, b: "kgl-1-2" in (a, b)
    arguments = {"control": CONTROL, "log": log}
    restarted = SpreadVm(net, "kgl-1-2", "kgl-1", make_seeds(SIZES), **arguments)
    net.run_until(60)
    assert restarted.ready_s is None
    net.cut = lambda a, b: {a, b} & set(CONTROL) and "kgl-1-2" in (a, b)
    net.run_until(80)
    assert restarted.ready_s is not None
    assert restarted.spread.copy.index == 1


def test_an_isolated_vm_with_a_disk_starts_with_its_stored_copy():
    net = Network(7)
    disks = {"kgl-1-2": MemoryFiles()}
    fleet, log = make_spread_fleet(net, SIZES, CONTROL, disks)
    log.accept(make_model_body(1))
    net.run_until(10)
    fleet[2].stop()
    net.cut = lambda a, b: "kgl-1-2" in (a, b)
    arguments = {"control": CONTROL, "log": log, "disks": disks}
    restarted = SpreadVm(net, "kgl-1-2", "kgl-1", make_seeds(SIZES), **arguments)
    net.run_until(20)
    assert (restarted.spread.copy.index, restarted.ready_s is not None) == (1, True)


def test_one_index_with_two_hashes_breaks_an_invariant():
    state = SpreadState("a", ("a",), make_copy(3), random.Random(1), 0.0)
    with pytest.raises(InvariantBroken):
        handle(DigestSeen("b", 3, "ff" * 16), state, 1.0)


def test_an_older_copy_is_ignored():
    state = SpreadState("a", ("a",), make_copy(3), random.Random(1), 0.0)
    old = make_copy(2)
    handle(CopyOffered(old.config, old.hash), state, 1.0)
    assert state.copy.index == 3


class FaultScenario:
    """Random tickets with message loss, crashes, restarts and partitions."""

    def __init__(self, seed: int, vm_class=SpreadVm):
        self.seed, self.vm_class = seed, vm_class
        self.net = Network(seed, loss=0.1, delay_s=0.05)
        self.rng = random.Random(seed)
        self.disks = {name: MemoryFiles() for name in (*CONTROL, "kgl-1-1")}
        fleet, self.log = make_spread_fleet(
            self.net, SIZES, CONTROL, self.disks, vm_class
        )
        self.fleet = {vm.name: vm for vm in fleet}
        self.stored_index: dict[str, int] = {}
        self.ticket_number = 0

    def run(self) -> None:
        self.net.run_until(10)
        steps = [
            self.accept_tickets,
            self.accept_tickets,
            self.stop_a_vm,
            self.restart_a_vm,
            self.isolate_a_control_vm,
            self.cut_one_way,
            self.heal,
        ]
        for _ in range(25):
            self.net.run_until(self.net.now_s + self.rng.uniform(0.2, 8))
            self.rng.choice(steps)()
            self.check_no_vm_went_back()
        self.check_all_reach_newest()

    def accept_tickets(self) -> None:
        for _ in range(self.rng.choice([1, 3, 200])):
            self.ticket_number += 1
            self.log.accept(make_model_body(self.ticket_number))

    def stop_a_vm(self) -> None:
        self.fleet[self.rng.choice(sorted(self.fleet))].stop()

    def restart_a_vm(self) -> None:
        stopped = [vm for vm in self.fleet.values() if not vm.alive]
        if not stopped:
            return
        vm = self.rng.choice(stopped)
        if vm.name in self.disks:
            self.stored_index[vm.name] = max((i for _, i in vm.in_force), default=0)
        self.fleet[vm.name] = self.vm_class(
            self.net,
            vm.name,
            vm.data_centre,
            make_seeds(SIZES),
            control=CONTROL,
            disks=self.disks,
            log=self.log,
        )

    def isolate_a_control_vm(self) -> None:
        name = self.rng.choice(CONTROL)
        self.log.cut_off[name] = len(self.log.visible_to(name))
        self.net.cut = lambda a, b: name in (a, b)

    def cut_one_way(self) -> None:
        side = set(self.rng.sample(sorted(self.fleet), 4))
        self.net.cut = lambda a, b: a in side and b not in side

    def heal(self) -> None:
        self.log.cut_off.clear()
        self.net.cut = lambda a, b: False

    def check_no_vm_went_back(self) -> None:
        for vm in self.fleet.values():
            history = [index for _, index in vm.in_force]
            assert history == sorted(history), (self.seed, vm.name)
            if vm.ready_s is not None:
                lowest = self.stored_index.get(vm.name, 0)
                assert vm.spread.copy.index >= lowest, (self.seed, vm.name)

    def check_all_reach_newest(self) -> None:
        self.heal()
        self.net.loss = 0.0
        if not any(self.fleet[name].alive for name in CONTROL):
            self.restart_a_vm()
        self.ticket_number += 1
        last = self.log.accept(make_model_body(self.ticket_number))
        self.net.run_until(self.net.now_s + 120)
        if any(self.fleet[name].alive for name in CONTROL):
            live_vms = [vm for vm in self.fleet.values() if vm.alive]
            assert indexes(live_vms) == {last}, self.seed
            assert len({vm.spread.copy.hash for vm in live_vms}) == 1
            assert all(vm.ready_s is not None for vm in live_vms)


def run_random_faults(seed: int, vm_class=SpreadVm) -> None:
    FaultScenario(seed, vm_class).run()


@pytest.mark.parametrize("seed", [0, 12])
def test_no_vm_goes_back_and_all_reach_the_newest_index(seed):
    run_random_faults(seed)


@pytest.mark.soak
def test_soak_no_vm_goes_back_and_all_reach_the_newest_index():
    first = int(os.environ["SOAK_SEED"])
    for seed in range(first, first + int(os.environ["SOAK_RUNS"])):
        run_random_faults(seed)


class UnstoredStepsVm(SpreadVm):
    """Breaks a rule: steps come into force without being written to disk."""

    def execute_spread(self, effect):
        if not isinstance(effect, StoreSteps):
            super().execute_spread(effect)


class NeverFetchingState(SpreadState):
    """Breaks a rule: the VM never fetches from VMs with a newer index."""

    @property
    def holders(self):
        return {}

    @holders.setter
    def holders(self, value):
        pass


class NeverFetchingVm(SpreadVm):
    spread_class = NeverFetchingState


@pytest.mark.parametrize(
    ("broken", "seed"), [(UnstoredStepsVm, 12), (NeverFetchingVm, 0)]
)
def test_random_faults_expose_a_broken_rule(broken, seed):
    with pytest.raises(AssertionError):
        run_random_faults(seed, broken)
