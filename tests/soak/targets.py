"""Stand-in targets that count what they run and announce themselves."""

import json
import random
import time
from contextlib import asynccontextmanager

import httpcore
import trio

from tests.platform.builders import make_heartbeat
from tests.platform.standin import Worker, refuse_with, send_answer
from tests.soak.fleet import BOUNDS, CONTROL_PORT
from tests.soak.history import Run
from tests.soak.limits import Arrival
from tests.soak.weights import Weights

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
WORK_S = 0.02
EVENT_PERIOD_S = 0.04
EVENTS = 12
SLOW_S = 0.4
#: Part of prompts under which a target ends, and seconds until another one starts.
POISON = b"deadbeef"
DOWN_S = 2.0
MODEL_SERVICE = "llm"
VERSIONS = b"x-vanillabeam-weight-versions"
NOT_EXECUTED = ((b"x-vanillabeam-not-executed", b"1"),)
LAST_SEQUENCE = 1_000_000
#: Control VMs that a target calls for one heartbeat.
MAX_CALLS = 3
#: Seconds that a target works on after its notice has lapsed.
LINGER_S = 0.3


class SoakTarget(Worker):
    """A target that records its runs.

    :param version: version of its weights, if its service has a model.
    :param on_poison: called with its name when a poisoned prompt has ended it.
    :param on_crash: called with its name when it ends in a load of weights.
    :ivar mode: ``fine``, ``slow``, ``full`` (refuses) or ``failing``.
    :ivar limit: value with which its answers name a limit; empty for none.
    :ivar event_period_s: seconds between two events of its streams.
    :ivar software: version of its software.
    :ivar version_order: rollout that it was started for; ``None`` for none.
    :ivar state: what its heartbeats say.
    :ivar started_s: its start, since that of the fleet.
    :ivar host: control VM that answered its last heartbeat.
    """

    def __init__(
        self,
        name,
        service,
        data_centre,
        history,
        version=1,
        rng=None,
        on_poison=None,
        on_crash=None,
    ):
        super().__init__(name)
        self._on_poison = on_poison
        self.nursery = None
        self.host = ""
        self.service = service
        self.data_centre = data_centre
        self.history = history
        self.mode = "fine"
        self.limit = ""
        self.software = "v1"
        self.version_order = None
        self.event_period_s = EVENT_PERIOD_S
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.started_s = history.now_s()
        self.weights = None
        if service == MODEL_SERVICE:
            self.weights = Weights(self, history, version, rng, on_crash)

    @property
    def models(self):
        """Models as heartbeats list them."""
        return self.weights.models if self.weights else []

    async def _control(self, path, body, send):
        if self.weights is None:
            await send_answer(send, 404, b"{}")
        elif path == "/api/order":
            await self.weights.answer_order(body, send)
        else:
            await self.weights.answer_report(send)

    @property
    def script(self):
        return [self._run]

    @script.setter
    def script(self, answers):
        """Ignore the answers of the base class: all requests are answered alike."""

    async def _run(self, headers, send):
        request_id = headers.get(b"x-vanillabeam-request-id", b"").decode()
        arrival = Arrival(request_id, self.name, self.born_ms, self.history.now_s())
        self.history.arrivals.append(arrival)
        if self.mode == "full" or (self.weights and self.weights.is_busy):
            refusal = (*NOT_EXECUTED, *self._limit_headers())
            await refuse_with(503, refusal)(headers, send)
            return
        if self._is_misdirected(headers):
            await send_answer(send, 421, b"", headers, NOT_EXECUTED)
            return
        with trio.CancelScope() as scope:
            runs = self.weights.runs if self.weights else set()
            runs.add(scope)
            try:
                await self._work(headers, send)
            finally:
                runs.discard(scope)

    def _is_misdirected(self, headers):
        """Return whether a request wants other weights than these."""
        expected = headers.get(b"x-vanillabeam-expect-version")
        if expected is None or self.weights is None:
            return False
        return int(expected) != self.weights.version

    async def _work(self, headers, send):
        request_id = headers.get(b"x-vanillabeam-request-id", b"").decode()
        version = self.weights.version if self.weights else 0
        salt = headers.get(b"x-vanillabeam-cache-salt", b"").decode()
        tenant = headers.get(b"x-vanillabeam-tenant", b"").decode()
        at_s = self.history.now_s()
        run = Run(request_id, self.name, at_s, version, salt, tenant)
        self.history.runs.append(run)
        if self.version_order is not None and self.version_order.is_bad:
            self.version_order.bad_s.append(at_s)
            await send_answer(send, 500, b"failed", headers)
            return
        if self.mode == "failing":
            await send_answer(send, 500, b"failed", headers, self._limit_headers())
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
        await send_answer(send, 200, body, headers, self._limit_headers())

    def _limit_headers(self):
        return ((b"server-limit", self.limit.encode()),) if self.limit else ()

    async def _stream(self, headers, send):
        request_id = headers[b"x-vanillabeam-request-id"]
        version = self.weights.version
        names = [
            (b"content-type", b"text/event-stream"),
            (b"x-vanillabeam-request-id", request_id),
            (b"x-vanillabeam-response-stamp", b"stamp"),
            (VERSIONS, str(version).encode()),
            *self._limit_headers(),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": names})
        begin = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(begin, EVENTS + 1):
            data = {"id": request_id.decode(), "service": self.service}
            event = f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
            if version != self.weights.version:
                version = self.weights.version
                event = VERSIONS + f": {version}\n".encode() + event
            part = {"type": "http.response.body", "body": event, "more_body": True}
            await send(part)
            await trio.sleep(self.event_period_s)
        await send({"type": "http.response.body", "body": b""})


class TargetPool:
    """Targets by name; each sends its heartbeats to the control VM that answered last.

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
        #: Software version of a service's targets that start; the first one if omitted.
        self.software: dict[str, str] = {}
        self.is_rolling = False
        self._http = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)

    async def add(self, service, data_centre, software="", version_order=None):
        """Start a target under a new name, with the newest weights.

        :param software: version of its software; that of its service if empty.
        :param version_order: rollout that it is started for.
        """
        self._made += 1
        name = f"i-{service}-{self._made}"
        newest = self.history.newest_named()
        software = software or self.software.get(service, "v1")
        if version_order is not None:
            version_order.names.append(name)
        origin = (software, version_order)
        return await self._start(name, service, data_centre, newest, origin)

    async def _add_like(self, target):
        """Start a target in place of another one, with the same software."""
        is_current = target.version_order is None
        software = "" if is_current else target.software
        await self.add(
            target.service, target.data_centre, software, target.version_order
        )

    async def _start(self, name, service, data_centre, version, origin):
        rng = random.Random(self.rng.random())
        target = SoakTarget(
            name,
            service,
            data_centre,
            self.history,
            version,
            rng,
            self._end,
            self._end_in_load,
        )
        target.software, target.version_order = origin
        target.host = self.rng.choice(self.hosts)
        self._scopes[name] = await self.nursery.start(self._run, target)
        self.targets[name] = target
        self.history.zones[name] = data_centre
        self.history.running.add(name)
        self.nursery.start_soon(self._announce, target)
        return target

    async def _run(self, target, *, task_status=trio.TASK_STATUS_IGNORED):
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as target.nursery:
                await target.nursery.start(target.run)
                task_status.started(scope)

    async def _announce(self, target):
        sequence = 0
        while self.targets.get(target.name) is target:
            sequence += 1
            await self._call(target, "Heartbeat", self._heartbeat(target, sequence))
            await trio.sleep(HEARTBEAT_S)

    def _heartbeat(self, target, sequence):
        return make_heartbeat(
            service=target.service,
            address=target.address,
            zone=target.data_centre,
            slots=64,
            state=target.state,
            models=target.models,
            version=target.software,
            seq=sequence,
            born=target.born_ms,
        )

    async def _call(self, target, name, document):
        """Call the control VM that answered last; go on to the next after a failure."""
        body = json.dumps(document).encode()
        for _ in range(min(MAX_CALLS, len(self.hosts))):
            url = f"http://{target.host}:{CONTROL_PORT}/api/Instances.{name}"
            with trio.move_on_after(CALL_TIMEOUT_S):
                try:
                    res = await self._http.request(
                        "POST", f"{url}/{target.name}", content=body
                    )
                    if res.status < 300:
                        return True
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
            target.host = self._next_host(target.host)
        return False

    def _next_host(self, host):
        if host not in self.hosts:
            return self.rng.choice(self.hosts)
        return self.hosts[(self.hosts.index(host) + 1) % len(self.hosts)]

    def _end(self, name):
        """End a target at once; another one of its service starts some time later."""
        if name in self.targets:
            self.nursery.start_soon(self._replace_later, self.stop(name))

    async def _replace_later(self, target):
        await trio.sleep(DOWN_S)
        await self._add_like(target)

    async def crash(self, name):
        """End a target at once and start another one of its service."""
        target = self.stop(name)
        await self._add_like(target)

    def stop(self, name):
        """End a target at once, and return it."""
        target = self.targets.pop(name)
        self.history.running.discard(name)
        self._scopes.pop(name).cancel()
        if target.weights:
            target.weights.life.end_s = self.history.now_s()
        return target

    def _end_in_load(self, name):
        """End a target at once; it starts again with the version that it had."""
        if name in self.targets:
            self.nursery.start_soon(self._restart_later, self.stop(name))

    async def _restart_later(self, target):
        await trio.sleep(DOWN_S)
        version = target.weights.version
        origin = (target.software, target.version_order)
        await self._start(
            target.name, target.service, target.data_centre, version, origin
        )

    async def replace(self, name):
        """Have a target leave as planned, after another one has started."""
        await self._add_like(self.targets[name])
        await self.retire(name)

    async def retire(self, name):
        """Have a target leave as planned."""
        target = self.targets[name]
        target.state = "draining"
        if target.weights:
            target.weights.life.leaving_s = self.history.now_s()
        heartbeat = self._heartbeat(target, LAST_SEQUENCE)
        while not await self._call(target, "Heartbeat", heartbeat):
            await trio.sleep(0.1)
        self.history.drained[name] = self.history.now_s()
        await trio.sleep(BOUNDS["drain_ms"] / 1000 + LINGER_S)
        if self.targets.get(name) is not target:
            return
        del self.targets[name]
        self.history.running.discard(name)
        scope = self._scopes.pop(name)
        await self._call(target, "Leave", {"born": target.born_ms})
        await trio.sleep(LINGER_S)
        scope.cancel()

    @asynccontextmanager
    async def leaving(self, name):
        """Have a target announce itself no more, and serve until the context ends.

        :returns: the target and the last announcement that it made.
        """
        target = self.targets.pop(name)
        scope = self._scopes.pop(name)
        self.history.running.discard(name)
        if target.weights:
            target.weights.life.leaving_s = self.history.now_s()
        try:
            yield target, self._heartbeat(target, LAST_SEQUENCE)
        finally:
            scope.cancel()


def choose_target(pool, rng: random.Random):
    """Return the name of a random target that doesn't leave."""
    ready = [name for name, t in pool.targets.items() if t.state == "ready"]
    return rng.choice(ready)
