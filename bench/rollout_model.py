"""Stand-ins for a rollout: a control VM without a log, and targets that take orders.

The rollout itself is the product's, with its tasks, on a virtual clock.
"""

from types import SimpleNamespace
from typing import NamedTuple

import trio
import trio.testing
from returns.result import Failure, Success

from vanillabeam import wire
from vanillabeam.fleet import Bounds, Deployment, Route, RouteKind, Share, Target
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.machine import FleetMachine
from vanillabeam.fleet.orderrun import OrderReply, WeightsReport
from vanillabeam.fleet.rollout import Rollout
from vanillabeam.log.exceptions import NoLeader

__all__ = ["Fleet", "StandInTarget", "make_fleet", "make_stream", "play"]

BOUNDS = Bounds(retry_floor=58.0)
LOAD_S = 1.5
#: Age of the state in a target's report.
REPORT_AGE_S = 0.3
ANSWER_S = 0.02
CALL_TIMEOUT_S = 1.0
#: Runs of a target that has any.
RUNS = 20
LATE_S = 3.0
NEVER_S = float("-inf")


class _State(NamedTuple):
    """State of a target from a time on, as it reports it."""

    since_s: float
    version: int
    is_busy: bool
    sequence: int


def make_stream(**changes) -> Route:
    """Return a route of streams to the stand-in targets; it may be resumed."""
    fields = {
        "kind": RouteKind.STREAM,
        "shares": (Share("llm", 1.0),),
        "timeout_s": 12.0,
        "attempts": 2,
        "resumable": True,
    }
    return Route("chat", "chat.example", "/", **(fields | changes))


class StandInNode:
    """A replica of the fleet log that leads, until a test says otherwise."""

    def __init__(self, machine: FleetMachine):
        self.is_leader = True
        self.has_quorum = True
        self.term = 1
        self.proposed: list = []
        self._machine = machine

    async def read(self):
        """Confirm the leadership, if there is a quorum."""
        await trio.sleep(0.005)
        return Success(1) if self.has_quorum else Failure(NoLeader())

    async def propose(self, command):
        """Commit and apply a command, if there is a quorum."""
        await trio.sleep(0.01)
        if not self.has_quorum:
            return Failure(NoLeader())
        self.proposed.append(command)
        index = self._machine.state["index"] + 1
        self._machine.apply(index, wire.encode(command).decode())
        return Success(index)


class StandInControl:
    """Part of a control VM that a rollout uses."""

    def __init__(self, targets: list["StandInTarget"]):
        self.cfg = SimpleNamespace(vm="core-1", bounds=BOUNDS)
        self.machine = FleetMachine()
        self.node = StandInNode(self.machine)
        self.propose = self.node.propose
        self.directory = Directory()
        self.follower = SimpleNamespace(directory=Directory())
        self.paused: set[str] = set()
        self.deployment = Deployment(routes=(make_stream(),))
        # Notices and limits of targets are ignored.
        self.leaving = SimpleNamespace(receive=None)
        self.permits = SimpleNamespace(receive_limit=None)
        self._named_s: dict[str, float] = {}
        self._targets = {each.target.name: each for each in targets}
        for each in targets:
            self.announce(each.target)

    async def read_state(self):
        """Return the state after a confirmed read."""
        confirmed = await self.node.read()
        return confirmed.map(lambda _: self.machine.state)

    def announce(self, target: Target) -> None:
        """Record a target's announcement."""
        self.follower.directory.update(target, trio.current_time())

    def name(self, model: str, version: int) -> None:
        """Name a version of a model."""
        index = self.machine.state["index"] + 1
        command = {"kind": "weights", "model": model, "number": version}
        self.machine.apply(index, wire.encode(command).decode())
        self._named_s[model] = trio.current_time()

    def weight_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the age of each model's newest version."""
        return {model: now_s - at_s for model, at_s in self._named_s.items()}

    def pause(self, name: str) -> None:
        """Let a target get no new runs."""
        self.paused.add(name)
        if name in self._targets:
            self._targets[name].paused_s = trio.current_time()

    def report_weights(self, target: Target, model: str, version: int) -> None:
        """Record a target's version."""
        self.follower.directory.update_weight_version(
            target.incarnation, model, version
        )


