"""Short scenarios of rules whose violation random runs rarely detect.

Votes must be correct with the real rule, and a rule broken on purpose must be
detected. Further scenarios test the election timeout after restarts.
"""

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
    cluster = Cluster(1, spares=0, late_share=0.0, **options)
    cluster.work(requests=5, pause_s=0.05)
    cluster.run(5.0)
    return cluster


def request_vote(cluster, voter, candidate, term, last=(10_000, 10_000)):
    """Deliver a candidate's vote request to a voter.

    :param last: index and term of the last entry in the candidate's log.
    """
    last_index, last_term = last
    message = VoteRequest(term, last_index, last_term, pre=False, transfer=True)
    envelope = Envelope("group", candidate, voter.make_id(), message)
    cluster.handle_events(voter, [Received(envelope)])


def choose_voter_and_candidates(cluster):
    """Return a voter, the member ids of two candidates, and their next term."""
    leader = cluster.leading()[0]
    voter, other = (vm for vm in cluster.vms.values() if vm is not leader)
    candidates = (leader.state.member_id, other.state.member_id)
    return voter, candidates, leader.state.term + 1


def request_votes_before_and_after_disk_loss(vm_type):
    cluster = make_cluster(vm_type=vm_type)
    voter, (first, second), term = choose_voter_and_candidates(cluster)
    request_vote(cluster, voter, first, term)
    assert cluster.votes[voter.make_id(), term] == first
    cluster.replace_disk(voter)
    cluster.start(voter)
    request_vote(cluster, voter, second, term)


def test_a_vm_that_lost_its_disk_does_not_vote_again_in_the_term():
    request_votes_before_and_after_disk_loss(Vm)


def test_a_second_vote_after_a_disk_loss_is_detected():
    with pytest.raises(Broken, match="voted twice"):
        request_votes_before_and_after_disk_loss(VotesAfterDiskLoss)


def request_two_votes_in_one_term(replica_type):
    cluster = make_cluster(replica_type=replica_type)
    voter, (first, second), term = choose_voter_and_candidates(cluster)
    request_vote(cluster, voter, first, term)
    request_vote(cluster, voter, second, term)


def test_the_second_candidate_of_a_term_gets_no_vote():
    request_two_votes_in_one_term(Replica)


def test_a_second_vote_in_a_term_is_detected():
    with pytest.raises(FAILURES):
        request_two_votes_in_one_term(VotesTwice)


def start_election_with_an_outdated_log(replica_type):
    """Start an election in which the only candidate lacks committed entries.

    One VM is partitioned while the other two commit entries. Then the leader
    crashes, the partition heals, and the VM with the outdated log stands.
    """
    cluster = make_cluster(replica_type=replica_type)
    leader = cluster.leading()[0]
    outdated, voter = (vm for vm in cluster.vms.values() if vm is not leader)
    for name in cluster.vms:
        cluster.cut |= {(outdated.name, name), (name, outdated.name)}
    cluster.work(requests=20, pause_s=0.05)
    cluster.run(2.0)
    cluster.crash(leader)
    cluster.run(0.2)
    cluster.cut = set()
    # Make the outdated VM the only candidate once the leader has timed out.
    outdated.state.election_due_s = cluster.now_s + 2 * SETTINGS.election_s
    voter.state.election_due_s = cluster.now_s + 60.0
    cluster.run(3 * SETTINGS.election_s)
    cluster.work(requests=5, pause_s=0.05)
    cluster.settle()


def test_a_candidate_with_an_outdated_log_is_not_elected():
    start_election_with_an_outdated_log(Replica)


def test_a_vote_for_an_outdated_log_is_detected():
    with pytest.raises(FAILURES):
        start_election_with_an_outdated_log(VotesForOldLogs)


def has_leader_soon_after_all_restart(seed):
    cluster = Cluster(seed, spares=0, late_share=0.0)
    for vm in cluster.vms.values():
        cluster.crash(vm)
    for vm in cluster.vms.values():
        cluster.start(vm)
    cluster.run(SETTINGS.election_s)
    return bool(cluster.leading())


def test_the_first_election_after_all_restart_has_a_shorter_timeout():
    """After a restart of all VMs there is no leader whose timeout must elapse."""
    soon = [has_leader_soon_after_all_restart(seed) for seed in range(20)]
    assert sum(soon) > len(soon) / 2


def test_a_restarted_follower_does_not_replace_the_leader():
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
