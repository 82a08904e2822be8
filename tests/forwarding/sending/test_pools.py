"""Connections of one entry VM to its targets."""

from types import SimpleNamespace

import pytest

from tests.fleet.builders import make_target, make_view
from tests.forwarding.builders import make_resources
from vanillabeam.fleet import Deployment, Service
from vanillabeam.forwarding.sending.attempt import Attempt
from vanillabeam.forwarding.sending.pools import MIN_CONNECTIONS, Pools

TARGET = make_target("t-1")


def share(entries, connections=96):
    """Return this VM's share of a service's connections."""
    services = {"app": Service("app", max_connections=connections)}
    view = make_view()._replace(deployment=Deployment(1, services=services))
    names = tuple(f"e-{number}" for number in range(entries))
    follower = SimpleNamespace(view=view, entry_vms=names)
    attempt = Attempt.__new__(Attempt)
    attempt._resources = make_resources(
        follower, SimpleNamespace(_directory=None), probe=None
    )
    attempt._service = "app"
    return attempt._max_connections()


# Guards against a bound on all VMs' connections that is none where there are more VMs
# than connections: a share of 0 stood for no bound.
@pytest.mark.parametrize(
    ("entries", "expected"), [(1, 96), (9, 10), (86, 1), (97, 1), (340, 1)]
)
def test_a_share_of_the_connections_is_never_unlimited(entries, expected):
    assert share(entries) == expected
    pool = Pools().pool(TARGET, share(entries))
    assert pool._max_connections == max(MIN_CONNECTIONS, expected)


def test_a_service_without_a_bound_has_none():
    assert share(340, connections=0) == 0


# Guards against pools made while this VM knew few others, as after a restart of all.
def test_a_pool_is_replaced_when_the_share_is_much_smaller():
    pools = Pools()
    first = pools.pool(TARGET, 96)
    assert pools.pool(TARGET, 50) is first
    smaller = pools.pool(TARGET, 10)
    assert smaller is not first
    assert smaller._max_connections == 10
    assert pools.pool(TARGET, 96) is smaller