class StandInTarget:
    """A target's side of orders.

    :param behaviour: ``sound``; ``refuses``; ``silent``: answers no order, and reports
        as an idle one; ``unreachable``: answers nothing; ``busy``: another order is
        always in progress; ``fences``: answers 412 always; ``liar``: accepts and does
        nothing; ``late``: leaves orders unanswered and carries them out
        :data:`LATE_S` later.
    :param fence: lowest fencing number that it takes.
    :param runs_s: seconds from its pause until the last of its runs ends; the others
        end at even times before.
    :ivar broken: number of runs that an order broke off.
    :ivar retained_s: seconds for which runs went on under other weights.
    """

    def __init__(
        self,
        target: Target,
        behaviour: str = "sound",
        fence: int = 0,
        runs_s: float = 0.0,
        load_s: float = LOAD_S,
    ):
        self.target = target
        self.behaviour = behaviour
        self.fence = fence
        self.runs_s = runs_s
        self.load_s = load_s
        self.paused_s = float("inf")
        self.sequence = 0
        self.broken = 0
        self.retained_s = 0.0
        self.orders: list = []
        self.orders_s: list[float] = []
        self.loaded_s: dict[int, float] = {}
        self._loads_until_s = NEVER_S
        self._loading = 0
        self._late: list = []
        self._states = [_State(NEVER_S, target.versions["m"], False, 0)]

    def is_loading(self) -> bool:
        """Return whether it reads weights now; waiting for runs doesn't count."""
        now_s = trio.current_time()
        return self._loads_until_s - self.load_s <= now_s < self._loads_until_s

    async def load_weights(self, order, sequence: int | None) -> OrderReply:
        """Take an order."""
        self.update()
        self.orders.append(order)
        self.orders_s.append(trio.current_time())
        if self.behaviour in ("silent", "unreachable", "late"):
            if self.behaviour == "late":
                due_s = trio.current_time() + LATE_S
                self._late.append((due_s, order, sequence))
            await trio.sleep(CALL_TIMEOUT_S)
            return OrderReply.UNKNOWN
        await trio.sleep(ANSWER_S)
        if self.behaviour == "refuses":
            return OrderReply.REFUSED
        if self.behaviour == "fences" or order.fence < self.fence:
            return OrderReply.FENCED
        if self.behaviour == "busy":
            return OrderReply.BUSY
        return self._accept(order, sequence, trio.current_time())

    async def report(self) -> WeightsReport | None:
        """Return a report, as old as reports are."""
        if self.behaviour == "unreachable":
            await trio.sleep(CALL_TIMEOUT_S)
            return None
        await trio.sleep(ANSWER_S)
        self.update()
        if self.behaviour == "busy":
            return WeightsReport(None, True, self.sequence)
        at_s = trio.current_time() - REPORT_AGE_S
        state = [each for each in self._states if each.since_s <= at_s][-1]
        version = None if state.is_busy else state.version
        runs = len(self._runs_s(at_s)) if self.orders or self.runs_s else 0
        return WeightsReport(version, state.is_busy, state.sequence, runs)

    def update(self) -> None:
        """Carry out what is due."""
        now_s = trio.current_time()
        while self._late and self._late[0][0] <= now_s:
            due_s, order, sequence = self._late.pop(0)
            self._accept(order, sequence, due_s)
        if self._loading and now_s >= self._loads_until_s:
            versions = self.target.versions | {"m": self._loading}
            self.target = self.target._replace(versions=versions)
            self.loaded_s[self._loading] = self._loads_until_s
            self._loading = 0
            self._change(self._loads_until_s, False)

    def _accept(self, order, sequence: int | None, now_s: float) -> OrderReply:
        self.fence = max(self.fence, order.fence)
        if now_s < self._loads_until_s or sequence not in (None, self.sequence):
            return OrderReply.BUSY
        if self.target.versions["m"] >= order.version:
            return OrderReply.HOLDS
        self.sequence += 1
        if self.behaviour == "liar":
            self._change(now_s, False)
            return OrderReply.ACCEPTED
        self._loads_until_s = now_s + self._end_runs(order, now_s) + self.load_s
        self._loading = order.version
        self._change(now_s, True)
        return OrderReply.ACCEPTED

    def _end_runs(self, order, now_s: float) -> float:
        """Apply an order's strategy to the runs; return for how long the load waits."""
        left_s = self._runs_s(now_s)
        if order.strategy == "wait":
            return max(left_s, default=0.0)
        if order.strategy == "truncate":
            self.broken += len(left_s)
        else:
            self.retained_s += sum(left_s)
        return 0.0

    def _runs_s(self, at_s: float) -> list[float]:
        """Return for how long each run goes on."""
        since_s = max(0.0, at_s - self.paused_s)
        ends_s = [self.runs_s * number / RUNS for number in range(1, RUNS + 1)]
        return [end_s - since_s for end_s in ends_s if end_s > since_s]

    def _change(self, at_s: float, is_busy: bool) -> None:
        version = self.target.versions["m"]
        self._states.append(_State(at_s, version, is_busy, self.sequence))


