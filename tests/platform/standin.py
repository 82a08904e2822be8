"""Test double of the platform: its workers, clients and operator."""

import json
import random
from contextlib import asynccontextmanager
from functools import partial

import httpcore
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from tests.path.fleet import hold_port, port_of
from tests.platform.builders import make_heartbeat, make_settings
from vanillabeam.fleetvm import FleetVm
from vanillabeam.platform.program import PlatformAdapter
from vanillabeam.platform.settings import read_settings

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class Worker:
    """A worker whose answers a test can script.

    :ivar received_headers: headers of each request that it has received.
    :ivar received_bodies: body of each request that it has received.
    :ivar script: the next answers; each is a function of the request's headers and
        ``send``.
    :ivar orders: weight orders that it has received.
    :ivar fence: lowest fencing number of an order that it takes.
    """

    def __init__(self, name):
        self.name = name
        self.received_headers = []
        self.received_bodies = []
        self.script = []
        self.version = 1
        self.orders = []
        self.fence = 0
        self.address = ""

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        cfg = Config()
        cfg.bind = ["127.0.0.1:0"]
        cfg.accesslog = cfg.errorlog = None
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(partial(serve, self, cfg, mode="asgi"))
            self.address = binds[0].split("://", 1)[1]
            task_status.started()

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            raise RuntimeError("no lifespan")
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = dict(scope["headers"])
        expected_name = headers.get(b"x-vanillabeam-expect-instance", b"").decode()
        if expected_name != self.name:
            await send_answer(send, 421, b"")
            return
        if scope["path"].startswith("/api/"):
            await self._control(scope["path"], body, send)
            return
        self.received_headers.append(headers)
        self.received_bodies.append(body)
        if self.script:
            await self.script.pop(0)(headers, send)
            return
        await send_answer(send, 200, b"served by " + self.name.encode(), headers)

    async def _control(self, path, body, send):
        if path == "/api/order":
            order = json.loads(body)
            self.orders.append(order)
            if order["fence"] < self.fence:
                await send_answer(send, 412, b"{}")
                return
            self.version = order["version"]
            await send_answer(send, 202, b"{}")
            return
        models = [{"name": "m", "version": self.version}]
        await send_answer(
            send, 200, json.dumps({"busy": False, "models": models}).encode()
        )


