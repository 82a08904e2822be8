"""Which control VM grants a target's permits, and what becomes of one that is gone."""

import pytest
import trio
from returns.result import Failure, Success

from tests.fleet.builders import make_target
from tests.fleet.test_permits import make_ask
from vanillabeam import wire
from vanillabeam.exceptions import PeerSilent
from vanillabeam.fleet.permitclient import ASK_TIMEOUT_S, PermitClient
from vanillabeam.fleet.permits import PermitReply
from vanillabeam.fleet.polling import ControlVm

ADDRESSES = [f"10.0.{number}.1:7420" for number in range(4)]
TARGETS = [make_target(f"t-{number}", data_centre="dc-2") for number in range(20)]
GRANTED = PermitReply(granted=True, wait_s=0.0, queued=False, rivals=0)


class Network:
    """Control VMs, one a data centre, some of which don't answer.

    :ivar silent: those that give no answer in time.
    :ivar failing: those that answer with a failure, as an earlier release does.
    :ivar asked: addresses that were asked.
    """

    def __init__(self):
        self.silent, self.failing, self.asked = set(), set(), []
        self.control_vms = {address: ControlVm(address) for address in ADDRESSES}
        for number, control_vm in enumerate(self.control_vms.values()):
            control_vm.epoch = "epoch"
            control_vm.data_centre = f"dc-{number}"
        self.client = PermitClient(self.call, self.control_vms)

    async def call(self, address, path, body):
        self.asked.append(address)
        if address in self.silent:
            await trio.sleep_forever()
        if address in self.failing:
            return Failure(PeerSilent(address))
        return Success(wire.encode(GRANTED))

    def reply(self, address):
        """Have a control VM reply to a poll."""
        self.control_vms[address].last_seen_s = trio.current_time()


def play(main):
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_control_vm_of_the_targets_data_centre_comes_first():
    network = Network()
    first = {network.client.granters(target, 1.0)[0] for target in TARGETS}
    assert first == {ADDRESSES[2]}


def test_without_one_all_vms_agree_on_another():
    network, other = Network(), Network()
    for each in (network, other):
        each.control_vms[ADDRESSES[2]].epoch = ""
    chosen = [network.client.granters(target, 1.0) for target in TARGETS]
    assert chosen == [other.client.granters(target, 1.0) for target in TARGETS]
    assert {order[0] for order in chosen} == set(ADDRESSES) - {ADDRESSES[2]}


# Guards against asks that go on waiting for a control VM that is gone.
@pytest.mark.parametrize("kind", ["silent", "failing"])
def test_the_next_one_is_asked_if_the_first_gives_no_answer(kind):
    network = Network()
    getattr(network, kind).add(ADDRESSES[2])

    async def main():
        await trio.sleep(1.0)
        granted = await network.client(TARGETS[0], make_ask())
        took_s = trio.current_time() - 1.0
        assert took_s == pytest.approx(ASK_TIMEOUT_S if kind == "silent" else 0.0)
        again = await network.client(TARGETS[0], make_ask())
        assert (granted.granter, granted.reply) == (again.granter, GRANTED)
        assert network.asked.count(ADDRESSES[2]) == 1
        await trio.sleep(1.0)
        network.reply(ADDRESSES[2])
        getattr(network, kind).clear()
        assert (await network.client(TARGETS[0], make_ask())).granter == ADDRESSES[2]

    play(main)


def test_nobody_answers():
    network = Network()
    network.silent.update(ADDRESSES)

    async def main():
        assert await network.client(TARGETS[0], make_ask()) is None
        assert len(network.asked) == 2
        assert await network.client(TARGETS[0], make_ask()) is None
        assert await network.client(TARGETS[0], make_ask()) is None
        assert len(network.asked) == 4

    play(main)
