"""One VM: its roles put together, its listeners, its life."""

import random
import time

import trio
from loguru import logger
from returns.result import Failure
from starlette.applications import Starlette

from vanillabeam.accounting import Accounting
from vanillabeam.auth import Operators
from vanillabeam.burn import BurnCounter, Objectives
from vanillabeam.callers import caller_app
from vanillabeam.entry import Entry
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.gauges import Gauges
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.listeners import ListenerTask
from vanillabeam.metrics import Counter, Metrics, Timer
from vanillabeam.middleware import DeferredApp, SharedKeyMiddleware, read_key
from vanillabeam.operators import operator_routes
from vanillabeam.orders import OrdersConfig
from vanillabeam.overview import Overview
from vanillabeam.parts import Parts
from vanillabeam.peercall import PeerCall
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.readiness import Readiness
from vanillabeam.settings import Settings
from vanillabeam.store import make_app
from vanillabeam.targetapp import target_app
from vanillabeam.tls import client_context
from vanillabeam.traces import Traces

__all__ = ["Vm"]

FLUSH_LIMIT_S = 10.0
ORDER_SILENCE_S = 120.0
BLOCK_LIMIT_BYTES = 2**31


class Vm:
    """A VM with every role that its settings name.

    :param cfg: checked settings.
    :param rng: source of all random choices; seeded in tests.
    :param orders_cfg: times of orders to targets, where not the usual ones.

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
        orders_cfg: OrdersConfig | None = None,
    ):
        self.cfg = cfg
        self.orders_cfg = orders_cfg
        self.rng = rng or random.Random()
        self.traces = Traces()
        self.burn = BurnCounter(Objectives(**cfg["objectives"]), cfg["vm"])
        self.metrics = _metrics(cfg)
        self._target_key = read_key(cfg["target_key_file"])
        readiness = Readiness(cfg["drain"]["notice_s"], cfg["drain"]["deadline_s"])
        self.lifecycle = Lifecycle(readiness, self._close_callers)
        self.apps = {name: DeferredApp() for name in _listener_settings(cfg)}
        self.listeners = {
            name: ListenerTask(name, self.apps[name], each, self._graceful_s)
            for name, each in _listener_settings(cfg).items()
        }
        self.accounting = Accounting(self.traces, self.burn, self.metrics)
        self.parts: Parts | None = None
        self.entry: Entry | None = None
        self._callers_closed = trio.Event()
        self._stopped = trio.Event()

    @property
    def _graceful_s(self) -> float:
        return self.cfg["drain"]["deadline_s"]

    def address(self, listener: str) -> str:
        """Return ``host:port`` of a listener, once the VM runs."""
        return self.listeners[listener].address

    def drain(self) -> None:
        """Begin a planned stop; the second time, end it at once."""
        self.lifecycle.drain()

    def reload_tls(self) -> None:
        """Load every listener's certificate again."""
        for listener in self.listeners.values():
            result = listener.reload_tls()
            if isinstance(result, Failure):
                logger.bind(detail=result.failure().detail).error("tls not reloaded")

    async def wait_stopped(self) -> int:
        """Wait for the end of a planned stop; return the exit code."""
        await self._stopped.wait()
        return self.lifecycle.exit_code

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; ready for work once the configuration is known."""
        async with trio.open_nursery() as nursery:
            for listener in self.listeners.values():
                await nursery.start(listener.run)
            self.parts = self._make_parts()
            self.entry = Entry(self.parts, self.lifecycle, self.accounting)
            self._connect()
            await nursery.start(self.parts.run)
            await nursery.start(self.entry.runner.run)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._live)
            nursery.start_soon(self._hand_over)
            nursery.start_soon(Gauges(self).run)
            task_status.started()

    def peer_call(self) -> PeerCall:
        """Return what reaches the other VMs."""
        context = client_context(self.cfg["listeners"]["peers"]["tls"]).unwrap()
        return PeerClient(read_key(self.cfg["peer_key_file"]), context)

    def _make_parts(self) -> Parts:
        target_key = self._target_key
        return Parts(
            cfg=self.cfg,
            addresses={name: each.address for name, each in self.listeners.items()},
            call=self.peer_call(),
            target_call=PeerClient(target_key, None),
            order_call=PeerClient(target_key, None, ORDER_SILENCE_S),
            rng=self.rng,
            first_epoch=int(time.time()),
            orders_cfg=self.orders_cfg,
        )

    def _connect(self) -> None:
        """Put the applications behind their listeners."""
        overview = Overview(self)
        routes = self.parts.routes() | overview.routes()
        operators = Operators(self.cfg["operators"])
        inner = Starlette(
            routes=peer_routes(routes, self._broken)
            + operator_routes(overview, operators)
        )
        peer_key = read_key(self.cfg["peer_key_file"])
        self.apps["peers"].app = SharedKeyMiddleware(inner, "/peer/", peer_key)
        targets = target_app(self.parts, self._broken)
        self.apps["targets"].app = SharedKeyMiddleware(targets, "/", self._target_key)
        if self.parts.store is not None:
            self.apps["store"].app = make_app(self.parts.store)
        if "entry" in self.cfg["roles"]:
            self.apps["callers"].app = caller_app(self.entry)

    def _broken(self, exc: InvariantBroken) -> None:
        logger.bind(failure=exc.type, detail=exc.detail).critical("invariant broken")
        self.metrics.count(Counter.INVARIANT_BROKEN)

    def _close_callers(self) -> None:
        self.listeners["callers"].close()
        self._callers_closed.set()

    async def _become_ready(self) -> None:
        config = await self.parts.spread.wait_ready()
        self.lifecycle.config_known(config.index)
        logger.bind(index=config.index).info("ready")

    async def _live(self) -> None:
        await self.lifecycle.run()
        with trio.move_on_after(FLUSH_LIMIT_S):
            await self.entry.runner.flush()
        if self.lifecycle.cut_requests:
            self.metrics.count(Counter.REQUESTS_CUT, self.lifecycle.cut_requests)
        self.metrics.time(Timer.DRAIN, self.lifecycle.drained_s)
        self._stopped.set()

    async def _hand_over(self) -> None:
        await self.lifecycle.draining.wait()
        await self.parts.leave_control()
        await self._callers_closed.wait()
        await self.parts.leave_targets()


def _listener_settings(cfg: Settings) -> dict:
    found = dict(cfg["listeners"])
    if cfg["store"] is not None:
        # The store has bounds of its own on the size and the pace of a block.
        listener = dict(cfg["store"]["listener"])
        listener["limits"] = listener["limits"] | {"body_bytes": BLOCK_LIMIT_BYTES}
        found["store"] = listener
    return found


def _metrics(cfg: Settings) -> Metrics:
    settings = cfg["metrics"]
    if settings is None:
        return Metrics()
    return Metrics(settings["host"], settings["port"], cfg["data_centre"], cfg["vm"])
