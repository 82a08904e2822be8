"""Rollout of new weights: the fleet log's leader orders targets to load them."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from vanillabeam.decisions import WeightsOrdered, log_record
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.heldweights import Held, HeldReason, HeldTargets
from vanillabeam.fleet.orderright import OrderRight
from vanillabeam.fleet.orderrun import OrderReply, OrderRun, Step, WeightsReport
from vanillabeam.fleet.records import Target
from vanillabeam.fleet.rolloutplan import Outcome, RolloutPlan
from vanillabeam.fleet.runwaits import (
    REPEATS_SHARE,
    RunWaits,
    Strategy,
    choose_strategy,
    has_time,
)
from vanillabeam.tasks import run_guarded

__all__ = ["OnLimit", "Rollout", "TargetOrders", "WeightsOrder"]

PERIOD_S = 0.1
#: Seconds between two reports of a target, and between those near the time at which it
#: is likely to have loaded, from ``EARLY_S`` before it to ``LATE_S`` after it.
POLL_PERIOD_S = 0.4
SHORT_POLL_PERIOD_S = 0.2
EARLY_S = 0.2
LATE_S = 0.6
#: Seconds between two looks whether a prepared order has a slot.
SLOT_PERIOD_S = 0.05
#: Seconds before an order is sent, for entry VMs to receive the target's pause.
PAUSE_S = 0.3


#: Receives a target, the values of the limit that it named in an answer, and the
#: monotonic time at which the call was sent.
OnLimit = Callable[[Target, tuple[str, ...], float], None]


class WeightsOrder(NamedTuple):
    """An order to load a model's weights.

    :param holder: VM that sends the order.
    :param fence: fencing number of the ordering leader; increases with each
        leader.
    :param strategy: what becomes of the target's runs.
    """

    model: str
    version: int
    holder: str
    fence: int
    strategy: Strategy = Strategy.WAIT


class TargetOrders(Protocol):
    """Client that sends weight orders to targets.

    :ivar on_leaving: called with a target that says in an answer that it leaves.
    :ivar on_limit: called with a target that names a limit in an answer.
    """

    on_leaving: Callable[[Target], None]
    on_limit: OnLimit

    async def load_weights(
        self, target: Target, order: WeightsOrder, sequence: int | None
    ) -> OrderReply:
        """Send the order; return ``UNKNOWN`` if no answer came.

        :param sequence: number of orders that the target must have accepted before
            this one, else it refuses; ``None`` for any.
        """

    async def report(self, target: Target, model: str) -> WeightsReport | None:
        """Return the target's report on a model; ``None`` if no valid one came."""