class Fleet:
    """A rollout with its control VM and targets on a virtual clock."""

    def __init__(self, targets: list[StandInTarget]):
        self.targets = {each.target.name: each for each in targets}
        self.control = StandInControl(targets)
        self.on_leaving = self.on_limit = None
        self.reports = 0
        self.most_loading = 0
        self.most_paused = 0
        self.rollout = Rollout(self.control, self)

    async def load_weights(self, target, order, sequence):
        """Send an order to a target."""
        return await self.targets[target.name].load_weights(order, sequence)

    async def report(self, target, model):
        """Return a target's report."""
        self.reports += 1
        return await self.targets[target.name].report()

    async def run(self, duration_s: float, *tasks) -> None:
        """Run for a time beside ``tasks``; targets announce themselves meanwhile."""
        async with trio.open_nursery() as nursery:
            for task in (Fleet._announce, Fleet._watch, *tasks):
                nursery.start_soon(task, self)
            nursery.start_soon(self.rollout.run)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    async def _announce(self) -> None:
        number = 2
        while True:
            await trio.sleep(BOUNDS.heartbeat_s)
            number += 1
            for each in self.targets.values():
                each.update()
                self.control.announce(each.target._replace(sequence=number))

    async def _watch(self) -> None:
        while True:
            loading = sum(each.is_loading() for each in self.targets.values())
            self.most_loading = max(self.most_loading, loading)
            self.most_paused = max(self.most_paused, len(self.control.paused))
            await trio.sleep(0.05)

    def orders(self) -> list:
        """Return all orders that targets were sent."""
        return [order for each in self.targets.values() for order in each.orders]

    def loaded(self, version: int = 2) -> list[float]:
        """Return when each target had loaded a version, in order."""
        return sorted(
            each.loaded_s[version]
            for each in self.targets.values()
            if version in each.loaded_s
        )


def make_fleet(count: int, behaviours=(), **changes) -> Fleet:
    """Return a fleet of ``count`` targets, the first ones with ``behaviours``."""
    targets = []
    for number in range(count):
        behaviour = behaviours[number] if number < len(behaviours) else "sound"
        address = f"10.1.0.{number}:80"
        target = Target(
            f"t-{number:02}", 1_000, 1, "llm", address, "a", 8, versions={"m": 1}
        )
        targets.append(StandInTarget(target, behaviour, **changes))
    return Fleet(targets)


def play(make, duration_s: float, *tasks, has_lease: bool = True) -> Fleet:
    """Play a rollout of version 2, by default after its leader's lease.

    :param make: returns the fleet.
    """

    async def main() -> Fleet:
        fleet = make()
        term = fleet.control.node.term
        for at_s in (-BOUNDS.lease_s, 0.0) if has_lease else ():
            fleet.rollout._right._lease.update(True, term, at_s)
        fleet.control.name("m", 2)
        await fleet.run(duration_s, *tasks)
        return fleet

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
