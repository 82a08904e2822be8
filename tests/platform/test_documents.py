import copy
import json
import time

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from tests.platform.builders import make_body, make_document
from vanillabeam.fleet import Limits, RouteKind
from vanillabeam.platform.documents import check_document, read_document


def make_changed_body(change):
    document = copy.deepcopy(make_document())
    change(document)
    return json.dumps(document).encode()


def test_a_configuration_becomes_a_deployment():
    deployment = check_document(make_body()).unwrap()
    prompts, orders = deployment.routes
    assert deployment.number == 7
    assert (prompts.kind, prompts.resumable) == (RouteKind.STREAM, True)
    assert prompts.timeout_s == 12.0
    assert prompts.shares[0].service == "llm"
    assert (orders.shares[0].service, orders.public) == ("app", True)
    assert deployment.services["llm"].cold_requests_s == 8.9
    assert deployment.services["app"].engine is None
    assert deployment.workspaces[0].keys == ("key-1", "key-2")
    assert deployment.limits.idle_s == 15.0


def test_an_accepted_document_is_read_again_as_the_same_deployment():
    body = make_body()
    assert read_document(body.decode()) == check_document(body).unwrap()


INVALID_CHANGES = {
    "unknown service": lambda d: d["routes"][1].update(service="none"),
    "same place": lambda d: d["routes"][1].update(path_prefix="/prompts/"),
    "same place in capitals": lambda d: d["routes"][1].update(
        host="Shop.Example", path_prefix="/prompts/"
    ),
    "same place with a dot": lambda d: d["routes"][1].update(
        host="shop.example.", path_prefix="/prompts/"
    ),
    "no weight": lambda d: d["routes"][0]["backends"][0].update(weight=0),
    "no service": lambda d: d["routes"][1].pop("service"),
    "no timeout": lambda d: d["routes"][0].update(timeout_ms=0),
    "shared key": lambda d: d["tenants"].append({"name": "b", "api_keys": ["key-1"]}),
    "kind is no text": lambda d: d["routes"][0].update(kind=3),
    "no kind": lambda d: d["routes"][0].pop("kind"),
    "unknown service beside backends": lambda d: d["routes"][0].update(service="none"),
    "key of a tenant named twice": lambda d: d["tenants"].append(d["tenants"][0]),
    "version beyond 64 bits": lambda d: d.update(version=2**63),
    "negative version beyond 64 bits": lambda d: d.update(version=-(2**63)),
    "negative body limit": lambda d: d["limits"].update(max_body_bytes=-1),
    "no room for a head": lambda d: d["limits"].update(max_header_bytes=0),
    "no time for a head": lambda d: d["limits"].update(header_timeout_ms=0),
    "no idle time": lambda d: d["limits"].update(idle_timeout_ms=0),
    "negative idle time": lambda d: d["limits"].update(idle_timeout_ms=-5),
    "no attempt": lambda d: d["routes"][0].update(attempts=0),
    "negative attempts": lambda d: d["routes"][0].update(attempts=-1),
    "negative timeout": lambda d: d["routes"][0].update(timeout_ms=-1),
    "negative objective": lambda d: d["routes"][0].update(slo_ms=-1),
    "negative rank": lambda d: d["routes"][0].update(priority=-1),
    "weights beyond all numbers": lambda d: d["routes"][0].update(
        backends=2 * [{"service": "llm", "weight": 1e308}]
    ),
    "a negative weight": lambda d: d["routes"][0]["backends"].append(
        {"service": "app", "weight": -1}
    ),
    "prefix without slashes": lambda d: d["routes"][1].update(path_prefix="orders"),
    "prefix without its end": lambda d: d["routes"][1].update(path_prefix="/orders"),
    "prefix without its begin": lambda d: d["routes"][1].update(path_prefix="orders/"),
    "no prefix": lambda d: d["routes"][1].update(path_prefix=""),
    "negative connections": lambda d: d["services"][0].update(max_conns=-1),
    "negative rate of cold": lambda d: d["services"][0].update(cold_per_s=-1),
    "negative memory": lambda d: d["services"][0]["engine"].update(kv_tokens=-1),
    "slots beyond 64 bits": lambda d: d["services"][0]["engine"].update(slots=2**70),
    "store without an address": lambda d: d["services"].append(
        {"name": "keep", "kv_store_addr": "none", "zone": "b"}
    ),
    "store without a port": lambda d: d["services"].append(
        {"name": "keep", "kv_store_addr": "172.20.0.2", "zone": "b"}
    ),
    "version is text": lambda d: d.update(version="7"),
    "no routes": lambda d: d.pop("routes"),
}


@pytest.mark.parametrize("name", INVALID_CHANGES)
def test_an_invalid_configuration_is_refused(name):
    assert isinstance(check_document(make_changed_body(INVALID_CHANGES[name])), Failure)


