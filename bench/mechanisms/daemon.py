"""Costs of a whole VM, with a daemon and a fake target as processes on loopback."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import httpcore
import trio

from bench.fake_target import FakeTargetSettings, serve
from bench.mechanisms.base import Mechanism
from bench.mechanisms.configuration import make_config, workspace_fields
from vanillabeam.tickets.keys import key_digest

__all__ = ["MECHANISMS", "serve_target"]

TOKEN_RATES_S = (500, 1_000, 2_000, 4_000)
REQUEST_RATES_S = (5, 10, 20, 40)
WORKSPACES = (1_000, 4_000, 8_000, 16_000)
#: One token every 38 ms, the lowest rate that meets the objective.
STREAM_TOKENS_S = 26
MEASURED_S = 4.0
MAX_ATTEMPTS = 300
POLL_S = 0.1
CALLER_KEY = "caller-key-of-the-bench"
OPERATOR_KEY = "operator-key-of-the-bench"
LISTENERS = ("callers", "targets", "peers")
TICKET_WORKSPACES = 250
PROMPT = "crate counts of the depot, please"


class _Vm:
    """Running daemon.

    :param pid: process id.
    :param ports: ports on loopback by listener.
    :ivar next_ticket: number of the next ticket.
    """

    def __init__(self, pid: int, ports: dict[str, int]):
        self.pid = pid
        self.ports = ports
        self.next_ticket = 1

    def url(self, listener: str, path: str) -> str:
        """Return the URL of ``path`` at a listener."""
        return f"http://127.0.0.1:{self.ports[listener]}{path}"

    def cpu_s(self) -> float:
        """Return the processor time of the daemon so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self) -> int:
        """Return the resident memory of the daemon."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        line = next(text for text in status.splitlines() if text.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    def apply(self, sections: dict[str, object]) -> None:
        """Apply a ticket that sets ``sections``."""
        ticket = {"number": self.next_ticket, "author": "bench", "set": sections}
        self.next_ticket += 1
        res = httpcore.request(
            "POST",
            self.url("peers", "/operator/tickets"),
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            content=json.dumps(ticket).encode(),
        )
        assert res.status == 200, res.content


def _free_ports(names: tuple[str, ...]) -> dict[str, int]:
    sockets = {name: socket.socket() for name in names}
    for sock in sockets.values():
        sock.bind(("127.0.0.1", 0))
    ports = {name: sock.getsockname()[1] for name, sock in sockets.items()}
    for sock in sockets.values():
        sock.close()
    return ports


def _settings(folder: Path, ports: dict[str, int]) -> dict[str, object]:
    return {
        "version": 1,
        "vm": "vm-1",
        "data_centre": "dc-1",
        "roles": ["entry", "control"],
        "data_folder": str(folder / "data"),
        "listeners": {name: {"port": port} for name, port in ports.items()},
        "control": {"members": ["vm-1"], "bootstrap": True},
        "operators": [{"name": "bench", "key_digest": key_digest(OPERATOR_KEY)}],
        "drain": {"notice_s": 0.1},
        "logs": {"format": "json"},
    }


@contextmanager
def _running_vm() -> Iterator[_Vm]:
    ports = _free_ports(LISTENERS)
    with tempfile.TemporaryDirectory() as name, _open_output(Path(name)) as errors:
        file = Path(name) / "settings.json"
        file.write_text(json.dumps(_settings(Path(name), ports)))
        code = "from vanillabeam.daemon import main; main()"
        command = [sys.executable, "-c", code, "--settings", str(file)]
        with subprocess.Popen(command, stderr=errors, stdout=errors) as daemon:
            try:
                vm = _Vm(daemon.pid, ports)
                _wait_ready(vm)
                yield vm
            finally:
                daemon.kill()


@contextmanager
def _open_output(folder: Path) -> Iterator[int]:
    with (folder / "output").open("wb") as file:
        yield file.fileno()


def _wait_ready(vm: _Vm) -> None:
    for _ in range(MAX_ATTEMPTS):
        try:
            if httpcore.request("GET", vm.url("callers", "/readyz")).status == 200:
                return
        except (httpcore.NetworkError, httpcore.TimeoutException):
            pass
        time.sleep(POLL_S)
    raise TimeoutError("the daemon does not become ready")


def serve_target(listener: str) -> None:
    """Run a fake target with ample capacity until killed.

    :param listener: ``host:port`` of the daemon's listener for targets.
    """
    settings = FakeTargetSettings(
        data_centre="dc-1",
        listener=listener,
        models={"ledger": "v1"},
        capacity=2_000,
        cold_capacity=2_000,
        decode_tokens_s=STREAM_TOKENS_S,
    )
    trio.run(partial(serve, settings))


@contextmanager
def _running_target(vm: _Vm) -> Iterator[None]:
    code = "import sys; from bench.mechanisms.daemon import serve_target as s"
    command = [sys.executable, "-c", f"{code}; s(sys.argv[1])"]
    listener = f"127.0.0.1:{vm.ports['targets']}"
    with subprocess.Popen([*command, listener]) as target:
        try:
            yield
        finally:
            target.kill()


async def _send_prompt(vm: _Vm, pool: httpcore.AsyncConnectionPool, tokens: int) -> int:
    body = {
        "model": "ledger",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    size = 0
    async with pool.stream(
        "POST",
        vm.url("callers", "/v1/chat/completions"),
        headers=headers,
        content=json.dumps(body).encode(),
    ) as res:
        async for data in res.aiter_stream():
            size += data.count(b"data: {")
        return size if res.status == 200 else 0


async def _wait_served(vm: _Vm) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        for _ in range(MAX_ATTEMPTS):
            if await _send_prompt(vm, pool, 1):
                return
            await trio.sleep(POLL_S)
    raise TimeoutError("no target serves")


async def _run_streams(vm: _Vm, rate_s: int) -> int:
    streams = max(1, rate_s // STREAM_TOKENS_S)
    tokens = round(STREAM_TOKENS_S * MEASURED_S)
    received = 0

    async def read_one() -> None:
        nonlocal received
        received_pieces = await _send_prompt(vm, pool, tokens)
        received += received_pieces

    async with httpcore.AsyncConnectionPool(max_connections=streams) as pool:
        async with trio.open_nursery() as nursery:
            for number in range(streams):
                nursery.start_soon(read_one)
                if number % 10 == 9:
                    await trio.sleep(0.01)
    return received


async def _run_requests(vm: _Vm, rate_s: int) -> int:
    answered = 0

    async def send_request() -> None:
        nonlocal answered
        received_pieces = await _send_prompt(vm, pool, 1)
        answered += bool(received_pieces)

    async with httpcore.AsyncConnectionPool() as pool:
        async with trio.open_nursery() as nursery:
            for _ in range(round(rate_s * MEASURED_S)):
                nursery.start_soon(send_request)
                await trio.sleep(1.0 / rate_s)
    return answered


def _apply_first_ticket(vm: _Vm) -> None:
    workspace = {"key_digests": [key_digest(CALLER_KEY)], "cache_secret": "5a" * 32}
    vm.apply({"models": {"ledger": {"version": "v1"}}, "workspaces": {"w": workspace}})


def _run_load(vm: _Vm, load, size: int) -> dict[str, float]:
    began_s, began_cpu_s = time.monotonic(), vm.cpu_s()
    done = trio.run(load, vm, size)
    cpu_s = vm.cpu_s() - began_cpu_s
    return {"done": done, "cpu_s": cpu_s, "wall_s": time.monotonic() - began_s}


def _measure_tokens(size: int, seed: int) -> dict[str, float]:
    with _running_vm() as vm:
        _apply_first_ticket(vm)
        with _running_target(vm):
            trio.run(_wait_served, vm)
            run = _run_load(vm, _run_streams, size)
    # Scaled by the tokens received, as the start of the streams takes some time.
    return {
        "cpu_s_per_s": run["cpu_s"] / run["done"] * size,
        "tokens_per_s": run["done"] / run["wall_s"],
    }


def _measure_requests(size: int, seed: int) -> dict[str, float]:
    with _running_vm() as vm:
        _apply_first_ticket(vm)
        with _running_target(vm):
            trio.run(_wait_served, vm)
            run = _run_load(vm, _run_requests, size)
    return {
        "cpu_s_per_s": run["cpu_s"] / run["wall_s"],
        "answered_share": run["done"] / round(size * MEASURED_S),
    }


def _measure_workspaces(size: int, seed: int) -> dict[str, float]:
    records = make_config(size, seed).workspaces
    batches = [
        list(records.items())[offset : offset + TICKET_WORKSPACES]
        for offset in range(0, size, TICKET_WORKSPACES)
    ]
    with _running_vm() as vm:
        for batch in batches:
            vm.apply(
                {
                    "workspaces": {
                        name: workspace_fields(record) for name, record in batch
                    }
                }
            )
        time.sleep(1.0)
        began_s, began_cpu_s = time.monotonic(), vm.cpu_s()
        time.sleep(MEASURED_S)
        rest = (vm.cpu_s() - began_cpu_s) / (time.monotonic() - began_s)
        return {"memory_bytes": vm.memory_bytes(), "rest_cpu_s_per_s": rest}


MECHANISMS = (
    Mechanism("whole VM, streams", "tokens a second", TOKEN_RATES_S, _measure_tokens),
    Mechanism(
        "whole VM, prompts", "requests a second", REQUEST_RATES_S, _measure_requests
    ),
    Mechanism("whole VM, at rest", "workspaces", WORKSPACES, _measure_workspaces),
)
