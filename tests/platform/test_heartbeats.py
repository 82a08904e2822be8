import json

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from tests.platform.builders import make_heartbeat
from vanillabeam.platform.heartbeats import read_born, read_heartbeat


def read(worker="i-1", **changes):
    return read_heartbeat(worker, json.dumps(make_heartbeat(**changes)).encode())


def test_a_heartbeat_becomes_a_target():
    target = read(state="draining", cold_left_ms=1500.5).unwrap()
    assert target.name == "i-1"
    assert target.incarnation == ("i-1", 1_700_000_000_000)
    assert target.draining
    assert target.cold_ms == 1500.5
    assert target.versions == {"m": 1}
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
    assert read_born(body) is None or isinstance(read_born(body), int)


def test_a_leave_call_contains_the_start_time_of_the_worker():
    assert read_born(b'{"born":5,"state":"draining"}') == 5
    assert read_born(b"") is None


# Guards against an answer of 500 and a traceback for each such call.
def test_a_call_that_is_nested_too_deep_is_a_typed_failure():
    deep = 9**4 * b"[" + 9**4 * b"]"
    body = json.dumps(make_heartbeat()).encode().replace(b'"colocated"', deep)
    assert isinstance(read_heartbeat("i-1", body), Failure)
    assert read_born(b'{"born":1,"x":' + deep + b"}") is None
