"""Versions that requests of one entry VM may go to; no network."""

import random

import pytest

from tests.canary.builders import make_record, make_target, make_targets
from vanillabeam.canary.exposure import STALE_S, Exposure
from vanillabeam.canary.records import Step
from vanillabeam.canary.sightings import HOLD_S

ENDED = (Step.COMPLETE, Step.ROLLED_BACK)


class Vm:
    """One entry VM that sends requests, by its own knowledge.

    :ivar sent: number of requests sent, by version.
    """

    def __init__(self, seed=1, targets=None, record=None, now_s=0.0):
        self.exposure = Exposure(random.Random(seed))
        self.targets = make_targets() if targets is None else targets
        self.news_age_s = 0.0
        self.sent = {}
        self.follow(record)
        self.exposure.see("app", self.targets, now_s)

    def follow(self, record):
        self.exposure.update({"app": record} if record else {})

    def allowed(self, now_s=10.0):
        self.exposure.see("app", self.targets, now_s)
        return self.exposure.allowed("app", self.targets, self.news_age_s, now_s)

    def versions(self, now_s=10.0):
        return {target.software for target in self.allowed(now_s)}

    def send(self, now_s=10.0, is_first=True):
        """Send a request; return its target, ``None`` if none is allowed."""
        usable = [target for target in self.allowed(now_s) if not target.draining]
        chosen = self.exposure.preferred("app", usable) or usable
        if not chosen:
            return None
        target = chosen[0]
        self.exposure.record_choice("app", target.software, is_first)
        self.sent[target.software] = self.sent.get(target.software, 0) + 1
        return target

    def may_send(self, target, now_s=10.0):
        return self.exposure.may_send(
            "app", target, lambda: self.targets, self.news_age_s, now_s
        )


def test_a_trial_sends_its_share_to_the_new_version():
    vm = Vm(record=make_record())
    for _ in range(1_000):
        vm.send()
    assert 59 <= vm.sent["v2"] <= 61


# Guards against requests that are each within the share of their own VM, while the
# sum over many VMs with a few requests each is far above it.
def test_many_vms_with_few_requests_stay_within_the_share_together():
    total = 0
    for seed in range(2_000):
        vm = Vm(seed, record=make_record())
        for _ in range(5):
            vm.send()
        total += vm.sent.get("v2", 0)
    # 10,000 requests; the standard deviation is below 22.
    assert total <= 0.06 * 10_000 + 100


@pytest.mark.parametrize("seed", range(5))
def test_70_vms_together_stay_within_the_bound_beside_faults(seed):
    """VMs restart, join, hear nothing for a time, and act on late steps.

    The bound is what the operators ask for: a tenth of all requests, and 50.
    """
    rng = random.Random(seed)
    waiting, trial = make_record(Step.WAITING, 0.0), make_record()
    back = make_record(Step.ROLLED_BACK, 0.0, reason="bad")
    steps = [(0.0, waiting), (1.0, trial), (8.0, back)]
    vms = [FaultyVm(rng, steps, 0.0) for _ in range(60)]
    sent, after_back = {}, 0
    for tick in range(120):
        now_s = tick / 10
        if tick % 10 == 0 and len(vms) < 70:
            vms.append(FaultyVm(rng, steps, now_s))
        for faulty in vms:
            faulty.suffer(now_s)
            for _ in range(rng.randint(0, 3)):
                target = faulty.vm.send(now_s, is_first=rng.random() < 0.95)
                version = target.software if target else ""
                sent[version] = sent.get(version, 0) + 1
                after_back += version == "v2" and now_s > 8.0 + STALE_S
    total = sum(sent.values())
    assert sent.get("", 0) == 0
    assert 0 < sent["v2"] <= 0.1 * total + 50
    assert after_back == 0


