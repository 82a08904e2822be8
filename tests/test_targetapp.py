import trio
from hypothesis import given, settings, strategies as st
from returns.result import Success

from vanillabeam.targetapp import _handler
from vanillabeam.targetwire import Announcement
from vanillabeam.wire import encode


def make_announcement(**changes):
    message = {
        "target": "t1",
        "boot_id": "b1",
        "data_centre": "dc-1",
        "address": "10.0.0.9:8000",
        "kind": "engine",
        "models": {"m": "v1"},
        "capacity": 8,
        "cold_capacity": 2,
        "checks_fencing": True,
    }
    return message | changes


def announce(message):
    taken = []

    async def take(announcement):
        taken.append(announcement)
        return Success({"owner": "10.0.0.1:7002"})

    return trio.run(_handler(Announcement, take), encode(message)), taken


def test_an_announcement_is_passed_to_the_handler():
    answer, taken = announce(make_announcement())
    assert isinstance(answer, Success)
    assert taken[0]["target"] == "t1"


def test_an_invalid_announcement_is_refused_and_not_passed_on():
    for changes in (
        {"address": "no address"},
        {"address": "host:0"},
        {"target": ""},
        {"capacity": 1, "cold_capacity": 2},
        {"capacity": "8"},
    ):
        answer, taken = announce(make_announcement(**changes))
        assert answer.failure().type == "malformed-body"
        assert taken == []


@given(st.from_type(Announcement))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_only_addresses_that_can_be_called_get_through(message):
    _, taken = announce(message)
    for announcement in taken:
        host, _, port = announcement["address"].rpartition(":")
        assert host.isascii()
        assert 0 < int(port) < 65_536
