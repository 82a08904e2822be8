"""Placement of prompts by entry VMs whose load reports are delayed, by policy."""

import random
from collections import Counter
from typing import Any, NamedTuple

from bench.batch_model import Clock, Engine, EngineShape, Part, Run, StoreLink
from bench.placement_scenes import (
    KINDS,
    LARGE_FLEET,
    FleetShape,
    PromptKind,
    Scenario,
)
from vanillabeam import fleet
from vanillabeam.fleet.loads import EntryLoads
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.choosing.costs import (
    FetchCost,
    estimate_costs,
    fetch_cost_ratio,
)
from vanillabeam.forwarding.choosing.load import Load, UnreportedLoad
from vanillabeam.forwarding.choosing.ordering import TargetOrder
from vanillabeam.forwarding.choosing.selection import (
    MAX_WAIT_OBJECTIVES,
    POLL_INTERVAL_S,
    USABLE_WAIT_OBJECTIVES,
)
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata

__all__ = ["POLICIES", "run", "simulate"]

INDEX_LAG_S = 0.3
KV_BYTES = 18_432.0
STORE_BYTES_S = 5e9
RETRY_S = (0.5, 1.0)


class ReportedLoad(Load):
    """Load tracker that ignores unreported load of other entry VMs."""

    def unreported_load(
        self, target: str, entries: int, now_s: float
    ) -> UnreportedLoad:
        """Return no load."""
        return UnreportedLoad(0, 0)


class ComparingOrder(TargetOrder):
    """Order that compares all targets for each prompt."""

    def candidates(self, preferred, by_name, costs) -> set[str]:
        """Return all targets."""
        return set(preferred)


class Policy(NamedTuple):
    """Variant of the choice of a target by entry VMs.

    :param load: class that tracks the load of targets.
    :param order: class that sorts the targets.
    :param uses_store_index: whether parts that no store keeps count as not
        cached anywhere. Otherwise the preferred target counts as having cached
        all shared parts.
    """

    load: type[Load] = Load
    order: type[TargetOrder] = TargetOrder
    uses_store_index: bool = True


POLICIES = {
    "product": Policy(),
    "all_compared": Policy(order=ComparingOrder),
    "others_unseen": Policy(load=ReportedLoad),
    "favourite_has_all": Policy(uses_store_index=False),
    "neither": Policy(load=ReportedLoad, uses_store_index=False),
}


class Prompt(NamedTuple):
    """Prompt of a caller."""

    kind: PromptKind
    parts: tuple[Part, ...]
    at_s: float


