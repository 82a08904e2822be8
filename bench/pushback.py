"""Calls to targets that push back under a burst, or leave in series, by policy."""

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from bench.batch_model import Clock
from vanillabeam import fleet
from vanillabeam.fleet.follower import MIN_INTERVAL_S
from vanillabeam.fleet.loads import EntryLoads
from vanillabeam.fleet.polling import MIN_WAIT_S
from vanillabeam.forwarding.choosing.choice import Choice, Chooser
from vanillabeam.forwarding.choosing.selection import (
    BUSY_POLL_INTERVAL_S,
    POLL_INTERVAL_S,
)
from vanillabeam.forwarding.dialect import RequestMetadata
from vanillabeam.notices import Incarnation, Notice, TargetNotices

__all__ = ["LARGE", "POLICIES", "SMALL", "Scenario", "Shape", "run", "simulate"]

REPORT_PERIOD_S = MIN_WAIT_S + MIN_INTERVAL_S
#: Seconds after a notice during which requests may still be on their way.
TRANSIT_S = 0.5
#: Seconds for which a target that leaves goes on serving.
LINGER_S = 2.0
#: Width of the bins in which requests after a pause are counted.
BIN_S = 0.1
#: Beginning and end of a burst in seconds.
BURST_S = (4.0, 8.0)
METADATA = RequestMetadata("r", "h", "GET", "/", b"/")


class Shape(NamedTuple):
    """A fleet and its traffic of plain calls.

    :param rate_s: calls a second.
    :param work_s: mean seconds that a target works on a call.
    :param slots: calls that a target works on at the same time.
    :param queue: calls that wait at a target before it refuses more.
    :param limit_s: seconds that a caller waits.
    :param objective_s: seconds within which an answer is in time.
    """

    entries: int
    targets: int
    rate_s: float
    work_s: float
    slots: int = 6
    queue: int = 6
    limit_s: float = 1.5
    objective_s: float = 0.125

    @property
    def capacity_s(self) -> float:
        """Calls a second that all targets can serve."""
        return self.targets * self.slots / self.work_s


SMALL = Shape(entries=9, targets=4, rate_s=40.0, work_s=0.0225)
LARGE = Shape(
    entries=194,
    targets=6,
    rate_s=143.0,
    work_s=0.09,
    limit_s=4.2,
    objective_s=0.418,
)


class Scenario(NamedTuple):
    """Events of a simulation.

    :param burst: traffic from 4 s to 8 s, relative to what the targets can serve; 0
        for the usual traffic.
    :param pause_s: ``Retry-After`` of a target that refuses.
    :param leave_every_s: seconds between two targets that leave and are replaced; 0
        if none leaves.
    """

    shape: Shape = SMALL
    duration_s: float = 16.0
    burst: float = 0.0
    pause_s: float = 1.0
    leave_every_s: float = 0.0


class Policy(NamedTuple):
    """Variant of what entry VMs make of notices.

    :param reads: whether they read them.
    :param is_gentle: whether pauses have jitter and end with a few requests at a time.
    :param is_careful: whether a target that refused lately gets fewer requests.
    """

    reads: bool = True
    is_gentle: bool = True
    is_careful: bool = True


POLICIES = {
    "product": Policy(),
    "at_once": Policy(is_gentle=False),
    "not_careful": Policy(is_careful=False),
    "unread": Policy(reads=False),
}


class _NoJitter(random.Random):
    """Source of jitter that is always zero."""

    def random(self) -> float:
        return 0.0


class _AtOnce(TargetNotices):
    """Notices whose pauses end for all requests at the same moment."""

    def record_sent(self, incarnation: Incarnation) -> bool:
        """Count nothing."""
        return False


class _Careless(TargetNotices):
    """Notices that are forgotten when a pause has ended."""

    def busy_for_s(self, incarnation: Incarnation, now_s: float) -> None:
        """Return ``None``."""


class Call(NamedTuple):
    """A caller's call.

    :param sent_s: time at which the caller first sent it.
    :param retries: further attempts after a refusal.
    """

    sent_s: float
    retries: int = 1


class PlainTarget:
    """A target with slots and a short queue."""

    def __init__(self, simulation: "Simulation", record: fleet.Target):
        self.record = record
        self.leaving_since_s: float | None = None
        self._simulation = simulation
        self._running = 0
        self._waiting: deque[Callable[[bool], None]] = deque()

    def submit(self, reply: Callable[[bool], None]) -> bool:
        """Take a call, or refuse it; ``reply`` is called when it has been served."""
        shape = self._simulation.scenario.shape
        if self._running < shape.slots:
            self._start(reply)
        elif len(self._waiting) < shape.queue:
            self._waiting.append(reply)
        else:
            return False
        return True

    def _start(self, reply: Callable[[bool], None]) -> None:
        simulation = self._simulation
        self._running += 1
        work_s = simulation.rng.expovariate(1 / simulation.scenario.shape.work_s)
        simulation.clock.call_at(simulation.clock.now_s + work_s, self._end, reply)

    def _end(self, reply: Callable[[bool], None]) -> None:
        self._running -= 1
        reply(self.leaving_since_s is not None)
        if self._waiting:
            self._start(self._waiting.popleft())


