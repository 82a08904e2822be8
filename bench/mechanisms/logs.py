"""Costs of a log group: at rest by members, under load by rate."""

import random
import tempfile
import time
from pathlib import Path

import trio
from trio.testing import MockClock

from bench.mechanisms.base import Mechanism
from bench.mechanisms.traffic import Traffic
from vanillabeam.log import Address, LogNode

__all__ = ["MECHANISMS"]

MEMBERS = (1, 3, 5, 7)
RATES_S = (5, 10, 20, 40)
WORKING_MEMBERS = 5
REST_S = 12.0
WORK_S = 4.0
COMMAND_BYTES = 300
#: Virtual seconds per real second at rest. The clock doesn't jump ahead, as the
#: log's writes take real time and its timeouts would expire meanwhile.
REST_CLOCK_RATE = 8.0
POLL_S = 0.2
JOIN_TIMEOUT_S = 90.0


class CountingMachine:
    """State machine that counts commands."""

    def __init__(self) -> None:
        self.applied = 0

    def apply(self, index: int, command: str) -> str:
        """Count one command."""
        self.applied += 1
        return "{}"

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.applied).encode()

    def restore(self, snapshot: bytes) -> None:
        """Set the count."""
        self.applied = int(snapshot)


def _addresses(count: int) -> list[Address]:
    return [Address(f"vm-{n}", f"vm-{n}:1") for n in range(1, count + 1)]


def _make_nodes(count: int, seed: int, folder: Path, traffic: Traffic) -> list[LogNode]:
    nodes = []
    for vm, address in _addresses(count):
        node = LogNode(
            "claims-0",
            vm,
            address,
            folder / vm,
            CountingMachine(),
            _addresses(count),
            traffic.call_from(address),
            random.Random(f"{vm}/{seed}"),
            bootstrap=True,
        )
        traffic.routes[address] = node.routes()
        nodes.append(node)
    return nodes


async def _measure_group(
    members: int, rate_s: int, span_s: float, seed: int, folder: Path
) -> dict[str, float]:
    traffic = Traffic()
    nodes = _make_nodes(members, seed, folder, traffic)
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await nursery.start(node.run)
        leader = await _wait_complete_group(nodes)
        traffic.clear()
        began_s = time.process_time()
        await _propose_for(leader, rate_s, span_s)
        cpu_s = time.process_time() - began_s
        nursery.cancel_scope.cancel()
    # The leader is the busiest member; a call counts at both of its ends.
    return {
        "leader_calls_per_s": traffic.calls.get(leader.address, 0) / span_s,
        "leader_bytes_per_s": traffic.body_bytes.get(leader.address, 0) / span_s,
        "group_cpu_s_per_s": cpu_s / span_s,
    }


async def _wait_complete_group(nodes: list[LogNode]) -> LogNode:
    with trio.fail_after(JOIN_TIMEOUT_S):
        while True:
            await trio.sleep(POLL_S)
            for node in nodes:
                votes = [each["votes"] for each in node.status()["members"]]
                if node.is_leader and sum(votes) == len(nodes):
                    return node


async def _propose_for(leader: LogNode, rate_s: int, span_s: float) -> None:
    async def propose() -> None:
        (await leader.propose("c" * COMMAND_BYTES)).unwrap()

    end_s = trio.current_time() + span_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            if rate_s:
                nursery.start_soon(propose)
            await trio.sleep(1.0 / rate_s if rate_s else span_s)


def _measure_at_rest(size: int, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        clock = MockClock(rate=REST_CLOCK_RATE)
        return trio.run(
            _measure_group, size, 0, REST_S, seed, Path(folder), clock=clock
        )


def _measure_at_work(size: int, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(
            _measure_group, WORKING_MEMBERS, size, WORK_S, seed, Path(folder)
        )


MECHANISMS = (
    Mechanism("log group at rest", "members", MEMBERS, _measure_at_rest),
    Mechanism("log group of five", "entries a second", RATES_S, _measure_at_work),
)
