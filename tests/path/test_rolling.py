"""A rolling restart under load cuts off no answer and loses no refund."""

import os
import random

import pytest
import trio

from tests.path.fleet import Fleet
from tests.path.test_chaos import CONTROL, LAYOUT, STORES, Chaos

PAUSE_S = 3.0


class RollingRestart(Chaos):
    """Restarts each VM as planned, one after the other; no other fault."""

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
        leaving = self.fleet.running.pop(vm).vm
        leaving.drain()
        code = await leaving.wait_stopped()
        if code != 0:
            self.ledger.wrong.append(f"{vm} stopped with {code}")
        self.fleet.end(vm)
        back = await self.fleet.start(vm)
        await back.wait_until(lambda: back.vm.lifecycle.is_ready)


@pytest.mark.soak
def test_a_rolling_restart_cuts_off_nothing(tmp_path):
    seed = int(os.environ["SOAK_SEED"])

    async def main():
        async with Fleet(tmp_path, LAYOUT, CONTROL, STORES).open() as fleet:
            rolling = RollingRestart(fleet, random.Random(seed))
            await rolling.run()
            return rolling

    rolling = trio.run(main)
    assert rolling.verdict() == []
    assert not {"cut", "vm lost", "error event"} & rolling.ledger.prompts.keys()
    assert set(rolling.ledger.refunds.values()) == {"ran"}
    assert rolling.ledger.prompts["whole"] > 0
