"""Compared routing policies: three baselines and that of the system."""

import random
from collections import Counter
from typing import NamedTuple, Protocol

import trio
from returns.result import Failure, Success

from bench.routing_model import Engine, Prompt, Site, Store
from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.config import Config, DataCentre, Priority
from vanillabeam.rendezvous import rank
from vanillabeam.routing.records import RouteRequest
from vanillabeam.routing.weights import CostWeights
from vanillabeam.targets import EntryVm, Outcome, OutcomeKind, Targets, TargetsSettings
from vanillabeam.targets.exceptions import OwnerUnreachable

__all__ = ["Affinity", "LeastLoaded", "Placement", "Policy", "Product", "RoundRobin"]

DEADLINE_S = {Priority.INTERACTIVE: 10.0, Priority.BATCH: 120.0}
REPORT_S = 1.0
REPORT_AGE_S = 0.5


class Placement(NamedTuple):
    """Engine that a prompt runs on, and the import from the store.

    :param import_tokens: number of tokens to import.
    :param permit: permit for the run, if the policy uses permits.
    :param shell: targets shell of the entry that got the permit.
    """

    engine: Engine
    import_tokens: int
    permit: object = None
    shell: object = None


class Policy(Protocol):
    """Policy that places prompts on engines."""

    async def place(self, prompt: Prompt) -> Placement | None:
        """Return the placement of ``prompt``, ``None`` if it is refused."""

    def record_end(self, placement: Placement, first_token_s: float, run_stats) -> None:
        """Record that a run has ended.

        :param first_token_s: seconds from its start to the first token.
        """

    def set_outage(self, data_centre: str | None) -> None:
        """Take a data centre out of service, or return all to it with ``None``."""


class BaselinePolicy:
    """Base of the baselines: exact counts of runs, and imports if they are faster."""

    def __init__(self, engines: list[Engine], site: Site, store: Store, seed: int):
        self.engines = engines
        self.site = site
        self.store = store
        self.outage: str | None = None
        self.active_runs: Counter[str] = Counter()

    async def start(self, nursery) -> None:
        """Do nothing; baselines have no background tasks."""

    async def place(self, prompt: Prompt) -> Placement | None:
        """Return the placement on the engine picked among those in service."""
        candidates = [
            e for e in self._candidates(prompt) if e.data_centre != self.outage
        ]
        engine = self.pick(prompt, candidates)
        self.active_runs[engine.name] += 1
        stored = self.store.count_leading(prompt.blocks) * BLOCK_TOKENS
        import_s = self.site.token_bytes / self.site.link_bytes_s
        cheaper = import_s < 1 / self.site.prefill_tokens_s
        return Placement(engine, stored if cheaper else 0)

    def record_end(self, placement: Placement, first_token_s: float, run_stats) -> None:
        """Subtract the run from the engine's active runs."""
        self.active_runs[placement.engine.name] -= 1

    def set_outage(self, data_centre: str | None) -> None:
        """Take a data centre out of service, or return all to it with ``None``."""
        self.outage = data_centre

    def _candidates(self, prompt: Prompt) -> list[Engine]:
        service = bool(prompt.service)
        return [e for e in self.engines if e.name.startswith("s") == service]


class RoundRobin(BaselinePolicy):
    """Policy that uses all engines in turn."""

    def __init__(self, *args):
        super().__init__(*args)
        self.turn_count = 0

    def pick(self, prompt: Prompt, candidates: list[Engine]) -> Engine:
        """Return the next engine."""
        self.turn_count += 1
        return candidates[self.turn_count % len(candidates)]


class LeastLoaded(BaselinePolicy):
    """Policy that picks the engine with the fewest runs, counted exactly."""

    def pick(self, prompt: Prompt, candidates: list[Engine]) -> Engine:
        """Return the engine with the fewest runs."""
        return min(
            candidates, key=lambda engine: (self.active_runs[engine.name], engine.name)
        )


class Affinity(BaselinePolicy):
    """Policy that sends all prompts of a conversation to the same engine."""

    def pick(self, prompt: Prompt, candidates: list[Engine]) -> Engine:
        """Return the engine selected by rendezvous hashing of the conversation."""
        names = {engine.name: engine for engine in candidates}
        key = f"{prompt.workspace}/{prompt.root or prompt.number}"
        return names[rank(key, names)[0]]


