from vanillabeam.fleet.orderlease import OrderLease


def test_a_new_leader_waits_for_one_lease():
    lease = OrderLease(3.0)
    assert not lease.update(True, 4, 1.0)
    assert not lease.update(True, 4, 3.9)
    assert lease.update(True, 4, 4.0)


def test_a_lease_ends_with_the_leadership_and_returns_in_the_same_term():
    lease = OrderLease(3.0)
    lease.update(True, 4, 0.0)
    assert lease.update(True, 4, 3.0)
    assert not lease.update(False, 4, 4.0)
    assert lease.update(True, 4, 5.0)


def test_a_wait_that_is_interrupted_begins_anew():
    lease = OrderLease(3.0)
    lease.update(True, 4, 0.0)
    lease.update(False, 4, 2.0)
    assert not lease.update(True, 4, 3.0)
    assert not lease.update(True, 5, 5.0)
    assert not lease.update(True, 5, 7.9)
    assert lease.update(True, 5, 8.0)