class Simulation:
    """Entry VMs with the system's own choosers, and modelled targets."""

    def __init__(self, policy: Policy, scenario: Scenario, seed: int):
        self.policy, self.scenario = policy, scenario
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.loads = EntryLoads()
        self.counts: Counter[str] = Counter()
        self.returns: Counter[tuple[str, int]] = Counter()
        self.view = fleet.FleetView(
            1, fleet.Deployment(1, services={"app": fleet.Service("app")})
        )
        self.targets: dict[str, PlainTarget] = {}
        for number in range(scenario.shape.targets):
            self.add_target(f"t-{number}", number)
        names = tuple(f"e-{n}" for n in range(scenario.shape.entries))
        self.entries = [Entry(self, name, n, names) for n, name in enumerate(names)]
        if scenario.leave_every_s:
            self.clock.call_at(2.0, self._replace_target, 0)

    def add_target(self, name: str, number: int) -> None:
        """Add a target that announces itself from now on."""
        record = fleet.Target(
            name=name,
            born_ms=1,
            sequence=1,
            service="app",
            address=f"10.0.{len(self.targets)}.{number}:80",
            data_centre=f"dc-{number % 4}",
            slots=self.scenario.shape.slots,
        )
        self.targets[name] = PlainTarget(self, record)

    def _replace_target(self, number: int) -> None:
        """Let a target leave without an announcement, after its successor came."""
        shape, now_s = self.scenario.shape, self.clock.now_s
        old = next(
            target for target in self.targets.values() if target.leaving_since_s is None
        )
        self.add_target(f"n-{number}", number % shape.targets)
        old.leaving_since_s = now_s + REPORT_PERIOD_S
        self.clock.call_at(now_s + LINGER_S, self.targets.pop, old.record.name)
        if number + 1 < shape.targets:
            next_s = now_s + self.scenario.leave_every_s
            self.clock.call_at(next_s, self._replace_target, number + 1)

    def arrivals(self) -> list[float]:
        """Return the times at which callers send their calls."""
        shape, burst = self.scenario.shape, self.scenario.burst
        times, at_s = [], 0.0
        while at_s < self.scenario.duration_s:
            is_burst = burst > 0 and BURST_S[0] <= at_s < BURST_S[1]
            rate_s = burst * shape.capacity_s if is_burst else shape.rate_s
            at_s += self.rng.expovariate(rate_s)
            times.append(at_s)
        return times

    def summarize(self) -> dict[str, float]:
        """Return the figures of the simulation.

        :returns: shares of calls served and served in time, refusals by targets and
            by entry VMs, calls that reached a target against its notice, and the most
            calls that reached one target in a tenth of a second after a pause.
        """
        asked = max(1, self.counts["asked"])
        return {
            "served": round(self.counts["served"] / asked, 4),
            "in_time": round(self.counts["in_time"] / asked, 4),
            "refused_by_targets": self.counts["refused_by_targets"],
            "refused_by_entries": self.counts["refused_by_entries"],
            "against_notice": self.counts["against_notice"],
            "most_at_once": max(self.returns.values(), default=0),
        }