class Simulation:
    """Simulation of entry VMs, engines and stores.

    Entry VMs run the system's own choosers; engines and stores are modelled.
    """

    def __init__(self, policy: Policy, scenario: Scenario, seed: int):
        self.policy, self.scenario = policy, scenario
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.loads = EntryLoads()
        self.stored_parts: dict[str, tuple[StoreLink, float]] = {}
        self.counts: Counter[str] = Counter()
        token_s = KV_BYTES / STORE_BYTES_S
        shape = scenario.fleet
        self.stores = [
            StoreLink(f"s-{n}", shape.data_centre(n), token_s)
            for n in range(shape.stores)
        ]
        self.targets = [
            fleet.Target(
                name=f"t-{n}",
                born_ms=1,
                sequence=1,
                service="llm",
                address=f"10.0.0.{n}:80",
                data_centre=shape.data_centre(n),
                slots=EngineShape().slots,
                versions={"m": 1},
            )
            for n in range(shape.targets)
        ]
        self.engines = {
            target.name: Engine(
                target.name,
                target.data_centre,
                EngineShape(),
                self.clock,
                self.index_parts,
            )
            for target in self.targets
        }
        engine = fleet.Engine(EngineShape().slots, EngineShape().kv_tokens, KV_BYTES)
        services = {"llm": fleet.Service("llm", engine=engine)}
        self.view = fleet.FleetView(1, fleet.Deployment(1, services=services))
        names = tuple(f"e-{n}" for n in range(shape.entries))
        self.entries = [
            Entry(self, name, index, names) for index, name in enumerate(names)
        ]

    def index_parts(self, parts: tuple[Part, ...]) -> None:
        """Store new parts; the index lists them after ``INDEX_LAG_S``."""
        for part in parts:
            if part.part_id not in self.stored_parts:
                store = self.rng.choice(self.stores)
                indexed_s = self.clock.now_s + INDEX_LAG_S
                self.stored_parts[part.part_id] = (store, indexed_s)

    def find_store(self, part_id: str) -> StoreLink | None:
        """Return the store that keeps a part according to the index."""
        store, indexed_s = self.stored_parts.get(part_id, (None, 0.0))
        return store if store and indexed_s <= self.clock.now_s else None

    def prompts(self) -> list[Prompt]:
        """Return the traffic: bursts of prompts at random times."""
        prompts = []
        for kind in KINDS:
            at_s = 0.0
            while True:
                at_s += self.rng.expovariate(self._bursts_s(kind))
                if at_s >= self.scenario.duration_s:
                    break
                for _ in range(self.scenario.burst_size):
                    prompts.append(Prompt(kind, self._parts(kind), at_s))
        return sorted(prompts, key=lambda prompt: prompt.at_s)

    def _bursts_s(self, kind: PromptKind) -> float:
        scenario = self.scenario
        rate_s = kind.rate_s * scenario.load * scenario.fleet.scale
        return rate_s / scenario.burst_size

    def _parts(self, kind: PromptKind) -> tuple[Part, ...]:
        common, session = kind.shared_tokens
        number = self.rng.randrange(int(kind.sessions * self.scenario.fleet.scale))
        size = random.Random(f"{kind.name}-{number}").lognormvariate(0.0, 0.5)
        return (
            Part(f"{kind.name}-all", common),
            Part(f"{kind.name}-{number}", max(16, int(session * size))),
        )

    def summarize(self) -> dict[str, float]:
        """Return the figures of the simulation.

        :returns: shares of prompts served and served in time by kind, thousands
            of shared tokens prefilled more than once, and the number of refusals.
        """
        figures = {}
        for kind in KINDS:
            submitted = max(1, self.counts[f"{kind.name}.asked"])
            for outcome in ("in_time", "served"):
                share = self.counts[f"{kind.name}.{outcome}"] / submitted
                figures[f"{kind.name}_{outcome}"] = round(share, 4)
        repeated_tokens, seen_ids = 0, set()
        for engine in self.engines.values():
            for part in engine.prefilled_parts:
                repeated_tokens += part.tokens if part.part_id in seen_ids else 0
                seen_ids.add(part.part_id)
        figures["read_again_ktokens"] = round(repeated_tokens / 1_000, 1)
        figures["refused"] = self.counts["refused"]
        return figures


