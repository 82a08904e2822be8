"""Whole rollouts played in steps of time: entry VMs, targets, reports, the leader.

Entry VMs know of a step some tenths of a second after its commit, and report to the
leader at intervals. All numbers come from one seed.
"""

import copy
import heapq
import math
import random
from typing import NamedTuple

from vanillabeam.canary.capacity import VersionTarget, count_capacity
from vanillabeam.canary.judge import Judge
from vanillabeam.canary.plan import Exposure, Situation, next_change
from vanillabeam.canary.records import BUCKETS, Step, is_running
from vanillabeam.canary.state import apply_rollout, make_order, trial_targets
from vanillabeam.canary.tally import Tally

BOUND = Exposure(0.1, 50.0)
TICK_S = 0.1
COMMIT_S = 0.1
#: Buckets of slowness begin at this one for a response as slow as expected.
USUAL_BUCKET = 4


class Play(NamedTuple):
    """A rollout to play.

    :param fail: returns the probability of a failure of a request to the new version,
        by time, route, target, entry VM and share in force.
    :param slow: returns the factor by which the new version is slower, likewise.
    :param base: failures of the old version, and of the new one if ``fail`` is absent.
    :param mean_s: mean time of a request.
    :param report_s: seconds between two reports of an entry VM.
    :param lag_s: seconds until an entry VM knows of a committed step, at most.
    :param targets: targets of the new version, by time.
    """

    seed: int = 0
    rate: float = 50.0
    duration_s: float = 12.0
    vms: int = 20
    routes: tuple[float, ...] = (0.6, 0.3, 0.1)
    base: float = 0.02
    fail: object = None
    slow: object = None
    mean_s: float = 0.2
    report_s: float = 0.3
    lag_s: float = 0.3
    targets: object = None
    old_targets: int = 10
    leaderless: tuple[float, float] = (math.inf, math.inf)
    restart_s: float = math.inf


class Result(NamedTuple):
    """Outcome of a play.

    :param sent: requests that were sent to the new version up to its end.
    :param total: requests to the service up to the time limit.
    :param bad: failures and slow responses of the new version that were sent back.
    :param late: seconds from the 50th bad response to the last request that was sent
        to the new version; negative if there were fewer.
    :param lost: requests open at old targets when the rollout completed.
    """

    record: dict
    ended_s: float
    sent: int
    total: int
    bad: int
    late: float
    lost: int
    peak: float

    @property
    def allowed(self) -> float:
        return BOUND.share * self.total + BOUND.requests


class _Vm:
    def __init__(self, name, rng, play):
        self.name = name
        self.rng = rng
        self.credit = rng.random()
        self.lag_s = rng.uniform(0.05, play.lag_s)
        self.boots = 0
        self.restart()

    def restart(self):
        self.boots += 1
        self.open_old = 0
        self.counts = {"new": {}, "old": {}}
        self.targets = {}

    def report(self):
        return copy.deepcopy(
            {
                "service": "shop",
                "order": 1,
                "boot": f"{self.name}-{self.boots}",
                "new": self.counts["new"],
                "old": self.counts["old"],
                "targets": self.targets,
                "open_old": self.open_old,
            }
        )

    def route(self, role, route):
        empty = {"sent": 0, "answers": 0, "failures": 0, "slowness": [0] * BUCKETS}
        return self.counts[role].setdefault(route, empty)

    def target(self, name):
        empty = {"answers": 0, "failures": 0, "slow": [0] * BUCKETS}
        return self.targets.setdefault(name, empty)


def default_targets(now_s):
    """Return ten new targets, warm after a second."""
    if now_s < 0.5:
        return []
    return [(f"n-{i}", now_s >= 1.5) for i in range(10)]


def play(settings: Play) -> Result:
    """Play one rollout up to its end or its time limit."""
    return _Player(settings).run()