def test_a_configuration_that_is_cut_short_is_refused():
    body = make_body()
    for end in range(len(body)):
        assert isinstance(check_document(body[:end]), Failure)


def change_route(**changes):
    return lambda document: document["routes"][1].update(changes)


PROPER_CHANGES = {
    "whole version with a fraction part": lambda d: d.update(version=7.0),
    "whole attempts with a fraction part": change_route(attempts=1.0),
    "whole limit with a fraction part": lambda d: d["limits"].update(
        max_body_bytes=4194304.0
    ),
    "whole slots with a fraction part": lambda d: d["services"][0]["engine"].update(
        slots=64.0
    ),
    "time without a fraction part": change_route(timeout_ms=800),
    "no backends": change_route(backends=None),
    "empty backends": change_route(backends=[]),
    "no objective, rank or attempts": change_route(
        slo_ms=None, priority=None, attempts=None
    ),
    "no engine": lambda d: d["services"][1].update(engine=None, cold_per_s=None),
    "unknown fields": lambda d: d.update(later={"x": [None, 1e300, -0.0]}),
    "text beyond ASCII": change_route(name="été", gap="ключ"),
}


# Guards against the refusal of a proper configuration, which is never in force then.
@pytest.mark.parametrize("name", PROPER_CHANGES)
def test_a_proper_configuration_of_another_writer_is_accepted(name):
    body = make_changed_body(PROPER_CHANGES[name])
    accepted = check_document(body).unwrap()
    expected = check_document(make_body()).unwrap()
    same_names = [
        route._replace(name=known.name)
        for route, known in zip(accepted.routes, expected.routes, strict=True)
    ]
    assert accepted._replace(routes=tuple(same_names)) == expected
    assert read_document(body.decode()) == accepted


# Guards against the refusal of every configuration with a kind of later pages.
def test_a_kind_that_is_not_known_is_served_once_at_most():
    change = change_route(kind="keyed", attempts=3)
    route = check_document(make_changed_body(change)).unwrap().routes[1]
    assert (route.kind, route.is_idempotent) == (RouteKind.UNSAFE, False)


EDGES = {
    "largest version": lambda d: d.update(version=2**63 - 1),
    "version below 0": lambda d: d.update(version=-3),
    "no body": lambda d: d["limits"].update(max_body_bytes=0),
    "weights partly 0": lambda d: d["routes"][0]["backends"].append(
        {"service": "app", "weight": 0}
    ),
    "small time": change_route(timeout_ms=0.5),
    "long time": change_route(timeout_ms=1e15),
    "many attempts": change_route(attempts=10**9),
    "prefix of all": change_route(path_prefix="/"),
    "no limit of connections": lambda d: d["services"][0].update(max_conns=0),
    "one service twice": lambda d: d["services"].append(d["services"][1]),
    "one key twice in a tenant": lambda d: d["tenants"][0].update(
        api_keys=["key-1", "key-1"]
    ),
    "tenant without keys": lambda d: d["tenants"].append({"name": "b"}),
    "store without fields": lambda d: d["services"].append(
        {"name": "keep", "kv_store_addr": "172.20.0.2:8583"}
    ),
    "no routes": lambda d: d.update(routes=[]),
    "nothing": lambda d: d.update(routes=[], services=[], tenants=[], limits={}),
}


@pytest.mark.parametrize("name", EDGES)
def test_a_configuration_at_the_edge_of_what_is_proper_is_accepted(name):
    body = make_changed_body(EDGES[name])
    assert check_document(body).unwrap() == read_document(body.decode())


def test_a_failure_names_the_first_errors_only():
    routes = [make_document()["routes"][1] | {"timeout_ms": 0} for _ in range(500)]
    failure = check_document(make_body(routes=routes)).failure()
    assert failure.type == "deployment-invalid"
    assert len(failure.detail) < 500


# Guards against a log line and an answer as long as the document.
@pytest.mark.parametrize(
    "change",
    [
        change_route(name="r" * 10**6, timeout_ms=0),
        change_route(service="s" * 10**6),
        change_route(kind={"k" * 10**6: 1}),
    ],
)
def test_the_description_of_a_failure_has_a_bounded_length(change):
    body = make_changed_body(change)
    assert len(check_document(body).failure().detail) < 2_000
    twice = (
        make_body().replace(b"sticky", b"s" * 10**6).replace(b"public", b"s" * 10**6)
    )
    assert len(check_document(twice).failure().detail) < 2_000


def test_a_service_beside_backends_gets_no_requests():
    body = make_changed_body(lambda d: d["routes"][0].update(service="app"))
    shares = check_document(body).unwrap().routes[0].shares
    assert [tuple(share) for share in shares] == [("llm", 90.0), ("app", 0.0)]


def test_a_field_that_is_null_counts_as_missing():
    changes = {"limits": None, "tenants": None}
    accepted = check_document(make_body(**changes)).unwrap()
    assert (accepted.workspaces, accepted.limits) == ((), Limits())


