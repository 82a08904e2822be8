"""Callers that keep connections open and retry, and the balancer in front."""

import json
from functools import partial
from itertools import count

import httpcore
import trio

from tests.soak.fleet import ENTRY_PORT, READINESS_PORT
from tests.soak.history import Attempt
from tests.soak.targets import EVENTS

HOST = "depot.example"
FIXED_KEY = "key-fixed"
#: Path, kind, milliseconds that the caller waits, and further headers.
PLAIN_LIMIT_S = 1.5
STREAM_LIMIT_S = 10.0
PROMPT = {
    "X-Vanillabeam-Model": "m",
    "X-Vanillabeam-Token-Usage": "100,12",
}
FIRST_PART, OWN_PART = "5c1e07a2:80", "91bd3f06:20"
FIRST_ROUTES = (
    ("/pay/", "unsafe"),
    ("/look/", "safe"),
    ("/chat/", "resumable"),
    ("/flag/", "stream"),
)
MISSES = 2
MAX_RETRIES = 2
PROMISES = (408, 421, 429, 503)
FINAL = (200, 400, 401, 404, 413, 431)
FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_numbers = count(1)


def make_prompt(part=""):
    """Return the headers of a prompt.

    :param part: id of a shared part beside the first one; empty for none.
    """
    parts = [FIRST_PART, *([f"{part}:40"] if part else []), OWN_PART]
    return PROMPT | {"X-Vanillabeam-Prefix-Hash": ",".join(parts)}


class Balancer:
    """Chooses an entry VM for each new connection, by readiness checks."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.misses = {vm.name: MISSES for vm in fleet.entries}
        self._http = httpcore.AsyncConnectionPool()

    async def run(self):
        async with trio.open_nursery() as nursery:
            for vm in self.fleet.entries:
                nursery.start_soon(self._watch, vm)

    async def _watch(self, vm):
        url = f"http://{vm.host}:{READINESS_PORT}/api/ready"
        while True:
            status = 0
            with trio.move_on_after(1.0):
                try:
                    status = (await self._http.request("GET", url)).status
                except FAILURES:
                    status = 0
            missed = self.misses[vm.name] + 1
            self.misses[vm.name] = 0 if status == 200 else missed
            await trio.sleep(1.0)

    def choose(self, zone):
        """Return an entry VM of a data centre, or of another one."""
        zones = [vm for vm in self.fleet.entries if vm.data_centre == zone]
        for vms in (zones, self.fleet.entries):
            ready = [vm for vm in vms if self.misses[vm.name] < MISSES]
            if vms and len(ready) * 2 >= len(vms):
                return self.rng.choice(ready)
            if ready:
                return self.rng.choice(vms)
        return self.rng.choice(zones or self.fleet.entries)


class Client:
    """A caller with one connection, which it keeps as long as it can."""

    def __init__(self, history, name):
        self.history = history
        self.name = name
        self.vm = None
        self._http = None

    async def move(self, vm):
        """Use a new connection to a VM."""
        await self.close()
        self.vm = vm
        self._http = httpcore.AsyncConnectionPool(max_connections=1)

    async def close(self):
        """Close the connection, if there is one."""
        if self._http is not None:
            with trio.CancelScope(shield=True):
                await self._http.aclose()

    async def send(
        self, path, kind, limit_s, group, key=FIXED_KEY, part="", prompt=None
    ):
        """Send a request once; record and return the attempt.

        :param part: shared part of the prompt beside the first one.
        :param prompt: headers of another prompt.
        """
        request_id = f"{self.name}-{next(_numbers)}"
        vm, starts, sent_s = self.vm, self.vm.starts, self.history.now_s()
        headers = {
            "Host": HOST,
            "X-Vanillabeam-Request-Id": request_id,
            "X-Vanillabeam-Deadline-Ms": str(int(1000 * limit_s)),
            "X-Vanillabeam-Key": key,
        }
        is_stream = kind in ("stream", "resumable")
        if is_stream:
            headers |= prompt or make_prompt(part)
        answer = Answer(request_id, is_stream)
        url = f"http://{vm.host}:{ENTRY_PORT}{path}{request_id}"
        with trio.move_on_after(limit_s):
            try:
                async with self._http.stream(
                    "POST",
                    url,
                    headers=headers
                    | (prompt or make_prompt(part) if is_stream else {}),
                    content=b"{}",
                    extensions={"timeout": {"connect": 1.0}},
                ) as response:
                    await answer.read(response)
            except FAILURES:
                answer.status = 0
        attempt = Attempt(
            request_id,
            kind,
            group,
            vm.name,
            starts if starts == vm.starts else 0,
            path,
            key,
            sent_s,
            self.history.now_s(),
            limit_s,
            answer.status if answer.is_whole else 0,
            answer.service,
            answer.fault,
        )
        self.history.attempts.append(attempt)
        return attempt, answer.retry_after_s


class Answer:
    """What a caller reads of an answer."""

    def __init__(self, request_id, is_stream):
        self.request_id = request_id
        self.is_stream = is_stream
        self.status = 0
        self.is_whole = False
        self.service = ""
        self.fault = ""
        self.retry_after_s = 0.0

    async def read(self, response):
        headers = {name.lower(): value for name, value in response.headers}
        self.status = response.status
        self.retry_after_s = float(headers.get(b"retry-after", b"0"))
        is_run = self.status == 200
        stamped = b"x-vanillabeam-response-stamp" in headers
        if is_run and not stamped:
            self.fault = "a success without a stamp"
        body = b""
        async for part in response.aiter_stream():
            body += part
        self.is_whole = True
        if is_run:
            (self._read_events if self.is_stream else self._read_plain)(body)

    def _read_plain(self, body):
        try:
            document = json.loads(body)
        except ValueError:
            self.fault = f"a body of another shape: {body[:80]!r}"
            return
        self.service = document["service"]
        if document["id"] != self.request_id:
            self.fault = f"the answer of {document['id']}"

    def _read_events(self, body):
        lines = body.decode().splitlines()
        ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        if ids != list(range(1, EVENTS + 1)):
            self.fault = f"a stream that ends as complete with events {ids}"
        for line in lines:
            if line.startswith("data: "):
                self._read_plain(line[6:].encode())


async def call_forever(client, balancer, zone, rng, period_s):
    """Send requests of all kinds; retry as callers do."""
    await client.move(balancer.choose(zone))
    while True:
        await trio.sleep(rng.uniform(0.5, 1.5) * period_s)
        path, kind = rng.choice(FIRST_ROUTES)
        limit_s = STREAM_LIMIT_S if kind in ("stream", "resumable") else PLAIN_LIMIT_S
        send = partial(client.send, path, kind, group="first")
        end_s = client.history.now_s() + limit_s
        for _ in range(1 + MAX_RETRIES):
            left_s = end_s - client.history.now_s()
            if left_s < 0.05:
                break
            attempt, pause_s = await send(limit_s=left_s)
            if attempt.status not in (0, 502, 503, 504):
                break
            await client.move(balancer.choose(zone))
            if kind in ("unsafe", "stream") and attempt.status not in PROMISES:
                break
            await trio.sleep(min(max(pause_s, 0.05), left_s / 3))


async def probe_forever(client, vm, plan, rng, period_s):
    """Ask one entry VM for routes that were just added, moved or removed.

    :param plan: returns a path, a key and the group of the next request.
    """
    await client.move(vm)
    while True:
        await trio.sleep(rng.uniform(0.5, 1.5) * period_s)
        path, key, group = plan(rng)
        attempt, _ = await client.send(path, "safe", PLAIN_LIMIT_S, group, key)
        if not attempt.status:
            await client.move(vm)
