"""Readiness of overloaded entry VMs, without a network."""

import random

import pytest

from vanillabeam.overload.withdrawal import LONG_S, MAX_HOLD_S, MIN_OUT_S, Withdrawal

STEP_S = 0.1


class Fleet:
    """Entry VMs that hear of each other with a delay.

    :param stale_steps: steps after which the others hear of a change.
    """

    def __init__(self, count, stale_steps=3):
        self.vms = {f"vm-{n:03}": Withdrawal(f"vm-{n:03}") for n in range(count)}
        self.now_s = 0.0
        self.changes = dict.fromkeys(self.vms, 0)
        self.most_out = 0
        self._news = [{}] * (stale_steps + 1)

    def run(self, length_s, is_overloaded):
        """Run for a time.

        :param is_overloaded: whether a VM is overloaded, by its name and whether it is
            withdrawn.
        """
        for _ in range(round(length_s / STEP_S)):
            self.now_s += STEP_S
            states = {
                name: is_overloaded(name, vm.is_withdrawn)
                for name, vm in self.vms.items()
            }
            known = self._news.pop(0)
            for name, vm in self.vms.items():
                others = {other: known[other] for other in known if other != name}
                self.changes[name] += vm.update(
                    states[name], others, len(self.vms), self.now_s
                )
            news = {
                name: vm.is_withdrawn
                for name, vm in self.vms.items()
                if states[name] or vm.is_withdrawn
            }
            self._news.append(news)
            self.most_out = max(self.most_out, len(self.out()))

    def out(self):
        return [name for name, vm in self.vms.items() if vm.is_withdrawn]


def test_a_vm_that_is_overloaded_for_long_withdraws_and_returns():
    fleet = Fleet(10)
    fleet.run(LONG_S - 0.5, lambda name, out: name == "vm-004")
    assert fleet.out() == []
    fleet.run(1.0, lambda name, out: name == "vm-004")
    assert fleet.out() == ["vm-004"]
    fleet.run(MIN_OUT_S + 1.0, lambda name, out: False)
    assert fleet.out() == []


def test_a_short_overload_changes_nothing():
    fleet = Fleet(10)
    for _ in range(20):
        fleet.run(LONG_S - 0.5, lambda name, out: name == "vm-004")
        fleet.run(0.2, lambda name, out: False)
    assert sum(fleet.changes.values()) == 0


# Guards against a fleet without a ready VM.
@pytest.mark.parametrize("count", [1, 2, 3, 60])
def test_a_fleet_that_is_overloaded_everywhere_stays_ready(count):
    fleet = Fleet(count)
    fleet.run(60.0, lambda name, out: True)
    assert fleet.most_out == 0


# Guards against VMs that stay out as the overload reaches the others.
def test_withdrawn_vms_return_when_the_others_become_overloaded():
    fleet = Fleet(60)
    fleet.run(10.0, lambda name, out: name < "vm-010")
    assert len(fleet.out()) == 10
    fleet.run(1.0, lambda name, out: True)
    assert fleet.out() == []


@pytest.mark.parametrize("overloaded", [16, 25, 30])
def test_at_most_a_quarter_is_withdrawn(overloaded):
    fleet = Fleet(60)
    fleet.run(30.0, lambda name, out: name < f"vm-{overloaded:03}")
    assert fleet.most_out == 15


def test_without_news_of_the_others_a_vm_stays_ready():
    vm = Withdrawal("vm-1")
    for step in range(200):
        vm.update(True, None, 10, step * STEP_S)
    assert not vm.is_withdrawn


def test_a_withdrawn_vm_returns_without_news_of_the_others():
    vm = Withdrawal("vm-1")
    for step in range(100):
        vm.update(True, {}, 10, step * STEP_S)
    assert vm.is_withdrawn
    vm.update(True, None, 10, 10.1)
    assert not vm.is_withdrawn


# Guards against a VM that comes and goes: it is overloaded with its share of the
# requests and idle without.
def test_a_vm_does_not_flap():
    fleet = Fleet(10)
    fleet.run(300.0, lambda name, out: name == "vm-004" and not out)
    # 10 s, 20 s, ... 160 s between the withdrawals.
    assert fleet.changes["vm-004"] <= 10


# Guards against overload that wanders, as the requests of a withdrawn VM reach others.
def test_random_overload_never_withdraws_more_than_a_quarter():
    rng = random.Random(3)
    fleet = Fleet(40)
    for _ in range(40):
        chosen = set(rng.sample(sorted(fleet.vms), rng.randrange(41)))
        fleet.run(
            rng.uniform(0.5, 8.0), lambda name, out, chosen=chosen: name in chosen
        )
    assert fleet.most_out <= 10
    assert max(fleet.changes.values()) <= 2 * 40 * 8 / MAX_HOLD_S + 10