@pytest.mark.parametrize("digits", ["1e3", "1000.0", "1000", "1.0e+3"])
def test_a_version_is_read_in_each_notation(digits):
    body = make_body().replace(b'"version": 7', b'"version": ' + digits.encode())
    assert check_document(body).unwrap().number == 1000


@pytest.mark.parametrize(
    "digits", ["7.5", "true", '"7"', "null", "1e999", "1e40", "-1e400", "1" * 5000]
)
def test_a_version_that_is_no_whole_number_is_refused(digits):
    body = make_body().replace(b'"version": 7', b'"version": ' + digits.encode())
    assert isinstance(check_document(body), Failure)


UNREADABLE_TEXTS = {
    "no UTF-8 in a known field": (b"shop.example", b"shop\xff.example"),
    "no UTF-8 in an unknown field": (b'"sticky": true', b'"sticky": "\xff"'),
    "no UTF-8 in an unknown name": (b'"sticky"', b'"st\xffcky"'),
    "half a character": (b'"sticky": true', b'"sticky": "\xed\xa0\x80"'),
    "half a character escaped": (b'"sticky": true', b'"sticky": "\\ud800"'),
    "no number": (b'"sticky": true', b'"sticky": NaN'),
    "nested too deep": (b'"sticky": true', b'"sticky": ' + 9**4 * b"[" + 9**4 * b"]"),
    "version twice": (b'"version": 7', b'"version": 7, "version": 9'),
    "version twice, once escaped": (
        b'"version": 7',
        b'"version": 7, "\\u0076ersion": 9',
    ),
    "timeout twice": (b'"timeout_ms": 800', b'"timeout_ms": 800, "timeout_ms": 900'),
    "unknown name twice": (b'"sticky": true', b'"sticky": {"a": 1, "a": 1}'),
    "bytes after its end": (b'"tenants"', b'"t":1}, {"tenants"'),
}


# Guards against an answer of 500, after which an operator sends it again for ever.
@pytest.mark.parametrize("name", UNREADABLE_TEXTS)
def test_a_text_that_cannot_be_read_in_full_is_refused(name):
    body = make_body().replace(*UNREADABLE_TEXTS[name], 1)
    assert isinstance(check_document(body), Failure)


# Guards against a search for the name given twice that takes the square of their
# number: one document of 200 KB held up all work of a control VM for 11 s.
def test_a_name_given_twice_is_found_at_once_among_many():
    names = b",".join(b'"k%d": 1' % number for number in range(20_000))
    body = make_body().replace(b'"sticky"', names + b', "k19999": 2, "sticky"')
    began_s = time.process_time()
    assert "k19999" in check_document(body).failure().detail
    assert time.process_time() - began_s < 1.0


# Guards against a second reading of each document in the notation of the pages, by
# which an entry VM was busy more than twice as long with each change.
def test_a_document_in_plain_notation_is_read_once(monkeypatch):
    monkeypatch.setattr(json, "loads", None)
    assert read_document(make_body().decode()).number == 7


# Guards against the end of an entry VM by a document that an earlier release accepted.
def test_a_document_of_an_earlier_release_is_read_with_its_last_values():
    document = make_body().replace(b'"version": 7', b'"version": 7, "version": 9')
    assert read_document(document.decode()).number == 9


# Guards against a document that is accepted and too deep for an entry VM's reader.
def test_an_accepted_document_leaves_room_to_a_reader_with_a_deeper_stack():
    def is_accepted(depth):
        nested = b'"sticky": ' + depth * b"[" + depth * b"]"
        body = make_body().replace(b'"sticky": true', nested)
        return isinstance(check_document(body), Success)

    def read_deeper(frames):
        if frames == 0:
            return read_document(
                make_body().replace(b'"sticky": true', nested).decode()
            )
        return read_deeper(frames - 1)

    deepest = max(depth for depth in range(2_000) if is_accepted(depth))
    assert deepest > 500
    nested = b'"sticky": ' + deepest * b"[" + deepest * b"]"
    assert read_deeper(60).number == 7


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200) | st.text(max_size=50).map(str.encode))
def test_any_bytes_give_a_configuration_or_a_typed_failure(body):
    assert isinstance(check_document(body), Success | Failure)


def test_stores_and_engine_capacities_are_read():
    store = {
        "name": "keep",
        "kv_store_addr": "172.20.0.2:8080",
        "zone": "b",
        "kv_tokens": 500,
        "link_mbps": 8_000.0,
    }
    body = make_changed_body(lambda document: document["services"].append(store))
    deployment = check_document(body).unwrap()
    (read_store,) = deployment.stores
    assert (read_store.address, read_store.data_centre) == ("172.20.0.2:8080", "b")
    assert (read_store.kv_tokens, read_store.link_bytes_s) == (500, 1e9)
    assert deployment.services["llm"].engine.kv_bytes == 18432
