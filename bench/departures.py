"""Departures of targets: what it costs to commit each before it is acknowledged.

All targets of a fleet leave one after the other, as in a rolling restart, at one of
four control VMs that run in one process with real files. HTTP is not in the figures.
"""

import tempfile
import time
from pathlib import Path

import trio

from bench.log import Group
from vanillabeam import wire
from vanillabeam.fleet.departing import DepartingTask
from vanillabeam.fleet.machine import FleetMachine

__all__ = ["run"]

CONTROL_VMS = 4
SIZES = (65, 770)
#: Seconds between two leave calls of a rolling restart.
PACES_S = {"rolling": 0.05, "at_once": 0.0}


class _Times:
    """Seconds that each leave call took."""

    def __init__(self, departing: DepartingTask):
        self.all_s: list[float] = []
        self._departing = departing

    async def leave(self, name: str) -> None:
        """Have a target leave and wait for the confirmation."""
        began_s = time.perf_counter()
        (await self._departing.commit_end((name, 1_796_465_863_059))).unwrap()
        self.all_s.append(time.perf_counter() - began_s)

    def quantile_ms(self, share: float) -> float:
        """Return the milliseconds within which a share of the calls was confirmed."""
        ordered = sorted(self.all_s)
        return round(1000 * ordered[int(share * (len(ordered) - 1))], 2)


async def _measure(group: Group, targets: int, pace_s: float) -> dict[str, float]:
    machine = FleetMachine()
    node = next(node for node in group.nodes.values() if not node.is_leader)
    commands: list[str] = []

    async def propose(command):
        body = wire.encode(command).decode()
        commands.append(body)
        return await node.propose(body)

    departing = DepartingTask(propose, machine)
    times = _Times(departing)
    body_bytes, cpu_s = group.body_bytes, time.process_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(departing.run)
        async with trio.open_nursery() as leaving:
            for number in range(targets):
                leaving.start_soon(times.leave, f"i-{number:08x}")
                await trio.sleep(pace_s)
        nursery.cancel_scope.cancel()
    cpu_s = time.process_time() - cpu_s
    for index, body in enumerate(commands, 1):
        machine.apply(index, body)
    return {
        "p50_ms": times.quantile_ms(0.5),
        "max_ms": times.quantile_ms(1.0),
        "commands": len(commands),
        "sent_bytes_a_leave": round((group.body_bytes - body_bytes) / targets),
        "cpu_ms_a_leave_all": round(1000 * cpu_s / targets, 2),
        "snapshot_bytes_a_leave": round(len(machine.snapshot()) / targets),
    }


async def _run_all(seed: int) -> dict[str, float]:
    figures = {}
    for targets in SIZES:
        for pace, pace_s in PACES_S.items():
            with tempfile.TemporaryDirectory() as path:
                async with trio.open_nursery() as nursery:
                    group = Group(nursery, Path(path), CONTROL_VMS, seed)
                    await group.start_all()
                    measured = await _measure(group, targets, pace_s)
                    nursery.cancel_scope.cancel()
            for name, value in measured.items():
                figures[f"{name}_{targets}_{pace}"] = value
    return figures


def run(seed: int) -> dict[str, float]:
    """Return times, bytes and processor time by size of the fleet and pace."""
    return trio.run(_run_all, seed)
