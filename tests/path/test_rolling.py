"""Soak test: a rolling restart under load interrupts no answer and no refund."""

import os
import random

import pytest
import trio

from tests.path.fleet import Fleet
from tests.path.test_chaos import CONTROL, LAYOUT, STORES, Chaos

PAUSE_S = 3.0


class RollingRestart(Chaos):
    """Drains and restarts one VM after the other; injects no faults."""

    async def run(self) -> None:
        await self._set_up()
        async with trio.open_nursery() as nursery:
            self.start_callers(nursery)
            await trio.sleep(PAUSE_S)
            for vm in LAYOUT:
                await self._restart(vm)
                await trio.sleep(PAUSE_S)
            nursery.cancel_scope.cancel()

    async def _restart(self, vm: str) -> None:
        old_vm = self.fleet.running.pop(vm).vm
        old_vm.drain()
        code = await old_vm.wait_stopped()
        if code != 0:
            self.results.errors.append(f"{vm} stopped with {code}")
        self.fleet.cancel_vm(vm)
        restarted = await self.fleet.start(vm)
        await restarted.wait_until(lambda: restarted.vm.lifecycle.is_ready)


@pytest.mark.soak
def test_a_rolling_restart_completes_every_request(tmp_path):
    seed = int(os.environ["SOAK_SEED"])

    async def main():
        async with Fleet(tmp_path, LAYOUT, CONTROL, STORES).open() as fleet:
            rolling_restart = RollingRestart(fleet, random.Random(seed))
            await rolling_restart.run()
            return rolling_restart

    rolling_restart = trio.run(main)
    assert rolling_restart.find_violations() == []
    assert (
        not {"cut", "vm lost", "error event"}
        & rolling_restart.results.prompt_outcomes.keys()
    )
    outcomes = set(rolling_restart.results.refund_outcomes.values())
    assert outcomes == {"ran"}, rolling_restart.results.unknown
    assert rolling_restart.results.prompt_outcomes["whole"] > 0
