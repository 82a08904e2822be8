import trio
import trio.testing

from tests.log.builders import Network, make_node, until
from vanillabeam.log import LogClient


def run(function):
    """Run an async function on a clock that jumps over waits."""
    clock = trio.testing.MockClock(autojump_threshold=0.005)
    return trio.run(function, clock=clock)


def test_a_single_vm_founds_its_group_and_commits():
    async def main():
        node = make_node("vm-1", 1, Network())
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            applied = (await node.propose("a")).unwrap()
            assert applied.reply == "1"
            assert (await node.read()).unwrap() == applied.index
            assert node.status()["losses_left"] == 0
            nursery.cancel_scope.cancel()

    run(main)


def test_three_vms_take_commands_from_any_vm_and_from_outside():
    async def main():
        network = Network()
        nodes = [make_node(f"vm-{n}", 3, network) for n in (1, 2, 3)]
        async with trio.open_nursery() as nursery:
            for node in nodes:
                await nursery.start(node.run)
            await until(lambda: nodes[0].status()["losses_left"] == 1)
            for node in nodes:
                assert (await node.propose(node.vm)).unwrap()
            client = LogClient("tickets", nodes[1]._initial, network.call_from("x:1"))
            last = (await client.propose("outside")).unwrap()
            for node in nodes:
                assert (await node.read()).unwrap() >= last.index
                assert [c for _, c in node._machine.commands][-1] == "outside"
            nursery.cancel_scope.cancel()

    run(main)
