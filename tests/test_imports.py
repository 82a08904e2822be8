from functools import partial

import trio
from returns.result import Failure
from trio.testing import MockClock

from vanillabeam.exceptions import PeerUnreachable
from vanillabeam.imports import LEASE_S, MARGIN_S, ImportLeases


def make_leases(may_import=lambda target: True, owner=None):
    async def call(address, path, body):
        if owner is None:
            return Failure(PeerUnreachable(address))
        return await owner.routes()[path](body)

    return ImportLeases(call, may_import)


def run(scenario):
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def drain_duration_s(leases, target):
    started_s = trio.current_time()
    await leases.drain(target)
    return trio.current_time() - started_s


def test_a_swap_waits_for_an_import_to_end():
    async def scenario():
        leases = make_leases()
        lease = (await leases.begin("", "t1", "b")).unwrap()["lease"]

        async def end_later():
            await trio.sleep(3.0)
            await leases.end("", "t1", lease)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_later)
            return await drain_duration_s(leases, "t1")

    assert run(scenario) == 3.0


def test_an_import_that_never_ends_delays_a_swap_until_its_lease_expires():
    async def scenario():
        leases = make_leases()
        await leases.begin("", "t1", "b")
        return await drain_duration_s(leases, "t1")

    assert run(scenario) == LEASE_S + MARGIN_S


def test_no_import_begins_while_a_swap_waits():
    async def scenario():
        leases = make_leases()
        await leases.begin("", "t1", "b")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leases.drain, "t1")
            await trio.sleep(1.0)
            refused = await leases.begin("", "t1", "b")
            other = await leases.begin("", "t2", "b")
        return refused, other, await leases.begin("", "t1", "b")

    refused, other, after = run(scenario)
    assert refused.failure().type == "imports-closed"
    assert other.unwrap()["lasts_s"] == LEASE_S
    assert after.unwrap()["lasts_s"] == LEASE_S


def test_an_owner_refuses_another_entry_when_imports_are_not_allowed():
    async def scenario(may_import):
        owner = make_leases(may_import=lambda target: may_import)
        return await make_leases(owner=owner).begin("10.0.0.1:7003", "t1", "b")

    assert run(partial(scenario, False)).failure().type == "imports-closed"
    assert run(partial(scenario, True)).unwrap()["lasts_s"] == LEASE_S


def test_an_unreachable_owner_grants_no_lease():
    async def scenario():
        return await make_leases().begin("10.0.0.1:7003", "t1", "b")

    assert isinstance(run(scenario), Failure)
