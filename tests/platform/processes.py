"""Real processes of VMs on loopback addresses of their own."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

from tests.path.fleet import hold_port, port_of
from tests.platform.builders import make_document, make_settings

SOURCE = Path(__file__).parents[2] / "src"
TIMEOUT_S = 40.0
POLL_S = 0.05


def wait_until(condition, timeout_s=TIMEOUT_S):
    """Wait until ``condition`` returns something true, and return that."""
    deadline_s = time.monotonic() + timeout_s
    while not (result := condition()):
        assert time.monotonic() < deadline_s, "the condition was not met in time"
        time.sleep(POLL_S)
    return result


@contextmanager
def listening(host, port):
    """Hold a port with a socket that listens, as another program does."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(1)
    with sock:
        yield


class Processes:
    """Processes of VMs, each with its own address and the same ports.

    :ivar ports: port of each listener, by its name.
    """

    def __init__(self, folder, network):
        self.folder = folder
        self.network = network
        self.running = {}
        names = ("peers", "control", "entry", "readiness", "metrics")
        self._sockets = [hold_port() for _ in names]
        self.ports = {
            name: port_of(sock) for name, sock in zip(names, self._sockets, strict=True)
        }

    def host(self, number):
        return f"127.{self.network}.0.{number}"

    def listen(self, number, entry):
        names = ("entry", "readiness") if entry else ("control",)
        outer = {"entry": "front", "readiness": "ready", "control": "control"}
        return {outer[n]: f"{self.host(number)}:{self.ports[n]}" for n in names}

    def write_settings(self, number, entry=False, **changes):
        data = self.folder / f"data-{number}"
        data.mkdir(exist_ok=True)
        seeds = [f"{self.host(1)}:{self.ports['control']}"]
        peers = self.ports["peers"]
        fields = {
            "node": f"vm-{number}",
            "ip": self.host(number),
            "listen": self.listen(number, entry),
            "port_range": [peers, peers],
            "seeds": seeds,
            "data_dir": None if entry else str(data),
        }
        document = make_settings(**(fields | changes))
        document["metrics_port"] = self.ports["metrics"]
        path = self.folder / f"vm-{number}.yaml"
        path.write_text(json.dumps(document))
        return path

    def start(self, number, entry=False, options=None, **changes):
        """Start a process; return it."""
        path = self.write_settings(number, entry, **changes)
        return self.run(number, path, **(options or {}))

    def run(self, number, path, **options):
        variables = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(SOURCE),
            "VANILLABEAM_CONFIG": str(path),
        }
        streams = {
            "stdout": (self.folder / f"vm-{number}.log").open("ab"),
            "stderr": (self.folder / f"vm-{number}.err").open("ab"),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "vanillabeam.platform"],
            env=variables,
            **(streams | options),
        )
        self.running[number] = process
        return process

    def call(self, number, name, method, path, document=None):
        """Return status and body of an answer; no status if there is none."""
        body = b"" if document is None else json.dumps(document).encode()
        connection = http.client.HTTPConnection(
            self.host(number), self.ports[name], timeout=4
        )
        try:
            connection.request(method, path, body)
            res = connection.getresponse()
            return res.status, res.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            connection.close()

    def put(self, number=1, **changes):
        """Return whether a configuration is confirmed."""
        document = make_document(**changes)
        return (
            self.call(number, "control", "POST", "/api/Config.Put", document)[0] == 200
        )

    def is_ready(self, number):
        return self.call(number, "readiness", "GET", "/api/ready")[0] == 200

    def has_metrics(self, number):
        return self.call(number, "metrics", "GET", "/metrics")[0] == 200

    def lines(self, number, event):
        """Return the log lines of one event."""
        text = (self.folder / f"vm-{number}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        return [line for line in lines if line["event"] == event]

    def terminate(self, number):
        """Stop a process with SIGTERM; return its exit code."""
        process = self.running[number]
        process.send_signal(signal.SIGTERM)
        return process.wait(TIMEOUT_S)

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        for sock in self._sockets:
            sock.close()


@contextmanager
def running_processes(folder, network):
    """Give processes that end with the block.

    :param network: second part of their addresses, another one for each test module.
    """
    processes = Processes(folder, network)
    try:
        yield processes
    finally:
        processes.close()
