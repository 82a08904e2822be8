"""Rollout of new weights: the fleet log's leader orders targets to load them."""

import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from vanillabeam.decisions import WeightsOrdered, log_record
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.heldweights import Held, HeldReason, HeldTargets
from vanillabeam.fleet.orderright import OrderRight
from vanillabeam.fleet.orderrun import OrderReply, OrderRun, Step, WeightsReport
from vanillabeam.fleet.records import Target
from vanillabeam.tasks import run_guarded

__all__ = ["Rollout", "TargetOrders", "WeightsOrder", "select_targets"]

PERIOD_S = 0.25
#: Share of a model's targets that may load new weights at the same time, so that
#: the others keep serving and the weight store is not overloaded.
MAX_CONCURRENT_SHARE = 1 / 3
POLL_PERIOD_S = 0.4
#: Seconds before an order is sent, for entry VMs to receive the target's pause.
PAUSE_S = 0.3


class WeightsOrder(NamedTuple):
    """An order to load a model's weights.

    :param holder: VM that sends the order.
    :param fence: fencing number of the ordering leader; increases with each
        leader.
    """

    model: str
    version: int
    holder: str
    fence: int


class TargetOrders(Protocol):
    """Client that sends weight orders to targets.

    :ivar on_leaving: called with a target that says in an answer that it leaves.
    """

    on_leaving: Callable[[Target], None]

    async def load_weights(
        self, target: Target, order: WeightsOrder, sequence: int | None
    ) -> OrderReply:
        """Send the order; return ``UNKNOWN`` if no answer came.

        :param sequence: number of orders that the target must have accepted before
            this one, else it refuses; ``None`` for any.
        """

    async def report(self, target: Target, model: str) -> WeightsReport | None:
        """Return the target's report on a model; ``None`` if no valid one came."""


def select_targets(
    targets: list[Target], weights: dict[str, int], in_progress: set[str]
) -> list[tuple[Target, str]]:
    """Return the targets to order now, each with its outdated model.

    :param weights: newest version of each model.
    :param in_progress: names of targets that are carrying out an order.
    """
    selected: list[tuple[Target, str]] = []
    for model, newest in sorted(weights.items()):
        holders = [target for target in targets if model in target.versions]
        limit = max(1, math.ceil(len(holders) * MAX_CONCURRENT_SHARE))
        available = limit - sum(1 for target in holders if target.name in in_progress)
        outdated = [
            target
            for target in holders
            if target.versions[model] < newest
            and not target.draining
            and target.name not in in_progress
        ]
        outdated.sort(key=lambda target: (target.versions[model], target.name))
        selected += [(target, model) for target in outdated[: max(0, available)]]
    return selected


class Rollout:
    """Orders targets to load new weights while this VM leads the fleet log.

    :param orders: client that sends orders to targets.
    """

    def __init__(self, control: FleetControl, orders: TargetOrders):
        self._control = control
        self._orders = orders
        orders.on_leaving = control.receive_leaving
        self._in_progress: set[str] = set()
        #: Fencing number that each incarnation refused last.
        self._fenced: dict[tuple[str, int], int] = {}
        self._right = OrderRight(control)
        self._held = HeldTargets()
        #: Newest answer of each target, by name.
        self._replies: dict[str, OrderReply] = {}

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_s = trio.current_time()
                self._control.paused &= self._in_progress
                if self._right.is_held():
                    self._start_orders(nursery)
                for line in self._held.update(self._find_held(), now_s):
                    log_record(line)
                await trio.sleep(PERIOD_S)

    def _start_orders(self, nursery: trio.Nursery) -> None:
        control = self._control
        targets = control.follower.directory.targets()
        weights = control.machine.state["weights"]
        for target, model in select_targets(targets, weights, self._in_progress):
            if self._is_fenced(target):
                continue
            self._in_progress.add(target.name)
            nursery.start_soon(
                run_guarded, "weights-order", self._execute, target, model
            )
        fence = self._right.fence
        if fence in self._fenced.values():
            nursery.start_soon(
                run_guarded, "weights-fence", self._right.raise_fence, fence
            )

    def _is_fenced(self, target: Target) -> bool:
        """Return whether a target has refused the fencing number in force."""
        return self._fenced.get(target.incarnation, -1) >= self._right.fence

    def _find_held(self) -> list[Held]:
        """Return the outdated targets that get no order; none if another VM leads."""
        if not self._control.node.is_leader:
            return []
        heard = self._control.directory.targets()
        known = {t.name: t for t in self._control.follower.directory.targets()}
        found = []
        for target in ({t.name: t for t in heard} | known).values():
            if target.name in self._in_progress:
                continue
            for model, newest in self._control.machine.state["weights"].items():
                version = target.versions.get(model, newest)
                if version >= newest:
                    continue
                reply = str(self._replies.get(target.name, ""))
                reason = self._reason(target, target.name in known)
                found.append(Held(target.name, model, version, newest, reason, reply))
        return found

    def _reason(self, target: Target, is_known: bool) -> HeldReason:
        if not is_known:
            return HeldReason.NOT_KNOWN
        if target.draining:
            return HeldReason.DRAINING
        if not self._right.is_held():
            return HeldReason.NO_LEASE
        if self._is_fenced(target):
            return HeldReason.FENCED
        return HeldReason.NO_SLOT

    async def _execute(self, target: Target, model: str) -> None:
        try:
            self._control.pause(target.name)
            await trio.sleep(PAUSE_S)
            await self._carry_out(target, model)
        finally:
            self._in_progress.discard(target.name)

    async def _carry_out(self, target: Target, model: str) -> None:
        """Send the order, again if it got lost, until the target has the version."""
        version = self._control.machine.state["weights"][model]
        run = OrderRun(version, trio.current_time())
        term = self._right.term
        while self._right.is_held(term):
            report = await self._orders.report(target, model)
            step = run.next_step(report, trio.current_time())
            if step is Step.STOP:
                break
            if step is Step.SEND:
                if not await self._right.confirm(term):
                    break
                await self._send(target, model, version, run)
            await trio.sleep(POLL_PERIOD_S)
        if run.is_done:
            self._control.report_weights(target, model, report.version)

    async def _send(
        self, target: Target, model: str, version: int, run: OrderRun
    ) -> None:
        fence = self._right.fence
        order = WeightsOrder(model, version, self._control.cfg.vm, fence)
        reply = await self._orders.load_weights(target, order, run.sequence)
        run.record_reply(reply, trio.current_time())
        self._replies[target.name] = reply
        log_record(WeightsOrdered(target.name, model, version, fence, str(reply)))
        if reply is OrderReply.FENCED:
            self._fenced[target.incarnation] = fence
