"""Prompts with a part under which targets end, and targets that end by themselves."""

import random
from collections import Counter
from typing import Any

from bench.batch_model import Clock
from bench.poison_scenes import LARGE, POISON_FROM_S, SCENARIOS, SMALL, Scenario, Shape
from vanillabeam import fleet
from vanillabeam.fleet.keeper import QuarantineKeeper
from vanillabeam.fleet.quarantine import Quarantine, apply_change
from vanillabeam.forwarding.judging.endings import BrokenAnswer, TargetEnds
from vanillabeam.forwarding.judging.gate import (
    TRIAL_WAIT_S,
    Pass,
    QuarantineGate,
    Verdict,
)
from vanillabeam.forwarding.sending.exchange import RETRY_DELAY_S

__all__ = ["run", "simulate"]

POISON = "bad"
FIRST_PARTS = 4
#: Share of the sound prompts that have a new part beside the first.
NEW_PART_SHARE = 0.3
#: Seconds from the arrival of a prompt to its first event, and from there to the last.
BEGIN_S = (0.05, 0.2)
STREAM_S = (0.1, 0.6)
ATTEMPTS = 2
DOWN_S = 3.0
PROBE_S = 0.025
DECIDE_PERIOD_S = 0.1
COMMIT_S = 0.03
SPREAD_S = 0.05
DURATION_S = 30.0
COUNTED_ENDS = 5
START_MS = 1_700_000_000_000


class _Target:
    """A place whose target starts again some time after each end."""

    def __init__(self, number: int):
        self.number = number
        self.starts = 0
        self.is_up = True
        self.open: dict[int, _Request] = {}

    @property
    def record(self) -> fleet.Target:
        name = f"t-{self.number}-{self.starts}"
        address = f"10.0.{self.number // 250}.{self.number % 250}:80"
        return fleet.Target(name, self.starts, 1, "llm", address, "a", 64)


class _Request:
    """One prompt of a caller, with its attempts."""

    def __init__(self, number: int, parts: tuple[str, ...], entry: "_Entry"):
        self.number = number
        self.parts = parts
        self.entry = entry
        self.tried: set[int] = set()
        self.sent_s = 0.0
        self.verdict = Verdict(Pass.FREE)
        self.waits_until_s: float | None = None

    @property
    def is_poisoned(self) -> bool:
        return POISON in self.parts


class _Entry:
    """An entry VM: what it has seen, and what it knows of the leader's decisions."""

    def __init__(self, name: str, acts: bool):
        self.name = name
        self.acts = acts
        self.ends = TargetEnds()
        self.gate = QuarantineGate(name, self.ends)
        self.quarantine: Quarantine = {}
        self.accused: dict[str, int] = {}

    def judge(self, request: _Request) -> Verdict:
        if not self.acts:
            return Verdict(Pass.FREE)
        return self.gate.judge(request.parts, self.quarantine)


