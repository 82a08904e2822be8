"""Silent voters: when they are removed, replaced by a learner, or kept."""

import pytest

from tests.log.cluster import SETTINGS, Cluster
from vanillabeam.log.absence import silences
from vanillabeam.log.events import Resign
from vanillabeam.log.messages import (
    AppendRequest,
    Envelope,
    decode_envelope,
    encode_envelope,
)

REPLACE_S, REMOVE_S = 2.0, 8.0
FLEET = SETTINGS._replace(
    heartbeat_s=0.2,
    election_s=0.7,
    allow_any_vm=True,
    replace_after_s=REPLACE_S,
    remove_after_s=REMOVE_S,
)
ELECTION_S = 3.0


def make_cluster(size, spares=0, **settings):
    cluster = Cluster(
        1, size, spares=spares, late_share=0.0, settings=FLEET._replace(**settings)
    )
    cluster.work(requests=5, pause_s=0.05)
    return cluster


def leader_of(cluster):
    (leader,) = cluster.leading()
    return leader


def followers_of(cluster):
    voters = voters_of(cluster)
    return [vm for vm in cluster.vms.values() if vm.name in voters and not leads(vm)]


def leads(vm):
    return vm.up and vm.state.leader == vm.state.member_id


def voters_of(cluster):
    return {voter.vm for voter in leader_of(cluster).state.membership.voters}


def spare_of(cluster):
    return next(vm for vm in reversed(cluster.vms.values()) if not vm.up)


def test_a_silent_voter_of_an_even_number_is_removed_soon():
    cluster = make_cluster(4)
    lost = followers_of(cluster)[0]
    cluster.crash(lost)
    cluster.run(REPLACE_S - 0.3)
    assert lost.name in voters_of(cluster)
    cluster.run(1.0)
    assert voters_of(cluster) == set(cluster.vms) - {lost.name}


def test_a_silent_voter_of_an_odd_number_is_removed_late():
    cluster = make_cluster(5)
    lost = followers_of(cluster)[0]
    cluster.crash(lost)
    cluster.run(REMOVE_S - 0.5)
    assert lost.name in voters_of(cluster)
    cluster.run(1.5)
    assert voters_of(cluster) == set(cluster.vms) - {lost.name}


# Guards against entries that are on fewer disks than may be lost, and one.
@pytest.mark.parametrize(("size", "losses"), [(3, 1), (4, 2), (5, 2)])
def test_voters_are_never_reduced_below_those_that_the_losses_call_for(size, losses):
    cluster = make_cluster(size, losses=losses)
    lost = followers_of(cluster)[0]
    cluster.crash(lost)
    cluster.run(10 * REMOVE_S)
    assert voters_of(cluster) == set(cluster.vms)


@pytest.mark.parametrize("size", [3, 4, 5, 6, 7])
def test_a_silent_voter_is_replaced_by_a_learner_in_time(size):
    cluster = make_cluster(size, spares=1)
    lost, successor = followers_of(cluster)[0], spare_of(cluster)
    cluster.crash(lost)
    cluster.start(successor)
    cluster.run(2 * REPLACE_S)
    assert voters_of(cluster) == set(cluster.vms) - {lost.name}
    assert cluster.losses_left() == (size - 1) // 2


# Guards against a group that grows with each replacement: its successor was promoted
# beside the voter that it came for, which had only just fallen silent.
def test_a_learner_is_not_promoted_beside_a_voter_that_has_just_fallen_silent():
    cluster = make_cluster(5, spares=1)
    lost, successor = followers_of(cluster)[0], spare_of(cluster)
    cluster.crash(lost)
    cluster.start(successor)
    sizes = set()
    for _ in range(40):
        cluster.run(0.1)
        sizes.add(len(voters_of(cluster)))
    assert max(sizes) == 5


# Guards against a lost voter that stays, as each new leader began anew to count.
@pytest.mark.parametrize("size", [5, 7])
def test_a_silence_counts_on_under_a_new_leader(size):
    cluster = make_cluster(size, spares=1)
    lost = followers_of(cluster)[0]
    cluster.crash(lost)
    cluster.run(REPLACE_S)
    cluster.hand_over(leader_of(cluster))
    cluster.run(0.5)
    ages_s = dict(silences(leader_of(cluster).state, cluster.now_s))
    assert ages_s[lost.make_id()] >= REPLACE_S


def test_a_lost_leader_is_replaced_in_time():
    cluster = make_cluster(4, spares=1)
    lost, successor = leader_of(cluster), spare_of(cluster)
    cluster.crash(lost)
    cluster.start(successor)
    cluster.run(2 * REPLACE_S)
    assert voters_of(cluster) == set(cluster.vms) - {lost.name}


