"""Placement of prompts by entry VMs that hear of each other late, by policy."""

import random
from collections import Counter
from typing import Any, NamedTuple

from bench.batch_model import Clock, Engine, EngineShape, Part, Run, StoreLink
from vanillabeam import fleet
from vanillabeam.fleet.follower import MIN_INTERVAL_S, MIN_WAIT_S
from vanillabeam.fleet.loads import EntryLoads
from vanillabeam.forwarding.choice import Chooser
from vanillabeam.forwarding.costs import FetchCost, estimate_costs, fetch_cost_ratio
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata
from vanillabeam.forwarding.exchange import (
    MAX_WAIT_OBJECTIVES,
    MEMORY_WAIT_OBJECTIVES,
    POLL_INTERVAL_S,
)
from vanillabeam.forwarding.load import Load, UnreportedLoad

__all__ = ["POLICIES", "Kind", "Scene", "play", "run"]

NEWS_PERIOD_S = MIN_WAIT_S + MIN_INTERVAL_S
INDEX_LAG_S = 0.3
KV_BYTES = 18_432.0
DATA_CENTRES = ("a", "b", "c", "d")
ENTRIES = 9
TARGETS = 9
STORES = 7
STORE_BYTES_S = 5e9
RETRY_S = (0.5, 1.0)


class Kind(NamedTuple):
    """A kind of prompts.

    :param shared: mean tokens of the parts that all, and a session, share.
    :param sessions: how many there are.
    :param per_s: prompts a second.
    """

    name: str
    rank: int
    shared: tuple[int, int]
    sessions: int
    own: int
    output: int
    objective_s: float
    per_s: float


KINDS = (
    Kind("long", 2, (500, 8_600), 234, 2_900, 48, 1.2, 14.6),
    Kind("question", 1, (120, 530), 417, 180, 36, 0.6, 26.0),
    Kind("check", 0, (340, 1_520), 359, 500, 3, 0.8, 22.4),
)


class Scene(NamedTuple):
    """What happens in a run.

    :param load: times the usual traffic.
    :param returns_s: when one target, away since the start, comes back empty.
    """

    duration_s: float = 30.0
    load: float = 1.0
    clump: int = 3
    returns_s: float = 10.0


class BlindLoad(Load):
    """Takes the others to send nothing until they have told it."""

    def unreported_load(
        self, target: str, entries: int, now_s: float
    ) -> UnreportedLoad:
        """Return nothing."""
        return UnreportedLoad(0, 0)


class Policy(NamedTuple):
    """How entry VMs choose.

    :param sees_unread: whether parts that no store keeps count as unread.
    """

    load: type[Load] = Load
    sees_unread: bool = True


POLICIES = {
    "product": Policy(),
    "others_unseen": Policy(load=BlindLoad),
    "favourite_has_all": Policy(sees_unread=False),
    "neither": Policy(BlindLoad, sees_unread=False),
}


class Prompt(NamedTuple):
    """One caller's prompt."""

    kind: Kind
    parts: tuple[Part, ...]
    at_s: float


class World:
    """Entry VMs with the product's own choosers, modelled engines and stores."""

    def __init__(self, policy: Policy, scene: Scene, seed: int):
        self.policy, self.scene = policy, scene
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.loads = EntryLoads()
        self.kept: dict[str, tuple[StoreLink, float]] = {}
        self.counts: Counter[str] = Counter()
        token_s = KV_BYTES / STORE_BYTES_S
        self.stores = [
            StoreLink(f"s-{n}", DATA_CENTRES[n % len(DATA_CENTRES)], token_s)
            for n in range(STORES)
        ]
        self.targets = [
            fleet.Target(
                name=f"t-{n}",
                born_ms=1,
                sequence=1,
                service="llm",
                address=f"10.0.0.{n}:80",
                data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
                slots=EngineShape().slots,
                versions={"m": 1},
            )
            for n in range(TARGETS)
        ]
        self.engines = {
            target.name: Engine(
                target.name, target.data_centre, EngineShape(), self.clock, self.note
            )
            for target in self.targets
        }
        engine = fleet.Engine(EngineShape().slots, EngineShape().kv_tokens, KV_BYTES)
        services = {"llm": fleet.Service("llm", engine=engine)}
        self.view = fleet.FleetView(1, fleet.Deployment(1, services=services))
        names = tuple(f"e-{n}" for n in range(ENTRIES))
        self.entries = [Entry(self, name, at, names) for at, name in enumerate(names)]

    def note(self, parts: tuple[Part, ...]) -> None:
        """Save parts that were read; the index tells of them a little later."""
        for part in parts:
            if part.part_id not in self.kept:
                store = self.rng.choice(self.stores)
                known_s = self.clock.now_s + INDEX_LAG_S
                self.kept[part.part_id] = (store, known_s)

    def find(self, part_id: str) -> StoreLink | None:
        """Return the store of a part, as the index tells."""
        store, known_s = self.kept.get(part_id, (None, 0.0))
        return store if store and known_s <= self.clock.now_s else None

    def prompts(self) -> list[Prompt]:
        """Return the traffic: clumps of prompts at random times."""
        found = []
        for kind in KINDS:
            at_s = 0.0
            while True:
                at_s += self.rng.expovariate(
                    kind.per_s * self.scene.load / self.scene.clump
                )
                if at_s >= self.scene.duration_s:
                    break
                for _ in range(self.scene.clump):
                    found.append(Prompt(kind, self._parts(kind), at_s))
        return sorted(found, key=lambda prompt: prompt.at_s)

    def _parts(self, kind: Kind) -> tuple[Part, ...]:
        common, session = kind.shared
        number = self.rng.randrange(kind.sessions)
        size = random.Random(f"{kind.name}-{number}").lognormvariate(0.0, 0.5)
        return (
            Part(f"{kind.name}-all", common),
            Part(f"{kind.name}-{number}", max(16, int(session * size))),
        )

    def tally(self) -> dict[str, float]:
        """Return shares in time by kind, refused, and tokens read again."""
        figures = {}
        for kind in KINDS:
            asked = max(1, self.counts[f"{kind.name}.asked"])
            for outcome in ("in_time", "served"):
                share = self.counts[f"{kind.name}.{outcome}"] / asked
                figures[f"{kind.name}_{outcome}"] = round(share, 4)
        again, seen = 0, set()
        for engine in self.engines.values():
            for part in engine.read_shared:
                again += part.tokens if part.part_id in seen else 0
                seen.add(part.part_id)
        figures["read_again_ktokens"] = round(again / 1_000, 1)
        figures["refused"] = self.counts["refused"]
        return figures


