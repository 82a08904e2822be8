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


# Guards against a route that is in force and answers 404: hosts are the same in HTTP
# whatever their capitals.
@pytest.mark.parametrize("named", ["shop.example", "Shop.EXAMPLE", "shop.example."])
@pytest.mark.parametrize(
    "host",
    [
        "shop.example",
        "SHOP.example",
        "shop.example.",
        "shop.example:",
        "Shop.Example.:8080",
    ],
)
def test_a_host_is_found_in_each_of_its_forms(named, host):
    table = RouteTable(make_deployment(routes=(make_route(host=named),)))
    assert table.route(host, "/orders/7").unwrap().name == "orders"


@pytest.mark.parametrize("host", ["[::1]", "[::1]:80", "café.example", "", "a_b"])
def test_a_host_of_another_form_is_found(host):
    name = host.removesuffix(":80")
    table = RouteTable(make_deployment(routes=(make_route(host=name),)))
    header = host.encode().decode("latin-1")
    assert table.route(header, "/orders/7").unwrap().name == "orders"


# Guards against a route on a host with a port that hid the routes of the host alone.
def test_a_host_with_a_port_has_the_routes_of_the_host_too():
    routes = (
        make_route(name="plain"),
        make_route(name="all", host="shop.example:80", prefix="/"),
        make_route(name="paid", host="shop.example:8080", prefix="/paid/"),
    )
    table = RouteTable(make_deployment(routes=routes))
    assert table.route("shop.example:8080", "/orders/7").unwrap().name == "plain"
    assert table.route("shop.example:8080", "/paid/7").unwrap().name == "paid"
    assert table.route("shop.example:80", "/paid/7").unwrap().name == "all"
    assert isinstance(table.route("shop.example", "/paid/7"), Failure)


# Guards against a key that is in force and answers 401.
def test_a_key_beyond_ascii_is_found():
    table = make_table(workspaces=(make_workspace(keys=("ключ",)),))
    header = "ключ".encode().decode("latin-1")
    assert table.workspace(make_route(), header).unwrap().name == "studio"


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
