"""One VM: its listeners, components and lifecycle."""

import random
import time

import trio
from loguru import logger
from returns.result import Failure
from starlette.applications import Starlette

from vanillabeam.burn import BurnCounter, Objectives
from vanillabeam.callers import Entry, caller_app
from vanillabeam.components import Components
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.gauges import Gauges
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.listeners import ListenerTask
from vanillabeam.metrics import Counter, Metrics, Timer
from vanillabeam.middleware import DeferredApp, SharedKeyMiddleware, read_key
from vanillabeam.operators import (
    Accounting,
    Operators,
    OperatorService,
    Traces,
    operator_routes,
)
from vanillabeam.orders import OrdersSettings
from vanillabeam.peercall import PeerCall
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.readiness import SETTLE_S, Readiness
from vanillabeam.settings import Settings
from vanillabeam.store import make_app
from vanillabeam.targetapp import target_app
from vanillabeam.tls import client_context

__all__ = ["Vm"]

#: Seconds that a planned stop waits for calls whose callers have left, and for
#: their claim records.
FLUSH_TIMEOUT_S = 10.0
#: Seconds without data after which an order to a target fails; targets take long
#: to answer orders.
ORDER_SILENCE_TIMEOUT_S = 120.0
#: Body limit of the store's listener, equal to the store's default block limit.
BLOCK_LIMIT_BYTES = 2**31


class Vm:
    """A VM with the roles listed in its settings.

    :param cfg: validated settings.
    :param rng: source of all random choices; seeded in tests.
    :param orders_cfg: times of orders to targets, if not the defaults.

    >>> vm = Vm(cfg)
    >>> await nursery.start(vm.run)
    >>> vm.address("callers")
    '127.0.0.1:7001'
    >>> vm.drain()
    >>> await vm.wait_stopped()
    0
    """

    def __init__(
        self,
        cfg: Settings,
        rng: random.Random | None = None,
        orders_cfg: OrdersSettings | None = None,
    ):
        self.cfg = cfg
        self.orders_cfg = orders_cfg
        self.rng = rng or random.Random()
        self.traces = Traces()
        self.burn = BurnCounter(Objectives(**cfg["objectives"]), cfg["vm"])
        self.metrics = _make_metrics(cfg)
        self._target_key = read_key(cfg["target_key_file"])
        drain = cfg["drain"]
        readiness = Readiness(drain["notice_s"], drain["deadline_s"], SETTLE_S)
        self.lifecycle = Lifecycle(readiness, self._close_callers)
        self.apps = {name: DeferredApp() for name in _listener_settings(cfg)}
        self.listeners = {
            name: ListenerTask(name, self.apps[name], each, self._drain_deadline_s)
            for name, each in _listener_settings(cfg).items()
        }
        self.accounting = Accounting(self.traces, self.burn, self.metrics)
        self.components: Components | None = None
        self.entry: Entry | None = None
        self._callers_closed = trio.Event()
        self._stopped = trio.Event()

    @property
    def _drain_deadline_s(self) -> float:
        return self.cfg["drain"]["deadline_s"]

    def address(self, listener: str) -> str:
        """Return ``host:port`` of a listener; the VM must be running."""
        return self.listeners[listener].address

    def drain(self) -> None:
        """Begin a planned stop; a second call stops the VM at once."""
        self.lifecycle.drain()

    def reload_tls(self) -> None:
        """Reload the certificates of all listeners."""
        for listener in self.listeners.values():
            result = listener.reload_tls()
            if isinstance(result, Failure):
                logger.bind(detail=result.failure().detail).error(
                    "could not reload TLS certificates"
                )

    async def wait_stopped(self) -> int:
        """Wait for the end of a planned stop; return the exit code."""
        await self._stopped.wait()
        return self.lifecycle.exit_code

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; become ready once a configuration is in force."""
        async with trio.open_nursery() as nursery:
            for listener in self.listeners.values():
                await nursery.start(listener.run)
            self.components = self._make_components()
            self.entry = Entry(self.components, self.lifecycle, self.accounting)
            self._set_apps()
            await nursery.start(self.components.run)
            await nursery.start(self.entry.runner.run)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._run_lifecycle)
            nursery.start_soon(self._hand_over_roles)
            nursery.start_soon(Gauges(self).run)
            task_status.started()

    def peer_call(self) -> PeerCall:
        """Return the client that sends messages to other VMs."""
        context = client_context(self.cfg["listeners"]["peers"]["tls"]).unwrap()
        return PeerClient(read_key(self.cfg["peer_key_file"]), context)

    def _make_components(self) -> Components:
        target_key = self._target_key
        return Components(
            cfg=self.cfg,
            addresses={name: each.address for name, each in self.listeners.items()},
            call=self.peer_call(),
            target_call=PeerClient(target_key, None),
            order_call=PeerClient(target_key, None, ORDER_SILENCE_TIMEOUT_S),
            rng=self.rng,
            first_epoch=int(time.time()),
            orders_cfg=self.orders_cfg,
        )

    def _set_apps(self) -> None:
        """Set the application of each listener."""
        operator_service = OperatorService(self)
        routes = self.components.routes() | operator_service.routes()
        operators = Operators(self.cfg["operators"])
        inner = Starlette(
            routes=peer_routes(routes, self._report_invariant_broken)
            + operator_routes(operator_service, operators)
        )
        peer_key = read_key(self.cfg["peer_key_file"])
        self.apps["peers"].app = SharedKeyMiddleware(inner, "/peer/", peer_key)
        targets = target_app(self.components, self._report_invariant_broken)
        self.apps["targets"].app = SharedKeyMiddleware(targets, "/", self._target_key)
        if self.components.store is not None:
            self.apps["store"].app = make_app(self.components.store)
        if "entry" in self.cfg["roles"]:
            self.apps["callers"].app = caller_app(self.entry)

    def _report_invariant_broken(self, exc: InvariantBroken) -> None:
        logger.bind(failure=exc.type, detail=exc.detail).critical("invariant broken")
        self.metrics.count(Counter.INVARIANT_BROKEN)

    def _close_callers(self) -> None:
        self.listeners["callers"].close()
        self._callers_closed.set()

    async def _become_ready(self) -> None:
        config = await self.components.spread.wait_ready()
        self.lifecycle.config_ready(config.index)
        logger.bind(index=config.index).info("ready")

    async def _run_lifecycle(self) -> None:
        await self.lifecycle.run()
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await self.entry.runner.flush()
        if self.lifecycle.cut_requests:
            self.metrics.count(Counter.REQUESTS_CUT, self.lifecycle.cut_requests)
        self.metrics.time(Timer.DRAIN, self.lifecycle.drained_s)
        self._stopped.set()

    async def _hand_over_roles(self) -> None:
        await self.lifecycle.draining.wait()
        await self.components.transfer_leadership()
        await self._callers_closed.wait()
        await self.components.hand_over_targets()


def _listener_settings(cfg: Settings) -> dict:
    settings_by_name = dict(cfg["listeners"])
    if cfg["store"] is not None:
        # The store itself limits the size and the upload time of a block.
        listener = dict(cfg["store"]["listener"])
        listener["limits"] = listener["limits"] | {"body_bytes": BLOCK_LIMIT_BYTES}
        settings_by_name["store"] = listener
    return settings_by_name


def _make_metrics(cfg: Settings) -> Metrics:
    settings = cfg["metrics"]
    if settings is None:
        return Metrics()
    return Metrics(
        settings["host"],
        settings["port"],
        cfg["data_centre"],
        cfg["vm"],
        settings["prefix"],
    )