class Entry:
    """Entry VM that sends its callers' calls."""

    def __init__(self, simulation: Simulation, name: str, index: int, names):
        self.simulation, self.name, self.names = simulation, name, names
        self.directory = fleet.Directory()
        rng = random.Random(f"{name}-{simulation.rng.random()}")
        self.chooser = Chooser(
            name, f"dc-{index % 4}", self.directory, fleet.Bounds(), rng
        )
        if not simulation.policy.is_gentle:
            self.chooser.notices = _AtOnce(_NoJitter())
        if not simulation.policy.is_careful:
            self.chooser.notices = _Careless(rng)
        #: Times at which targets gave this VM a notice, and until when it binds.
        self.heard: dict[str, tuple[float, float]] = {}
        offset_s = REPORT_PERIOD_S * index / len(names)
        simulation.clock.call_at(offset_s, self._exchange_reports)

    def _exchange_reports(self) -> None:
        simulation, now_s = self.simulation, self.simulation.clock.now_s
        simulation.loads.update(self.name, self.chooser.load.own(now_s), now_s)
        others = simulation.loads.total_except(self.name, now_s)
        self.chooser.load.update_others(others, now_s)
        for name in set(self.directory.records) - set(simulation.targets):
            self.directory.forget(name)
        for name, target in simulation.targets.items():
            if not self.directory.update(target.record, now_s):
                self.directory.refresh(name, now_s)
        simulation.clock.call_at(now_s + REPORT_PERIOD_S, self._exchange_reports)

    def submit(self, call: Call) -> None:
        """Send a call to a target, hold it, or refuse it, as an exchange does."""
        simulation, shape = self.simulation, self.simulation.scenario.shape
        now_s = simulation.clock.now_s
        choice = self.chooser.choose(
            "app", METADATA, simulation.view, self.names, set(), now_s
        )
        if choice is not None:
            self._send(call, choice)
            return
        left_s = self.chooser.pause_left_s(
            "app", METADATA, simulation.view, set(), now_s
        )
        ends_s = call.sent_s + shape.limit_s
        if left_s is not None and now_s + left_s + shape.objective_s < ends_s:
            poll_s = POLL_INTERVAL_S if left_s else BUSY_POLL_INTERVAL_S
            simulation.clock.call_at(now_s + poll_s, self.submit, call)
            return
        simulation.counts["refused_by_entries"] += 1
        self._tell_to_return(call, left_s or 0.0)

    def _tell_to_return(self, call: Call, wait_s: float) -> None:
        simulation, shape = self.simulation, self.simulation.scenario.shape
        wait_s = self.chooser.spread_retry_after(max(0.3, wait_s))
        now_s = simulation.clock.now_s
        left_s = call.sent_s + shape.limit_s - now_s
        if call.retries and wait_s <= left_s / 3:
            again = call._replace(retries=call.retries - 1)
            other = simulation.rng.choice(simulation.entries)
            simulation.clock.call_at(now_s + wait_s, other.submit, again)

    def _send(self, call: Call, choice: Choice) -> None:
        simulation, now_s = self.simulation, self.simulation.clock.now_s
        record, load = choice.target, self.chooser.load
        self._count_violation(record.name, now_s)
        target = simulation.targets.get(record.name)
        opened = load.record_start(record.name, 0, 0, now_s)
        is_counted = self.chooser.notices.record_sent(record.incarnation)

        def end(is_leaving: bool) -> None:
            load.record_end(opened)
            if is_counted:
                self.chooser.notices.record_end(record.incarnation, True)
            self._hear(record, Notice(leaving=is_leaving))
            simulation.counts["served"] += 1
            took_s = simulation.clock.now_s - call.sent_s
            simulation.counts["in_time"] += (
                took_s <= simulation.scenario.shape.objective_s
            )

        if target is not None and target.submit(end):
            return
        load.record_end(opened)
        if is_counted:
            self.chooser.notices.record_end(record.incarnation, False)
        simulation.counts["refused_by_targets"] += 1
        if target is not None:
            self._hear(record, Notice(pause=f"{simulation.scenario.pause_s}"))
        self._tell_to_return(call, 0.0)

    def _hear(self, record: fleet.Target, notice: Notice) -> None:
        now_s = self.simulation.clock.now_s
        if self.simulation.policy.reads:
            self.chooser.notices.apply(record.incarnation, notice, now_s)
        if notice.leaving:
            self.heard.setdefault(record.name, (now_s, float("inf")))
        elif notice.pause is not None:
            self.heard[record.name] = (now_s, now_s + float(notice.pause))

    def _count_violation(self, name: str, now_s: float) -> None:
        """Count a call that reaches a target against its notice or after a pause."""
        since_s, until_s = self.heard.get(name, (now_s, now_s))
        if since_s + TRANSIT_S < now_s < until_s:
            self.simulation.counts["against_notice"] += 1
        elif until_s <= now_s < until_s + self.simulation.scenario.pause_s:
            self.simulation.returns[(name, int(now_s / BIN_S))] += 1


def simulate(policy: Policy, scenario: Scenario, seed: int) -> dict[str, float]:
    """Return the figures of a scenario under a policy."""
    simulation = Simulation(policy, scenario, seed)
    for at_s in simulation.arrivals():
        simulation.counts["asked"] += 1
        entry = simulation.rng.choice(simulation.entries)
        simulation.clock.call_at(at_s, entry.submit, Call(at_s))
    simulation.clock.run(scenario.duration_s + 10.0)
    return simulation.summarize()


def run(seed: int) -> dict[str, Any]:
    """Compare the policies in a burst and while targets leave, at two sizes."""
    scenes = {
        f"{event}, {shape.entries} entry VMs": Scenario(shape, **changes)
        for shape in (SMALL, LARGE)
        for event, changes in {
            "burst": {"burst": 1.5},
            "near the limit": {"burst": 0.9},
            "leave": {"leave_every_s": 3.0},
        }.items()
    }
    return {
        name: {
            policy_name: simulate(policy, scenario, seed)
            for policy_name, policy in POLICIES.items()
        }
        for name, scenario in scenes.items()
    }