@pytest.mark.parametrize("size", [3, 4, 5])
def test_a_voter_that_was_frozen_votes_again_soon(size):
    cluster = make_cluster(size, spares=1)
    frozen, successor = followers_of(cluster)[0], spare_of(cluster)
    cluster.freeze(frozen, 2 * REPLACE_S)
    cluster.start(successor)
    cluster.run(2 * REPLACE_S - 0.1)
    assert frozen.name not in voters_of(cluster)
    cluster.run(2 * REPLACE_S)
    assert voters_of(cluster) == set(cluster.vms)


def test_a_learner_that_is_lost_is_removed():
    cluster = make_cluster(3, spares=1)
    learner = spare_of(cluster)
    cluster.start(learner)
    while not leader_of(cluster).state.membership.learners:
        cluster.run(0.001)
    cluster.crash(learner)
    cluster.run(REMOVE_S + 1.0)
    members = leader_of(cluster).state.membership.members
    assert learner.name not in {member.vm for member in members}


def resign(cluster, vm):
    (member,) = [
        m for m in leader_of(cluster).state.membership.voters if m.vm == vm.name
    ]
    cluster.submit(leader_of(cluster), Resign(0, member))
    cluster.run(0.3)


# Guards against a group that can't elect: a control VM that stopped for good counted
# until its silence was noticed, and others were lost at the moment of its end.
@pytest.mark.parametrize(
    ("size", "losses", "leaves"),
    [(3, 1, False), (4, 1, True), (5, 1, True), (5, 2, False), (6, 2, True)],
)
def test_a_voter_that_stops_leaves_if_enough_voters_remain(size, losses, leaves):
    cluster = make_cluster(size, losses=losses)
    vm = followers_of(cluster)[0]
    resign(cluster, vm)
    assert (vm.name not in voters_of(cluster)) == leaves


# Guards against a group without a majority: of four one was silent, and another one
# that stopped stayed a voter, so that two of four were left.
def test_a_voter_that_stops_leaves_also_while_another_one_is_silent():
    cluster = make_cluster(4)
    silent, vm = followers_of(cluster)[:2]
    cluster.crash(silent)
    cluster.run(1.0)
    resign(cluster, vm)
    assert voters_of(cluster) == set(cluster.vms) - {vm.name}
    cluster.crash(vm)
    cluster.run(REPLACE_S)
    assert len(cluster.leading()) == 1


# Guards against a successor that gets its vote too late: the voter that it came for had
# said that it stops, and its silence was waited for all the same.
@pytest.mark.parametrize(("size", "losses"), [(3, 1), (5, 2)])
def test_a_voter_that_stops_is_replaced_by_a_learner_at_once(size, losses):
    cluster = make_cluster(size, spares=1, losses=losses)
    vm, successor = followers_of(cluster)[0], spare_of(cluster)
    resign(cluster, vm)
    assert voters_of(cluster) == set(cluster.vms) - {successor.name}
    cluster.crash(vm)
    cluster.start(successor)
    cluster.run(1.0)
    assert voters_of(cluster) == set(cluster.vms) - {vm.name}


# Guards against a rolling restart after which a learner takes the place of a voter that
# has long been back.
def test_a_voter_that_has_started_again_has_not_resigned():
    cluster = make_cluster(5, spares=1, losses=2)
    vm, further = followers_of(cluster)[0], spare_of(cluster)
    resign(cluster, vm)
    cluster.crash(vm)
    cluster.run(1.0)
    cluster.start(vm)
    cluster.run(1.0)
    cluster.start(further)
    cluster.run(2 * REPLACE_S)
    assert voters_of(cluster) == set(cluster.vms)


# Guards against a fleet that is rolled forward: leaders of the release before don't
# say which voters are silent.
def test_a_heartbeat_without_silences_is_read():
    message = AppendRequest(1, 0, 0, (), 0, 1)
    document = encode_envelope(Envelope("g", "a", "b", message))
    del document["body"]["silent"]
    assert decode_envelope(document).unwrap().message == message


# Guards against a learner that waits for as long as a voter is cut off one way: its
# requests for votes arrived, so it was not silent, and it answered no heartbeat.
def test_a_voter_that_receives_nothing_is_replaced_by_a_learner():
    cluster = make_cluster(5, spares=1, losses=2)
    deaf, successor = followers_of(cluster)[0], spare_of(cluster)
    for name in cluster.vms:
        cluster.cut.add((name, deaf.name))
    cluster.start(successor)
    cluster.run(2 * REPLACE_S)
    assert voters_of(cluster) == set(cluster.vms) - {deaf.name}