class Rollout:
    """Orders targets to load new weights while this VM leads the fleet log.

    :param orders: client that sends orders to targets.
    """

    def __init__(self, control: FleetControl, orders: TargetOrders):
        self._control = control
        self._orders = orders
        orders.on_leaving = control.leaving.receive
        orders.on_limit = control.permits.receive_limit
        self._plan = RolloutPlan(PAUSE_S)
        self._right = OrderRight(control)
        self._held = HeldTargets()
        self._waits = RunWaits()
        self._scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self._woken = trio.Event()

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._update_plan()
                if self._right.is_held():
                    self._start_orders(nursery)
                for line in self._held.update(self._find_held(), trio.current_time()):
                    log_record(line)
                self._woken = trio.Event()
                with trio.move_on_after(PERIOD_S):
                    await self._woken.wait()

    @property
    def _weights(self) -> dict[str, int]:
        return self._control.machine.state["weights"]

    def _update_plan(self) -> None:
        """Apply what is known, and end the orders to targets that are gone."""
        targets = self._control.follower.directory.targets()
        now_s = trio.current_time()
        for gone in self._plan.update(targets, self._weights, now_s):
            if gone in self._scopes:
                self._scopes[gone].cancel()
        self._control.paused &= self._plan.paused_names(now_s)

    def _start_orders(self, nursery: trio.Nursery) -> None:
        fence, now_s = self._right.fence, trio.current_time()
        for target, model in self._plan.select(fence, now_s):
            self._plan.start(target, model)
            nursery.start_soon(
                run_guarded, "weights-order", self._execute, target, model
            )
        if self._plan.is_refused(fence):
            nursery.start_soon(
                run_guarded, "weights-fence", self._right.raise_fence, fence
            )

    def _find_held(self) -> list[Held]:
        """Return the outdated targets that get no order; none if another VM leads."""
        if not self._control.node.is_leader:
            return []
        held = self._plan.held(self._right.fence, trio.current_time())
        if not self._right.is_held():
            held = [each._replace(reason=HeldReason.NO_LEASE) for each in held]
        return held + self._find_unknown()

    def _find_unknown(self) -> list[Held]:
        known = self._control.follower.directory.records
        return [
            Held(name, model, version, self._weights[model], HeldReason.NOT_KNOWN)
            for name, record in self._control.directory.records.items()
            for model, version in record.target.versions.items()
            if name not in known and version < self._weights.get(model, 0)
        ]

    async def _execute(self, target: Target, model: str) -> None:
        outcome = Outcome.STOPPED
        try:
            with trio.CancelScope() as scope:
                self._scopes[target.incarnation] = scope
                self._control.pause(target.name)
                await trio.sleep(PAUSE_S)
                outcome = await self._carry_out(target, model)
        except Exception:
            outcome = Outcome.FAILED
            raise
        finally:
            self._scopes.pop(target.incarnation, None)
            waited_s = self._waits.finish(target.incarnation)
            now_s = trio.current_time()
            self._plan.finish(target.incarnation, outcome, now_s, waited_s)
            self._woken.set()

    async def _carry_out(self, target: Target, model: str) -> Outcome:
        """Send the order, again if it got lost, until the target has the version.

        An order for a newer version follows at once.
        """
        term = self._right.term
        while not self._plan.begin(target.incarnation, trio.current_time()):
            if not self._right.is_held(term):
                return Outcome.STOPPED
            await trio.sleep(SLOT_PERIOD_S)
        run = OrderRun(self._weights[model], trio.current_time())
        while self._right.is_held(term):
            report = await self._orders.report(target, model)
            step = self._next_step(target, model, run, report)
            if self._is_overtaken(run, model):
                run = OrderRun(self._weights[model], trio.current_time())
                self._plan.begin_next(target.incarnation, trio.current_time())
                continue
            if step is Step.STOP:
                return Outcome.DONE if run.is_done else Outcome.FAILED
            if step is Step.SEND and not await self._right.confirm(term):
                break
            if step is Step.SEND:
                await self._send_or_hold(target, model, run, report)
            await trio.sleep(self._pause_s(target))
        return Outcome.STOPPED

    def _is_overtaken(self, run: OrderRun, model: str) -> bool:
        """Return whether an order for a newer version is to follow now."""
        is_over = run.is_done or not run.is_accepted
        return is_over and self._weights[model] > run.version

    def _next_step(
        self, target: Target, model: str, run: OrderRun, report: WeightsReport | None
    ) -> Step:
        now_s = trio.current_time()
        step = run.next_step(report, now_s)
        is_busy = report is not None and report.is_busy
        self._plan.record_state(target.incarnation, run.is_accepted, is_busy, now_s)
        if run.is_accepted and is_busy:
            self._record_wait(target, model, run, report)
        if run.is_done:
            self._control.report_weights(target, model, report.version)
        self._woken.set()
        return step

    def _record_wait(
        self, target: Target, model: str, run: OrderRun, report: WeightsReport
    ) -> None:
        waited_s = trio.current_time() - run.begun_s
        if report.running:
            self._waits.record(target.incarnation, model, run.version, waited_s)
        else:
            self._waits.end_wait(target.incarnation)

    def _choose_strategy(
        self, target: Target, model: str, run: OrderRun, report: WeightsReport
    ) -> Strategy | None:
        """Return the strategy of the order; ``None`` to hold it back."""
        control, now_s = self._control, trio.current_time()
        age_s = control.weight_ages_s(now_s).get(model, 0.0)
        left_s = control.cfg.bounds.version_s - age_s
        spare_s, round_s = self._plan.spare_s(model, left_s)
        is_bounded = self._plan.is_half(model) and bool(report.running)
        expected_s = self._waits.expected_s(model, run.version)
        if not is_bounded and has_time(expected_s, spare_s):
            return Strategy.WAIT
        if report.running and now_s - run.made_s < round_s:
            return None
        floor = REPEATS_SHARE * control.cfg.bounds.retry_floor
        return choose_strategy(
            control.deployment.routes,
            target.service,
            report.running,
            floor / self._plan.round_size(model),
        )

    async def _send_or_hold(
        self, target: Target, model: str, run: OrderRun, report: WeightsReport
    ) -> None:
        strategy = self._choose_strategy(target, model, run, report)
        if strategy is None:
            run.hold(trio.current_time())
            self._plan.hold(target.incarnation, trio.current_time())
        else:
            await self._send(target, model, run, strategy)

    def _pause_s(self, target: Target) -> float:
        """Return the time until the next report; each takes the target's time."""
        end_s = self._plan.expected_end_s(target.incarnation)
        left_s = float("-inf") if end_s is None else end_s - trio.current_time()
        if left_s < -LATE_S:
            return POLL_PERIOD_S
        return max(SHORT_POLL_PERIOD_S, left_s - EARLY_S)

    async def _send(
        self, target: Target, model: str, run: OrderRun, strategy: Strategy
    ) -> None:
        fence = self._right.fence
        order = WeightsOrder(model, run.version, self._control.cfg.vm, fence, strategy)
        self._waits.start(target.incarnation, strategy)
        reply = await self._orders.load_weights(target, order, run.sequence)
        now_s = trio.current_time()
        run.record_reply(reply, now_s)
        self._plan.record_reply(target.incarnation, reply, fence)
        accepted = run.is_accepted
        self._plan.record_state(target.incarnation, accepted, accepted, now_s)
        log_record(
            WeightsOrdered(
                target.name, model, run.version, fence, str(strategy), str(reply)
            )
        )
