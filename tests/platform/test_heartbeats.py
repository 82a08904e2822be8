import json

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from tests.platform.builders import make_heartbeat
from vanillabeam.platform.heartbeats import read_heartbeat, read_leave


def read(worker="i-1", **changes):
    return read_heartbeat(worker, json.dumps(make_heartbeat(**changes)).encode())


def test_a_heartbeat_becomes_a_target():
    target = read(state="draining", cold_left_ms=1500.5).unwrap()
    assert target.name == "i-1"
    assert target.incarnation == ("i-1", 1_700_000_000_000)
    assert target.draining
    assert target.cold_ms == 1500.5
    assert target.versions == {"m": 1}
    assert target.software == "v1"
    assert target.data_centre == "a"


def test_a_plain_service_has_no_models():
    heartbeat = make_heartbeat()
    del heartbeat["models"]
    target = read_heartbeat("i-1", json.dumps(heartbeat).encode()).unwrap()
    assert target.versions == {}


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "sleeping"},
        {"seq": "4"},
        {"seq": -1},
        {"born": 1.5},
        {"born": True},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": None},
        {"cold_left_ms": "0"},
        {"models": {"m": 1}},
        {"service": ["llm"]},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(changes):
    assert isinstance(read(**changes), Failure)


@pytest.mark.parametrize("field", ["service", "address", "zone", "seq", "born"])
def test_a_heartbeat_without_a_required_field_is_refused(field):
    heartbeat = make_heartbeat()
    del heartbeat[field]
    assert isinstance(read_heartbeat("i-1", json.dumps(heartbeat).encode()), Failure)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=100))
def test_any_bytes_give_a_target_or_a_typed_failure(body):
    assert isinstance(read_heartbeat("i-1", body), Success | Failure)
    assert isinstance(read_leave(body), Success | Failure)


def test_a_leave_call_contains_the_start_time_of_the_worker():
    assert read_leave(b'{"born":5,"state":"draining"}') == Success(5)
    assert read_leave(b"") == Success(None)
    assert read_leave(b"{}") == Success(None)


# Guards against another writer's bytes that end the start on record.
@pytest.mark.parametrize(
    "body",
    [b"\xff", b"{", b'"i-1"', b'{"born":"5"}', b'{"born":1e400}', b'{"born":-%d}'],
)
def test_a_leave_call_that_can_not_be_read_names_no_start(body):
    body = body.replace(b"%d", b"9" * 400)
    assert isinstance(read_leave(body), Failure)


# Guards against an answer of 500 and a traceback for each such call.
def test_a_call_that_is_nested_too_deep_is_a_typed_failure():
    deep = 9**4 * b"[" + 9**4 * b"]"
    body = json.dumps(make_heartbeat()).encode().replace(b'"colocated"', deep)
    assert isinstance(read_heartbeat("i-1", body), Failure)
    assert isinstance(read_leave(b'{"born":1,"x":' + deep + b"}"), Failure)


# Guards against a number that no float holds, which ended requests and watch calls.
@pytest.mark.parametrize("number", [2**63, -(2**64), 10**400])
@pytest.mark.parametrize("name", ["slots", "cold_left_ms", "seq", "born", "version"])
def test_a_heartbeat_with_a_number_out_of_range_names_no_worker(name, number):
    changes = {name: number}
    if name == "version":
        changes = {"models": [{"name": "m", "version": number}]}
    assert isinstance(read(**changes), Failure)


def test_a_heartbeat_with_slots_below_0_names_no_worker():
    assert isinstance(read(slots=-1), Failure)


def test_a_worker_that_is_cold_no_more_may_say_so_by_a_number_below_0():
    assert read(cold_left_ms=-3.5).unwrap().name == "i-1"


@pytest.mark.parametrize("name", ["slots", "cold_left_ms", "seq", "born"])
@pytest.mark.parametrize("number", [0, 2**53])
def test_a_heartbeat_with_a_number_at_its_edge_names_a_worker(name, number):
    assert read(**{name: number}).unwrap().name == "i-1"
