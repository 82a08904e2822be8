"""Answers of a store are read under the names of its protocol."""

import json

import httpcore
import pytest
import trio

from tests.platform.builders import ODD_VALUES
from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import StoreEvent
from vanillabeam.fleet.stores import StoreEvents, StoreList
from vanillabeam.platform.client import PlatformClient
from vanillabeam.platform.stores import PlatformStores

STORE = Store("keep", "10.0.0.5:80", "a", 1_000)


class RecordingClient:
    """Test double of the client that answers each call with one document.

    :param document: the document, or its bytes.
    """

    def __init__(self, document):
        is_raw = isinstance(document, bytes)
        self.content = document if is_raw else json.dumps(document).encode()
        self.calls = []

    async def call(self, method, address, path, body=b"", **options):
        self.calls.append((method, address, path, body))
        response = httpcore.Response(200, content=self.content)
        await response.aread()
        return response


def test_the_list_of_a_store_is_read():
    document = {"epoch": 3, "next": 7, "held": [["salt", "p-1", 4096, "m"]]}
    client = RecordingClient(document)
    parts = trio.run(PlatformStores(client).list_parts, STORE)
    assert parts == StoreList(3, 7, [StoreEvent("salt", "p-1", 4096)])
    assert client.calls == [("GET", "10.0.0.5:80", b"/api/kv-list", b"")]


def test_the_events_of_a_store_are_read():
    events = [[7, "+", "salt", "p-1", 4096, "m"], [8, "-", "salt", "p-2", 0, "m"]]
    document = {
        "epoch": 3,
        "next": 9,
        "lost": True,
        "events": events,
        "clock_ms": 12.5,
    }
    client = RecordingClient(document)
    answer = trio.run(PlatformStores(client).read_events, STORE, 7, 2.0)
    expected = [StoreEvent("salt", "p-1", 4096), StoreEvent("salt", "p-2", 0)]
    assert answer == StoreEvents(3, 9, True, expected, 12.5)
    assert client.calls[0][2] == b"/api/kv-events?since=7"


def test_parts_are_freed_by_salt_id_and_epoch():
    client = RecordingClient({})
    assert trio.run(PlatformStores(client).free, STORE, [("salt", "p-1")], 3, 1_500.0)
    body = json.loads(client.calls[0][3])
    assert body == {"parts": [["salt", "p-1"]], "epoch": 3, "until_ms": 1500}


def test_a_part_that_a_store_drops_is_gone_even_if_some_of_it_is_still_there():
    events = [[7, "-", "salt", "p-1", 128, "m"]]
    document = {"epoch": 3, "next": 8, "lost": False, "events": events}
    answer = trio.run(
        PlatformStores(RecordingClient(document)).read_events, STORE, 7, 2.0
    )
    assert answer.events == [StoreEvent("salt", "p-1", 0)]


# Guards against the end of every control VM that led the log, one after the other, by a
# confirmed configuration with such a store.
def test_a_store_without_an_address_gives_no_answer():
    for address in ("none", "172.20.0.2", "", "a:b", "[::1", "10.0.0.1:99999"):
        store = STORE._replace(address=address)
        assert trio.run(PlatformStores(PlatformClient()).list_parts, store) is None


# Guards against one odd answer of a store that ends the task which follows it, or the
# watch calls of all entry VMs: a number that no message holds was passed on to them.
@pytest.mark.parametrize("odd", ODD_VALUES, ids=lambda odd: odd[:12].decode())
def test_an_odd_answer_of_a_store_is_no_answer(odd):
    store = PlatformStores(RecordingClient(b'{"epoch":1,"next":2,"held":' + odd + b"}"))
    assert trio.run(store.list_parts, STORE) is None
    for field in (b"epoch", b"next", b"tokens"):
        numbers = {b"epoch": b"1", b"next": b"2", b"tokens": b"3"} | {field: odd}
        held = b'[["s","p",%s,"m"]]' % numbers[b"tokens"]
        head = b'{"epoch":%s,"next":%s,' % (numbers[b"epoch"], numbers[b"next"])
        listed = PlatformStores(RecordingClient(head + b'"held":' + held + b"}"))
        assert trio.run(listed.list_parts, STORE) is None
        event = b'[[1,"+","s","p",%s,"m"]]' % numbers[b"tokens"]
        body = head + b'"lost":false,"events":' + event + b"}"
        events = PlatformStores(RecordingClient(body))
        assert trio.run(events.read_events, STORE, 0, 0.0) is None
