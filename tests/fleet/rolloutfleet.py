"""Stand-ins for a rollout: a control VM without a log, and targets that take orders."""

from types import SimpleNamespace

import trio
import trio.testing
from returns.result import Failure, Success

from tests.fleet.builders import BOUNDS, make_target
from vanillabeam import wire
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.machine import FleetMachine
from vanillabeam.fleet.orderrun import OrderReply, WeightsReport
from vanillabeam.fleet.rollout import Rollout
from vanillabeam.log.exceptions import NoLeader

LOAD_S = 1.5
#: Age of the state in a target's report.
REPORT_AGE_S = 0.3
ANSWER_S = 0.02
CALL_TIMEOUT_S = 1.0


class StandInNode:
    """A replica of the fleet log that leads, until a test says otherwise."""

    def __init__(self, machine):
        self.is_leader = True
        self.has_quorum = True
        self.term = 1
        self.proposed = []
        self._machine = machine

    async def read(self):
        await trio.sleep(0.005)
        return Success(1) if self.has_quorum else Failure(NoLeader())

    async def propose(self, command):
        await trio.sleep(0.01)
        if not self.has_quorum:
            return Failure(NoLeader())
        self.proposed.append(command)
        index = self._machine.state["index"] + 1
        self._machine.apply(index, wire.encode(command).decode())
        return Success(index)


class StandInControl:
    """What a rollout uses of a control VM."""

    def __init__(self, targets):
        self.cfg = SimpleNamespace(vm="core-1", bounds=BOUNDS)
        self.machine = FleetMachine()
        self.node = StandInNode(self.machine)
        self.propose = self.node.propose
        self.directory = Directory()
        self.follower = SimpleNamespace(directory=Directory())
        self.paused = set()
        for target in targets:
            self.announce(target)

    async def read_state(self):
        confirmed = await self.node.read()
        return confirmed.map(lambda _: self.machine.state)

    def announce(self, target):
        self.follower.directory.update(target, trio.current_time())

    def name(self, model, version):
        index = self.machine.state["index"] + 1
        command = {"kind": "weights", "model": model, "number": version}
        self.machine.apply(index, wire.encode(command).decode())

    def pause(self, target):
        self.paused.add(target)

    def receive_leaving(self, target):
        pass

    def report_weights(self, target, model, version):
        self.follower.directory.update_weight_version(
            target.incarnation, model, version
        )


class StandInTarget:
    """A target's side of orders.

    :param behaviour: ``sound``; ``refuses``; ``silent``: answers no order, and has the
        report of an idle one; ``unreachable``: answers nothing; ``busy``: another order
        is always in progress; ``fences``: answers 412 always; ``liar``: accepts and
        does nothing; ``late``: leaves orders unanswered and carries out the first of a
        sequence :attr:`late_s` later.
    :param fence: lowest fencing number that it takes.
    :param runs_s: seconds for which its runs go on after it has accepted an order.
    """

    def __init__(self, target, behaviour="sound", fence=0, runs_s=0.0, load_s=LOAD_S):
        self.target = target
        self.behaviour = behaviour
        self.fence = fence
        self.runs_s = runs_s
        self.load_s = load_s
        self.late_s = 3.0
        self.sequence = 0
        self.orders = []
        self.orders_s = []
        self.loaded_s = {}
        self._begun_s = self._loads_until_s = float("-inf")
        self._loading = {}
        self._history = [(float("-inf"), WeightsReport(1, False, 0))]

    @property
    def version(self):
        self._update()
        return self.target.versions["m"]

    def is_loading(self):
        """Return whether it reads weights now; waiting for runs doesn't count."""
        now_s = trio.current_time()
        return now_s < self._loads_until_s and now_s >= self._begun_s + self.runs_s

    async def load_weights(self, order, sequence):
        self._update()
        self.orders.append(order)
        self.orders_s.append(trio.current_time())
        if self.behaviour in ("silent", "unreachable", "late"):
            if self.behaviour == "late" and sequence in (None, self.sequence):
                due_s = trio.current_time() + self.late_s
                self._history.append((due_s, "late", order, sequence))
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

    def _accept(self, order, sequence, now_s):
        self.fence = max(self.fence, order.fence)
        if now_s < self._loads_until_s or sequence not in (None, self.sequence):
            return OrderReply.BUSY
        if self.target.versions["m"] >= order.version:
            return OrderReply.HOLDS
        self.sequence += 1
        if self.behaviour == "liar":
            self._record(now_s, False)
            return OrderReply.ACCEPTED
        self._begun_s = now_s
        wait_s = self.runs_s if getattr(order, "strategy", "wait") == "wait" else 0.0
        self._loads_until_s = now_s + wait_s + self.load_s
        self._loading = {"m": order.version}
        self._record(now_s, True)
        return OrderReply.ACCEPTED

    def _record(self, at_s, is_busy):
        version = None if is_busy else self.target.versions["m"]
        self._history.append((at_s, WeightsReport(version, is_busy, self.sequence)))

    def _update(self):
        now_s = trio.current_time()
        late = [each for each in self._history if each[1] == "late"]
        for each in late:
            if each[0] <= now_s:
                self._history.remove(each)
                self._accept(each[2], each[3], each[0])
        if self._loading and now_s >= self._loads_until_s:
            versions = self.target.versions | self._loading
            self.target = self.target._replace(versions=versions)
            self.loaded_s[self._loading["m"]] = self._loads_until_s
            self._loading = {}
            self._record(self._loads_until_s, False)

    async def report(self):
        if self.behaviour == "unreachable":
            await trio.sleep(CALL_TIMEOUT_S)
            return None
        await trio.sleep(ANSWER_S)
        self._update()
        if self.behaviour == "busy":
            return WeightsReport(None, True, self.sequence)
        limit_s = trio.current_time() - REPORT_AGE_S
        reports = [each for each in self._history if each[1] != "late"]
        return [each[1] for each in sorted(reports) if each[0] <= limit_s][-1]


