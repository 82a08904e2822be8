"""Several VMs in one process, connected over loopback."""

import random
import socket
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import trio
from returns.result import Failure

from bench.fake_target import FakeTarget, FakeTargetSettings, serve
from tests.builders import make_settings
from tests.path.builders import FAST_ORDERS, OPERATOR_KEY, RunningVm
from vanillabeam.exceptions import PeerSilent
from vanillabeam.peerhttp import PeerClient
from vanillabeam.tickets.keys import key_digest
from vanillabeam.vm import Vm

SILENCE_S = 2.0


def hold_port() -> socket.socket:
    """Return a socket that reserves a free port for a listener.

    The socket doesn't listen. A listener that sets ``SO_REUSEADDR`` can still bind
    the port, and until then connections to it are refused.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def port_of(sock: socket.socket) -> int:
    return sock.getsockname()[1]


class PartitionableCall:
    """Peer client whose calls time out on the fleet's lost links."""

    def __init__(self, fleet: "Fleet", vm: str, client: PeerClient):
        self.fleet = fleet
        self.vm = vm
        self.client = client

    async def __call__(self, address, path, body):
        if self.fleet.is_lost(self.vm, address):
            await trio.sleep(SILENCE_S)
            return Failure(PeerSilent(address))
        return await self.client(address, path, body)


class PartitionableVm(Vm):
    """A VM whose calls to other VMs get lost on the fleet's lost links."""

    fleet: "Fleet"

    def peer_call(self):
        return PartitionableCall(self.fleet, self.cfg["vm"], super().peer_call())


class Fleet:
    """VMs by name, each with a nursery of its own.

    :param layout: data centre of each VM.
    :param control: names of the control VMs.
    :param stores: names of the store VMs.
    :ivar lost_links: pairs of sender and receiver between which calls get lost.
    :ivar seeds: by name of a VM, the only peers in its settings; VMs that are not
        in it have all peers in theirs.
    """

    def __init__(
        self,
        folder: Path,
        layout: dict[str, str],
        control: list[str],
        stores: list[str] = (),
    ):
        self.folder = folder
        self.layout = layout
        self.control = control
        self.stores = stores
        self._sockets = [hold_port() for _ in range(2 * len(layout))]
        ports = iter([port_of(sock) for sock in self._sockets])
        self.ports = {vm: next(ports) for vm in layout}
        self.target_ports = {vm: next(ports) for vm in layout}
        self.lost_links: set[tuple[str, str]] = set()
        self.running: dict[str, RunningVm] = {}
        self.seeds: dict[str, list[str]] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    def settings(self, vm: str, bootstrap: bool):
        peers = [
            {
                "vm": other,
                "data_centre": self.layout[other],
                "address": f"127.0.0.1:{self.ports[other]}",
            }
            for other in self.layout
            if other != vm
        ]
        roles = ["entry"]
        changes = {}
        members = self.control
        if vm in self.seeds:
            seed_peers = [peer for peer in peers if peer["vm"] in self.seeds[vm]]
            fields = ("data_centre", "address")
            changes["seeds"] = [
                {key: peer[key] for key in fields} for peer in seed_peers
            ]
            peers, members = [], []
        if vm in self.control:
            roles.append("control")
        if vm in self.stores:
            roles.append("store")
            sizes = {"memory_bytes": 2**22, "disk_bytes": 2**23}
            changes["store"] = {"listener": {"port": 0}, **sizes}
        return make_settings(
            self.folder / vm,
            vm=vm,
            data_centre=self.layout[vm],
            roles=roles,
            data_folder="data" if len(roles) > 1 else None,
            listeners={
                "callers": {"port": 0},
                "targets": {"port": self.target_ports[vm]},
                "peers": {"port": self.ports[vm]},
            },
            peers=peers,
            control={"members": members, "bootstrap": bootstrap},
            operators=[{"name": "aline", "key_digest": key_digest(OPERATOR_KEY)}],
            drain={"notice_s": 0.2, "deadline_s": 20.0},
            routing={"kv_token_bytes": 1},
            **changes,
        )

    async def start(self, vm: str, bootstrap: bool = False) -> RunningVm:
        """Start a VM and wait until it has started."""
        started = trio.Event()
        self._nursery.start_soon(self._run, vm, bootstrap, started)
        await started.wait()
        return self.running[vm]

    def kill(self, vm: str) -> None:
        """Stop a running VM abruptly, without a drain."""
        del self.running[vm]
        self.cancel_vm(vm)

    def cancel_vm(self, vm: str) -> None:
        """Cancel the tasks of a VM that has already been removed from ``running``."""
        self._scopes.pop(vm).cancel()

    async def start_target(self, name: str, data_centre: str, **fields) -> FakeTarget:
        """Start a target that announces itself to the first VM of its data centre."""
        vm = min(vm for vm in self.layout if self.layout[vm] == data_centre)
        settings = FakeTargetSettings(
            target=name,
            data_centre=data_centre,
            listener=f"127.0.0.1:{self.target_ports[vm]}",
            announce_every_s=0.5,
            **fields,
        )
        target = FakeTarget(settings)
        await self._nursery.start(partial(serve, settings, target=target))
        return target

    def is_lost(self, sender: str, address: str) -> bool:
        """Return whether a call from ``sender`` to ``address`` gets lost."""
        port = int(address.rpartition(":")[2])
        receivers = [vm for vm, vm_port in self.ports.items() if vm_port == port]
        return any((sender, receiver) in self.lost_links for receiver in receivers)

    async def _run(self, vm: str, bootstrap: bool, started: trio.Event) -> None:
        cfg = self.settings(vm, bootstrap)
        instance = PartitionableVm(cfg, random.Random(vm), FAST_ORDERS)
        instance.fleet = self
        with trio.CancelScope() as scope:
            self._scopes[vm] = scope
            async with trio.open_nursery() as nursery:
                await nursery.start(instance.run)
                self.running[vm] = RunningVm(instance, nursery)
                started.set()
                await trio.sleep_forever()

    @asynccontextmanager
    async def open(self):
        """Start all VMs, wait until they are ready, and stop them at the end."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for vm in self.layout:
                await self.start(vm, bootstrap=True)
            for running in self.running.values():
                await running.wait_until(lambda r=running: r.vm.lifecycle.is_ready)
            yield self
            nursery.cancel_scope.cancel()
        for sock in self._sockets:
            sock.close()
