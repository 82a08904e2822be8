"""Callers and targets in threads, and the state of a fleet, for bench.processor."""

import json
import random
import socket
import threading
from typing import Any

import trio

from vanillabeam.fleet import Target
from vanillabeam.fleet.loads import EntryLoad, make_load
from vanillabeam.fleet.records import Bounds, FleetSettings

__all__ = [
    "CONTROL_VMS",
    "ENTRY_VMS",
    "TARGETS",
    "Callers",
    "FakeTargets",
    "make_document",
    "make_entry_load",
    "make_settings",
    "make_targets",
]

ENTRY_VMS = 60
CONTROL_VMS = 8
TARGETS = 70
EVENTS = 20
CALLERS = 4
HEAD_END = b"\r\n\r\n"
#: Targets that one entry VM has used in the last seconds.
USED_TARGETS = 12


def make_targets(port: int) -> list[Target]:
    """Return targets of two services, each at a loopback address of its own."""
    return [
        Target(
            f"worker-{number:03}",
            born_ms=1_700_000_000_000 + number,
            sequence=1,
            service="llm" if number % 7 else "app",
            address=f"127.0.1.{number + 1}:{port}",
            data_centre="abc"[number % 3],
            slots=12,
            versions={"m": 1},
        )
        for number in range(TARGETS)
    ]


def make_entry_load(vms: int, seed: int = 0) -> EntryLoad:
    """Return the load of entry VMs, summed if there are several."""
    rng = random.Random(seed)
    used = TARGETS if vms > 1 else USED_TARGETS
    names = [f"worker-{n:03}" for n in rng.sample(range(TARGETS), used)]
    return make_load(
        {name: {0: 300 * vms, 2: 900 * vms} for name in names},
        dict.fromkeys(names, 2000 * vms),
        answers=dict.fromkeys(names, 3 * vms),
    )


def make_settings(vm: str, **changes: Any) -> FleetSettings:
    """Return the settings of a VM."""
    fields = {
        "vm": vm,
        "data_centre": "a",
        "host": "127.0.0.1",
        "entry_address": "",
        "readiness_address": "",
        "control_address": "",
        "peer_port": 7420,
        "seeds": tuple(f"127.0.0.{number + 1}" for number in range(CONTROL_VMS)),
        "bootstrap": True,
        "data_folder": "",
        "metrics_port": 0,
        "bounds": Bounds(),
    }
    return FleetSettings(**(fields | changes))


def make_document() -> str:
    """Return the document of a deployment."""
    routes = [
        {
            "name": "prompts",
            "host": "shop.example",
            "path_prefix": "/prompts/",
            "kind": "stream",
            "timeout_ms": 12_000,
            "slo_ms": 1_200,
            "priority": 2,
            "backends": [{"service": "llm", "weight": 90}],
            "attempts": 2,
            "public": True,
            "sticky": True,
            "resumable": True,
        },
        {
            "name": "orders",
            "host": "shop.example",
            "path_prefix": "/orders/",
            "kind": "unsafe",
            "timeout_ms": 8_000,
            "service": "app",
            "attempts": 1,
            "public": True,
        },
    ]
    engine = {"slots": 12, "kv_tokens": 83_417_000, "kv_bytes": 18_432}
    services = [
        {"name": "llm", "health_path": "/h", "max_conns": 3_600, "engine": engine},
        {"name": "app", "health_path": "/h", "max_conns": 3_600},
    ]
    document = {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
        "tenants": [],
    }
    return json.dumps(document)


class FakeTargets:
    """A server for all targets' addresses, with a thread for each connection.

    :ivar port: port that it listens on.
    """

    def __init__(self):
        self._listener = socket.create_server(("", 0), backlog=256)
        self.port = self._listener.getsockname()[1]

    def __enter__(self) -> "FakeTargets":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        while True:
            while HEAD_END not in data:
                part = sock.recv(65_536)
                if not part:
                    return
                data += part
            head, _, data = data.partition(HEAD_END)
            headers = _headers(head)
            length = int(headers.get(b"content-length", b"0"))
            while len(data) < length:
                data += sock.recv(65_536)
            data = data[length:]
            self._answer(sock, head, headers)

    def _answer(
        self, sock: socket.socket, head: bytes, headers: dict[bytes, bytes]
    ) -> None:
        name = b"X-Vanillabeam-Request-Id: "
        own = name + headers[b"x-vanillabeam-request-id"] + b"\r\n"
        own += b"X-Vanillabeam-Response-Stamp: stamp\r\n"
        if b"/orders/" in head.split(b"\r\n", 1)[0]:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + own + b"\r\nok")
            return
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n" + own + b"\r\n"
        )
        for number in range(EVENTS):
            event = b"id: %d\ndata: a piece of text\n\n" % (number + 1)
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            threading.Event().wait(0.002)
        sock.sendall(b"0\r\n\r\n")


def _headers(head: bytes) -> dict[bytes, bytes]:
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in lines}


class Callers:
    """Callers with a connection each, in threads.

    :param kind: ``plain`` or ``stream``.
    """

    def __init__(self, port: int, kind: str):
        self._kind = kind
        self._sockets = [
            socket.create_connection(("127.0.0.1", port)) for _ in range(CALLERS)
        ]
        self._sent = 0

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    async def run(self, requests: int) -> None:
        """Send requests, the same number on each connection."""
        async with trio.open_nursery() as nursery:
            for number, sock in enumerate(self._sockets):
                nursery.start_soon(
                    trio.to_thread.run_sync,
                    self._call,
                    sock,
                    number,
                    requests // CALLERS,
                )

    def _call(self, sock: socket.socket, number: int, requests: int) -> None:
        end = b"0\r\n\r\n" if self._kind == "stream" else b"ok"
        for count in range(requests):
            sock.sendall(self._request(number, count))
            data = b""
            while not data.endswith(end):
                part = sock.recv(65_536)
                if not part:
                    raise ConnectionError(data)
                data += part
            if not data.startswith(b"HTTP/1.1 200"):
                raise ConnectionError(data)

    def _request(self, number: int, count: int) -> bytes:
        path = b"/orders/1" if self._kind == "plain" else b"/prompts/1"
        lines = [
            b"POST %b HTTP/1.1" % path,
            b"Host: shop.example",
            b"X-Vanillabeam-Request-Id: r-%d-%d" % (number, count),
            b"X-Vanillabeam-Deadline-Ms: 8000",
            b"Content-Length: 2",
        ]
        if self._kind == "stream":
            parts = b"system:400,session-%d:300,own-%d-%d:120" % (number, number, count)
            lines.append(b"X-Vanillabeam-Model: m")
            lines.append(b"X-Vanillabeam-Prefix-Hash: " + parts)
            lines.append(b"X-Vanillabeam-Token-Usage: 820,20")
        return b"\r\n".join(lines) + HEAD_END + b"{}"
