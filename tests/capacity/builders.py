"""Model of entry VMs and targets on virtual time, for the choice between targets."""

import heapq
import itertools
import random
from typing import NamedTuple

from tests.fleet.builders import make_target
from vanillabeam.fleet.loads import EntryLoads
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.ordering import TargetOrder

SERVICE = "llm"
#: Time between two reports of an entry VM, and so the age of the sums on arrival.
REPORT_S = 0.3


class Place(NamedTuple):
    """A modelled target.

    :param call_s: seconds of a plain call while it has no more than it takes well.
    :param bends_at: open calls from which each takes longer, in proportion.
    :param slowness: factor on the time of a call that starts at a time.
    :param fails: whether it answers every call with a failure.
    """

    name: str
    call_s: float = 0.1
    slots: int = 6
    data_centre: str = "a"
    queue: int = 6
    bends_at: int = 1_000
    slowness: object = None
    fails: bool = False

    @property
    def target(self):
        return make_target(
            self.name,
            slots=self.slots,
            data_centre=self.data_centre,
            service=SERVICE,
        )


class Waits(NamedTuple):
    """What callers have seen.

    :param seconds: arrival and wait of each call that was answered.
    :param refused: arrivals of calls that no target took.
    :param served: calls that each target ran.
    """

    seconds: list[tuple[float, float]]
    refused: list[float]
    served: dict[str, int]

    def late(self, objective_s, since_s=0.0, until_s=1e9):
        """Return the share of calls that missed the objective."""
        waits = [wait for at, wait in self.seconds if since_s <= at < until_s]
        refused = sum(since_s <= at < until_s for at in self.refused)
        missed = refused + sum(wait > objective_s for wait in waits)
        return missed / max(1, len(waits) + refused)


class Running:
    """State of one modelled target."""

    def __init__(self, place):
        self.place, self.active, self.waiting = place, 0, []


class CallFleet:
    """Entry VMs that send plain calls to modelled targets.

    :param entries: data centre of each entry VM.
    :param order: ``capacity``, ``even`` (each target in turn), or ``own`` (fewest open
        requests of the sending VM).
    """

    def __init__(self, places, entries, order="capacity", seed=1, one_way_s=0.0035):
        #: Arrivals are the same for each order.
        self.rng = random.Random(seed)
        self._ties = random.Random(seed)
        self.running = {place.name: Running(place) for place in places}
        self.targets = [place.target for place in places]
        self.by_name = {target.name: target for target in self.targets}
        self.entries = entries
        self.order = order
        self.one_way_s = one_way_s
        self.loads = [Load() for _ in entries]
        self.orders = [
            TargetOrder(centre, random.Random(seed * 1_000 + number))
            for number, centre in enumerate(entries)
        ]
        self.reports = EntryLoads()
        self.turns = [itertools.count(number) for number in range(len(entries))]
        self._events, self._numbers = [], itertools.count()
        self.now_s = 0.0
        self.waits = Waits([], [], dict.fromkeys(self.by_name, 0))

    def at(self, at_s, call, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), call, args))

    def run(self, rate_s, duration_s, weights=None, size=lambda rng: 1.0):
        """Send calls at ``rate_s(now)`` a second, from VMs by their ``weights``."""
        self.size = size
        self.rate_s, self.weights, self.ends_s = rate_s, weights, duration_s
        for vm in range(len(self.entries)):
            self.at(self._ties.random() * REPORT_S, self._report, vm)
        self.at(0.0, self._arrive)
        while self._events:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self.waits

    def _report(self, vm):
        if self.now_s > self.ends_s:
            return
        load, name = self.loads[vm], str(vm)
        self.reports.update(name, load.own(self.now_s), self.now_s)
        sums = self.reports.total_except(name, self.now_s)
        self.at(self.now_s + REPORT_S / 2, self._hear, vm, sums)
        self.at(self.now_s + REPORT_S, self._report, vm)

    def _hear(self, vm, sums):
        self.loads[vm].update_others(sums, self.now_s)

    def _arrive(self):
        if self.now_s > self.ends_s:
            return
        vm = self.rng.choices(range(len(self.entries)), self.weights)[0]
        self._send(vm, self.now_s, self._sorted(vm), self.size(self.rng))
        self.at(
            self.now_s + self.rng.expovariate(self.rate_s(self.now_s)), self._arrive
        )

    def _sorted(self, vm):
        load = self.loads[vm]
        if self.order == "even":
            first = next(self.turns[vm]) % len(self.targets)
            return self.targets[first:] + self.targets[:first]
        if self.order == "own":
            targets = self._ties.sample(self.targets, len(self.targets))
            centre = self.entries[vm]
            return sorted(
                targets,
                key=lambda t: load.open_requests(t.name) + (t.data_centre != centre),
            )
        sort = self.orders[vm].sort
        count = len(self.entries)
        found = sort(load, SERVICE, self.targets, None, count, self.now_s)
        return [target for target, _ in found]

    def _send(self, vm, arrived_s, targets, size):
        if not targets:
            self.waits.refused.append(arrived_s)
            return
        first, *rest = targets[:3]
        request = self.loads[vm].record_start(first.name, 0, 0, self.now_s)
        at_s = self.now_s + self._way_s(vm, first)
        self.at(at_s, self._reach, vm, arrived_s, request, rest, size)

    def _way_s(self, vm, target):
        is_near = target.data_centre == self.entries[vm]
        return 0.0002 if is_near else self.one_way_s

    def _reach(self, vm, arrived_s, request, rest, size):
        running = self.running[request.target]
        call = (vm, arrived_s, request, size)
        if running.active < running.place.slots:
            self._begin(running, call)
        elif len(running.waiting) < running.place.queue:
            running.waiting.append(call)
        else:
            way_s = self._way_s(vm, self.by_name[request.target])
            self.at(
                self.now_s + way_s, self._refused, vm, arrived_s, request, rest, size
            )

    def _refused(self, vm, arrived_s, request, rest, size):
        self.loads[vm].record_response(request, SERVICE, self.now_s)
        self.loads[vm].record_end(request)
        self._send(vm, arrived_s, rest, size)

    def _begin(self, running, call):
        running.active += 1
        place, size = running.place, call[-1]
        bend = max(1.0, running.active / place.bends_at)
        slow = place.slowness(self.now_s) if place.slowness else 1.0
        took_s = 0.002 if place.fails else place.call_s * size * bend * slow
        self.waits.served[place.name] += 1
        self.at(self.now_s + took_s, self._end, running, call)

    def _end(self, running, call):
        running.active -= 1
        if running.waiting:
            self._begin(running, running.waiting.pop(0))
        way_s = self._way_s(call[0], self.by_name[running.place.name])
        self.at(self.now_s + way_s, self._answered, running.place, *call)

    def _answered(self, place, vm, arrived_s, request, size):
        load = self.loads[vm]
        load.record_response(request, SERVICE, self.now_s)
        load.record_end(request)
        load.observed.record_answer(place.name, place.fails, self.now_s)
        if place.fails:
            self.waits.refused.append(arrived_s)
        else:
            self.waits.seconds.append((arrived_s, self.now_s - arrived_s))
