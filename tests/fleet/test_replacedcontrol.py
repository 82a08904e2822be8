"""Control VMs that are replaced for good, one after the other, on virtual time."""

import random
from functools import partial
from itertools import permutations
from typing import NamedTuple

import pytest
import trio
import trio.testing

from tests.fleet.builders import BOUNDS
from tests.log.builders import Network
from vanillabeam.fleet import FleetSettings
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.records import Deployment
from vanillabeam.fleetvm import RESIGN_S

PORT = 7420
#: Seconds from the loss of a VM to the start of its successor.
SUCCESSOR_S = 1.0
OPENS_S = 20.0
#: Seconds from a successor's start to the next loss.
CATCH_UP_S = 4.0


class Store:
    """Calls of stores; there are none."""


class Fleet:
    """Control VMs of a fleet in one process, by their host."""

    def __init__(self, nursery, folder, seed, bounds=BOUNDS):
        self.bounds = bounds
        self.nursery = nursery
        self.folder = folder
        self.seed = seed
        self.network = Network()
        self.controls = {}
        self.scopes = {}

    async def start(self, host, seeds, bootstrap=False):
        data = self.folder / host
        data.mkdir()
        ports = ("", "", f"{host}:1", PORT)
        cfg = FleetSettings(
            f"vm-{host}", "a", host, *ports, seeds, bootstrap, str(data), 0, self.bounds
        )
        address = f"{host}:{PORT}"
        control = FleetControl(
            cfg,
            self.network.call_from(address),
            random.Random(f"{host}/{self.seed}"),
            lambda document: Deployment(),
            Store(),
        )
        self.network.routes[address] = control.routes()
        self.controls[host] = control
        self.scopes[host] = await self.nursery.start(self._run, control)

    async def _run(self, control, *, task_status):
        async with trio.open_nursery() as nursery:
            await nursery.start(control.run)
            task_status.started(nursery.cancel_scope)

    async def lose(self, host, wait_s=SUCCESSOR_S):
        """Lose a VM for good: its process, its disk and its address."""
        self.scopes.pop(host).cancel()
        del self.network.routes[f"{host}:{PORT}"]
        del self.controls[host]
        await trio.sleep(wait_s)

    @property
    def leader(self):
        leading = [h for h, c in self.controls.items() if c.node.is_leader]
        return leading[0] if len(leading) == 1 else None

    def seeds(self):
        return tuple(sorted(self.controls)[:3])


async def replace_in_order(folder, order, size, seed):
    """Replace the VMs in turn, each ``CATCH_UP_S`` after the last successor's start.

    :param order: places of the VMs, from the leader on.
    :returns: the status of the log at its leader, ``None`` without one.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder, seed)
        hosts = [f"10.0.{number}.1" for number in range(1, size + 1)]
        for host in hosts:
            await fleet.start(host, tuple(hosts[:3]), bootstrap=True)
        await trio.sleep(OPENS_S)
        hosts.remove(fleet.leader)
        hosts.insert(0, fleet.leader)
        for step, place in enumerate(order):
            await fleet.lose(hosts[place])
            await fleet.start(f"10.0.{place}.{step + 2}", fleet.seeds())
            await trio.sleep(CATCH_UP_S)
        statuses = [fleet.controls[fleet.leader].node.status()] if fleet.leader else []
        nursery.cancel_scope.cancel()
    return statuses[0] if statuses else None


def check_replaced(folder, order, size, seed=1):
    clock = trio.testing.MockClock(autojump_threshold=0.002)
    status = trio.run(partial(replace_in_order, folder, order, size, seed), clock=clock)
    assert status is not None, f"no leader after {order}"
    voters = [member for member in status["members"] if member["votes"]]
    assert len(voters) == size
    assert all(voter["active"] for voter in voters)
    assert status["losses_left"] == (size - 1) // 2


# Guards against a fleet log that never has a leader again, so that no configuration is
# read back: voters that were lost stayed in the group beside their successors.
@pytest.mark.parametrize("order", [(1, 0, 3, 2), (0, 1, 2, 3), (3, 2, 1, 0)])
def test_a_fleet_whose_control_vms_are_all_replaced_keeps_its_log(tmp_path, order):
    check_replaced(tmp_path, order, size=4)


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_a_fleet_of_three_whose_control_vms_are_replaced_keeps_its_log(tmp_path, order):
    check_replaced(tmp_path, order, size=3)


async def leave_as_planned(folder, size, losses):
    """Replace one VM as planned and lose another at the moment of its end.

    :returns: whether the log has a leader afterwards.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder, 1, BOUNDS._replace(losses=losses))
        hosts = [f"10.0.{number}.1" for number in range(1, size + 1)]
        for host in hosts:
            await fleet.start(host, tuple(hosts[:3]), bootstrap=True)
        await trio.sleep(OPENS_S)
        await fleet.start("10.0.9.1", fleet.seeds())
        await trio.sleep(CATCH_UP_S)
        leaving, *others = [host for host in hosts if host != fleet.leader]
        await fleet.controls[leaving].node.resign()
        async with trio.open_nursery() as losing:
            for host in (leaving, *others[:losses]):
                losing.start_soon(fleet.lose, host)
        await trio.sleep(CATCH_UP_S)
        has_leader = fleet.leader is not None
        nursery.cancel_scope.cancel()
    return has_leader


