from functools import partial
from types import SimpleNamespace

import httpcore
import trio
import trio.testing
from returns.result import Failure, Success
from starlette.applications import Starlette

from tests.builders import make_listener
from vanillabeam.exceptions import InvariantBroken, Overloaded, Run
from vanillabeam.listeners import ListenerTask
from vanillabeam.peerhttp import IDLE_EXPIRY_S, IO_TIMEOUT_S, PeerClient, peer_routes

#: Read timeout of the one test that waits for it. All others keep the client's own
#: timeout, so a busy machine can't turn their answers into timeouts.
SILENCE_S = 0.2


async def echo(body):
    return Success(body)


async def refuse(body):
    return Failure(Overloaded("full"))


async def break_invariant(body):
    raise InvariantBroken("two leaders")


async def stay_silent(body):
    await trio.sleep_forever()


ROUTES = {
    "/peer/echo": echo,
    "/peer/refuse": refuse,
    "/peer/broken": break_invariant,
    "/peer/silent": stay_silent,
}


async def _serve_and_call(calls, io_timeout_s, **limits):
    app = Starlette(routes=peer_routes(ROUTES))
    listener = ListenerTask("peers", app, make_listener(**limits), graceful_s=0.0)
    client = PeerClient(key=None, tls=None, io_timeout_s=io_timeout_s)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(listener.run)
        answers = [await client(address, path, body) for path, body in calls]
        await client.aclose()
        nursery.cancel_scope.cancel()
    return answers


def serve_and_call(*calls, io_timeout_s=IO_TIMEOUT_S, **limits):
    return trio.run(partial(_serve_and_call, calls, io_timeout_s, **limits))


def test_a_large_answer_is_returned_completely():
    assert serve_and_call(("/peer/echo", b"x" * 100_000)) == [Success(b"x" * 100_000)]


def test_a_typed_failure_is_returned_as_the_same_class():
    exc = serve_and_call(("/peer/refuse", b"{}"))[0].failure()
    assert isinstance(exc, Overloaded)
    assert exc.detail == "full"
    assert exc.run is Run.NOT_RUN


def test_a_broken_invariant_fails_only_its_request():
    broken, after = serve_and_call(("/peer/broken", b""), ("/peer/echo", b"on"))
    assert isinstance(broken.failure(), InvariantBroken)
    assert after == Success(b"on")


def test_after_a_read_timeout_the_run_is_unknown():
    call = ("/peer/silent", b"{}")
    exc = serve_and_call(call, io_timeout_s=SILENCE_S)[0].failure()
    assert exc.type == "peer-silent"
    assert exc.run is Run.UNKNOWN


def test_a_refused_connection_means_not_run():
    async def call():
        return await PeerClient(key=None, tls=None)("127.0.0.1:1", "/", b"")

    exc = trio.run(call).failure()
    assert exc.type == "peer-unreachable"
    assert exc.run is Run.NOT_RUN


def test_a_body_over_the_limit_is_refused():
    exc = serve_and_call(("/peer/echo", b"x" * 11), body_bytes=10)[0].failure()
    assert exc.type == "body-too-large"


class UnconnectablePool:
    """A pool whose connections time out; records the connect timeout."""

    def stream(self, *args, extensions, **fields):
        self.connect_timeout_used_s = extensions["timeout"]["connect"]
        raise httpcore.ConnectTimeout


def test_the_connect_timeout_is_passed_to_the_pool_and_means_not_run():
    client = PeerClient(None, None, connect_timeout_s=0.25)
    client.pools["10.0.0.1:7"] = pool = UnconnectablePool()
    exc = trio.run(client, "10.0.0.1:7", "/", b"").failure()
    assert exc.run is Run.NOT_RUN
    assert pool.connect_timeout_used_s == 0.25


class UsedPool:
    """A pool of one connection; records its end."""

    def __init__(self, is_idle):
        self.connections = [SimpleNamespace(is_idle=lambda: is_idle)]
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


# Guards against connections to VMs that have gone that stay open for ever, and against
# requests that are cut off as another VM is called.
def test_the_pools_of_addresses_that_are_no_longer_called_are_closed():
    async def main():
        client = PeerClient(None, None)
        idle, busy, recent = UsedPool(True), UsedPool(False), UsedPool(True)
        for address, pool in (("10.0.0.1:7", idle), ("10.0.0.2:7", busy)):
            client.pools[address] = pool
            await client._pool(address)
        await trio.sleep(IDLE_EXPIRY_S + 0.1)
        client.pools["10.0.0.3:7"] = recent
        await client._pool("10.0.0.3:7")
        await client._pool("10.0.0.4:7")
        return [pool.is_closed for pool in (idle, busy, recent)], len(client.pools)

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == ([True, False, False], 3)