class Entry:
    """Entry VM that chooses targets for its callers' prompts."""

    def __init__(
        self, simulation: Simulation, name: str, index: int, names: tuple[str, ...]
    ):
        self.simulation, self.name, self.names = simulation, name, names
        shape = simulation.scenario.fleet
        self.data_centre = shape.data_centre(index)
        self.period_s = shape.report_period_s
        self.directory = fleet.Directory()
        rng = random.Random(f"{name}-{simulation.rng.random()}")
        self.chooser = Chooser(
            name, self.data_centre, self.directory, fleet.Bounds(), rng
        )
        self.chooser.order = simulation.policy.order(self.data_centre, rng)
        self.chooser.load = simulation.policy.load()
        offset_s = self.period_s * index / len(names)
        simulation.clock.call_at(offset_s, self._exchange_reports)

    def _exchange_reports(self) -> None:
        simulation, now_s = self.simulation, self.simulation.clock.now_s
        simulation.loads.update(self.name, self.chooser.load.own(now_s), now_s)
        others = simulation.loads.total_except(self.name, now_s)
        self.chooser.load.update_others(others, now_s)
        is_stopped = now_s < simulation.scenario.returns_s
        for target in simulation.targets[1:] if is_stopped else simulation.targets:
            if target.name in self.directory.records:
                self.directory.refresh(target.name, now_s)
            else:
                self.directory.update(target, now_s)
        simulation.clock.call_at(now_s + self.period_s, self._exchange_reports)

    def submit(self, prompt: Prompt, submitted_s: float, retries: int = 1) -> None:
        """Send a caller's prompt to a target, or queue it.

        :param submitted_s: time at which the caller first sent the prompt.
        :param retries: number of further attempts after a refusal.
        """
        self._try_send(prompt, submitted_s, self.simulation.clock.now_s, retries)

    def _try_send(self, prompt, submitted_s, waiting_since_s, retries) -> None:
        simulation, now_s = self.simulation, self.simulation.clock.now_s
        choice = self._choose(prompt, now_s)
        objective_s = prompt.kind.objective_s
        if choice is not None and choice.wait_s <= MAX_WAIT_OBJECTIVES * objective_s:
            self._send(prompt, submitted_s, choice)
        elif (
            choice is None
            and now_s < waiting_since_s + USABLE_WAIT_OBJECTIVES * objective_s
        ):
            simulation.clock.call_at(
                now_s + POLL_INTERVAL_S,
                self._try_send,
                prompt,
                submitted_s,
                waiting_since_s,
                retries,
            )
        elif retries:
            simulation.counts["refused"] += 1
            retry_s = now_s + simulation.rng.uniform(*RETRY_S)
            other = simulation.rng.choice(simulation.entries)
            simulation.clock.call_at(
                retry_s, other.submit, prompt, submitted_s, retries - 1
            )

    def _choose(self, prompt: Prompt, now_s: float):
        simulation, kind, load = self.simulation, prompt.kind, self.chooser.load
        parts = (*prompt.parts, Part("own", kind.own_tokens))
        prompt_parts = tuple(PromptPart(part.part_id, part.tokens) for part in parts)
        metadata = RequestMetadata(
            "r",
            "h",
            "POST",
            "/",
            b"/",
            model="m",
            parts=prompt_parts,
            output_tokens=kind.output_tokens,
        )
        cost_ratio = fetch_cost_ratio(
            KV_BYTES, STORE_BYTES_S, load.tokens_s("llm", simulation.clock.now_s)
        )

        def find_cost(part_id: str) -> FetchCost | None:
            store = simulation.find_store(part_id)
            return FetchCost(store.data_centre, cost_ratio) if store else None

        costs = estimate_costs(
            metadata,
            find_cost if simulation.policy.uses_store_index else None,
            kind.rank,
            objective_s=kind.objective_s,
        )
        return self.chooser.choose(
            "llm", metadata, simulation.view, self.names, set(), now_s, costs
        )

    def _send(self, prompt: Prompt, submitted_s: float, choice) -> None:
        simulation, kind, load = self.simulation, prompt.kind, self.chooser.load
        now_s = simulation.clock.now_s
        request = load.record_start(
            choice.target.name,
            kind.rank,
            choice.work,
            now_s,
            memory_tokens=choice.memory_tokens,
        )

        def on_first_token(at_s: float) -> None:
            load.record_response(request, "llm", at_s)
            simulation.counts[f"{kind.name}.served"] += 1
            in_time = at_s - submitted_s <= kind.objective_s
            simulation.counts[f"{kind.name}.in_time"] += in_time

        def on_end() -> None:
            load.record_end(request)

        sources = tuple(simulation.find_store(part.part_id) for part in prompt.parts)
        run = Run(
            kind.rank,
            prompt.parts,
            kind.own_tokens,
            kind.output_tokens,
            sources,
            on_first_token,
            on_end,
        )
        simulation.engines[choice.target.name].submit(run)


def simulate(policy: Policy, scenario: Scenario, seed: int) -> dict[str, float]:
    """Return the figures of a scenario under a policy."""
    simulation = Simulation(policy, scenario, seed)
    for prompt in simulation.prompts():
        simulation.counts[f"{prompt.kind.name}.asked"] += 1
        entry = simulation.rng.choice(simulation.entries)
        simulation.clock.call_at(prompt.at_s, entry.submit, prompt, prompt.at_s)
    simulation.clock.run(scenario.duration_s + 10.0)
    return simulation.summarize()


def run(seed: int) -> dict[str, Any]:
    """Compare the policies by traffic, and at 1.5 times of it by size of the fleet."""
    medium = FleetShape(entries=60, targets=30, stores=14)
    scenes = {
        "usual": Scenario(),
        "heavy": Scenario(load=1.5),
        "medium": Scenario(medium, duration_s=12.0, load=1.5),
        "large": Scenario(LARGE_FLEET, duration_s=12.0, load=1.5),
    }
    return {
        name: {
            policy_name: simulate(policy, scenario, seed)
            for policy_name, policy in POLICIES.items()
        }
        for name, scenario in scenes.items()
    }