class FaultyVm:
    """A VM that restarts now and then, and is cut off from the control VMs.

    :param steps: the records in force, with the time of each.
    :ivar heard_s: time of its last news.
    :ivar cut_until_s: time until which it hears nothing.
    """

    def __init__(self, rng, steps, now_s):
        self.rng, self.steps = rng, steps
        self.heard_s = self.cut_until_s = now_s
        self.restart()

    def restart(self):
        """Restart with the record that it finds, which may be outdated."""
        self.vm = Vm(self.rng.random(), record=self.record())

    def record(self):
        return [record for since_s, record in self.steps if since_s <= self.heard_s][-1]

    def suffer(self, now_s):
        if self.rng.random() < 0.01:
            self.restart()
        if now_s >= self.cut_until_s:
            self.heard_s = now_s
            self.vm.follow(self.record())
            if self.rng.random() < 0.02:
                self.cut_until_s = now_s + self.rng.uniform(1.0, 5.0)
        self.vm.news_age_s = now_s - self.heard_s


def test_a_retry_takes_credit_too():
    vm = Vm(record=make_record(share=0.5))
    for _ in range(100):
        vm.send()
        vm.send(is_first=False)
    assert vm.sent["v2"] <= 51


# Guards against a burst at the new version after a time in which it took nothing.
def test_credit_that_could_not_be_used_is_not_saved():
    vm = Vm(record=make_record(), targets=make_targets(new=0))
    for _ in range(1_000):
        vm.send(now_s=0.5)
    vm.targets = make_targets()
    for _ in range(10):
        vm.send(now_s=0.6)
    assert vm.sent.get("v2", 0) <= 2


def test_without_news_of_the_leader_a_version_on_trial_gets_nothing():
    for step, share in ((Step.TRIAL, 0.06), (Step.SHIFT, 0.25)):
        vm = Vm(record=make_record(step, share))
        vm.news_age_s = STALE_S + 0.1
        for _ in range(100):
            vm.send()
        assert vm.sent == {"v1": 100}
        new = make_target("n-1", "v2")
        assert not vm.may_send(new)
        vm.news_age_s = 0.0
        assert vm.may_send(new)


# Guards against requests to old targets that were stopped: the rollout may be complete.
def test_without_news_a_vm_goes_on_once_all_requests_go_to_the_new_version():
    vm = Vm(record=make_record(Step.SHIFT, 1.0))
    vm.news_age_s = 60.0
    assert vm.send().software == "v2"


def test_all_requests_are_meant_for_the_new_version_at_the_end_of_the_shift():
    vm = Vm(record=make_record(Step.SHIFT, 1.0))
    for number in range(100):
        vm.send(is_first=number % 2 == 0)
    assert vm.sent == {"v2": 100}
    # Retries may still go to the old version.
    assert vm.versions() == {"v1", "v2"}


def test_after_a_rollback_no_request_goes_to_the_version():
    vm = Vm(record=make_record(Step.ROLLED_BACK, 0.0))
    assert vm.versions() == {"v1"}
    assert not vm.may_send(make_target("n-1", "v2"))
    vm.targets = make_targets(old=0)
    assert vm.send(now_s=60.0) is None


# Guards against a request that was chosen for the new version before its rollback, and
# waits for a connection meanwhile.
def test_a_request_that_waits_is_not_sent_after_a_rollback():
    vm = Vm(record=make_record(share=1.0, step=Step.SHIFT))
    target = vm.send()
    assert vm.may_send(target)
    vm.follow(make_record(Step.ROLLED_BACK, 0.0))
    assert not vm.may_send(target)


def test_after_the_completion_others_are_used_only_if_none_of_the_version_is_left():
    vm = Vm(record=make_record(Step.COMPLETE, 1.0))
    assert vm.versions() == {"v2"}
    assert not vm.may_send(make_target("o-1"))
    vm.targets = [*make_targets(new=0), make_target("n-1", "v2", draining=True)]
    assert vm.versions() == {"v1"}
    assert vm.may_send(make_target("o-1"))


def test_nothing_goes_to_the_new_version_before_its_trial():
    vm = Vm(record=make_record(Step.WAITING, 0.0))
    for _ in range(100):
        vm.send()
    assert vm.sent == {"v1": 100}


