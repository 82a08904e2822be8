"""Property test: a changed document is refused, or in force as it says."""

import copy
import json
import math

from hypothesis import given, settings, strategies as st
from returns.result import Failure

from tests.platform.builders import make_document
from vanillabeam.forwarding.routes import RouteTable
from vanillabeam.platform.documents import check_document, read_document

STORE = {
    "name": "keep",
    "kv_store_addr": "172.20.0.2:8583",
    "zone": "b",
    "kv_tokens": 500,
    "link_mbps": 57000.0,
}
NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([0, -0.0, 0.0, 1, 7.0, 1e3, 1e308, 5e-324, -1, 2**63, 10**400]),
)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=4,
)


def list_places(value, place=()):
    """Yield the place of each value inside a document."""
    if place:
        yield place
    members = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        members = enumerate(value)
    for name, inner in members:
        yield from list_places(inner, (*place, name))


def make_full_document():
    document = make_document()
    document["services"].append(dict(STORE))
    document["tenants"].append({"name": "lab", "api_keys": ["key-3"]})
    return document


PLACES = list(list_places(make_full_document()))


@st.composite
def changed_documents(draw):
    document = copy.deepcopy(make_full_document())
    for _ in range(draw(st.integers(1, 2))):
        *parents, name = draw(st.sampled_from(PLACES))
        holder = document
        try:
            for parent in parents:
                holder = holder[parent]
            holder[name]
        except (LookupError, TypeError):
            continue
        if not isinstance(holder, dict | list):
            continue
        if draw(st.booleans()):
            holder[name] = draw(VALUES)
        else:
            del holder[name]
    return document


def is_whole(value, least=0):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return value == int(value) and least <= value < 2**63


def assert_served(document, deployment):
    """Compare what is in force with the plain words of the document."""
    assert deployment.number == document["version"]
    assert is_whole(document["version"], -(2**63))
    table = RouteTable(deployment)
    services = {service["name"] for service in document["services"]}
    for route in document["routes"]:
        path = route["path_prefix"] + "1"
        host = route["host"].encode().decode("latin-1")
        found = table.route(host, path).unwrap()
        assert found.prefix == route["path_prefix"]
        assert found.timeout_s == route["timeout_ms"] / 1000 > 0
        assert found.attempts == (route.get("attempts") or 1) >= 1
        assert found.public is bool(route.get("public"))
        backends = route.get("backends") or [{"service": route["service"], "weight": 1}]
        assert {backend["service"] for backend in backends} <= services
        weights = {
            share.service: share.weight for share in found.shares if share.weight
        }
        assert weights == {
            backend["service"]: backend["weight"]
            for backend in backends
            if backend["weight"]
        }
        assert 0 < math.fsum(weights.values()) < math.inf
    for tenant in document.get("tenants") or []:
        for key in tenant.get("api_keys") or []:
            header = key.encode().decode("latin-1")
            owner = next(
                w for w in deployment.workspaces if header in w.keys or key in w.keys
            )
            assert owner.name == tenant["name"]
    body_bytes = (document.get("limits") or {}).get("max_body_bytes")
    assert body_bytes is None or body_bytes == deployment.limits.body_bytes >= 0


# Guards against a document that is confirmed and served otherwise than it says.
@settings(derandomize=True, max_examples=800, deadline=None)
@given(changed_documents())
def test_a_changed_document_is_refused_or_in_force_as_it_says(document):
    body = json.dumps(document).encode()
    checked = check_document(body)
    if isinstance(checked, Failure):
        return
    assert read_document(body.decode()) == checked.unwrap()
    assert_served(document, checked.unwrap())
