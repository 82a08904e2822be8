"""Model of entry VMs that send prompts to targets, on virtual time."""

import heapq
import itertools
import random
from typing import NamedTuple

from tests.capacity.builders import REPORT_S, SERVICE, Waits
from tests.fleet.builders import make_target
from vanillabeam.fleet.loads import EntryLoads
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.ordering import TargetOrder


class Model(NamedTuple):
    """A modelled target, which prefills one prompt after the other.

    :param tokens_s: speed while it runs no more requests than it takes well.
    :param bends_at: running requests from which it slows in proportion.
    :param slowness: factor on the time of a prefill that starts at a time.
    """

    name: str
    tokens_s: float = 40_000.0
    slots: int = 12
    bends_at: int = 1_000
    slowness: object = None

    @property
    def target(self):
        return make_target(self.name, slots=self.slots, service=SERVICE)


class PromptFleet:
    """Entry VMs that send prompts of different sessions.

    :param order: ``capacity``, or ``even``: each target in turn.
    """

    def __init__(self, models, entries, order="capacity", seed=1):
        self.rng = random.Random(seed)
        self._ties = random.Random(seed)
        self.models = {model.name: model for model in models}
        self.targets = [model.target for model in models]
        self.queues = {model.name: [] for model in models}
        self.busy = dict.fromkeys(self.models, False)
        self.running = dict.fromkeys(self.models, 0)
        self.loads = [Load() for _ in range(entries)]
        self.orders = [
            TargetOrder("a", random.Random(seed * 1_000 + vm)) for vm in range(entries)
        ]
        self.order, self.reports = order, EntryLoads()
        self.turns = [itertools.count(vm) for vm in range(entries)]
        self._events, self._numbers, self.now_s = [], itertools.count(), 0.0
        self.waits = Waits([], [], dict.fromkeys(self.models, 0))

    def at(self, at_s, call, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), call, args))

    def run(self, rate_s, duration_s, objective_s):
        self.rate_s, self.ends_s, self.objective_s = rate_s, duration_s, objective_s
        for vm in range(len(self.loads)):
            self.at(self._ties.random() * REPORT_S, self._report, vm)
        self.at(0.0, self._arrive)
        while self._events:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self.waits

    def _report(self, vm):
        if self.now_s > self.ends_s:
            return
        load = self.loads[vm]
        self.reports.update(str(vm), load.own(self.now_s), self.now_s)
        sums = self.reports.total_except(str(vm), self.now_s)
        self.at(self.now_s + REPORT_S / 2, self._hear, load, sums)
        self.at(self.now_s + REPORT_S, self._report, vm)

    def _hear(self, load, sums):
        load.update_others(sums, self.now_s)

    def _arrive(self):
        if self.now_s > self.ends_s:
            return
        vm, tokens = (
            self.rng.randrange(len(self.loads)),
            self.rng.randint(2_000, 10_000),
        )
        output_s = self.rng.uniform(0.5, 1.5)
        target = self._choose(vm, f"s-{self.rng.randrange(10_000)}", tokens)
        load = self.loads[vm]
        request = load.record_start(target.name, 0, tokens, self.now_s, 1.0, tokens)
        self.queues[target.name].append((load, request, output_s))
        self._prefill_next(target.name)
        self.at(self.now_s + self.rng.expovariate(self.rate_s), self._arrive)

    def _choose(self, vm, session, tokens):
        if self.order == "even":
            return self.targets[next(self.turns[vm]) % len(self.targets)]
        costs = PromptCosts(
            session, tokens, 0, {}, False, 0, tokens, frozenset(), self.objective_s
        )
        entries = len(self.loads)
        found = self.orders[vm].sort(
            self.loads[vm], SERVICE, self.targets, costs, entries, self.now_s
        )
        return next(iter(found))[0]

    def _prefill_next(self, name):
        model, queue = self.models[name], self.queues[name]
        if self.busy[name] or not queue or self.running[name] >= model.slots:
            return
        self.busy[name] = True
        self.running[name] += 1
        load, request, output_s = queue.pop(0)
        slow = model.slowness(self.now_s) if model.slowness else 1.0
        bend = max(1.0, self.running[name] / model.bends_at)
        took_s = request.tokens / model.tokens_s * slow * bend
        self.waits.served[name] += 1
        self.at(self.now_s + took_s, self._first, name, load, request, output_s * slow)

    def _first(self, name, load, request, output_s):
        self.busy[name] = False
        load.record_response(request, SERVICE, self.now_s)
        self.waits.seconds.append((request.began_s, self.now_s - request.began_s))
        self.at(self.now_s + output_s, self._end, name, load, request)
        self._prefill_next(name)

    def _end(self, name, load, request):
        self.running[name] -= 1
        load.record_end(request)
        self._prefill_next(name)
