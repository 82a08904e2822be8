"""Disks that are lost at the moment at which all other VMs lose power."""

import pytest

from tests.log.cluster import FAILURES, SETTINGS, Cluster

FLEET = SETTINGS._replace(heartbeat_s=0.2, election_s=0.7)
SEEDS = range(1, 9)


def lose_disks_and_power(cluster, lost):
    """Replace the disks of some VMs while all others lose power; restart all.

    :param lost: number of the disks; the leader's is one of them.
    """
    leaders = cluster.leading()
    others = [vm for vm in cluster.vms.values() if vm not in leaders]
    cluster.rng.shuffle(others)
    losing = [*leaders, *others][:lost]
    for vm in cluster.vms.values():
        if vm in losing:
            cluster.replace_disk(vm)
        else:
            cluster.crash(vm)
    cluster.run(1.0)
    for vm in cluster.vms.values():
        cluster.start(vm)


@pytest.mark.parametrize(("size", "lost"), [(3, 1), (4, 1), (5, 2), (6, 2), (8, 2)])
@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_accepted_survives_lost_disks_and_the_power_of_all(size, lost, seed):
    cluster = Cluster(seed, size, spares=0, late_share=0.0, settings=FLEET)
    assert cluster.losses_left() >= lost
    cluster.work(requests=20, pause_s=0.05)
    lose_disks_and_power(cluster, lost)
    cluster.settle()


def test_more_lost_disks_than_can_be_borne_are_detected():
    cluster = Cluster(1, 3, spares=0, late_share=0.0, settings=FLEET)
    cluster.work(requests=20, pause_s=0.05)
    lose_disks_and_power(cluster, 2)
    with pytest.raises(FAILURES):
        cluster.settle()
