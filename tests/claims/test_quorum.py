"""Claims on a quorum of three VMs whose leader crashes or which all restart."""

import random
from collections import Counter
from pathlib import Path

import trio
import trio.testing
from returns.result import Success

from tests.claims.builders import make_outcome
from tests.log.builders import (
    SETTINGS,
    MemoryFolder,
    Network,
    make_addresses,
    wait_until,
)
from vanillabeam.claims import (
    ClaimGrant,
    ClaimMachine,
    ClaimsClient,
    ClaimsClientSettings,
    ClaimSettings,
    ClaimsUnavailable,
    RecordedOutcome,
)
from vanillabeam.log import LogNode

VMS = ("vm-1", "vm-2", "vm-3")
START_MS = 1_700_000_000_000
KEYS = 60


class Quorum:
    """Three VMs, each a replica of the log and an entry."""

    def __init__(self, nursery, folders=None):
        self.nursery = nursery
        self.network = Network()
        self.folders = folders or {vm: MemoryFolder() for vm in VMS}
        self.machines = {vm: ClaimMachine(ClaimSettings()) for vm in VMS}
        self.nodes = {vm: self._node(vm) for vm in VMS}
        self.entries = {vm: self._entry(vm) for vm in VMS}
        self.scopes = {vm: trio.CancelScope() for vm in VMS}

    def _node(self, vm):
        address = f"{vm}:1"
        node = LogNode(
            "claims",
            vm,
            address,
            Path("unused"),
            self.machines[vm],
            make_addresses(len(VMS)),
            self.network.call_from(address),
            random.Random(vm),
            SETTINGS,
            bootstrap=True,
            folder=self.folders[vm],
        )
        self.network.routes[address] = node.routes()
        return node

    def _entry(self, vm):
        return ClaimsClient(
            vm,
            [self.nodes[vm].propose],
            random.Random(vm),
            ClaimsClientSettings(claim_timeout_s=20.0),
            wall_ms=lambda: START_MS + int(trio.current_time() * 1000),
        )

    async def start(self):
        for vm in VMS:
            self.nursery.start_soon(self._run, vm)
        await wait_until(self._is_healthy)

    def _is_healthy(self):
        leading = [node for node in self.nodes.values() if node.is_leader]
        return bool(leading) and leading[0].status()["losses_left"] == 1

    async def _run(self, vm):
        with self.scopes[vm]:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.nodes[vm].run)
                await nursery.start(self.entries[vm].run)

    @property
    def leader(self):
        return next(vm for vm in VMS if self.nodes[vm].is_leader)

    def kill(self, vm):
        self.scopes[vm].cancel()
        del self.network.routes[f"{vm}:1"]

    async def claim(self, vm, key="k"):
        return await self.entries[vm].claim("w", key, "d", 300.0, by_key=False)


def run_on_quorum(scenario, folders=None):
    async def main():
        async with trio.open_nursery() as nursery:
            quorum = Quorum(nursery, folders)
            await quorum.start()
            await scenario(quorum)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.005))


def test_outcome_survives_the_leader_that_granted_the_claim():
    async def scenario(quorum):
        leader = quorum.leader
        entry, other = [vm for vm in VMS if vm != leader]
        granted = (await quorum.claim(entry)).unwrap()
        quorum.kill(leader)
        await quorum.entries[entry].finish(granted, make_outcome())
        await quorum.entries[entry].flush()
        assert await quorum.claim(other) == Success(RecordedOutcome(make_outcome()))
        quorum.kill(other)
        failure = (await quorum.claim(entry, "k2")).failure()
        assert isinstance(failure, ClaimsUnavailable)

    run_on_quorum(scenario)


def test_one_key_is_granted_once_while_the_leader_crashes():
    async def scenario(quorum):
        grants = Counter()

        async def claim_key(vm, key):
            result = await quorum.claim(vm, key)
            grants[key] += isinstance(result.value_or(None), ClaimGrant)

        entries = [vm for vm in VMS if vm != quorum.leader]
        async with trio.open_nursery() as nursery:
            for number in range(KEYS):
                for vm in entries * 2:
                    nursery.start_soon(claim_key, vm, f"k{number}")
            await trio.sleep(0.002)
            quorum.kill(quorum.leader)
        assert max(grants.values()) == 1
        assert sum(grants.values()) > 0

    run_on_quorum(scenario)


def test_outcomes_survive_a_restart_of_all_vms_from_snapshots():
    folders = {}

    async def before(quorum):
        folders.update(quorum.folders)
        for number in range(KEYS):
            granted = (await quorum.claim("vm-1", f"k{number}")).unwrap()
            await quorum.entries["vm-1"].finish(granted, make_outcome())
        (await quorum.claim("vm-1", "open")).unwrap()

    async def after(quorum):
        for number in range(KEYS):
            result = await quorum.claim("vm-2", f"k{number}")
            assert result == Success(RecordedOutcome(make_outcome()))
        assert not isinstance((await quorum.claim("vm-2", "open")), Success)

    run_on_quorum(before)
    run_on_quorum(after, folders)