class StandInFleet:
    """A rollout with its control VM and targets on a virtual clock."""

    def __init__(self, targets):
        self.targets = {each.target.name: each for each in targets}
        self.control = StandInControl([each.target for each in targets])
        self.on_leaving = None
        self.reports = 0
        self.most_loading = 0
        self.rollout = Rollout(self.control, self)

    async def load_weights(self, target, order, sequence):
        return await self.targets[target.name].load_weights(order, sequence)

    async def report(self, target, model):
        self.reports += 1
        return await self.targets[target.name].report()

    async def run(self, duration_s, *tasks):
        """Run for a time beside ``tasks``; targets announce themselves meanwhile."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.rollout.run)
            nursery.start_soon(self._announce)
            nursery.start_soon(self._watch)
            for task in tasks:
                nursery.start_soon(task, self)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    async def _announce(self):
        number = 2
        while True:
            await trio.sleep(BOUNDS.heartbeat_s)
            number += 1
            for each in self.targets.values():
                each._update()
                self.control.announce(each.target._replace(sequence=number))

    async def _watch(self):
        while True:
            loading = sum(each.is_loading() for each in self.targets.values())
            self.most_loading = max(self.most_loading, loading)
            await trio.sleep(0.05)

    def orders(self):
        return [order for each in self.targets.values() for order in each.orders]

    def loaded(self, version=2):
        """Return when each target had loaded a version, in order."""
        return sorted(
            each.loaded_s[version]
            for each in self.targets.values()
            if version in each.loaded_s
        )


def make_fleet(count, behaviours=(), **changes):
    """Return a fleet of ``count`` targets, the first ones with ``behaviours``."""
    targets = []
    for number in range(count):
        behaviour = behaviours[number] if number < len(behaviours) else "sound"
        target = make_target(
            f"t-{number:02}", versions={"m": 1}, address=f"10.1.0.{number}:80"
        )
        targets.append(StandInTarget(target, behaviour, **changes))
    return StandInFleet(targets)


def play(make, duration_s, *tasks, version=2, has_lease=True):
    """Play a rollout, by default after its leader's lease; return the fleet."""

    async def main():
        fleet = make()
        term = fleet.control.node.term
        for at_s in (-BOUNDS.lease_s, 0.0) if has_lease else ():
            fleet.rollout._right._lease.update(True, term, at_s)
        fleet.control.name("m", version)
        await fleet.run(duration_s, *tasks)
        return fleet

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
