import random

import trio
import trio.testing
from returns.result import Failure, Success

from tests.spread.builders import MemoryFiles, make_model_body
from tests.tickets.builders import DIGEST, Applied, make_body, make_workspace
from vanillabeam.exceptions import NotReady, TargetUnreachable, Unauthenticated
from vanillabeam.members import Members, Seed
from vanillabeam.spread import Spread, find_missing
from vanillabeam.tickets import TicketMachine, TicketService

DATA_CENTRES = {"a": "kgl-1", "b": "kgl-1", "c": "kgl-2"}


class Vms:
    """Shells of three VMs, called directly; ``a`` has the ticket log."""

    def __init__(self, files=None):
        self.routes: dict[str, dict] = {}
        self.down: set[str] = set()
        self.machine = TicketMachine()
        self.ticket_service = TicketService(self.machine, self.propose)
        self.index = 0
        seeds = [Seed(name, data_centre) for name, data_centre in DATA_CENTRES.items()]
        self.members, self.spreads = {}, {}
        for name, data_centre in DATA_CENTRES.items():
            call = self.make_call(name)
            members = Members(name, name, data_centre, seeds, call, random.Random(name))
            vm_files = files if name == "b" else None
            spread = Spread(
                name,
                ["a"],
                members,
                call,
                random.Random(name),
                vm_files,
                lambda: 1000.0,
            )
            self.routes[name] = {**members.routes(), **spread.routes()}
            self.members[name], self.spreads[name] = members, spread
        self.spreads["a"].attach_ticket_log(self.ticket_service, self.machine)

    async def propose(self, command):
        await trio.lowlevel.checkpoint()
        self.index += 1
        return Success(Applied(self.index, self.machine.apply(self.index, command)))

    def make_call(self, sender):
        async def call(address, path, body):
            await trio.sleep(0.001)
            if {sender, address} & self.down:
                return Failure(TargetUnreachable())
            return await self.routes[address][path](body)

        return call

    async def start(self, nursery):
        for name in DATA_CENTRES:
            await nursery.start(self.members[name].run)
            await nursery.start(self.spreads[name].run)
        for spread in self.spreads.values():
            await spread.wait_ready()


def run(test, **arguments):
    async def main():
        vms = Vms(**arguments)
        async with trio.open_nursery() as nursery:
            await vms.start(nursery)
            await test(vms)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_ticket_reaches_every_vm_and_appears_in_the_status():
    async def test(vms):
        received = []
        vms.spreads["c"].add_listener(lambda config: received.append(config.index))
        await vms.ticket_service.apply(make_model_body(1))
        for spread in vms.spreads.values():
            assert (await spread.config_after(0)).index == 1
        assert received == [1]
        await trio.sleep(5)
        status = await vms.spreads["b"].status()
        assert [(vm.vm, vm.index, vm.since) for vm in status.vms] == [
            ("a", 1, 1000),
            ("b", 1, 1000),
            ("c", 1, 1000),
        ]
        assert find_missing(status, 1) == ()
        assert find_missing(status, 2) == ("a", "b", "c")

    run(test)


def test_an_unreachable_data_centre_is_listed_as_missing():
    async def test(vms):
        await trio.sleep(5)
        vms.down.add("c")
        await vms.ticket_service.apply(make_model_body(1))
        await trio.sleep(5)
        status = await vms.spreads["a"].status()
        assert find_missing(status, 1) == ("data centre kgl-2",)

    run(test)


def test_a_vm_with_a_disk_uses_its_copy_before_any_peer_answers():
    files = MemoryFiles()

    async def before(vms):
        await vms.ticket_service.apply(make_model_body(1))
        await vms.spreads["b"].config_after(0)

    run(before, files=files)

    async def after():
        vms = Vms(files=files)
        vms.down.add("b")
        async with trio.open_nursery() as nursery:
            await nursery.start(vms.members["b"].run)
            await nursery.start(vms.spreads["b"].run)
            assert vms.spreads["b"].config().index == 1
            assert (await vms.spreads["b"].wait_ready()).index == 1
            nursery.cancel_scope.cancel()

    trio.run(after, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_workspace_is_looked_up_at_a_peer_until_the_copy_is_whole():
    async def test(vms):
        await vms.ticket_service.apply(make_body(1, workspaces={"w": make_workspace()}))
        spread = vms.spreads["b"]
        config = await spread.config_after(0)
        assert (await spread.workspace_of(DIGEST)).unwrap().name == "w"
        spread._config, spread._is_complete = config._replace(workspaces={}), False
        await trio.sleep(3)
        assert (await spread.workspace_of(DIGEST)).unwrap().name == "w"
        unknown = await spread.workspace_of("00" * 32)
        assert isinstance(unknown.failure(), Unauthenticated)
        vms.down.add("a")
        assert isinstance((await spread.workspace_of(DIGEST)).failure(), NotReady)

    run(test)


def test_a_planned_stop_is_announced():
    async def test(vms):
        await trio.sleep(5)
        vms.members["b"].leave()
        await trio.sleep(0.1)
        assert [m.name for m in vms.members["a"].view().alive] == ["a"]

    run(test)