def test_a_trial_uses_a_share_of_the_targets_the_same_on_all_vms():
    used = []
    for seed in range(20):
        vm = Vm(seed, make_targets(old=70, new=70), make_record())
        for _ in range(100):
            vm.send()
        vm.exposure._rollouts["app"].credit = 1.0
        used.append({t.name for t in vm.allowed() if t.software == "v2"})
    assert all(names == used[0] for names in used)
    # 0.06 of 70 targets, rounded up.
    assert len(used[0]) == 5


def test_another_order_uses_other_targets_and_a_new_credit():
    vm = Vm(record=make_record(), targets=make_targets(70, 70))
    vm.exposure._rollouts["app"].credit = 1.0
    first = {t.name for t in vm.allowed() if t.software == "v2"}
    vm.follow(make_record(order=10))
    assert vm.exposure._rollouts["app"].credit < 1.0
    vm.exposure._rollouts["app"].credit = 1.0
    assert {t.name for t in vm.allowed() if t.software == "v2"} != first


# Guards against refusing all requests in a rollout to the only version there is.
def test_a_version_that_is_alone_for_some_time_is_used():
    vm = Vm(record=make_record(), targets=make_targets(old=0))
    assert vm.versions(now_s=1.0) == set()
    assert vm.versions(now_s=1.0 + HOLD_S) == {"v2"}
    assert vm.may_send(vm.targets[0], now_s=1.0 + HOLD_S)
    vm.targets = make_targets()
    assert vm.versions(now_s=5.0) == {"v1"}


# Guards against a share for a bad version whose order arrives later than its targets.
def test_a_version_that_no_record_names_is_held():
    vm = Vm(targets=make_targets(new=0))
    vm.targets = make_targets()
    assert vm.exposure.see("app", vm.targets, 20.0) == ["v2"]
    assert vm.versions(now_s=20.0 + HOLD_S - 0.1) == {"v1"}
    assert vm.versions(now_s=20.0 + HOLD_S) == {"v1", "v2"}


# Guards against a VM that is cut off from the leader while the order is committed, and
# uses the new version as if there were none.
def test_a_version_stays_held_until_there_is_news_of_after_the_hold():
    vm = Vm(targets=make_targets(new=0))
    vm.targets = make_targets()
    assert vm.versions(now_s=20.0) == {"v1"}
    vm.news_age_s = 10.0
    assert vm.versions(now_s=29.0) == {"v1"}
    vm.news_age_s = 0.0
    assert vm.versions(now_s=29.0) == {"v1", "v2"}


def test_a_version_of_an_order_is_not_held():
    vm = Vm(targets=make_targets(new=0), record=make_record(Step.SHIFT, 1.0))
    vm.targets = make_targets()
    assert vm.exposure.see("app", vm.targets, 20.0) == []
    assert vm.send(now_s=20.1).software == "v2"


def test_a_held_version_is_used_once_the_others_are_gone():
    vm = Vm(targets=make_targets(new=0))
    vm.targets = make_targets()
    assert vm.versions(now_s=20.0) == {"v1"}
    vm.targets = make_targets(old=0)
    assert vm.versions(now_s=20.5) == {"v2"}


# Guards against a VM that starts just before the order and takes the new version for
# the established one.
def test_a_vm_that_starts_holds_the_version_of_fewer_targets():
    vm = Vm(targets=make_targets(old=4, new=2))
    assert vm.versions(now_s=1.0) == {"v1"}
    old, new = make_target("o-1", born_ms=500), make_target("n-1", "v2")
    assert Vm(targets=[new, old]).versions(now_s=1.0) == {"v1"}


def test_a_single_version_is_never_held():
    vm = Vm(targets=make_targets(new=0))
    assert vm.versions(now_s=0.0) == {"v1"}
    vm.targets = make_targets(old=0)
    assert vm.versions(now_s=1.0) == {"v2"}


def test_roles_are_told_while_a_rollout_runs_only():
    vm = Vm(record=make_record())
    assert vm.exposure.role("app", "v2") == "new"
    assert vm.exposure.role("app", "v1") == "old"
    for step in ENDED:
        vm.follow(make_record(step))
        assert vm.exposure.role("app", "v2") == ""
    assert vm.exposure.role("other", "v2") == ""
