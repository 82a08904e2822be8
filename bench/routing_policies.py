"""Routing policies that are compared: three plain ones and the product's."""

import random
from collections import Counter
from typing import NamedTuple, Protocol

import trio
from returns.result import Failure, Success

from bench.routing_model import Engine, Prompt, Site, Store
from vanillabeam.cache.blocks import BLOCK_TOKENS, RouteRequest
from vanillabeam.config import Config, DataCentre, Priority
from vanillabeam.rendezvous import rank
from vanillabeam.routing.weights import CostWeights
from vanillabeam.targets import EntryVm, Outcome, OutcomeKind, Targets, TargetsSettings
from vanillabeam.targets.exceptions import OwnerUnreachable

__all__ = ["Affinity", "LeastLoaded", "Placed", "Policy", "Product", "RoundRobin"]

DEADLINE_S = {Priority.INTERACTIVE: 10.0, Priority.BATCH: 120.0}
REPORT_S = 1.0
REPORT_AGE_S = 0.5


class Placed(NamedTuple):
    """Where a prompt runs and what comes from the store."""

    engine: Engine
    import_tokens: int
    permit: object = None
    policy_data: object = None


class Policy(Protocol):
    """A way to place prompts."""

    async def place(self, prompt: Prompt) -> Placed | None:
        """Return where ``prompt`` runs, ``None`` if it is refused."""

    def ended(self, placed: Placed, first_token_s: float, served) -> None:
        """Learn how the run ended."""

    def out(self, data_centre: str | None) -> None:
        """Take a data centre out of service, or all back in with ``None``."""


class Plain:
    """What the plain policies share: exact counts and imports by time."""

    def __init__(self, engines: list[Engine], site: Site, store: Store, seed: int):
        self.engines = engines
        self.site = site
        self.store = store
        self.gone: str | None = None
        self.sent: Counter[str] = Counter()

    async def start(self, nursery) -> None:
        """Begin; plain policies have no tasks."""

    async def place(self, prompt: Prompt) -> Placed | None:
        """Return the policy's pick among the engines in service."""
        fit = [e for e in self._fit(prompt) if e.data_centre != self.gone]
        engine = self.pick(prompt, fit)
        self.sent[engine.name] += 1
        stored = self.store.leading(prompt.blocks) * BLOCK_TOKENS
        import_s = self.site.token_bytes / self.site.link_bytes_s
        cheaper = import_s < 1 / self.site.prefill_tokens_s
        return Placed(engine, stored if cheaper else 0)

    def ended(self, placed: Placed, first_token_s: float, served) -> None:
        """Count the run as ended."""
        self.sent[placed.engine.name] -= 1

    def out(self, data_centre: str | None) -> None:
        """Take a data centre out or all back in."""
        self.gone = data_centre

    def _fit(self, prompt: Prompt) -> list[Engine]:
        service = bool(prompt.service)
        return [e for e in self.engines if e.name.startswith("s") == service]


class RoundRobin(Plain):
    """Each engine in turn."""

    def __init__(self, *args):
        super().__init__(*args)
        self.turn = 0

    def pick(self, prompt: Prompt, fit: list[Engine]) -> Engine:
        """Return the next engine."""
        self.turn += 1
        return fit[self.turn % len(fit)]


class LeastLoaded(Plain):
    """The engine with the fewest runs, counted exactly."""

    def pick(self, prompt: Prompt, fit: list[Engine]) -> Engine:
        """Return the engine with the fewest runs."""
        return min(fit, key=lambda engine: (self.sent[engine.name], engine.name))


class Affinity(Plain):
    """A conversation always goes to the same engine."""

    def pick(self, prompt: Prompt, fit: list[Engine]) -> Engine:
        """Return the engine that hashing gives the conversation."""
        names = {engine.name: engine for engine in fit}
        key = f"{prompt.workspace}/{prompt.root or prompt.number}"
        return names[rank(key, names)[0]]


class Product:
    """The product: entries with owners, permits, windows and scores."""

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
        self.index = 0
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

    async def place(self, prompt: Prompt) -> Placed | None:
        """Return the permit's target."""
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
            stored_blocks=self.store.leading(prompt.blocks),
            conversation_root=prompt.root,
            service=prompt.service,
        )
        result = await shell.acquire(request)
        if isinstance(result, Failure):
            return None
        permit = result.unwrap()
        tokens = self._import_tokens(shell, request, permit)
        return Placed(self.engines[permit.target], tokens, permit, shell)

    def ended(self, placed: Placed, first_token_s: float, served) -> None:
        """Give the permit back."""
        outcome = Outcome(
            OutcomeKind.COMPLETED,
            first_token_s,
            served.tokens,
            served.cached,
            served.imported_bytes,
            served.import_s,
        )
        placed.policy_data.release(placed.permit, outcome)

    def out(self, data_centre: str | None) -> None:
        """Bring a configuration into force at every entry."""
        self.index += 1
        gone = {data_centre: DataCentre(data_centre, False)} if data_centre else {}
        for shell in self.shells.values():
            shell.config_changed(Config(index=self.index, data_centres=gone))

    def _import_tokens(self, shell: Targets, request: RouteRequest, permit) -> int:
        """Weigh import against recompute as the score does."""
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
            said = {
                "target": engine.name,
                "boot_id": f"b{engine.boot}",
                "data_centre": engine.data_centre,
                "address": engine.name,
                "kind": "engine",
                "models": {"m": "v"},
                "capacity": self.site.capacity,
                "cold_capacity": self.site.cold_capacity,
                "checks_fencing": True,
            }
            if engine.name.startswith("s"):
                said.update(kind="service", service="orders", models={})
            await self.rng.choice(shells).announce(said)
            await trio.sleep(2.0)

    async def _report(self, engine: Engine) -> None:
        shells = list(self.shells.values())
        first = 1
        sequence = 0
        while True:
            report = {
                "target": engine.name,
                "boot_id": f"b{engine.boot}",
                "sequence": sequence,
                "running": engine.running,
                "queued": engine.queued,
                "queued_prefill_tokens": int(engine.prefilling),
                "cached_tokens": len(engine.cache) * BLOCK_TOKENS,
                "age_s": REPORT_AGE_S,
            }
            taken, engine.events = engine.events, []
            events = [{"kind": kind, "blocks": blocks} for kind, blocks in taken]
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
