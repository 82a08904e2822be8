"""Task that sends orders to the targets that this VM owns."""

import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.orders.core import handle
from vanillabeam.orders.counts import accounted_leases, ready_counts
from vanillabeam.orders.events import (
    AskLease,
    ConfigChanged,
    Effect,
    EndImports,
    Event,
    FreshnessProved,
    FreshnessUnknown,
    ImportsEnded,
    LeaseGranted,
    LeaseRefused,
    OrderAnswered,
    OrderFailed,
    Owned,
    OwnedSeen,
    ProveFreshness,
    ReleaseLease,
    SendOrder,
    Tick,
)
from vanillabeam.orders.exceptions import OrderTimedOut
from vanillabeam.orders.keeper import LeaseKeeper
from vanillabeam.orders.leases import LeaseRequest
from vanillabeam.orders.state import OrdersSettings, OrdersState
from vanillabeam.peercall import PeerRoutes
from vanillabeam.targetwire import Announcement, Order, OrderReply

__all__ = ["OrderSender", "Orders", "TargetStatus"]

TICK_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 5.0

#: ``await order_target(address, order)`` sends an order and returns the answer.
OrderSender = Callable[[str, Order], Awaitable[Result[OrderReply, VanillabeamError]]]


class TargetStatus(NamedTuple):
    """Progress of one owned target's order.

    :param phase: a value of :class:`Phase`.
    :param index: highest index of the orders sent to the target.
    :param hold_reason: why the target is not ordered now; empty if there is no
        reason.
    """

    target: str
    phase: str
    index: int
    hold_reason: str


class Orders:
    """Shell of the orders core: runs its effects and feeds it events.

    :param name: this VM's name.
    :param data_centre: this VM's data centre.
    :param keeper: grants load leases or requests them from other VMs.
    :param order_target: sends an order to a target and returns the answer.
    :param owned: returns announcement and epoch of each target owned now, by name.
    :param running: returns the number of runs on a target.
    :param end_imports: returns after all imports at a target have ended or were
        cancelled.
    :param prove_freshness: returns the index of the newest ticket, confirmed by a
        quorum.
    :param rng: random source for the jitter of retries.

    >>> orders = Orders("vm-1", "kgl-1", keeper, order_target, targets.owned,
    ...                 running, end_imports, fresh.prove, rng)
    >>> await nursery.start(orders.run)
    >>> orders.may_import("engine-1")
    True
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        keeper: LeaseKeeper,
        order_target: OrderSender,
        owned: Callable[[], dict[str, tuple[Announcement, int]]],
        running: Callable[[str], int],
        end_imports: Callable[[str], Awaitable[Any]],
        prove_freshness: Callable[[], Awaitable[Result[int, VanillabeamError]]],
        rng: random.Random,
        cfg: OrdersSettings | None = None,
    ):
        self._state = OrdersState(name, rng, cfg)
        self._data_centre = data_centre
        self._keeper = keeper
        self._order_target = order_target
        self._owned = owned
        self._running = running
        self._end_imports = end_imports
        self._request_proof = prove_freshness
        self._nursery: trio.Nursery | None = None

    def routes(self) -> PeerRoutes:
        """Return the handlers for the peers' listener."""
        return self._keeper.routes()

    def config_changed(self, config: Config) -> None:
        """Reconcile the targets with ``config`` from now on."""
        self._keeper.config_changed(config)
        self._handle(ConfigChanged(config))

    def serves(self, target: str) -> bool:
        """Return whether new work may go to a target that this VM owns.

        Code that grants work must check this too, so that no run is left on a
        target that goes out of service.
        """
        return self._state.serves(target, trio.current_time())

    def may_import(self, target: str) -> bool:
        """Return whether an import of blocks may begin at the target now.

        Only the target's owner can allow it, and only after the first half minute
        of its ownership, in which an order of the previous owner may still arrive.
        An import must be allowed before it begins and must end when ``end_imports``
        is called, so that a model swap and an import never overlap.
        """
        return self._state.may_import(target, trio.current_time())

    def imports_ended(self, target: str) -> None:
        """Report that no import runs at the target."""
        self._handle(ImportsEnded(target))

    def status(self) -> tuple[TargetStatus, ...]:
        """Return the progress of the orders of all owned targets, by name."""
        return tuple(
            TargetStatus(name, target.phase, target.highest_index, target.hold_reason)
            for name, target in sorted(self._state.targets.items())
        )

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Reconcile until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._report)
            task_status.started()
            while True:
                self._update_owned()
                self._handle(Tick())
                await trio.sleep(TICK_INTERVAL_S)

    def _update_owned(self) -> None:
        owned = {
            name: Owned(announcement, epoch, self._running(name))
            for name, (announcement, epoch) in self._owned().items()
        }
        self._handle(OwnedSeen(owned))

    def _handle(self, event: Event) -> None:
        try:
            effects = handle(event, self._state, trio.current_time())
        except InvariantBroken as exc:
            logger.critical(
                "orders core broke an invariant on {}: {}",
                type(event).__name__,
                exc.detail,
            )
            return
        if self._nursery is None:
            return
        for effect in effects:
            self._nursery.start_soon(self._run_effect, effect)

    async def _run_effect(self, effect: Effect) -> None:
        match effect:
            case EndImports(target):
                await self._end_imports(target)
                self._handle(ImportsEnded(target))
            case AskLease():
                await self._request_lease(effect)
            case ReleaseLease(lease):
                await self._keeper.release(lease)
            case ProveFreshness(target):
                await self._prove_freshness(target)
            case SendOrder():
                await self._send_order(effect)

    async def _request_lease(self, effect: AskLease) -> None:
        requested_at_s = trio.current_time()
        request: LeaseRequest = {
            "lease": effect.lease,
            "owner": self._state.name,
            "reporter": self._data_centre,
            "target": effect.target,
            "stores": list(effect.stores),
            "models": list(effect.models),
            "failures": effect.failures,
        }
        match await self._keeper.request_lease(request):
            case Success(reply):
                lasts_s = reply["lasts_s"] - (trio.current_time() - requested_at_s)
                self._handle(LeaseGranted(effect.target, reply["lease"], lasts_s))
            case Failure(exc):
                self._handle(LeaseRefused(effect.target, f"{exc.type}: {exc.detail}"))

    async def _prove_freshness(self, target: str) -> None:
        match await self._request_proof():
            case Success(index):
                self._handle(FreshnessProved(target, index))
            case Failure(_):
                self._handle(FreshnessUnknown(target))

    async def _send_order(self, effect: SendOrder) -> None:
        result: Result[OrderReply, VanillabeamError] = Failure(OrderTimedOut())
        with trio.move_on_after(self._state.cfg.order_timeout_s):
            result = await self._order_target(effect.address, effect.order)
        match result:
            case Success(reply):
                self._handle(OrderAnswered(effect.target, effect.attempt, reply))
            case Failure(exc):
                logger.info("order to {} failed: {}", effect.target, exc.type)
                self._handle(OrderFailed(effect.target, effect.attempt))

    async def _report(self) -> None:
        while True:
            ready = ready_counts(self._state, trio.current_time())
            if ready:
                leases = accounted_leases(self._state, trio.current_time())
                await self._keeper.report(ready, leases)
            await trio.sleep(REPORT_INTERVAL_S)
