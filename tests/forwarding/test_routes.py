import pytest
from returns.result import Failure

from tests.fleet.builders import make_deployment, make_route, make_workspace
from vanillabeam.exceptions import Unauthenticated
from vanillabeam.forwarding.exceptions import RouteUnknown
from vanillabeam.forwarding.routes import RouteTable


def make_table(**changes):
    routes = (
        make_route(name="all", prefix="/"),
        make_route(name="orders", prefix="/orders/"),
        make_route(name="paid", prefix="/orders/paid/"),
    )
    return RouteTable(make_deployment(routes=routes, **changes))


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/", "all"),
        ("/orders", "all"),
        ("/orders/", "orders"),
        ("/orders/7", "orders"),
        ("/orders/paid/7/8", "paid"),
        ("/ordersx/7", "all"),
    ],
)
def test_the_route_with_the_longest_matching_prefix_is_chosen(path, name):
    assert make_table().route("shop.example", path).unwrap().name == name


def test_the_host_may_carry_a_port():
    assert make_table().route("shop.example:8080", "/").unwrap().name == "all"


def test_another_host_has_no_route():
    failure = make_table().route("other.example", "/orders/7").failure()
    assert isinstance(failure, RouteUnknown)


def test_a_key_belongs_to_one_workspace():
    table = make_table(workspaces=(make_workspace(),))
    assert table.workspace(make_route(), "key-1").unwrap().name == "studio"
    for key in ("", "key-2"):
        result = table.workspace(make_route(), key)
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), Unauthenticated)


def test_a_public_route_needs_no_key():
    table = make_table(workspaces=(make_workspace(),))
    assert table.workspace(make_route(public=True), "").unwrap() is None