async def send_answer(send, status, body, request_headers=None, extra=()):
    headers = [(b"content-length", str(len(body)).encode()), *extra]
    if request_headers is not None:
        request_id = request_headers.get(b"x-vanillabeam-request-id", b"")
        headers.append((b"x-vanillabeam-request-id", request_id))
        headers.append((b"x-vanillabeam-response-stamp", b"stamp"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def stream_events(first, last, is_broken=False):
    """Return an answer that streams numbered events.

    :param first: number of the first event, unless the request resumes later.
    :param last: number of the last event.
    :param is_broken: whether the stream ends within a further event.
    """

    async def stream(request_headers, send):
        start = int(request_headers.get(b"last-event-id", b"0")) + 1
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"x-vanillabeam-request-id", request_headers[b"x-vanillabeam-request-id"]),
            (b"x-vanillabeam-response-stamp", b"stamp"),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(max(first, start), last + 1):
            data = b"id: %d\ndata: piece\n\n" % number
            await send({"type": "http.response.body", "body": data, "more_body": True})
        if is_broken:
            partial_event = {
                "type": "http.response.body",
                "body": b"id: 9",
                "more_body": True,
            }
            await send(partial_event)
            return
        await send({"type": "http.response.body", "body": b""})

    return stream


def refuse_with(status=503, extra=((b"x-vanillabeam-not-executed", b"1"),)):
    async def send_refusal(request_headers, send):
        await send_answer(send, status, b"full", request_headers, extra)

    return send_refusal


class Platform:
    """Control VMs, an entry VM and workers that announce themselves to them.

    :param bounds: bounds in the settings beside the usual ones.
    """

    def __init__(self, folder, nursery, bounds=None):
        self.folder = folder
        self.bounds = make_settings()["platform"]["bounds"] | (bounds or {})
        self.nursery = nursery
        self.sockets = [hold_port() for _ in range(4)]
        self.control_port, self.peer_port, self.entry_port, self.readiness_port = map(
            port_of, self.sockets
        )
        self.hosts = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
        self.vms = {}
        self.workers = {}
        self.pool = httpcore.AsyncConnectionPool()
        self._sequence = 0

    def settings(self, name, host, listen, **changes):
        path = self.folder / f"{name}.yaml"
        fields = make_settings(
            node=name,
            ip=host,
            listen=listen,
            port_range=[self.peer_port, self.peer_port],
            seeds=[f"{host}:{self.control_port}" for host in self.hosts],
            bounds=self.bounds,
            **changes,
        )
        path.write_text(json.dumps(fields))
        return read_settings(path)

    async def start_control(self, host, bootstrap=True):
        data = self.folder / f"data-{host}"
        data.mkdir(exist_ok=True)
        cfg = self.settings(
            f"core-{host}",
            host,
            {"control": f"{host}:{self.control_port}"},
            bootstrap=bootstrap,
            data_dir=str(data),
        )
        await self._start(cfg)

    async def start_entry(self, number=0):
        """Start an entry VM; the first one is ``front``, further ones have a number."""
        host = f"127.0.0.{number + 1}"
        listen = {
            "front": f"{host}:{self.entry_port}",
            "ready": f"{host}:{self.readiness_port}",
        }
        name = f"front-{number}" if number else "front"
        await self._start(self.settings(name, host, listen, data_dir=None))

    async def _start(self, cfg):
        vm = FleetVm(cfg, PlatformAdapter(), random.Random(cfg.vm))
        scope = await self.nursery.start(_run_in_scope, vm)
        self.vms[cfg.vm] = (vm, scope)

    def kill(self, name):
        self.vms.pop(name)[1].cancel()

    async def start_worker(self, name, host=None, **changes):
        """Start a worker.

        :param host: the only control VM that it calls; ``None`` for any.
        """
        return await self.add_worker(Worker(name), host, **changes)

    async def add_worker(self, worker, host=None, **changes):
        """Start a worker that a test has made."""
        self.workers[worker.name] = worker
        await self.nursery.start(worker.run)
        self.nursery.start_soon(self.announce, worker, changes, host)
        return worker

    async def announce(self, worker, changes, host):
        """Announce a worker until it is taken out of ``workers``."""
        sequence = 0
        while worker.name in self.workers:
            sequence += 1
            models = [{"name": "m", "version": worker.version}]
            heartbeat = {"address": worker.address, "seq": sequence, "models": models}
            heartbeat = make_heartbeat(**(heartbeat | changes))
            path = f"/api/Instances.Heartbeat/{worker.name}"
            await self.call_control("POST", path, heartbeat, host)
            await trio.sleep(0.3)

    async def call_control(self, method, path, document=None, host=None):
        """Call control VMs until one answers without a server error.

        :param host: the only control VM to call; ``None`` for any.
        """
        hosts = [host] if host else self.hosts
        body = b"" if document is None else json.dumps(document).encode()
        with trio.fail_after(TIMEOUT_S):
            while True:
                for host in hosts:
                    url = f"http://{host}:{self.control_port}{path}"
                    try:
                        res = await self.pool.request(method, url, content=body)
                    except (httpcore.NetworkError, httpcore.ProtocolError):
                        continue
                    if res.status < 500:
                        return res
                await trio.sleep(POLL_INTERVAL_S)

    async def send_request(
        self,
        path="/orders/1",
        headers=(),
        key=b"key-1",
        body=b"{}",
        request_id=b"r-1",
        entry=0,
    ):
        """Send a client's request to an entry VM; return the answer."""
        all_headers = [
            (b"Host", b"shop.example"),
            (b"X-Vanillabeam-Request-Id", request_id),
            (b"X-Vanillabeam-Deadline-Ms", b"5000"),
            (b"X-Vanillabeam-Key", key),
            *headers,
        ]
        url = f"http://127.0.0.{entry + 1}:{self.entry_port}{path}"
        with trio.fail_after(TIMEOUT_S):
            return await self.pool.request(
                "POST", url, headers=all_headers, content=body
            )

    async def wait_ready(self, entry=0):
        url = f"http://127.0.0.{entry + 1}:{self.readiness_port}/api/ready"
        await wait_until(partial(self._is_ready, url))

    async def _is_ready(self, url):
        return (await self.pool.request("GET", url)).status == 200

    def has_target(self, name):
        """Return whether the entry VM has a worker in its directory."""
        return name in self.vms["front"][0].follower.directory.records


async def _run_in_scope(vm, *, task_status=trio.TASK_STATUS_IGNORED):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(vm.run)
            task_status.started(scope)


async def wait_until(condition):
    """Wait for a condition; the timeout is long enough for a slow machine."""
    with trio.fail_after(TIMEOUT_S):
        while True:
            result = condition()
            if result is True or (result is not False and await result):
                return
            await trio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def running_platform(folder, control_count=3, bounds=None):
    async with trio.open_nursery() as nursery:
        platform = Platform(folder, nursery, bounds)
        try:
            for host in platform.hosts[:control_count]:
                await platform.start_control(host)
            await platform.start_entry()
            yield platform
        finally:
            platform.workers.clear()
            nursery.cancel_scope.cancel()
            for sock in platform.sockets:
                sock.close()
