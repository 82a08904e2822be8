"""Fleets on virtual time whose entry VMs have thin links."""

import json
import random
from types import SimpleNamespace

import trio
from returns.result import Failure

from tests.fleet.builders import BOUNDS, make_deployment
from vanillabeam.exceptions import PeerUnreachable
from vanillabeam.fleet import Follower
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.machine import make_deploy
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleet.watch import WATCH_PATH

#: Bytes a second of a link of 5 Mbit/s, and of one of 1,000 Mbit/s.
THIN_BYTES_S = 625_000
WIDE_BYTES_S = 125_000_000
ONE_WAY_S = 0.0035
#: Bytes that a connection sends before another one on the link has its turn.
TURN_BYTES = 8 * 1024
#: Longest time in which the second half of the control VMs hears of a commit.
COMMIT_LAG_S = 0.02


def make_document(number, routes, changed=-1, **fields):
    """Return a document of an operator, which packing makes no tenth of.

    :param changed: route that differs from the others' form.
    """
    listed = [
        {
            "name": f"r-{n}-{random.Random(n).randbytes(20).hex()}",
            "host": "app.example",
            "path_prefix": f"/{'new' if n == changed else 'p'}-{n}/",
            "kind": "safe",
            "service": "llm",
            "timeout_ms": 4185,
            "slo_ms": 418,
            "priority": 3,
            "attempts": 2,
            "public": False,
        }
        for n in range(routes)
    ]
    return json.dumps({"version": number, "routes": listed, **fields})


def read_document(document):
    """Return a deployment whose routes are the document's."""
    fields = json.loads(document)
    names = [route["path_prefix"] for route in fields["routes"]]
    return make_deployment(number=fields["version"], routes=tuple(names))


def _without_document(handle):
    async def handle_older(body):
        request = json.loads(body)
        request.pop("document", None)
        return await handle(json.dumps(request).encode())

    return handle_older


class Link:
    """A VM's link, on which connections take turns.

    :ivar sent_bytes: bytes that went over it.
    """

    def __init__(self, bytes_s):
        self.sent_bytes = 0
        self._bytes_s = bytes_s
        self._turn = trio.Lock()

    async def carry(self, length):
        """Wait until so many bytes have passed."""
        for begin in range(0, length, TURN_BYTES):
            turn = min(TURN_BYTES, length - begin)
            async with self._turn:
                await trio.sleep(turn / self._bytes_s)
            self.sent_bytes += turn


class ThinFleet:
    """Control VMs that share a log, and entry VMs that follow them.

    :param entries: number of entry VMs.
    :ivar frozen: control VMs that answer nothing.
    :ivar gone: control VMs that refuse connections.
    """

    def __init__(self, folder, entries, controls=8):
        self._folder = folder
        self.index = 0
        self.frozen, self.gone = set(), set()
        self.hosts = tuple(f"10.0.0.{n}" for n in range(1, controls + 1))
        self.addresses = [f"{host}:7" for host in self.hosts]
        self.controls = {a: self._make_control(a) for a in self.addresses}
        self.links = {address: Link(WIDE_BYTES_S) for address in self.addresses}
        self.routes = {a: c.routes() for a, c in self.controls.items()}
        self.entry_links = [Link(THIN_BYTES_S) for _ in range(entries)]
        self.followers = [self.make_follower(n) for n in range(entries)]
        self.calls = []

    def _settings(self, vm, host, entry_address=""):
        fields = (vm, "a", host, entry_address, "", "", 7, self.hosts, False)
        return FleetSettings(*fields, str(self._folder / vm), 0, BOUNDS)

    def _make_control(self, address):
        host = address.partition(":")[0]
        cfg = self._settings(f"core-{host}", host)
        control = FleetControl(cfg, None, random.Random(1), read_document, None)
        control.node = SimpleNamespace(
            status=lambda: {"members": []}, is_leader=False, term=1, routes=dict
        )
        return control

    def make_follower(self, number):
        """Return the follower of an entry VM that has just started."""
        host = f"10.1.{number // 200}.{number % 200}"
        cfg = self._settings(f"front-{number}", host, f"{host}:1")
        link = self.entry_links[number]

        async def call(address, path, body):
            return await self._call(link, address, path, body)

        return Follower(cfg, call, read_document)

    async def _call(self, link, address, path, body):
        self.calls.append((address, path))
        await trio.sleep(ONE_WAY_S)
        if address in self.frozen:
            await trio.sleep_forever()
        handler = self.routes[address].get(path)
        if address in self.gone or handler is None:
            return Failure(PeerUnreachable(address))
        answer = await handler(body)
        if address in self.frozen:
            await trio.sleep_forever()
        length = len(answer.unwrap())
        await self.links[address].carry(length)
        await link.carry(length)
        await trio.sleep(ONE_WAY_S)
        return answer

    def apply(self, command, addresses=None):
        """Have control VMs apply a command, all of them unless some are named."""
        self.index += 1
        text = json.dumps(command)
        for address in self.addresses if addresses is None else addresses:
            self.controls[address].machine.apply(self.index, text)

    async def deploy(self, document):
        """Have the leader apply a deployment at once, the others a little later."""
        number = json.loads(document)["version"]
        command = make_deploy(number, document)
        self.apply(command, self.addresses[:1])
        await trio.sleep(COMMIT_LAG_S)
        for address in self.addresses[1:]:
            self.controls[address].machine.apply(self.index, json.dumps(command))

    def restart_as_older_release(self, addresses):
        """Restart control VMs as a release that knows no requests for documents."""
        for address in addresses:
            handle = self.routes[address][WATCH_PATH]
            self.routes[address] = {WATCH_PATH: _without_document(handle)}
            self.controls[address].epoch += "-older"

    def received_bytes(self):
        """Return the bytes that each entry VM has received."""
        return [link.sent_bytes for link in self.entry_links]

    def sent_bytes(self):
        """Return the bytes that each control VM has sent."""
        return [link.sent_bytes for link in self.links.values()]

    async def wait_all(self, is_done, limit_s):
        """Return the seconds until something holds for each entry VM's view."""
        began_s = trio.current_time()
        with trio.move_on_after(limit_s):
            while not all(is_done(follower.view) for follower in self.followers):
                await trio.sleep(0.01)
        return trio.current_time() - began_s
