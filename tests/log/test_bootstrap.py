"""A replica whose disk refuses writes while its group is founded."""

import random

import pytest
import trio

from tests.log.builders import MemoryFolder
from vanillabeam.log import LogSettings
from vanillabeam.log.bootstrap import GROUP_ID_BYTES
from vanillabeam.log.exceptions import StorageFailed
from vanillabeam.log.founding import BootstrapGroup, BootstrapPromise
from vanillabeam.log.loop import ReplicaLoop
from vanillabeam.log.persistence import load_replica
from vanillabeam.log.records import Member, Membership
from vanillabeam.log.storage import open_storage

ME = Member("id-1", "vm-1", "vm-1:1")
MEMBERSHIP = Membership(index=1, voters=(ME,), allowed=("vm-1",), founding=1)


def make_loop(folder):
    storage, contents = open_storage(folder, "g", lambda: "id-1").unwrap()
    replica = load_replica(storage, contents, LogSettings(), random.Random(1), 0.0)
    return ReplicaLoop(replica, storage, None, None, None)


def handle(folder, *items):
    async def main():
        loop = make_loop(folder)
        folder.fail_writes = True
        for item in items:
            await loop._handle_bootstrap(item)
        return loop

    return trio.run(main)


def test_a_promise_that_could_not_be_stored_is_not_given():
    async def main():
        send, receive = trio.open_memory_channel(1)
        folder = MemoryFolder()
        loop = make_loop(folder)
        folder.fail_writes = True
        await loop._handle_bootstrap(BootstrapPromise("other", send))
        with pytest.raises(trio.EndOfChannel):
            receive.receive_nowait()
        assert isinstance(loop.failure, StorageFailed)

    trio.run(main)


def test_a_stored_promise_is_given():
    async def main():
        send, receive = trio.open_memory_channel(1)
        folder = MemoryFolder()
        await make_loop(folder)._handle_bootstrap(BootstrapPromise("other", send))
        assert receive.receive_nowait() is None
        assert make_loop(folder).storage.identity["promised"] == "other"

    trio.run(main)


def test_a_group_that_could_not_be_stored_is_not_led():
    loop = handle(MemoryFolder(), BootstrapGroup("g" * GROUP_ID_BYTES, MEMBERSHIP))
    assert isinstance(loop.failure, StorageFailed)
    assert loop.replica.group_id == ""
