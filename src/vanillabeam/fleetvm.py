"""One VM of a fleet: its roles, listeners and lifecycle."""

import random
import socket
from typing import TYPE_CHECKING, Any, Protocol

import trio
from starlette.applications import Starlette

from vanillabeam.capacity.gauges import add_capacity_gauges
from vanillabeam.counters import Counters, CountersApp
from vanillabeam.decisions import Ready, SeedsChanged, log_record
from vanillabeam.fleet import Follower
from vanillabeam.fleet.permitclient import PermitClient
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleetgauges import (
    add_control_gauges,
    add_entry_gauges,
    add_notice_gauges,
)
from vanillabeam.forwarding import Dialect, ForwardingApp
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.listeners import ListenerTask
from vanillabeam.memory import MemoryBudget
from vanillabeam.overload.task import Overload
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.peerloads.task import PeerLoadTask
from vanillabeam.ports import wait_for_port
from vanillabeam.readiness import SETTLE_S, Readiness
from vanillabeam.tasks import TASK_FAILURES, keep_running

if TYPE_CHECKING:
    from vanillabeam.fleet.control import FleetControl
    from vanillabeam.fleet.rollout import TargetOrders
    from vanillabeam.fleet.stores import StoreCalls
    from vanillabeam.settings import Listener

__all__ = ["PlatformAdapter", "FleetVm"]

PEER_SILENCE_S = 2.5
PEER_CONNECT_S = 0.4
#: Longest answer of another VM. A fleet's whole state is a few MB.
PEER_ANSWER_BYTES = 32 * 1024 * 1024
READY_PERIOD_S = 0.05
#: Seconds from SIGTERM until new connections are refused: the load balancer checks
#: every second and removes a VM after two failed checks.
NOTICE_S = 2.6
#: Seconds before SIGKILL at which the process has exited by itself.
EXIT_MARGIN_S = 0.7
#: Seconds for which a stopping control VM keeps answering after its handover.
CONTROL_LINGER_S = 0.5
#: Longest time for which it asks to be removed from the voters: an election and more.
RESIGN_S = 3.0
#: Listeners that a planned stop closes before the others.
CLOSED_ON_DRAIN = ("entry", "control")
MAX_BODY_BYTES = 4 * 1024 * 1024
#: A message of replicas may hold several entries, and texts grow inside another.
MAX_PEER_BODY_BYTES = 8 * MAX_BODY_BYTES
MAX_CONCURRENT_REQUESTS = 2_000


class PlatformAdapter(Protocol):
    """The environment's wire formats: documents, applications, clients.

    :ivar dialect: parses deployments and requests.
    :ivar orders: client that sends orders to targets.
    :ivar stores: client of the KV cache stores.
    """

    dialect: Dialect
    orders: "TargetOrders"
    stores: "StoreCalls"

    def control_app(self, control: "FleetControl") -> Any:
        """Return the ASGI application for targets and operators."""

    def readiness_app(self, lifecycle: Lifecycle) -> Any:
        """Return the ASGI application for the load balancer's health checks."""


