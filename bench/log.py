"""Replicated log: failover, restart, commands per second, idle traffic.

Replicas run in one process with real files and call each other directly. The
figures include the time of the log, the disk and JSON, but not that of HTTP.
"""

import random
import tempfile
import time
from functools import partial
from pathlib import Path

import msgspec
import trio
from returns.result import Failure, Result

from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.log import Address, LogNode, LogSettings, group_folder
from vanillabeam.log.folder import DiskFolder
from vanillabeam.log.persistence import load_replica
from vanillabeam.log.records import DEFAULT_SETTINGS
from vanillabeam.log.storage import open_storage

__all__ = ["run"]

COMMANDS = 1000
PROPOSERS = 32
SIZES = (3, 5, 7)
IDLE_S = 5.0
FAILOVERS = 5
JOIN_LIMIT_S = 60.0
POLL_S = 0.01
COMMAND = msgspec.json.encode({"number": 1, "content": "x" * 200}).decode()
HTTP_HEADERS_BYTES = 250


class NoAnswer(VanillabeamError):
    """The VM is stopped."""

    type = "no-answer"
    run = Run.NOT_RUN


class CountingMachine:
    """State machine that counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index: int, command: str) -> str:
        """Count one command."""
        self.count += 1
        return str(self.count)

    def snapshot(self) -> bytes:
        """Return the count."""
        return msgspec.json.encode(self.count)

    def restore(self, snapshot: bytes) -> None:
        """Set the count."""
        self.count = msgspec.json.decode(snapshot)


class Group:
    """Log group whose nodes run in one process and call each other directly.

    :ivar nodes: running nodes by address.
    :ivar calls: number of calls so far.
    :ivar body_bytes: bytes of the bodies of all calls and answers.
    """

    def __init__(self, nursery: trio.Nursery, path: Path, size: int, seed: int):
        self.members = [Address(f"vm-{n}", f"vm-{n}:1") for n in range(1, size + 1)]
        self.calls = 0
        self.body_bytes = 0
        self.nodes: dict[str, LogNode] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery = nursery
        self._path = path
        self._seed = seed

    async def start_all(self) -> None:
        """Bootstrap the group and wait until all members vote."""
        for vm, address in self.members:
            node = LogNode(
                "bench",
                vm,
                address,
                self._path / vm,
                CountingMachine(),
                self.members,
                self._call,
                random.Random(f"{self._seed}/{vm}"),
                bootstrap=True,
            )
            self.nodes[address] = node
            self._scopes[vm] = await self._nursery.start(partial(_run_node, node))
        expected = (len(self.members) - 1) // 2
        await self.wait_until(lambda: self.tolerated_losses() == expected)

    async def _call(
        self, address: str, path: str, body: bytes
    ) -> Result[bytes, VanillabeamError]:
        await trio.lowlevel.checkpoint()
        node = self.nodes.get(address)
        if node is None:
            return Failure(NoAnswer(address))
        answer = await node.routes()[path](body)
        self.calls += 1
        self.body_bytes += len(body) + len(answer.value_or(b""))
        return answer

    @property
    def leader(self) -> LogNode | None:
        """Leader of the group, ``None`` if there is none."""
        return next((node for node in self.nodes.values() if node.is_leader), None)

    def tolerated_losses(self) -> int | None:
        """Return how many losses the group tolerates, as the leader reports."""
        return self.leader.status()["losses_left"] if self.leader else None

    def stop(self, node: LogNode) -> None:
        """Stop a node without notice, as a crash does."""
        del self.nodes[node.address]
        self._scopes[node.vm].cancel()

    async def wait_until(self, condition) -> None:
        """Wait until ``condition()`` is true."""
        with trio.fail_after(JOIN_LIMIT_S):
            for _ in range(int(JOIN_LIMIT_S / POLL_S)):
                if condition():
                    return
                await trio.sleep(POLL_S)


async def _run_node(node: LogNode, *, task_status) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(node.run)
        task_status.started(nursery.cancel_scope)


async def _with_group(size: int, seed: int, measure) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as path:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, Path(path), size, seed)
            await group.start_all()
            figures = await measure(group)
            nursery.cancel_scope.cancel()
    return figures


async def _measure_commands(group: Group) -> dict[str, float]:
    remaining = COMMANDS
    began_s = time.perf_counter()

    async def propose_many() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            (await group.leader.propose(COMMAND)).unwrap()

    async with trio.open_nursery() as nursery:
        for _ in range(PROPOSERS):
            nursery.start_soon(propose_many)
    rate = COMMANDS / (time.perf_counter() - began_s)
    began_s = time.perf_counter()
    for _ in range(COMMANDS // 10):
        (await group.leader.propose(COMMAND)).unwrap()
    single_s = (time.perf_counter() - began_s) / (COMMANDS // 10)
    size = len(group.members)
    return {
        f"commands_per_s_{size}": round(rate, 1),
        f"one_command_ms_{size}": round(single_s * 1000, 2),
    }


async def _measure_idle(group: Group) -> dict[str, float]:
    size = len(group.members)
    calls, body_bytes = group.calls, group.body_bytes
    cpu_s = time.process_time()
    await trio.sleep(IDLE_S)
    cpu_s = time.process_time() - cpu_s
    calls, body_bytes = group.calls - calls, group.body_bytes - body_bytes
    with_headers = body_bytes + 2 * calls * HTTP_HEADERS_BYTES
    return {
        f"idle_calls_per_s_{size}": round(calls / IDLE_S, 1),
        f"idle_leader_bytes_per_s_{size}": round(with_headers / IDLE_S),
        f"idle_cpu_percent_all_{size}": round(100 * cpu_s / IDLE_S, 2),
    }


async def _measure_failover(group: Group) -> dict[str, float]:
    (await group.leader.propose(COMMAND)).unwrap()
    old = group.leader
    other = next(node for node in group.nodes.values() if node is not old)
    began_s = time.perf_counter()
    group.stop(old)
    (await other.propose(COMMAND)).unwrap()
    return {"failover_s": time.perf_counter() - began_s}


def _measure_restart(snapshot_entries: int) -> float:
    """Return the milliseconds to open a log and apply its entries.

    :param snapshot_entries: number of entries after which the log takes a
        snapshot.
    """
    settings = DEFAULT_SETTINGS._replace(snapshot_entries=snapshot_entries)
    with tempfile.TemporaryDirectory() as path:
        trio.run(_fill, Path(path), settings)
        began_s = time.perf_counter()
        folder = DiskFolder(group_folder(Path(path), "bench"))
        storage, contents = open_storage(folder, "bench", str).unwrap()
        state = load_replica(storage, contents, settings, random.Random(1), 0.0)
        state.advance_commit(state.log.last_index)
        storage.close()
        return round((time.perf_counter() - began_s) * 1000, 2)


async def _fill(path: Path, settings: LogSettings) -> None:
    members = [Address("vm-1", "vm-1:1")]

    async def call(address, path, body):
        return Failure(NoAnswer(address))

    node = LogNode(
        "bench",
        *members[0],
        path,
        CountingMachine(),
        members,
        call,
        random.Random(1),
        settings,
        bootstrap=True,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(node.run)
        for _ in range(COMMANDS):
            (await node.propose(COMMAND)).unwrap()
        nursery.cancel_scope.cancel()


def run(seed: int) -> dict:
    """Measure failover, restart, commands and idle traffic.

    :param seed: seed of the election timeouts.
    """
    figures: dict[str, float] = {}
    failovers = [
        trio.run(_with_group, 5, seed + n, _measure_failover)["failover_s"]
        for n in range(FAILOVERS)
    ]
    figures["failover_s_median"] = round(sorted(failovers)[FAILOVERS // 2], 3)
    figures["failover_s_worst"] = round(max(failovers), 3)
    figures["restart_ms_without_snapshot"] = _measure_restart(COMMANDS * 10)
    figures["restart_ms_with_snapshot"] = _measure_restart(COMMANDS // 2)
    for size in SIZES:
        figures |= trio.run(_with_group, size, seed, _measure_commands)
        figures |= trio.run(_with_group, size, seed, _measure_idle)
    return figures
