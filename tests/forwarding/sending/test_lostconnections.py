"""Requests that are given up as a connection of their target's pool becomes theirs.

Guards against connections that count as in use for good: one that had been assigned to
a request that was just given up belonged to nobody, and with all of them gone the VM
refused every request for the target.
"""

import httpcore
import pytest
import trio
import trio.testing

from tests.fleet.builders import make_target
from vanillabeam.connecting import CheckedNetwork, open_pool
from vanillabeam.forwarding.sending.pools import Pools

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
URL = "http://10.0.0.1:80/"
LIMIT_S = 10.0
#: Turns of the event loop between two cancellations, up to more than a close takes.
TURNS = range(12)
#: The order of tasks within a turn is random.
TRIES = 12


class Stream(httpcore.AsyncNetworkStream):
    """Connection whose answers come once its network says so."""

    def __init__(self, network):
        self._network = network
        network.opened += 1

    async def read(self, max_bytes, timeout=None):
        await self._network.may_answer.wait()
        return ANSWER

    async def write(self, buffer, timeout=None):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        self._network.opened -= 1
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info):
        return None


class Network:
    """Network that counts the connections that are open.

    :ivar may_connect: set once connections are opened.
    :ivar may_answer: set once answers come.
    """

    def __init__(self, monkeypatch):
        self.opened = 0
        self.may_connect, self.may_answer = trio.Event(), trio.Event()

        async def connect_tcp(network, *args, **options):
            await self.may_connect.wait()
            return Stream(self)

        monkeypatch.setattr(CheckedNetwork, "connect_tcp", connect_tcp)


async def request(pool, scope, pool_timeout_s=None):
    with scope:
        extensions = {"timeout": {"pool": pool_timeout_s}}
        response = await pool.request("GET", URL, extensions=extensions)
        assert response.status == 200


async def turn(count):
    for _ in range(count):
        await trio.lowlevel.checkpoint()


async def check_usable(pool, network, connections):
    """Check that all connections of a pool can be used, and no other one is open."""
    network.may_connect.set()
    network.may_answer.set()
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for _ in range(connections):
                nursery.start_soon(request, pool, trio.CancelScope())
    in_use = [conn.info() for conn in pool.connections if not conn.is_idle()]
    assert in_use == []
    assert network.opened <= connections


def play(function):
    for _ in range(TRIES):
        trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("turns", TURNS)
@pytest.mark.parametrize("waiting", [1, 3])
def test_requests_in_line_that_end_with_the_one_before_them_cost_no_connection(
    monkeypatch, turns, waiting
):
    async def main():
        network = Network(monkeypatch)
        network.may_connect.set()
        pool = open_pool(max_connections=1)
        first, *rest = [trio.CancelScope() for _ in range(1 + waiting)]
        async with trio.open_nursery() as nursery:
            for scope in (first, *rest):
                nursery.start_soon(request, pool, scope)
                await turn(20)
            first.cancel()
            await turn(turns)
            for scope in rest:
                scope.cancel()
        await check_usable(pool, network, 1)

    play(main)


@pytest.mark.parametrize("turns", TURNS)
def test_a_request_that_ends_as_its_connection_is_opened_costs_none(monkeypatch, turns):
    async def main():
        network = Network(monkeypatch)
        pool = open_pool(max_connections=2)
        scopes = [trio.CancelScope() for _ in range(4)]
        async with trio.open_nursery() as nursery:
            for scope in scopes:
                nursery.start_soon(request, pool, scope)
            await turn(20)
            network.may_connect.set()
            await turn(turns)
            for scope in scopes:
                scope.cancel()
        await check_usable(pool, network, 2)

    play(main)


@pytest.mark.parametrize("turns", TURNS)
def test_the_next_in_line_is_given_the_connection_of_one_that_ended(monkeypatch, turns):
    async def main():
        network = Network(monkeypatch)
        network.may_connect.set()
        pool = open_pool(max_connections=1)
        first, second, third = [trio.CancelScope() for _ in range(3)]
        async with trio.open_nursery() as nursery:
            for scope in (first, second, third):
                nursery.start_soon(request, pool, scope)
                await turn(20)
            first.cancel()
            await turn(turns)
            second.cancel()
            network.may_answer.set()
            with trio.move_on_after(LIMIT_S) as limit:
                while pool.connections == [] or not pool.connections[0].is_idle():
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert not limit.cancelled_caught
        await check_usable(pool, network, 1)

    play(main)


def test_connections_are_counted_by_state_with_the_requests_in_line(monkeypatch):
    async def main():
        network = Network(monkeypatch)
        network.may_connect.set()
        pools = Pools()
        target = make_target(address="10.0.0.1:80")
        pool = pools.pool(target, 2)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(request, pool, trio.CancelScope())
            await turn(20)
            counts = pools.counts()
            network.may_answer.set()
        assert counts == {
            ("t-1", "idle"): 0,
            ("t-1", "in_use"): 2,
            ("t-1", "waiting"): 1,
        }
        assert pools.counts()["t-1", "idle"] == 2

    play(main)