class Product:
    """Policy of the system: entries with owners, permits, windows and scores."""

    entries = 6

    def __init__(
        self,
        engines: list[Engine],
        site: Site,
        store: Store,
        seed: int,
        weights: CostWeights,
        settings: TargetsSettings | None = None,
    ):
        self.engines = {engine.name: engine for engine in engines}
        self.site = site
        self.store = store
        self.rng = random.Random(seed)
        self.config_index = 0
        self.shells: dict[str, Targets] = {}
        data_centres = sorted({engine.data_centre for engine in engines})
        self.members = [
            EntryVm(f"e{n}", data_centres[n % len(data_centres)], f"e{n}:1")
            for n in range(self.entries)
        ]
        for member in self.members:
            self.shells[member.address] = Targets(
                member.vm,
                member.data_centre,
                self._call,
                settings or TargetsSettings(view_lag_s=0.0),
                random.Random(self.rng.random()),
                address=member.address,
                weights=weights,
            )

    async def start(self, nursery) -> None:
        """Start the entries and the targets' reports."""
        for shell in self.shells.values():
            await nursery.start(shell.run)
            shell.members_changed(self.members)
        for engine in self.engines.values():
            nursery.start_soon(self._announce, engine)
            nursery.start_soon(self._report, engine)
        await trio.sleep(5.0)

    async def place(self, prompt: Prompt) -> Placement | None:
        """Return the placement on the target that a permit is acquired for."""
        shell = self.rng.choice(list(self.shells.values()))
        request = RouteRequest(
            request_id=str(prompt.number),
            workspace=prompt.workspace,
            model="" if prompt.service else "m",
            version="" if prompt.service else "v",
            deadline_s=DEADLINE_S[prompt.priority],
            prompt_tokens=prompt.tokens,
            priority=prompt.priority,
            blocks=prompt.blocks,
            stored_blocks=self.store.count_leading(prompt.blocks),
            conversation_root=prompt.root,
            service=prompt.service,
        )
        result = await shell.acquire(request)
        if isinstance(result, Failure):
            return None
        permit = result.unwrap()
        tokens = self._import_tokens(shell, request, permit)
        return Placement(self.engines[permit.target], tokens, permit, shell)

    def record_end(self, placement: Placement, first_token_s: float, run_stats) -> None:
        """Release the permit of the run."""
        outcome = Outcome(
            OutcomeKind.COMPLETED,
            first_token_s,
            run_stats.tokens,
            run_stats.cached,
            run_stats.imported_bytes,
            run_stats.import_s,
        )
        placement.shell.release(placement.permit, outcome)

    def set_outage(self, data_centre: str | None) -> None:
        """Apply a configuration with the outage at every entry."""
        self.config_index += 1
        outages = {data_centre: DataCentre(data_centre, False)} if data_centre else {}
        for shell in self.shells.values():
            shell.config_changed(Config(index=self.config_index, data_centres=outages))

    def _import_tokens(self, shell: Targets, request: RouteRequest, permit) -> int:
        """Return the tokens to import, by the costs that the router's score uses."""
        stored = request.stored_blocks * BLOCK_TOKENS
        wanted = stored - permit.cached_tokens
        weights = shell.router.weights
        size = self.site.token_bytes
        import_s = size / self.site.link_bytes_s + size * weights.link_byte_s
        compute_s = 1 / self.site.prefill_tokens_s + weights.recomputed_token_s
        return max(0, wanted) if import_s < compute_s else 0

    async def _call(self, address: str, path: str, body: bytes):
        await trio.sleep(2 * self.site.one_way_s)
        if address not in self.shells:
            return Failure(OwnerUnreachable(address))
        reply = await self.shells[address].routes()[path](body)
        return reply if isinstance(reply, Success | Failure) else Success(reply)

    async def _announce(self, engine: Engine) -> None:
        shells = list(self.shells.values())
        while True:
            announcement = {
                "target": engine.name,
                "boot_id": f"b{engine.incarnation}",
                "data_centre": engine.data_centre,
                "address": engine.name,
                "kind": "engine",
                "models": {"m": "v"},
                "capacity": self.site.capacity,
                "cold_capacity": self.site.cold_capacity,
                "checks_fencing": True,
            }
            if engine.name.startswith("s"):
                announcement.update(kind="service", service="orders", models={})
            await self.rng.choice(shells).announce(announcement)
            await trio.sleep(2.0)

    async def _report(self, engine: Engine) -> None:
        shells = list(self.shells.values())
        first = 1
        sequence = 0
        while True:
            report = {
                "target": engine.name,
                "boot_id": f"b{engine.incarnation}",
                "sequence": sequence,
                "running": engine.running,
                "queued": engine.queued,
                "queued_prefill_tokens": int(engine.prefilling_tokens),
                "cached_tokens": len(engine.cache) * BLOCK_TOKENS,
                "age_s": REPORT_AGE_S,
            }
            pending_events, engine.events = engine.events, []
            events = [
                {"kind": kind, "blocks": blocks} for kind, blocks in pending_events
            ]
            await trio.sleep(REPORT_AGE_S)
            shell = self.rng.choice(shells)
            await shell.load(report)
            message = {
                "target": engine.name,
                "boot_id": report["boot_id"],
                "first": first,
                "events": events,
            }
            await shell.events(message)
            first += len(events)
            sequence += 1
            await trio.sleep(REPORT_S - REPORT_AGE_S)
