"""A control VM and an entry VM as real processes, with workers in the test."""

import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from types import SimpleNamespace

import httpcore
import trio

from tests.platform.builders import make_document, make_heartbeat, make_settings
from tests.platform.rawworker import RawWorker

START_TIMEOUT_S = 30.0
HEARTBEAT_INTERVAL_S = 0.3
POLL_INTERVAL_S = 0.05
MEMORY_INTERVAL_S = 0.005
CONTROL_PORT, PEER_PORT, ENTRY_PORT, READINESS_PORT = 8204, 7420, 8202, 8200
METRICS_PORT = 9464
KIB = 1024
STOP_TIMEOUT_S = 15.0


class VmProcess:
    """One VM as a child process.

    :ivar peak_bytes: largest resident memory that was seen.
    """

    def __init__(self, folder, **fields):
        settings = make_settings(**fields) | {"metrics_port": METRICS_PORT}
        self.path = folder / f"{fields['node']}.json"
        self.path.write_text(json.dumps(settings))
        self.output = folder / f"{fields['node']}.out"
        self.peak_bytes = 0
        environment = os.environ | {"VANILLABEAM_CONFIG": str(self.path)}
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "vanillabeam.platform"],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def memory_bytes(self):
        """Return the resident memory of the process; 0 once it has ended."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * KIB
        return 0

    @property
    def is_running(self):
        return self.process.poll() is None

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def watch_memory(self):
        """Record the largest memory until cancelled."""
        while self.is_running:
            self.peak_bytes = max(self.peak_bytes, self.memory_bytes())
            await trio.sleep(MEMORY_INTERVAL_S)

    def stop(self):
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)


class Processes:
    """A running control VM and entry VM, and how to call them."""

    def __init__(self, folder, nursery, memory_mb):
        number = os.getpid() % 60_000
        net = f"127.{40 + number // 250 % 200}.{number % 250}"
        self.control_host, self.entry_host = f"{net}.1", f"{net}.2"
        self.nursery = nursery
        self.workers = []
        self.pool = httpcore.AsyncConnectionPool()
        shared = {
            "port_range": [PEER_PORT, PEER_PORT],
            "seeds": [f"{self.control_host}:{CONTROL_PORT}"],
            "limits": {"memory_mb": memory_mb, "max_fds": 4100},
        }
        data = folder / "data"
        data.mkdir()
        self.control = VmProcess(
            folder,
            node="core-1",
            ip=self.control_host,
            listen={"control": f"{self.control_host}:{CONTROL_PORT}"},
            data_dir=str(data),
            **shared,
        )
        self.entry = VmProcess(
            folder,
            node="front-1",
            ip=self.entry_host,
            listen={
                "front": f"{self.entry_host}:{ENTRY_PORT}",
                "ready": f"{self.entry_host}:{READINESS_PORT}",
            },
            data_dir=None,
            **shared,
        )

    async def call_control(self, method, path, document=None):
        """Call the control VM until it answers without a server error."""
        url = f"http://{self.control_host}:{CONTROL_PORT}{path}"
        body = b"" if document is None else json.dumps(document).encode()
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    answer = await self.pool.request(method, url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    answer = None
                if answer is not None and answer.status < 500:
                    return answer
                await trio.sleep(POLL_INTERVAL_S)

    async def add_worker(self, name, service, answer):
        worker = RawWorker(name)
        worker.answers = [answer]
        await self.nursery.start(worker.run)
        self.workers.append(worker)
        self.nursery.start_soon(self._announce, worker, service)
        return worker

    async def _announce(self, worker, service):
        sequence = 0
        while True:
            sequence += 1
            heartbeat = make_heartbeat(
                address=worker.address, seq=sequence, service=service
            )
            path = f"/api/Instances.Heartbeat/{worker.name}"
            await self.call_control("POST", path, heartbeat)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def connect(self, host=None, port=ENTRY_PORT):
        return await trio.open_tcp_stream(host or self.entry_host, port)

    async def is_served(self, path="/orders/ready"):
        """Return whether a request on a new connection gets a 200."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(make_head(path, length=0))
            data = b""
            with trio.move_on_after(2.0):
                try:
                    data = await stream.receive_some(100)
                except trio.BrokenResourceError:
                    return False
        return data.startswith(b"HTTP/1.1 200")


def make_head(path="/orders/1", length=None, extra=(), version=b"1.1", deadline=5000):
    """Return the head of a client's request."""
    lines = [
        b"POST %b HTTP/%b" % (path.encode(), version),
        b"Host: shop.example",
        b"X-Vanillabeam-Request-Id: r-1",
        b"X-Vanillabeam-Deadline-Ms: %d" % deadline,
        b"X-Vanillabeam-Key: key-1",
        *extra,
    ]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def read_all(stream, limit=1 << 31):
    """Return what arrives until the connection ends, and whether it was reset."""
    parts, size = [], 0
    try:
        while size < limit:
            data = await stream.receive_some(1 << 16)
            if not data:
                return SimpleNamespace(data=b"".join(parts), is_reset=False)
            parts.append(data)
            size += len(data)
    except trio.BrokenResourceError:
        return SimpleNamespace(data=b"".join(parts), is_reset=True)
    return SimpleNamespace(data=b"".join(parts), is_reset=False)


def make_routes(timeout_ms=800, **changes):
    """Return a document with a public route of each kind."""
    document = make_document()
    document["routes"][0] |= {
        "timeout_ms": timeout_ms,
        "public": True,
        "attempts": 1,
        "resumable": False,
    } | changes
    document["routes"][1] |= {"timeout_ms": timeout_ms}
    document["routes"].append(
        document["routes"][1]
        | {"name": "r-3", "path_prefix": "/reads/", "kind": "safe", "attempts": 2}
    )
    return document


@asynccontextmanager
async def running_processes(
    folder, document, answer, memory_mb=150, services=("app", "llm")
):
    """Run both VMs with one worker a service until it serves requests.

    :param answer: answer of each worker to any request.
    """
    processes = None
    with ending_processes() as started:
        async with trio.open_nursery() as nursery:
            processes = Processes(folder, nursery, memory_mb)
            started += [processes.control, processes.entry]
            await processes.call_control("POST", "/api/Config.Put", document)
            for service in services:
                await processes.add_worker(f"i-{service}", service, answer)
            await _wait_for_targets(processes, len(services))
            nursery.start_soon(processes.entry.watch_memory)
            nursery.start_soon(processes.control.watch_memory)
            yield processes
            nursery.cancel_scope.cancel()


@contextmanager
def ending_processes():
    started = []
    try:
        yield started
    finally:
        for process in started:
            process.stop()


async def _wait_for_targets(processes, count):
    url = f"http://{processes.entry_host}:{METRICS_PORT}/metrics"
    wanted = f"vanillabeam_targets {count:.1f}".encode()
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                answer = await processes.pool.request("GET", url)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                answer = None
            if answer is not None and wanted in answer.content:
                return
            await trio.sleep(POLL_INTERVAL_S)
