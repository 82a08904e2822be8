import trio
import trio.testing

from bench.rollout_model import BOUNDS, StandInControl, make_fleet, play
from vanillabeam import wire
from vanillabeam.fleet.machine import make_fence_raise
from vanillabeam.fleet.orderright import RAISE_PERIOD_S, OrderRight


def run(check):
    async def main():
        control = StandInControl([])
        right = OrderRight(control)
        right.is_held()
        await trio.sleep(BOUNDS.lease_s)
        await check(control, right)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def raise_offset(control, offset):
    command = wire.encode(make_fence_raise(offset)).decode()
    control.machine.apply(control.machine.state["index"] + 1, command)


# Guards against two leaders with one number: the later one reads the log first.
def test_a_raise_of_the_leader_before_counts_for_the_first_order():
    def make():
        fleet = make_fleet(1)
        control, read = fleet.control, fleet.control.node.read

        async def read_later():
            if control.machine.state.get("fence_offset", 0) == 0:
                raise_offset(control, 70)
            return await read()

        control.node.read = read_later
        return fleet

    (order,) = play(make, 5.0).orders()
    assert order.fence == 71


def test_a_later_term_has_a_higher_number_whatever_was_raised():
    async def check(control, right):
        raise_offset(control, 70)
        before = right.fence
        control.node.term += 1
        assert right.fence == before + 1

    run(check)


def test_many_refusals_of_one_number_raise_it_once():
    async def check(control, right):
        refused = right.fence
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(right.raise_fence, refused)
        await trio.sleep(RAISE_PERIOD_S)
        await right.raise_fence(refused)
        assert len(control.node.proposed) == 1
        assert right.fence > refused

    run(check)


def test_a_number_is_raised_only_by_a_leader_with_a_quorum_and_a_lease():
    async def check(control, right):
        control.node.has_quorum = False
        await right.raise_fence(right.fence)
        control.node.has_quorum = True
        control.node.term += 1
        await right.raise_fence(right.fence)
        assert control.node.proposed == []

    run(check)
