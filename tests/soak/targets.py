"""Stand-in targets that count what they run and announce themselves."""

import json
import random
import time

import httpcore
import trio

from tests.platform.builders import make_heartbeat
from tests.platform.standin import Worker, refuse_with, send_answer
from tests.soak.fleet import BOUNDS, CONTROL_PORT
from tests.soak.history import Run

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
WORK_S = 0.02
EVENT_PERIOD_S = 0.04
EVENTS = 12
SLOW_S = 0.4
#: Part of prompts under which a target ends, and seconds until another one starts.
POISON = b"deadbeef"
DOWN_S = 2.0
#: Seconds that a target works on after its notice has lapsed.
LINGER_S = 0.3


class SoakTarget(Worker):
    """A target that records its runs.

    :ivar mode: ``fine``, ``slow``, ``full`` (refuses) or ``failing``.
    :ivar state: what its heartbeats say.
    """

    def __init__(self, name, service, data_centre, history, on_poison=None):
        super().__init__(name)
        self._on_poison = on_poison
        self.service = service
        self.data_centre = data_centre
        self.history = history
        self.mode = "fine"
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)

    @property
    def script(self):
        return [self._run]

    @script.setter
    def script(self, answers):
        """Ignore the answers of the base class: all requests are answered alike."""

    async def _run(self, headers, send):
        request_id = headers.get(b"x-vanillabeam-request-id", b"").decode()
        if self.mode == "full":
            await refuse_with(503)(headers, send)
            return
        self.history.runs.append(Run(request_id, self.name, self.history.now_s()))
        if self.mode == "failing":
            await send_answer(send, 500, b"failed", headers)
            return
        await trio.sleep(SLOW_S if self.mode == "slow" else WORK_S)
        parts = headers.get(b"x-vanillabeam-prefix-hash", b"").split(b",")[:-1]
        if any(part.partition(b":")[0] == POISON for part in parts):
            self.history.poisoned.append(self.history.now_s())
            self._on_poison(self.name)
            await trio.sleep_forever()
        if b"x-vanillabeam-model" in headers:
            await self._stream(headers, send)
            return
        body = json.dumps({"id": request_id, "service": self.service}).encode()
        await send_answer(send, 200, body, headers)

    async def _stream(self, headers, send):
        request_id = headers[b"x-vanillabeam-request-id"]
        names = [
            (b"content-type", b"text/event-stream"),
            (b"x-vanillabeam-request-id", request_id),
            (b"x-vanillabeam-response-stamp", b"stamp"),
            (b"x-vanillabeam-weight-versions", b"1"),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": names})
        begin = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(begin, EVENTS + 1):
            data = {"id": request_id.decode(), "service": self.service}
            event = f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
            part = {"type": "http.response.body", "body": event, "more_body": True}
            await send(part)
            await trio.sleep(EVENT_PERIOD_S)
        await send({"type": "http.response.body", "body": b""})


class TargetPool:
    """Targets by name, which heartbeat to random control VMs.

    :param hosts: hosts of the control VMs.
    """

    def __init__(self, history, hosts, nursery, rng):
        self.history = history
        self.hosts = hosts
        self.nursery = nursery
        self.rng = rng
        self.targets: dict[str, SoakTarget] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._made = 0
        self._http = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)

    async def add(self, service, data_centre):
        """Start a target under a new name."""
        self._made += 1
        name = f"i-{service}-{self._made}"
        target = SoakTarget(name, service, data_centre, self.history, self._end)
        self._scopes[name] = await self.nursery.start(self._run, target)
        self.targets[name] = target
        self.nursery.start_soon(self._announce, target)
        return target

    async def _run(self, target, *, task_status=trio.TASK_STATUS_IGNORED):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                task_status.started(scope)

    async def _announce(self, target):
        sequence = 0
        while target.name in self.targets:
            sequence += 1
            models = [{"name": "m", "version": target.version, "adapters": []}]
            heartbeat = make_heartbeat(
                service=target.service,
                address=target.address,
                zone=target.data_centre,
                slots=64,
                state=target.state,
                models=models if target.service == "llm" else [],
                seq=sequence,
                born=target.born_ms,
            )
            await self._call(f"/api/Instances.Heartbeat/{target.name}", heartbeat)
            await trio.sleep(HEARTBEAT_S)

    async def _call(self, path, document):
        """Call random control VMs until one acknowledges, but three at most."""
        body = json.dumps(document).encode()
        for host in self.rng.sample(self.hosts, min(3, len(self.hosts))):
            url = f"http://{host}:{CONTROL_PORT}{path}"
            with trio.move_on_after(CALL_TIMEOUT_S):
                try:
                    res = await self._http.request("POST", url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    continue
                if res.status < 300:
                    return True
        return False

    def _end(self, name):
        """End a target at once; another one of its service starts some time later."""
        if name in self.targets:
            self.nursery.start_soon(self._replace_later, self.targets.pop(name))
            self._scopes.pop(name).cancel()

    async def _replace_later(self, target):
        await trio.sleep(DOWN_S)
        await self.add(target.service, target.data_centre)

    async def crash(self, name):
        """End a target at once and start another one of its service."""
        target = self.targets.pop(name)
        self._scopes.pop(name).cancel()
        await self.add(target.service, target.data_centre)

    async def replace(self, name):
        """Have a target leave as planned, after another one has started."""
        target = self.targets[name]
        await self.add(target.service, target.data_centre)
        target.state = "draining"
        heartbeat = make_heartbeat(
            service=target.service,
            address=target.address,
            zone=target.data_centre,
            state="draining",
            models=[],
            seq=1_000_000,
            born=target.born_ms,
        )
        path = f"/api/Instances.Heartbeat/{name}"
        while not await self._call(path, heartbeat):
            await trio.sleep(0.1)
        self.history.drained[name] = self.history.now_s()
        await trio.sleep(BOUNDS["drain_ms"] / 1000 + LINGER_S)
        del self.targets[name]
        await self._call(f"/api/Instances.Leave/{name}", {"born": target.born_ms})
        await trio.sleep(LINGER_S)
        self._scopes.pop(name).cancel()


def choose_target(pool, rng: random.Random):
    """Return the name of a random target that doesn't leave."""
    ready = [name for name, t in pool.targets.items() if t.state == "ready"]
    return rng.choice(ready)
