import os
import random

import pytest
from hypothesis import given, settings, strategies as st

from tests.members.builders import MemberVm, Network, make_fleet, make_seeds
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.members import AppState, Member, Status
from vanillabeam.members.core import AppStateChanged, Leave, handle
from vanillabeam.members.records import merge
from vanillabeam.members.state import MembersState

members = st.builds(
    Member,
    name=st.just("vm"),
    address=st.just("a"),
    data_centre=st.just("kgl-1"),
    incarnation=st.integers(0, 2),
    status=st.sampled_from(Status),
    version=st.integers(0, 2),
    state=st.just(AppState()),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(members, members, members)
def test_the_order_of_merges_makes_no_difference(one, two, three):
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))


def test_vms_see_all_vms_of_their_data_centre_and_a_summary_of_the_others():
    net = Network(1, loss=0.05)
    fleet = make_fleet(net, {"kgl-1": 12, "kgl-2": 2})
    net.run_until(30)
    for vm in fleet:
        assert vm.alive_names() == sorted(
            v.name for v in fleet if v.data_centre == vm.data_centre
        )
    summary = fleet[0].members.summaries(net.now_s)["kgl-2"]
    assert (summary.alive, summary.ready) == (2, 2)


def test_a_dead_vm_is_detected_and_a_broken_path_to_a_live_vm_is_not_a_death():
    net = Network(2)
    fleet = make_fleet(net, {"kgl-1": 8})
    net.run_until(10)
    net.cut = lambda a, b: {a, b} == {"kgl-1-0", "kgl-1-1"}
    net.run_until(60)
    assert fleet[0].status_of("kgl-1-1") is Status.ALIVE
    fleet[5].stop()
    net.run_until(90)
    assert all("kgl-1-5" not in vm.alive_names() for vm in fleet if vm.alive)


def test_a_restarted_vm_overrides_its_earlier_incarnation():
    net = Network(3)
    fleet = make_fleet(net, {"kgl-1": 5}, config_index=7)
    net.run_until(10)
    fleet[2].stop()
    net.run_until(30)
    restarted = MemberVm(net, "kgl-1-2", "kgl-1", make_seeds({"kgl-1": 5}))
    net.run_until(60)
    assert all("kgl-1-2" in vm.alive_names() for vm in fleet if vm.alive)
    assert fleet[0].members.members["kgl-1-2"] == restarted.members.own


def test_all_vms_are_alive_again_after_a_partition_heals():
    net = Network(4)
    fleet = make_fleet(net, {"kgl-1": 8})
    net.run_until(10)
    net.cut = lambda a, b: (int(a[-1]) < 3) != (int(b[-1]) < 3)
    net.run_until(60)
    assert len(fleet[0].alive_names()) == 3
    net.cut = lambda a, b: False
    net.run_until(150)
    assert all(len(vm.alive_names()) == 8 for vm in fleet)


def test_a_planned_stop_is_reported_as_left_not_dead():
    net = Network(5)
    fleet = make_fleet(net, {"kgl-1": 5})
    net.run_until(10)
    fleet[1].feed(Leave())
    net.run_until(11)
    assert fleet[0].status_of("kgl-1-1") in (Status.LEFT, Status.ALIVE)
    fleet[1].stop()
    net.run_until(20)
    assert all(vm.status_of("kgl-1-1") is Status.LEFT for vm in fleet if vm.alive)


def test_a_paused_vm_does_not_suspect_its_peers():
    net = Network(6)
    fleet = make_fleet(net, {"kgl-1": 5})
    net.run_until(10)
    paused = fleet[0]
    paused.alive = False
    net.vms.pop(paused.name)
    net.run_until(40)
    paused.alive = True
    net.vms[paused.name] = paused
    paused.tick()
    net.run_until(45)
    assert len(paused.alive_names()) == 5


def test_a_decreasing_index_in_force_breaks_an_invariant():
    state = MembersState("a", "a", "kgl-1", (), random.Random(1))
    handle(AppStateChanged(AppState(config_index=3)), state, 0.0)
    with pytest.raises(InvariantBroken):
        handle(AppStateChanged(AppState(config_index=2)), state, 1.0)


def churn(seed: int, vm_class=MemberVm) -> None:
    """Check that all views agree after loss, crashes, restarts and partitions."""
    net = Network(seed, loss=0.1, delay_s=0.05)
    sizes = {"kgl-1": 7, "kgl-2": 4}
    fleet = {vm.name: vm for vm in make_fleet(net, sizes, vm_class)}
    rng = random.Random(seed)
    for _ in range(12):
        net.run_until(net.now_s + rng.uniform(1, 15))
        name = rng.choice(sorted(fleet))
        isolated = set(rng.sample(sorted(fleet), 3))
        match rng.randrange(4):
            case 0:
                fleet[name].stop()
            case 1 if not fleet[name].alive:
                place = fleet[name].data_centre
                fleet[name] = vm_class(net, name, place, make_seeds(sizes))
            case 2:
                net.cut = lambda a, b, isolated=isolated: (
                    a in isolated and b not in isolated
                )
            case _:
                net.cut = lambda a, b: False
    net.cut, net.loss = (lambda a, b: False), 0.0
    net.run_until(net.now_s + 150)
    alive = [vm for vm in fleet.values() if vm.alive]
    for vm in alive:
        local = [v.name for v in alive if v.data_centre == vm.data_centre]
        assert vm.alive_names() == sorted(local), (seed, vm.name)


@pytest.mark.parametrize("seed", range(4))
def test_views_agree_after_churn(seed):
    churn(seed)


@pytest.mark.soak
def test_views_agree_after_long_churn():
    first = int(os.environ["SOAK_SEED"])
    for seed in range(first, first + int(os.environ["SOAK_RUNS"])):
        churn(seed)


class NonRefutingState(MembersState):
    """Faulty state: the VM does not refute records that declare it suspect or dead."""

    def _merge_own_record(self, member):
        pass


class NonRefutingVm(MemberVm):
    state_class = NonRefutingState


def test_churn_detects_a_vm_that_does_not_refute_suspicions():
    with pytest.raises(AssertionError):
        for seed in range(4):
            churn(seed, NonRefutingVm)
