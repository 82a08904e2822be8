"""Bringing targets to the newest weights: the leader orders, nobody else."""

import math
from enum import StrEnum
from typing import NamedTuple, Protocol

import trio

from vanillabeam.decisions import WeightsOrdered, note
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.records import Target

__all__ = ["OrderReply", "Rollout", "TargetOrders", "WeightsOrder", "select_targets"]

PERIOD_S = 0.25
#: Part of a model's targets that load new weights at once, so that the rest
#: goes on serving and the weight store is not overrun.
MAX_CONCURRENT_SHARE = 1 / 3
ASK_PERIOD_S = 0.4
#: An order whose effect has not shown for so long is given again.
EFFECT_LIMIT_S = 6.0
REFUSED_PAUSE_S = 0.5
#: Time for entry VMs to hear that a target gets an order.
PAUSE_S = 0.3


class WeightsOrder(NamedTuple):
    """Load these weights.

    :param fence: of the leader that orders; rises with each leader.
    """

    model: str
    version: int
    holder: str
    fence: int


class OrderReply(StrEnum):
    """What a target says to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TargetOrders(Protocol):
    """How targets are ordered and asked."""

    async def load_weights(self, target: Target, order: WeightsOrder) -> OrderReply:
        """Give the order; ``UNKNOWN`` if no answer came."""

    async def held_version(self, target: Target, model: str) -> int | None:
        """Return the version in use, ``None`` while that is not certain."""


def select_targets(
    targets: list[Target], weights: dict[str, int], in_progress: set[str]
) -> list[tuple[Target, str]]:
    """Return targets to order now, with the model that is behind.

    :param under_way: names of targets that carry an order out.
    """
    found: list[tuple[Target, str]] = []
    for model, newest in sorted(weights.items()):
        holders = [each for each in targets if model in each.versions]
        at_once = max(1, math.ceil(len(holders) * MAX_CONCURRENT_SHARE))
        room = at_once - sum(1 for each in holders if each.name in in_progress)
        behind = [
            each
            for each in holders
            if each.versions[model] < newest
            and not each.draining
            and each.name not in in_progress
        ]
        behind.sort(key=lambda each: (each.versions[model], each.name))
        found += [(each, model) for each in behind[: max(0, room)]]
    return found


class Rollout:
    """Orders while this VM leads the fleet log.

    :param orders: speaks with targets.
    """

    def __init__(self, control: FleetControl, orders: TargetOrders):
        self._control = control
        self._orders = orders
        self._in_progress: set[str] = set()
        self._fenced: set[tuple[str, int]] = set()
        self._leased_term = -1

    async def run(self) -> None:
        """Order what is due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_lease()
                self._start_orders(nursery)
                await trio.sleep(PERIOD_S)

    async def _wait_for_lease(self) -> None:
        """Return when this VM has led for longer than another's lease.

        The predecessor may have ordered until its leadership ended; turns of
        two holders within the lease are not allowed.
        """
        node = self._control.node
        term, since_s = -1, trio.current_time()
        while not node.is_leader or node.term != self._leased_term:
            if not node.is_leader or node.term != term:
                term, since_s = node.term, trio.current_time()
            elif trio.current_time() - since_s >= self._control.cfg.bounds.lease_s:
                self._leased_term = term
            await trio.sleep(PERIOD_S)

    def _start_orders(self, nursery: trio.Nursery) -> None:
        control = self._control
        control.paused &= self._in_progress
        if not control.node.is_leader:
            return
        records = control.follower.directory.records.values()
        targets = [each.target for each in records]
        weights = control.machine.state["weights"]
        for target, model in select_targets(targets, weights, self._in_progress):
            if (target.name, control.node.term) in self._fenced:
                continue
            order = WeightsOrder(
                model, weights[model], control.cfg.vm, control.node.term
            )
            self._in_progress.add(target.name)
            nursery.start_soon(self._execute, target, order)

    async def _execute(self, target: Target, order: WeightsOrder) -> None:
        try:
            self._control.pause(target.name)
            await trio.sleep(PAUSE_S)
            reply = await self._orders.load_weights(target, order)
            note(
                WeightsOrdered(
                    target.name, order.model, order.version, order.fence, str(reply)
                )
            )
            if reply is OrderReply.FENCED:
                self._fenced.add((target.name, order.fence))
            elif reply in (OrderReply.BUSY, OrderReply.REFUSED):
                await trio.sleep(REFUSED_PAUSE_S)
            else:
                await self._wait_for_effect(target, order)
        finally:
            self._in_progress.discard(target.name)

    async def _wait_for_effect(self, target: Target, order: WeightsOrder) -> None:
        with trio.move_on_after(EFFECT_LIMIT_S):
            while True:
                await trio.sleep(ASK_PERIOD_S)
                held = await self._orders.held_version(target, order.model)
                if held is not None and held >= order.version:
                    self._control.report_weights(target, order.model, held)
                    return