class FleetVm:
    """A VM with the roles whose addresses are set in its settings.

    :param adapter: wire formats of the environment.
    :param rng: source of all random choices; seeded in tests.

    >>> vm = FleetVm(cfg, adapter, random.Random())
    >>> await nursery.start(vm.run)
    >>> vm.drain()
    >>> await vm.wait_stopped()
    0
    """

    def __init__(
        self, cfg: FleetSettings, adapter: PlatformAdapter, rng: random.Random
    ):
        self.cfg = cfg
        self.adapter = adapter
        self.rng = rng
        deadline_s = max(1.0, cfg.bounds.grace_s - EXIT_MARGIN_S)
        notice_s = min(NOTICE_S, deadline_s / 2) if cfg.entry_address else 0.0
        settle_s = SETTLE_S if cfg.entry_address else 0.0
        self.lifecycle = Lifecycle(
            Readiness(notice_s, deadline_s, settle_s), self._close_listeners
        )
        self.follower: Follower | None = None
        self.control: FleetControl | None = None
        self.counters = Counters()
        self.counters.add_gauge(
            "task_failures", "Failures of tasks beside requests.", TASK_FAILURES.total
        )
        self._listeners: dict[str, ListenerTask] = {}
        self._are_closed = False
        self._held_port: socket.socket | None = None
        self._stopped = trio.Event()
        #: Monotonic time by which a planned stop has ended.
        self._exit_s = float("inf")

    def drain(self) -> None:
        """Begin a planned stop; a second call ends it at once."""
        self.lifecycle.drain()

    def update_settings(self, cfg: FleetSettings) -> None:
        """Apply changed settings to the running VM; only seeds are applied."""
        if cfg.seeds == self.cfg.seeds:
            return
        log_record(SeedsChanged(list(cfg.seeds)))
        self.cfg = cfg
        if self.follower is not None:
            self.follower.update_seeds(cfg)
        if self.control is not None:
            self.control.update_seeds(cfg)

    async def wait_stopped(self) -> int:
        """Wait until a planned stop has completed; return the exit code."""
        await self._stopped.wait()
        return self.lifecycle.exit_code

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; report the start once each role has its ports.

        A role whose port is in use waits for it, the rest goes on. The metrics page
        is not waited for.
        """
        call = PeerClient(None, None, PEER_SILENCE_S, PEER_CONNECT_S, PEER_ANSWER_BYTES)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_lifecycle)
                if self.cfg.metrics_port:
                    address = f"{self.cfg.host}:{self.cfg.metrics_port}"
                    app = CountersApp(self.counters)
                    nursery.start_soon(self._listen, nursery, "metrics", address, app)
                async with trio.open_nursery() as roles:
                    if self.cfg.control_address:
                        roles.start_soon(self._start_control, nursery, call)
                    if self.cfg.entry_address:
                        roles.start_soon(self._start_entry, nursery, call)
                task_status.started()
        finally:
            if self._held_port is not None:
                self._held_port.close()

    async def _start_control(self, nursery: trio.Nursery, call: PeerClient) -> None:
        # Imported here, as an entry VM starts sooner without the replicated log.
        from vanillabeam.fleet.control import FleetControl
        from vanillabeam.fleet.rollout import Rollout

        read = self.adapter.dialect.read_deployment
        self.control = FleetControl(self.cfg, call, self.rng, read, self.adapter.stores)
        peers = Starlette(routes=peer_routes(self.control.routes()))
        # The data folder is opened only by the holder of the peers' port, which is held
        # until the last write has ended: no two processes write one log.
        await self._listen(
            nursery, "peers", self.cfg.peer_address, peers, hold_port=True
        )
        await nursery.start(self.control.run)
        has_entry = bool(self.cfg.entry_address)
        add_control_gauges(self.counters, self.control, has_entry)
        rollout = Rollout(self.control, self.adapter.orders)
        nursery.start_soon(keep_running, "rollout", rollout.run)
        nursery.start_soon(self._transfer_leadership_on_drain)
        app = self.adapter.control_app(self.control)
        await self._listen(nursery, "control", self.cfg.control_address, app)
        if not self.cfg.entry_address:
            self.lifecycle.config_ready(0)

    async def _start_entry(self, nursery: trio.Nursery, call: PeerClient) -> None:
        dialect = self.adapter.dialect
        self.follower = Follower(self.cfg, call, dialect.read_deployment)
        chooser = Chooser(
            self.cfg.vm,
            self.cfg.data_centre,
            self.follower.directory,
            self.cfg.bounds,
            self.rng,
            self.follower.limits.limits,
        )
        follower = self.follower
        chooser.rates.ask = PermitClient(call, follower.control_vms)
        chooser.rates.entry_count = lambda: len(follower.entry_vms)
        chooser.versions.rollouts = lambda: follower.view.rollouts
        chooser.versions.news_age_s = follower.leader_age_s
        chooser.versions.count_sent = self.counters.count_version
        follower.rollouts = chooser.versions
        memory = MemoryBudget.of_memory(self.cfg.memory_bytes)
        overload = Overload(self.cfg.vm, self.lifecycle, chooser.rates.entry_count)
        app = ForwardingApp(
            dialect,
            self.follower,
            chooser,
            self.lifecycle,
            self.counters,
            self.rng,
            memory,
            self.cfg.vm,
            overload,
        )
        self.counters.add_gauge(
            "held_bytes", "Bytes of bodies held.", lambda: memory.used_bytes
        )
        self.counters.add_gauges(
            "target_connections",
            "Connections to targets by state, and requests in line for one.",
            ("target", "state"),
            app.connection_counts,
        )
        add_entry_gauges(self.counters, self.follower, self.lifecycle)
        add_notice_gauges(self.counters, self.follower, chooser)
        chooser.lines.add_metrics(self.counters)
        capacity = chooser.load.capacity
        add_capacity_gauges(self.counters, capacity, trio.current_time)
        nursery.start_soon(keep_running, "follower", self.follower.run)
        nursery.start_soon(keep_running, "forwarding", app.run)
        nursery.start_soon(keep_running, "overload", overload.run)
        self.counters.add_gauge(
            "overload_delay_seconds",
            "Seconds until a request that is read now is sent; 0 with time to spare.",
            overload.delay_s,
        )
        nursery.start_soon(keep_running, "ended targets", app.probe.run)
        self._exchange_loads(nursery, chooser)
        readiness = self.adapter.readiness_app(self.lifecycle)
        async with trio.open_nursery() as ports:
            address = self.cfg.readiness_address
            ports.start_soon(self._listen, nursery, "readiness", address, readiness)
            await self._listen(nursery, "entry", self.cfg.entry_address, app)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(keep_running, "limits", self._sync_limits)

    def _exchange_loads(self, nursery: trio.Nursery, chooser: Chooser) -> None:
        cfg, load = self.cfg, chooser.load
        task = PeerLoadTask(
            cfg.vm,
            cfg.data_centre,
            cfg.host,
            cfg.peer_port,
            self.follower,
            load.open_work,
        )
        load.peers = task
        self.counters.add_gauge(
            "load_peers",
            "Entry VMs whose load was received lately.",
            lambda: len(task.loads.vms()),
        )
        nursery.start_soon(keep_running, "load exchange", task.run)

    async def _listen(
        self,
        nursery: trio.Nursery,
        name: str,
        address: str,
        app: Any,
        hold_port: bool = False,
    ) -> None:
        """Start a listener once its port is free.

        :param hold_port: whether the port stays taken until the VM has ended.
        """
        sock = await wait_for_port(name, address)
        if self._are_closed and name in CLOSED_ON_DRAIN:
            sock.close()
            return
        if hold_port:
            self._held_port = sock.dup()
        graceful_s = self.cfg.bounds.grace_s
        body_bytes = MAX_PEER_BODY_BYTES if name == "peers" else MAX_BODY_BYTES
        cfg = _listener(address, body_bytes)
        task = ListenerTask(name, app, cfg, graceful_s, sock)
        self._listeners[name] = task
        await nursery.start(task.run)

    async def _become_ready(self) -> None:
        await self.follower.wait_ready()
        self.lifecycle.config_ready(self.follower.view.index)
        log_record(Ready(self.follower.view.index))

    async def _sync_limits(self) -> None:
        """Keep the entry listener's idle timeout equal to the deployment's."""
        while True:
            limits = self.follower.view.deployment.limits
            self._listeners["entry"].hypercorn.keep_alive_timeout = limits.idle_s
            await trio.sleep(READY_PERIOD_S * 10)

    async def _transfer_leadership_on_drain(self) -> None:
        await self.lifecycle.draining.wait()
        self._exit_s = trio.current_time() + self.cfg.bounds.grace_s - EXIT_MARGIN_S
        await self.control.node.transfer_leadership()

    async def _run_lifecycle(self) -> None:
        await self.lifecycle.run()
        if self.control is not None:
            await self.control.node.transfer_leadership()
            await self._resign()
        self._stopped.set()

    async def _resign(self) -> None:
        """Resign from the fleet log, and answer the other control VMs for a while.

        An election may be under way, so there is time for one within the grace period.
        """
        now_s = trio.current_time()
        with trio.move_on_at(min(now_s + RESIGN_S, self._exit_s)):
            await self.control.node.resign()
        await trio.sleep_until(now_s + CONTROL_LINGER_S)

    def _close_listeners(self) -> None:
        self._are_closed = True
        for name in CLOSED_ON_DRAIN:
            if name in self._listeners:
                self._listeners[name].close()


def _listener(address: str, body_bytes: int) -> "Listener":
    host, _, port = address.rpartition(":")
    return {
        "host": host,
        "port": int(port),
        "tls": None,
        "limits": {
            "body_bytes": body_bytes,
            "body_s": 30.0,
            "requests": MAX_CONCURRENT_REQUESTS,
        },
    }