# Guards against a fleet log without a majority: a control VM that had been replaced as
# planned still counted at the moment of its end, when others were lost.
@pytest.mark.parametrize(("size", "losses"), [(3, 1), (5, 2)])
def test_losses_at_the_end_of_a_planned_replacement_keep_the_log(
    tmp_path, size, losses
):
    clock = trio.testing.MockClock(autojump_threshold=0.002)
    leave = partial(leave_as_planned, tmp_path, size, losses)
    assert trio.run(leave, clock=clock)


class Leave(NamedTuple):
    """A planned stop, and what is lost beside it.

    :param lost_before_s: seconds from the loss of another VM to the stop.
    :param leads: whether the VM that stops leads the log then.
    :param first: number of VMs that were replaced as planned before.
    """

    lost_before_s: float | None
    leads: bool
    first: int


async def stop_as_planned(fleet, host):
    """Stop a VM as its process does, with the time for it bounded."""
    control = fleet.controls[host]
    await control.node.transfer_leadership()
    with trio.move_on_after(RESIGN_S):
        await control.node.resign()
    await fleet.lose(host, wait_s=0.0)


async def play_leave(folder, leave):
    """Return the status of the log at its leader at the end, ``None`` without one."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder, 1)
        hosts = [f"10.0.{number}.1" for number in range(1, 4)]
        for host in hosts:
            await fleet.start(host, tuple(hosts), bootstrap=True)
        await trio.sleep(OPENS_S)
        old = sorted(hosts, key=lambda host: host == fleet.leader)
        if not leave.leads:
            old.reverse()
        for number in range(leave.first + 1):
            await fleet.start(f"10.0.9.{number + 1}", fleet.seeds())
            await trio.sleep(CATCH_UP_S)
            if number < leave.first:
                await stop_as_planned(fleet, old.pop(0))
                await trio.sleep(1.0)
        stopping = fleet.leader if leave.leads else old[-1]
        others = [host for host in fleet.controls if host != stopping]
        if leave.lost_before_s is not None:
            await fleet.lose(others[0], wait_s=leave.lost_before_s)
            await stop_as_planned(fleet, stopping)
        else:
            await stop_as_planned(fleet, stopping)
            await fleet.lose(others[0], wait_s=0.0)
        await trio.sleep(1.0)
        await fleet.start("10.0.8.1", fleet.seeds())
        await trio.sleep(2 * CATCH_UP_S)
        status = fleet.controls[fleet.leader].node.status() if fleet.leader else None
        nursery.cancel_scope.cancel()
    return status


# Guards against a fleet log without a majority: what a control VM said of its planned
# stop had no effect if another one had just been lost, if it had led, or if all seeds
# of its own start were gone.
@pytest.mark.parametrize(
    "leave",
    [
        Leave(lost_before_s=1.0, leads=False, first=0),
        Leave(lost_before_s=0.4, leads=True, first=0),
        Leave(lost_before_s=None, leads=True, first=0),
        Leave(lost_before_s=None, leads=True, first=2),
    ],
)
def test_a_planned_stop_beside_a_loss_keeps_the_log(tmp_path, leave):
    clock = trio.testing.MockClock(autojump_threshold=0.002)
    status = trio.run(partial(play_leave, tmp_path, leave), clock=clock)
    assert status is not None
    assert all(m["active"] for m in status["members"] if m["votes"])
    assert status["losses_left"] == 1


async def cut_off_while_replaced(folder):
    """Cut a VM off, replace all others as planned, end the cut, renew its seeds.

    :returns: the voters' hosts afterwards.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder, 1)
        hosts = [f"10.0.{number}.1" for number in range(1, 5)]
        for host in hosts:
            await fleet.start(host, tuple(hosts[:3]), bootstrap=True)
        await trio.sleep(OPENS_S)
        away = next(host for host in hosts if host != fleet.leader)
        address = f"{away}:{PORT}"
        hosts.remove(away)
        new = [f"10.0.9.{number}" for number in range(1, 4)]
        others = [f"{host}:{PORT}" for host in (*hosts, *new)]
        cut = {(address, other) for other in others}
        fleet.network.cut = cut | {(other, address) for _, other in cut}
        for host, successor in zip(hosts, new, strict=True):
            await fleet.start(successor, tuple(set(fleet.controls) - {away}))
            await trio.sleep(CATCH_UP_S)
            await stop_as_planned(fleet, host)
            await trio.sleep(1.0)
        fleet.network.cut = set()
        control = fleet.controls[away]
        control.update_seeds(control.cfg._replace(seeds=tuple(new)))
        await trio.sleep(2 * CATCH_UP_S)
        members = fleet.controls[fleet.leader].node.status()["members"]
        nursery.cancel_scope.cancel()
    return away, {member["vm"] for member in members if member["votes"]}


# Guards against a control VM that never votes again: all members that it knew were
# replaced while it was cut off, and it took no new seeds.
def test_a_control_vm_joins_again_by_the_seeds_of_changed_settings(tmp_path):
    clock = trio.testing.MockClock(autojump_threshold=0.002)
    away, voters = trio.run(partial(cut_off_while_replaced, tmp_path), clock=clock)
    assert away in voters