class Simulation:
    """A fleet under one scenario."""

    def __init__(self, shape: Shape, scenario: Scenario, seed: int, acts: bool):
        self.shape = shape
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.targets = [_Target(number) for number in range(shape.targets)]
        self.entries = [_Entry(f"vm-{n}", acts) for n in range(shape.entries)]
        self.keeper = QuarantineKeeper()
        self.quarantine: Quarantine = {}
        self.index = 0
        self.is_committing = False
        self.counts: Counter[str] = Counter()
        self.ends_s: list[float] = []
        #: Times at which targets ended under the part.
        self.poisoned_s: list[float] = []
        self.arrivals_s: list[float] = []
        self.blamed_s: dict[str, list[float]] = {}
        self.first: list[tuple[float, bool]] = []
        self._number = 0

    def play(self) -> None:
        """Play the whole scenario."""
        for number, entry in enumerate(self.entries):
            offset_s = self.shape.poll_s * number / len(self.entries)
            self.clock.call_at(offset_s, self._poll, entry)
        self.clock.call_at(0.0, self._decide)
        self._schedule(self.shape.sound_s, 0.0, poisoned=False)
        if self.scenario.poison_s:
            self._schedule(self.scenario.poison_s, POISON_FROM_S, poisoned=True)
        for at_s, share in self.scenario.killed:
            self.clock.call_at(at_s, self._kill, share)
        if self.scenario.flap_s:
            for target in self.targets:
                self._flap(target)
        self.clock.run(DURATION_S)

    def _schedule(self, rate_s: float, from_s: float, *, poisoned: bool) -> None:
        at_s = from_s + self.rng.expovariate(rate_s)
        while at_s < DURATION_S:
            self.clock.call_at(at_s, self._arrive, poisoned)
            at_s += self.rng.expovariate(rate_s)

    def _arrive(self, poisoned: bool) -> None:
        self._number += 1
        is_hot = self.rng.random() < self.scenario.hot
        first = 0 if is_hot else self.rng.randrange(1, FIRST_PARTS)
        parts = [f"first-{first}"]
        if poisoned:
            parts.append(POISON)
        elif self.rng.random() < NEW_PART_SHARE:
            parts.append(f"new-{self._number // 20}")
        self._submit(self._number, tuple(parts), retries=1)

    def _submit(self, number: int, parts: tuple[str, ...], retries: int) -> None:
        request = _Request(number, parts, self.rng.choice(self.entries))
        request.retries = retries
        self._pass(request)

    def _pass(self, request: _Request) -> None:
        """Send a request if the gate allows it, after its wait for a trial."""
        now_s, entry = self.clock.now_s, request.entry
        verdict = entry.judge(request)
        if verdict.result is Pass.WAIT and request.waits_until_s is None:
            request.waits_until_s = now_s + TRIAL_WAIT_S
            entry.gate.begin_wait(verdict.part)
            request.verdict = verdict
        if request.waits_until_s is not None:
            is_over = now_s >= request.waits_until_s
            if not is_over and verdict.result is Pass.WAIT:
                self.clock.call_at(now_s + RETRY_DELAY_S, self._pass, request)
                return
            entry.gate.end_wait(request.verdict.part)
        request.verdict = verdict
        if verdict.result is Pass.TRIAL:
            entry.gate.begin_trial(verdict)
        if verdict.result in (Pass.FREE, Pass.TRIAL):
            self._send(request)
        else:
            self._end(request, "barred")

    def _send(self, request: _Request) -> None:
        up = [t for t in self.targets if t.is_up and t.number not in request.tried]
        if not up:
            self._end(request, "no target")
            return
        target, now_s = self.rng.choice(up), self.clock.now_s
        request.tried.add(target.number)
        request.sent_s = now_s
        target.open[request.number] = request
        if request.is_poisoned:
            self.arrivals_s.append(now_s)
        begins_s = now_s + self.rng.uniform(*BEGIN_S)
        self.clock.call_at(begins_s, self._begin, request, target, target.starts)

    def _begin(self, request: _Request, target: _Target, start: int) -> None:
        if start != target.starts or not target.is_up:
            return
        if request.is_poisoned:
            self.poisoned_s.append(self.clock.now_s)
            self._end_target(target)
            return
        at_s = self.clock.now_s + self.rng.uniform(*STREAM_S)
        self.clock.call_at(at_s, self._answer, request, target, start)

    def _answer(self, request: _Request, target: _Target, start: int) -> None:
        if start != target.starts or not target.is_up:
            return
        del target.open[request.number]
        if self.rng.random() < self.scenario.lost and self.clock.now_s > POISON_FROM_S:
            self._break(request, target.record, is_end=False)
            return
        request.entry.ends.record_answer(request.parts, self.clock.now_s)
        self._end(request, "served")

    def _end_target(self, target: _Target) -> None:
        if not target.is_up:
            return
        record, broken = target.record, list(target.open.values())
        target.is_up = False
        target.open.clear()
        self.ends_s.append(self.clock.now_s)
        for request in broken:
            self._break(request, record, is_end=True)
        self.clock.call_at(self.clock.now_s + DOWN_S, self._start, target)

    def _start(self, target: _Target) -> None:
        target.starts += 1
        target.is_up = True
        if self.scenario.flap_s:
            self._flap(target)

    def _flap(self, target: _Target) -> None:
        at_s = self.clock.now_s + self.rng.expovariate(1 / self.scenario.flap_s)
        self.clock.call_at(max(at_s, POISON_FROM_S), self._end_target, target)

    def _kill(self, share: float) -> None:
        up = [target for target in self.targets if target.is_up]
        for target in self.rng.sample(up, round(share * len(up))):
            self._end_target(target)

    def _break(self, request: _Request, record: fleet.Target, *, is_end: bool) -> None:
        now_s, ends = self.clock.now_s, request.entry.ends
        ends.record_broken(
            BrokenAnswer(
                str(request.number), record, request.parts, request.sent_s, now_s
            )
        )
        self.clock.call_at(now_s + PROBE_S, self._probe, ends, record, is_end)
        self.clock.call_at(now_s + RETRY_DELAY_S, self._retry, request)

    def _probe(self, ends: TargetEnds, record: fleet.Target, is_end: bool) -> None:
        if is_end:
            ends.record_end(record.incarnation, "refused", self.clock.now_s)
        else:
            ends.record_alive(record.incarnation)

    def _retry(self, request: _Request) -> None:
        entry = request.entry
        is_suspect = entry.acts and entry.gate.is_suspect(request.parts, entry.accused)
        is_last = len(request.tried) >= ATTEMPTS or request.verdict.result is Pass.TRIAL
        if is_last or is_suspect or entry.judge(request).result is not Pass.FREE:
            self._end(request, "broken")
        else:
            self._send(request)

    def _end(self, request: _Request, outcome: str) -> None:
        if request.verdict.result is Pass.TRIAL:
            request.entry.gate.end_trial(request.verdict)
        kind = "part" if request.is_poisoned else "sound"
        self.counts[f"{kind} {outcome}"] += 1
        if not request.is_poisoned and request.retries:
            self.first.append((self.clock.now_s, outcome == "served"))
        if outcome == "broken" and request.retries:
            self._submit(request.number, request.parts, retries=0)

    def _poll(self, entry: _Entry) -> None:
        now_s = self.clock.now_s
        entry.ends.expire(now_s)
        evidence = entry.gate.evidence(entry.accused, now_s)
        if evidence is not None and entry.acts:
            self.keeper.update(entry.name, evidence, now_s)
        entry.accused = self.keeper.suspects.accused(now_s)
        self.clock.call_at(now_s + self.shape.poll_s, self._poll, entry)

    def _decide(self) -> None:
        now_s = self.clock.now_s
        self.clock.call_at(now_s + DECIDE_PERIOD_S, self._decide)
        if self.is_committing or self.keeper.is_idle(self.quarantine):
            return
        names = [entry.name for entry in self.entries]
        now_ms = START_MS + 1000 * now_s
        change = self.keeper.decide(self.quarantine, names, now_s, now_ms)
        if change is not None:
            self.is_committing = True
            self.clock.call_at(now_s + COMMIT_S, self._commit, change)

    def _commit(self, change) -> None:
        self.is_committing = False
        self.index += 1
        committed = {
            "part": change.part,
            "basis": change.basis,
            "record": change.record,
        }
        before = set(self.quarantine)
        self.quarantine = apply_change(self.quarantine, committed, self.index)
        now_s = self.clock.now_s
        for part in set(self.quarantine) - before:
            self.blamed_s.setdefault(part, []).append(now_s)
        for part in before - set(self.quarantine):
            self.counts["released"] += part != POISON
            self.blamed_s[part][-1] = now_s - self.blamed_s[part][-1]
        for entry in self.entries:
            self.clock.call_at(now_s + SPREAD_S, self._spread, entry, self.quarantine)

    def _spread(self, entry: _Entry, quarantine: Quarantine) -> None:
        entry.quarantine = quarantine

    def summarize(self) -> dict[str, float]:
        """Return the figures of the run."""
        contact_s = self.shape.contact_s
        counted_s = (self.poisoned_s[:COUNTED_ENDS] or [DURATION_S])[-1]
        is_counted = len(self.poisoned_s) >= COUNTED_ENDS
        late = sum(at_s > counted_s + contact_s for at_s in self.arrivals_s)
        blamed = set(self.blamed_s) - {POISON}
        return {
            "ends": len(self.ends_s),
            "ends_under_the_part": len(self.poisoned_s),
            "late_arrivals": late if is_counted else 0,
            "served_after": self._share(self._judged_from_s(counted_s)),
            "sound_parts_blamed": len(blamed),
            "still_blamed": len(set(self.quarantine) - {POISON}),
            "sound_barred": self.counts["sound barred"],
            "sound_served": self.counts["sound served"],
        }

    def _judged_from_s(self, counted_s: float) -> float:
        """Return from when on sound prompts must be served again."""
        if self.poisoned_s:
            return counted_s + 2 * self.shape.contact_s
        return POISON_FROM_S

    def _share(self, since_s: float) -> float:
        after = [served for at_s, served in self.first if at_s > since_s]
        return round(sum(after) / len(after), 4) if after else 1.0


def simulate(
    shape: Shape, scenario: Scenario, seed: int, acts: bool = True
) -> dict[str, float]:
    """Return the figures of a scenario.

    :param acts: whether the fleet keeps parts from targets.
    """
    simulation = Simulation(shape, scenario, seed, acts)
    simulation.play()
    return simulation.summarize()


def run(seed: int) -> dict[str, Any]:
    """Play all scenarios at two sizes, with and without quarantine."""
    return {
        f"{name}, {shape.entries} entry VMs": {
            policy: simulate(shape, scenario, seed, acts)
            for policy, acts in (("product", True), ("none", False))
        }
        for shape in (SMALL, LARGE)
        for name, scenario in SCENARIOS.items()
    }
