"""Randomised runs of core and storage on virtual time."""

import os

import pytest
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.log.cluster import SETTINGS, Broken, Cluster
from tests.log.seeded import BACKEND

CI_RUNS = 12
CI_STEPS = 25
SOAK_STEPS = 80
VMS = st.integers(0, 5)


class Runs(RuleBasedStateMachine):
    """Faults and requests in any order; the end must explain them all."""

    cluster_options = {}
    sizes = (3, 5)
    checks_liveness = True

    @initialize(run_seed=st.integers(0, 2**32), size=st.sampled_from(sizes))
    def begin(self, run_seed, size):
        self.cluster = Cluster(run_seed, size, **self.cluster_options)

    def vm(self, number):
        vms = list(self.cluster.vms.values())
        return vms[number % len(vms)]

    @rule(duration_s=st.sampled_from([3.0, 10.0]))
    def time_passes(self, duration_s):
        self.cluster.run(duration_s)

    @rule(requests=st.sampled_from([5, 20, 60]), pause_s=st.sampled_from([0.01, 0.2]))
    def work(self, requests, pause_s):
        self.cluster.work(requests, pause_s)

    @rule(requests=st.sampled_from([5, 20]))
    def work_a_little(self, requests):
        self.cluster.work(requests, pause_s=0.05)

    @rule(number=VMS)
    def crash(self, number):
        self.cluster.crash(self.vm(number))

    @rule(number=VMS, writes=st.integers(0, 6))
    def crash_at_a_write(self, number, writes):
        self.vm(number).folder.writes_left = writes

    @rule(number=VMS)
    def fail_sync(self, number):
        self.vm(number).folder.fail_syncs = True

    @rule(number=VMS)
    def fill_disk(self, number):
        self.vm(number).folder.fail_writes = True

    @rule(number=VMS)
    def restart(self, number):
        vm = self.vm(number)
        self.cluster.crash(vm)
        self.cluster.start(vm)

    @rule(number=VMS)
    def cut_off(self, number):
        name = self.vm(number).name
        for other in self.cluster.vms:
            self.cluster.cut |= {(name, other), (other, name)}

    @rule(source=VMS, other=VMS)
    def cut_one_way(self, source, other):
        self.cluster.cut.add((self.vm(source).name, self.vm(other).name))

    @rule(number=VMS)
    def cut_off_and_watch_its_term(self, number):
        vm = self.vm(number)
        self.cut_off(number)
        # What it was sent before the cut, it still takes once it wakes.
        thaws_s = self.cluster.frozen_until_s.get(vm.name, 0.0)
        self.cluster.run(5.0 + max(0.0, thaws_s - self.cluster.now_s))
        term = vm.state.term if vm.up else 0
        self.cluster.run(10.0)
        alone = vm.up and vm.state.is_sole_voter
        if vm.up and not alone and vm.state.term != term:
            raise Broken(f"{vm.name}, cut off, went from term {term}")
        self.heal()

    @rule()
    def heal(self):
        self.cluster.cut = set()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, loss):
        self.cluster.loss = loss

    @rule(number=VMS)
    def hand_over(self, number):
        self.cluster.hand_over(self.vm(number))

    @rule(number=VMS, name=VMS)
    def allow(self, number, name):
        for leader in self.cluster.leading():
            self.cluster.allow(leader, self.vm(name).name)

    @rule(name=VMS)
    def remove(self, name):
        for leader in self.cluster.leading():
            self.cluster.remove(leader, self.vm(name).name)

    @precondition(lambda self: self.cluster.losses_left() > 0)
    @rule(number=VMS)
    def lose_disk(self, number):
        self.cluster.replace_disk(self.vm(number))
        self.cluster.start(self.vm(number))

    @precondition(lambda self: self.cluster.losses_left() > 0)
    @rule()
    def lose_the_leaders_disk_and_repair(self):
        leader = self.cluster.leading()[0]
        self.cluster.replace_disk(leader)
        self.cluster.start(leader)
        self.cluster.run(10.0)

    @invariant()
    def moments_pass(self):
        if hasattr(self, "cluster"):
            self.cluster.work(requests=2, pause_s=0.05)

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle(self.checks_liveness)


class FleetRuns(Runs):
    """The times of a fleet's log on four VMs, which also freeze and lose power."""

    cluster_options = {
        "settings": SETTINGS._replace(heartbeat_s=0.2, election_s=0.7),
        "spares": 0,
    }

    @initialize(run_seed=st.integers(0, 2**32))
    def begin(self, run_seed):
        self.cluster = Cluster(run_seed, 4, **self.cluster_options)

    @rule(number=VMS, duration_s=st.sampled_from([0.5, 2.0, 8.0]))
    def freeze(self, number, duration_s):
        self.cluster.freeze(self.vm(number), duration_s)

    @rule(duration_s=st.sampled_from([2.0, 8.0]))
    def freeze_the_leader(self, duration_s):
        for leader in self.cluster.leading():
            self.cluster.freeze(leader, duration_s)

    @rule()
    def power_off(self):
        self.cluster.power_off()

    @rule()
    def cut_in_half(self):
        names = list(self.cluster.vms)
        for one in names[:2]:
            for other in names[2:]:
                self.cluster.cut |= {(one, other), (other, one)}


def explore(machine, runs, steps, run_seed, phases=(Phase.generate,)):
    """Run a state machine ``runs`` times from a fixed seed."""
    options = settings(
        max_examples=runs,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=phases,
        backend=BACKEND,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    run_state_machine_as_test(seed(run_seed)(machine), settings=options)


def test_random_faults_lose_nothing():
    explore(Runs, CI_RUNS, CI_STEPS, run_seed=1)


def test_random_faults_lose_nothing_with_fleet_settings():
    explore(FleetRuns, CI_RUNS, CI_STEPS, run_seed=1)


@pytest.mark.soak
def test_long_random_faults_lose_nothing_with_fleet_settings():
    run_seed = int(os.environ.get("SOAK_SEED", "1"))
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    explore(FleetRuns, runs, SOAK_STEPS, run_seed)


@pytest.mark.soak
def test_long_random_faults_lose_nothing():
    run_seed = int(os.environ.get("SOAK_SEED", "1"))
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    explore(Runs, runs, SOAK_STEPS, run_seed)