class _Player:
    def __init__(self, settings):
        self.play = settings
        self.rng = random.Random(settings.seed)
        self.vms = [_Vm(f"e-{i}", self.rng, settings) for i in range(settings.vms)]
        self.rollouts = apply_rollout(
            {}, make_order("shop", "v2", settings.duration_s, 0), 1
        )
        #: Records in force with the time of their commit and index.
        self.history = [(0.0, 1, self.rollouts["shop"])]
        self.index = 1
        self.tally = Tally()
        self.judge = Judge(settings.duration_s)
        self.open = []
        self.number = 0
        self.sent = self.total = self.bad = 0
        self.last_sent_s = -math.inf
        self.fiftieth_s = math.inf
        self.ended_s = math.inf
        self.lost = 0
        self.peak = -math.inf
        self.answers_before = 0
        self.alone_since_s = None

    @property
    def record(self):
        return self.rollouts["shop"]

    def run(self):
        p = self.play
        due = 0.0
        next_reports = [self.rng.uniform(0, p.report_s) for _ in self.vms]
        for number in range(round(p.duration_s / TICK_S)):
            now_s = number * TICK_S
            if p.restart_s <= now_s < p.restart_s + TICK_S:
                for vm in self.vms[::3]:
                    vm.restart()
            due += p.rate * TICK_S
            while due >= 1:
                due -= 1
                self.send(now_s + self.rng.uniform(0, TICK_S))
            self.receive(now_s + TICK_S)
            for i, vm in enumerate(self.vms):
                if now_s >= next_reports[i]:
                    next_reports[i] = now_s + p.report_s
                    index = self.known(vm, now_s)[1]
                    self.tally.update(vm.name, vm.report(), now_s, index)
            if not p.leaderless[0] <= now_s < p.leaderless[1]:
                self.decide(now_s)
        late = self.last_sent_s - self.fiftieth_s
        return Result(
            self.record,
            self.ended_s,
            self.sent,
            self.total,
            self.bad,
            late,
            self.lost,
            self.peak,
        )

    def known(self, vm, now_s):
        """Return the newest record that a VM knows of."""
        for entry in reversed(self.history):
            if entry[0] + vm.lag_s <= now_s:
                return entry
        return self.history[0]

    def send(self, now_s):
        p, rng = self.play, self.rng
        vm = rng.choice(self.vms)
        record = self.known(vm, now_s)[2]
        route = rng.choices(range(len(p.routes)), p.routes)[0]
        self.total += 1
        targets = (p.targets or default_targets)(now_s)
        share = record["share"] if targets else 0.0
        vm.credit += share
        is_new = vm.credit >= 1
        vm.credit -= is_new
        fail, factor, target = p.base, 1.0, ""
        if is_new:
            tried = targets[: math.ceil(share * len(targets))]
            target = rng.choice(tried)[0]
            if is_running(record):
                self.sent += 1
                self.last_sent_s = max(self.last_sent_s, now_s)
            facts = (now_s, f"r{route}", target, vm.name, share)
            fail = p.fail(*facts) if p.fail else fail
            factor = p.slow(*facts) if p.slow else factor
        else:
            vm.open_old += 1
        vm.route("new" if is_new else "old", f"r{route}")["sent"] += 1
        # Targets are two to three times as slow for a tenth of the time.
        noise = rng.uniform(2, 3) if rng.random() < 0.1 else 1.0
        slowness = rng.lognormvariate(0, 0.4) * noise * factor
        is_failed = rng.random() < fail
        took_s = p.mean_s * slowness * rng.uniform(0.5, 1.5)
        self.number += 1
        facts = (vm, vm.boots, f"r{route}", target, is_failed, slowness)
        heapq.heappush(self.open, (now_s + took_s, self.number, facts))

    def receive(self, now_s):
        while self.open and self.open[0][0] <= now_s:
            at_s, _, facts = heapq.heappop(self.open)
            vm, boot, route, target, is_failed, slowness = facts
            is_bad = bool(target) and (is_failed or slowness >= 6)
            self.bad += is_bad
            if is_bad and self.bad == 50:
                self.fiftieth_s = at_s
            if boot != vm.boots:
                continue
            counts = vm.route("new" if target else "old", route)
            counts["answers"] += 1
            bucket = round(USUAL_BUCKET + math.log2(slowness))
            bucket = min(BUCKETS - 1, max(0, bucket))
            counts["failures"] += is_failed
            if not is_failed:
                counts["slowness"][bucket] += 1
            if target:
                own = vm.target(target)
                own["answers"] += 1
                own["failures"] += is_failed
                if not is_failed:
                    own["slow"][bucket] += 1
            else:
                vm.open_old -= 1

    def decide(self, now_s):
        if not is_running(self.record):
            return
        p = self.play
        new = (p.targets or default_targets)(now_s)
        listed = [VersionTarget(n, "v2", 6, "a", warm) for n, warm in new]
        listed += [
            VersionTarget(f"o-{i}", "v1", 6, "a", True) for i in range(p.old_targets)
        ]
        trial = trial_targets(self.record, len(new))
        verdict = self.judge.update(self.tally.sums(), now_s, trial)
        self.peak = max(self.peak, verdict.odds)
        since_s, index, _ = self.history[-1]
        capacity = count_capacity(listed, "v2")
        situation = Situation(
            self.record,
            verdict,
            self.tally.sums(),
            capacity,
            now_s,
            now_s - since_s,
            0.0 if capacity.old else now_s,
            self.answers_before,
            self.tally.is_drained([vm.name for vm in self.vms], since_s, index),
        )
        change = next_change(situation, BOUND)
        if change is None:
            return
        self.index += 1
        before = self.record
        self.rollouts = apply_rollout(self.rollouts, change, self.index)
        assert self.record != before, "a change without effect"
        self.answers_before = self.tally.sums().all_new.answers
        self.history.append((now_s + COMMIT_S, self.index, self.record))
        if not is_running(self.record):
            self.ended_s = now_s + COMMIT_S
        if self.record["step"] is Step.COMPLETE:
            self.lost = sum(1 for item in self.open if not item[2][3])
