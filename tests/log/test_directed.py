"""Broken rules that random runs find only by luck, each in one short scenario."""

import pytest

from tests.log.cluster import FAILURES, SETTINGS, Broken, Cluster, Vm
from tests.log.test_broken_rules import (
    VotesAfterDiskLoss,
    VotesForOldLogs,
    VotesTwice,
)
from vanillabeam.log.events import Received
from vanillabeam.log.messages import Envelope, VoteRequest
from vanillabeam.log.replica import Replica


def make_cluster(**options):
    cluster = Cluster(1, spares=0, late=0.0, **options)
    cluster.work(requests=5, pause_s=0.05)
    cluster.run(5.0)
    return cluster


def ask_for_vote(cluster, voter, candidate, term, last=(10_000, 10_000)):
    """Deliver a candidate's request; its log is as new as ``last`` says."""
    last_index, last_term = last
    message = VoteRequest(term, last_index, last_term, pre=False, transfer=True)
    envelope = Envelope("group", candidate, voter.make_id(), message)
    cluster.take(voter, [Received(envelope)])


def two_candidates(cluster):
    """Return a voter, the ids of two candidates, and a term of both."""
    leader = cluster.leading()[0]
    voter, other = (vm for vm in cluster.vms.values() if vm is not leader)
    candidates = (leader.state.member_id, other.state.member_id)
    return voter, candidates, leader.state.term + 1


def vote_lose_the_disk_and_vote_again(vm_type):
    cluster = make_cluster(vm_type=vm_type)
    voter, (first, second), term = two_candidates(cluster)
    ask_for_vote(cluster, voter, first, term)
    assert cluster.votes[voter.make_id(), term] == first
    cluster.replace_disk(voter)
    cluster.start(voter)
    ask_for_vote(cluster, voter, second, term)


def test_a_disk_that_was_lost_votes_no_second_time_in_a_term():
    vote_lose_the_disk_and_vote_again(Vm)


def test_a_vote_after_a_disk_loss_is_found():
    with pytest.raises(Broken, match="voted twice"):
        vote_lose_the_disk_and_vote_again(VotesAfterDiskLoss)


def two_ask_in_one_term(replica_type):
    cluster = make_cluster(replica_type=replica_type)
    voter, (first, second), term = two_candidates(cluster)
    ask_for_vote(cluster, voter, first, term)
    ask_for_vote(cluster, voter, second, term)


def test_the_second_candidate_of_a_term_gets_no_vote():
    two_ask_in_one_term(Replica)


def test_a_second_vote_in_a_term_is_found():
    with pytest.raises(FAILURES):
        two_ask_in_one_term(VotesTwice)


def stand_with_an_old_log(replica_type):
    """Cut one off while others commit, lose the leader, let the old log stand."""
    cluster = make_cluster(replica_type=replica_type)
    leader = cluster.leading()[0]
    behind, voter = (vm for vm in cluster.vms.values() if vm is not leader)
    for name in cluster.vms:
        cluster.cut |= {(behind.name, name), (name, behind.name)}
    cluster.work(requests=20, pause_s=0.05)
    cluster.run(2.0)
    cluster.crash(leader)
    cluster.run(0.2)
    cluster.cut = set()
    # The voter no longer hears the leader, and only the old log stands.
    behind.state.election_due_s = cluster.now_s + 2 * SETTINGS.election_s
    voter.state.election_due_s = cluster.now_s + 60.0
    cluster.run(3 * SETTINGS.election_s)
    cluster.work(requests=5, pause_s=0.05)
    cluster.settle()


def test_an_old_log_never_leads():
    stand_with_an_old_log(Replica)


def test_a_vote_for_an_old_log_is_found():
    with pytest.raises(FAILURES):
        stand_with_an_old_log(VotesForOldLogs)


def leads_soon_after_a_restart_of_all(seed):
    cluster = Cluster(seed, spares=0, late=0.0)
    for vm in cluster.vms.values():
        cluster.crash(vm)
    for vm in cluster.vms.values():
        cluster.start(vm)
    cluster.run(SETTINGS.election_s)
    return bool(cluster.leading())


def test_where_all_have_restarted_none_waits_for_the_usual_silence():
    soon = [leads_soon_after_a_restart_of_all(seed) for seed in range(20)]
    assert sum(soon) > len(soon) / 2


def test_one_that_restarts_leaves_the_leader_in_place():
    cluster = make_cluster()
    leader = cluster.leading()[0]
    term = leader.state.term
    for vm in cluster.vms.values():
        if vm is not leader:
            cluster.crash(vm)
            cluster.start(vm)
            cluster.run(3 * SETTINGS.election_s)
    assert cluster.leading() == [leader]
    assert leader.state.term == term
