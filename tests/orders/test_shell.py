import random

import trio
import trio.testing
from returns.result import Failure, Success

from tests.orders.builders import make_announcement, make_orders_config
from tests.tickets.builders import make_body
from vanillabeam.exceptions import NotReady, TargetUnreachable
from vanillabeam.members import Members, Seed
from vanillabeam.orders import LeaseKeeper, Orders
from vanillabeam.orders.leases import LEASE_S
from vanillabeam.tickets import FreshIndex, TicketMachine

REQUEST = {
    "lease": "",
    "owner": "a",
    "reporter": "kgl-1",
    "target": "t",
    "stores": ["s"],
    "models": [],
}


class FakeVms:
    """Two VMs of one data centre, of which ``a`` leads the ticket log."""

    def __init__(self):
        self.routes = {}
        self.down = set()
        self.members, self.keepers = {}, {}
        seeds = [Seed("a", "kgl-1"), Seed("b", "kgl-1")]
        for name in "ab":
            call = self.caller(name)
            members = Members(name, name, "kgl-1", seeds, call, random.Random(name))
            keeper = LeaseKeeper(
                name, name, ["b", "a"], members, call, lambda name=name: name == "a"
            )
            self.routes[name] = {**members.routes(), **keeper.routes()}
            self.members[name], self.keepers[name] = members, keeper

    def caller(self, sender):
        async def call(address, path, body):
            await trio.sleep(0.001)
            if {sender, address} & self.down:
                return Failure(TargetUnreachable())
            return await self.routes[address][path](body)

        return call


class FakeTarget:
    def __init__(self):
        self.announcement = make_announcement()
        self.orders = []

    async def order(self, address, order):
        await trio.sleep(0.1)
        self.orders.append(order)
        models = {name: model["version"] for name, model in order["models"].items()}
        self.announcement = {
            **self.announcement,
            "models": models,
            "order_index": order["index"],
        }
        return Success({"status": "obeyed", "order_index": order["index"]})


def run(test):
    async def main():
        vms = FakeVms()
        async with trio.open_nursery() as nursery:
            for members in vms.members.values():
                await nursery.start(members.run)
            await test(vms, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_new_version_is_ordered_after_imports_end():
    async def test(vms, nursery):
        target, end_calls = FakeTarget(), []

        async def end_imports(name):
            end_calls.append((name, len(target.orders)))

        async def prove():
            return Success(3)

        orders = Orders(
            "b",
            "kgl-1",
            vms.keepers["b"],
            target.order,
            lambda: {"t": (target.announcement, 1)},
            lambda name: 0,
            end_imports,
            prove,
            random.Random(1),
        )
        orders.config_changed(make_orders_config(3, "2"))
        await nursery.start(orders.run)
        await trio.sleep(90)
        assert end_calls == [("t", 0)]
        (order,) = target.orders
        assert (order["index"], order["models"]["m"]["version"]) == (3, "2")
        assert order["boot_id"] == "b1"
        (status,) = orders.status()
        assert (status.phase, status.hold_reason) == ("idle", "")
        assert orders.may_import("t")
        assert orders.serves("t")

    run(test)


def test_leader_grants_leases_and_they_expire():
    async def test(vms, nursery):
        keeper = vms.keepers["b"]
        first = await keeper.request_lease(REQUEST)
        assert first.failure().type == "not-load-keeper"
        await trio.sleep(LEASE_S + 2)
        leases = [
            await keeper.request_lease({**REQUEST, "target": name})
            for name in ("t", "u", "v")
        ]
        assert [isinstance(lease, Success) for lease in leases] == [True, True, False]
        assert leases[2].failure().type == "loads-limited"
        await keeper.release(leases[0].unwrap()["lease"])
        assert isinstance(
            await keeper.request_lease({**REQUEST, "target": "v"}), Success
        )
        await trio.sleep(LEASE_S + 2)
        assert isinstance(
            await keeper.request_lease({**REQUEST, "target": "w"}), Success
        )

    run(test)


def test_isolated_data_centre_grants_leases_with_its_own_limit():
    async def test(vms, nursery):
        keeper = vms.keepers["b"]
        keeper._control = ["elsewhere"]
        vms.down.add("elsewhere")
        await trio.sleep(5)
        await keeper.request_lease(REQUEST)
        await trio.sleep(LEASE_S + 2)
        assert isinstance(await keeper.request_lease(REQUEST), Success)
        second = await keeper.request_lease({**REQUEST, "target": "u"})
        assert second.failure().type == "loads-limited"

    run(test)


def test_floor_counts_the_targets_of_all_owners():
    async def test(vms, nursery):
        for keeper in vms.keepers.values():
            keeper.config_changed(make_orders_config(1, floor=3))
        await vms.keepers["b"].request_lease(REQUEST)
        await trio.sleep(LEASE_S + 2)
        request = {**REQUEST, "models": ["m"], "stores": []}
        refused = await vms.keepers["b"].request_lease(request)
        assert refused.failure().type == "floor-reached"
        for _ in range(2):
            await vms.keepers["b"].report({"m": 2}, [])
            await vms.keepers["a"].report({"m": 2}, [])
        assert isinstance(await vms.keepers["b"].request_lease(request), Success)
        second = await vms.keepers["b"].request_lease({**request, "target": "u"})
        assert second.failure().type == "floor-reached"

    run(test)


def test_freshness_requires_confirmation_by_a_quorum():
    machine = TicketMachine()
    machine.apply(4, make_body(1).decode())
    read_results = [Failure(NotReady()), Success(9)]

    async def read():
        return read_results[0]

    fresh = FreshIndex([], None, machine, read)

    async def call(address, path, body):
        if address == "silent":
            await trio.sleep_forever()
        return await fresh.routes()[path](body)

    async def main():
        client = FreshIndex(["silent", "a"], call)
        assert isinstance((await client.prove()).failure(), NotReady)
        read_results.pop(0)
        assert await client.prove() == Success(4)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
