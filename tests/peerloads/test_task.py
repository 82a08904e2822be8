import socket
from types import SimpleNamespace

import trio

from tests.peerloads.builders import GROUP
from vanillabeam.fleet.loads import make_load
from vanillabeam.peerloads.task import PeerLoadTask

ENTRY_VMS = tuple(f"e-{n}" for n in range(60))


def free_port():
    """Return a UDP port that no other process uses now."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


PORT = free_port()


class Peers:
    def __init__(self, addresses):
        self.group = ""
        self.addresses = addresses
        self.nearby = 15

    def join(self, group):
        self.group = group


def make_task(vm, host, others, load, entry_vms=ENTRY_VMS):
    addresses = {other: f"{address}:{PORT}" for other, address in others.items()}
    follower = SimpleNamespace(entry_vms=entry_vms, peers=Peers(addresses))
    return PeerLoadTask(vm, "dc-a", host, PORT, follower, lambda: load)


async def wait_until(condition):
    with trio.fail_after(5.0):
        while not condition():
            await trio.sleep(0.01)


def test_work_is_heard_by_the_others_although_one_of_them_is_down():
    async def scenario():
        load = make_load({"t": {1: 900}}, {"t": 1_000})
        hosts = {"e-0": "127.0.0.1", "e-1": "127.0.0.2", "gone": "127.0.0.3"}
        first = make_task("e-0", hosts["e-0"], hosts, load)
        second = make_task("e-1", hosts["e-1"], hosts, make_load())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            nursery.start_soon(second.run)
            await wait_until(lambda: second.loads.vms() == ["e-0"])
            assert second.total["work"] == {"t": {1: 900}}
            # Work that has ended is told as well.
            load["work"], load["room"] = {}, {}
            first.notify(has_grown=False)
            await wait_until(lambda: not second.total["work"])
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_bytes_of_another_writer_change_nothing():
    async def scenario():
        task = make_task("e-0", "127.0.0.1", {}, make_load())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            await wait_until(lambda: task.group == GROUP)
            with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
                for message in (b"", b"{", b'{"vm": 1}', b"[" * 5_000):
                    await sock.sendto(message, ("127.0.0.1", PORT))
            await trio.sleep(0.05)
            assert task.loads.vms() == []
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_a_small_fleet_exchanges_nothing():
    async def scenario():
        task = make_task("e-0", "127.0.0.1", {}, make_load(), entry_vms=ENTRY_VMS[:9])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            await trio.sleep(0.05)
            assert task.group == ""
            assert not task.is_near("t", "dc-a")
            nursery.cancel_scope.cancel()

    trio.run(scenario)
