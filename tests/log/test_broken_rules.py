"""Randomised runs detect each Raft rule that is broken on purpose."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from tests.log.cluster import FAILURES, CrashingFolder, Vm
from tests.log.history import NotLinearizable
from tests.log.test_runs import Runs, explore
from vanillabeam.log.replica import Replica

STEPS = 30
CI_RUNS = 60
OVERLAP_RUNS = 40
SOAK_RUNS = 300


class SkipsSync(CrashingFolder):
    """Ignores syncs, so that a crash may lose acknowledged entries."""

    def sync(self, name):
        self.synced.setdefault(name, 0)


class VotesAfterDiskLoss(Vm):
    """Restarts with an empty disk under its old member id, and votes."""

    def make_id(self):
        return f"{self.name}#1"

    def start(self, now_s):
        super().start(now_s)
        if self.disk_number > 1 and not self.state.group_id:
            self.storage.save_identity(group_id="group")
            super().start(now_s)


class SkipsPreVote(Replica):
    """Increments its term without a pre-vote when its election timer expires."""

    def needs_pre_vote(self):
        return False


class VotesForOldLogs(Replica):
    """Votes for candidates whose log is behind its own."""

    def is_up_to_date(self, last_term, last_index):
        return True


class VotesTwice(Replica):
    """Votes for several candidates in one term."""

    def may_vote_for(self, candidate, term):
        return True


class VotesBesideLeaders(Replica):
    """Grants votes while a leader is active.

    This is safe but causes more elections. Reads must stay linearizable even while
    leaders of two terms overlap.
    """

    def has_active_leader(self, now_s):
        return False


class ReadsWithoutRound(VotesBesideLeaders):
    """Answers reads without a heartbeat round that confirms its leadership."""

    def read_round(self):
        return 0


BROKEN_IN_CI = [
    (1, {"folder_type": SkipsSync}),
    (1, {"replica_type": SkipsPreVote}),
]
BROKEN_IN_SOAK = [
    (1, {"replica_type": VotesForOldLogs}),
    (3, {"replica_type": VotesTwice}),
    (1, {"vm_type": VotesAfterDiskLoss}),
]


class OverlapRuns(Runs):
    """Elections that do not wait until the old leader has stepped down."""

    @rule(number=st.integers(0, 5))
    def elect_beside_a_leader(self, number):
        leading = self.cluster.leading()
        if not leading:
            return
        others = [vm for vm in self.cluster.vms.values() if vm not in leading]
        other = others[number % len(others)]
        for vm in leading:
            for name in self.cluster.vms:
                self.cluster.cut |= {(vm.name, name), (name, vm.name)}
        if other.up:
            other.state.election_due_s = self.cluster.now_s
        self.cluster.run(0.5)
        self.cluster.work(requests=10, pause_s=0.02)
        self.heal()


def test_reads_stay_linearizable_while_leaders_overlap():
    class SafeRuns(OverlapRuns):
        cluster_options = {"replica_type": VotesBesideLeaders}
        checks_liveness = False

    explore(SafeRuns, OVERLAP_RUNS, STEPS, run_seed=3)


def test_reads_without_a_heartbeat_round_are_detected_while_leaders_overlap():
    class BrokenRuns(OverlapRuns):
        cluster_options = {"replica_type": ReadsWithoutRound}
        checks_liveness = False

    with pytest.raises(NotLinearizable):
        explore(BrokenRuns, OVERLAP_RUNS, STEPS, run_seed=2)


def assert_violation_found(run_seed, options, runs):
    class BrokenRuns(Runs):
        cluster_options = options

    with pytest.raises((*FAILURES, NotLinearizable)):
        explore(BrokenRuns, runs, STEPS, run_seed)


@pytest.mark.parametrize(("run_seed", "options"), BROKEN_IN_CI)
def test_a_broken_rule_is_detected(run_seed, options):
    assert_violation_found(run_seed, options, CI_RUNS)


@pytest.mark.soak
@pytest.mark.parametrize(("run_seed", "options"), BROKEN_IN_SOAK)
def test_a_broken_rule_is_detected_by_long_runs(run_seed, options):
    assert_violation_found(run_seed, options, SOAK_RUNS)