class Entry:
    """One entry VM."""

    def __init__(self, world: World, name: str, at: int, names: tuple[str, ...]):
        self.world, self.name, self.names = world, name, names
        self.data_centre = DATA_CENTRES[at % len(DATA_CENTRES)]
        self.directory = fleet.Directory()
        self.chooser = Chooser(
            name,
            self.data_centre,
            self.directory,
            fleet.Bounds(),
            random.Random(f"{name}-{world.rng.random()}"),
        )
        self.chooser.load = world.policy.load()
        offset_s = NEWS_PERIOD_S * at / len(names)
        world.clock.at(offset_s, self._tell)

    def _tell(self) -> None:
        world, now_s = self.world, self.world.clock.now_s
        world.loads.update(self.name, self.chooser.load.own(), now_s)
        self.chooser.load.update_others(world.loads.total_except(self.name, now_s))
        away = world.targets[0] if now_s < world.scene.returns_s else None
        for target in world.targets:
            if target is not away:
                self.directory.update(target._replace(sequence=int(now_s * 1e3)), now_s)
        world.clock.at(now_s + NEWS_PERIOD_S, self._tell)

    def ask(self, prompt: Prompt, first_s: float, tries: int = 1) -> None:
        """Take a caller's prompt."""
        self._look(prompt, first_s, self.world.clock.now_s, tries)

    def _look(self, prompt, first_s, began_s, tries) -> None:
        world, now_s = self.world, self.world.clock.now_s
        choice = self._choose(prompt, now_s)
        objective_s = prompt.kind.objective_s
        if choice is not None and choice.wait_s <= MAX_WAIT_OBJECTIVES * objective_s:
            self._send(prompt, first_s, choice)
        elif choice is None and now_s < began_s + MEMORY_WAIT_OBJECTIVES * objective_s:
            world.clock.at(
                now_s + POLL_INTERVAL_S, self._look, prompt, first_s, began_s, tries
            )
        elif tries:
            world.counts["refused"] += 1
            again_s = now_s + world.rng.uniform(*RETRY_S)
            other = world.rng.choice(world.entries)
            world.clock.at(again_s, other.ask, prompt, first_s, tries - 1)

    def _choose(self, prompt: Prompt, now_s: float):
        world, kind, load = self.world, prompt.kind, self.chooser.load
        parts = (*prompt.parts, Part("own", kind.own))
        told = tuple(PromptPart(part.part_id, part.tokens) for part in parts)
        metadata = RequestMetadata(
            "r",
            "h",
            "POST",
            "/",
            b"/",
            model="m",
            parts=told,
            output_tokens=kind.output,
        )
        share = fetch_cost_ratio(KV_BYTES, STORE_BYTES_S, load.tokens_s("llm"))

        def find(part_id: str) -> FetchCost | None:
            store = world.find(part_id)
            return FetchCost(store.data_centre, share) if store else None

        costs = estimate_costs(
            metadata, find if world.policy.sees_unread else None, kind.rank
        )
        return self.chooser.choose(
            "llm", metadata, world.view, self.names, set(), now_s, costs
        )

    def _send(self, prompt: Prompt, first_s: float, choice) -> None:
        world, kind, load = self.world, prompt.kind, self.chooser.load
        now_s = world.clock.now_s
        opened = load.record_start(
            choice.target.name,
            kind.rank,
            choice.work,
            now_s,
            memory_tokens=choice.memory_tokens,
        )

        def on_first(at_s: float) -> None:
            load.record_response(opened, "llm", at_s)
            world.counts[f"{kind.name}.served"] += 1
            in_time = at_s - first_s <= kind.objective_s
            world.counts[f"{kind.name}.in_time"] += in_time

        def on_end() -> None:
            load.record_end(opened)

        fetches = tuple(world.find(part.part_id) for part in prompt.parts)
        run = Run(
            kind.rank, prompt.parts, kind.own, kind.output, fetches, on_first, on_end
        )
        world.engines[choice.target.name].take(run)


def play(policy: Policy, scene: Scene, seed: int) -> dict[str, float]:
    """Play a scene under a policy; return its figures."""
    world = World(policy, scene, seed)
    for prompt in world.prompts():
        world.counts[f"{prompt.kind.name}.asked"] += 1
        entry = world.rng.choice(world.entries)
        world.clock.at(prompt.at_s, entry.ask, prompt, prompt.at_s)
    world.clock.run(scene.duration_s + 10.0)
    return world.tally()


def run(seed: int) -> dict[str, Any]:
    """Compare the policies on the usual traffic and half as much again."""
    scenes = {"usual": Scene(), "heavy": Scene(load=1.5)}
    return {
        name: {policy: play(how, scene, seed) for policy, how in POLICIES.items()}
        for name, scene in scenes.items()
    }
