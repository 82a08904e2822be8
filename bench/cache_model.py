"""Simulation of a site of engines and stores on virtual time, for cache policies."""

import heapq
import itertools
import math
import random
from collections import OrderedDict
from typing import NamedTuple

from vanillabeam.cache.costs import (
    Prices,
    blocks_to_import,
    should_export,
    token_cost_s,
)
from vanillabeam.cache.transferrecords import (
    ExportOffered,
    ImportAnswer,
    ImportRequested,
    SizedBlock,
    StartTransfer,
    StoreLost,
    TargetRef,
    Tick,
    TransferEnded,
    TransferKind,
)
from vanillabeam.cache.transfers import Transfers, handle as handle_transfers
from vanillabeam.store.core import handle as handle_store
from vanillabeam.store.placement import preferred_stores
from vanillabeam.store.records import (
    FindRequested,
    StoresUpdated,
    WriteAccepted,
    WriteBegun,
    WriteEnded,
)
from vanillabeam.store.state import StoreLimits, StoreState
from vanillabeam.store.valuation import BlockValuation

__all__ = ["Policy", "Result", "Site", "Turn", "make_turns", "simulate"]

BLOCK_TOKENS = 4_000
DAY_S = 86_400.0
TICK_S = 0.5
LOSS_CHANCE = 0.03
CHECKSUM = "00" * 16
TARGET_REF = TargetRef("engine", "", "b1", "dc1", "m", "v1", 1)


class Site(NamedTuple):
    """Sizes and speeds of a deployment.

    :param link_bytes_s: bytes per second of the link to a store.
    :param token_bytes: size of the KV cache of one token.
    :param prefill_tokens_s: prompt tokens prefilled per second.
    :param engine_blocks: number of blocks that all accelerators hold together.
    :param store_blocks: number of blocks that one store holds.
    :param conversations_day: number of conversations that start per day.
    :param days: length of the simulation.
    :param prices: prices of computation and transfers.
    """

    name: str
    link_bytes_s: float
    token_bytes: int
    prefill_tokens_s: float
    engine_blocks: int
    store_blocks: int
    conversations_day: int
    days: int
    prices: Prices

    @property
    def block_bytes(self) -> int:
        """Size of one block in bytes."""
        return self.token_bytes * BLOCK_TOKENS


class Turn(NamedTuple):
    """Prompt of a conversation.

    :param at_s: time of arrival.
    :param seen_blocks: number of its blocks that an earlier prompt contained.
    """

    at_s: float
    block_ids: tuple[str, ...]
    seen_blocks: int


class Policy(NamedTuple):
    """Policy of exports, eviction and imports.

    :param valuation: values blocks in the stores; ``None`` for no stores.
    :param compares_costs: whether a block is imported or exported only if that
        is cheaper than computing it again.
    """

    name: str
    valuation: type[BlockValuation] | None
    compares_costs: bool


class Result(NamedTuple):
    """Figures of a simulation, without its first day."""

    recomputed_share: float
    link_mb_a_return: float
    first_token_p50_s: float
    first_token_p95_s: float
    recomputed_share_after_loss: float


def make_turns(site: Site, seed: int) -> list[Turn]:
    """Return prompts of ten workspaces of very different sizes.

    Workspaces differ in the share of conversations that continue and in the time
    until then. The gaps are log-normal with a long tail, from a minute to days.
    """
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 1.2 for rank in range(10)]
    return_patterns = [
        (rng.uniform(0.15, 0.9), rng.uniform(600.0, 30_000.0)) for _ in weights
    ]
    turns: list[Turn] = []
    for _ in range(site.conversations_day * site.days):
        workspace = rng.choices(range(10), weights)[0]
        chance, median_s = return_patterns[workspace]
        prefix = f"{workspace:012x}{1:06x}{rng.getrandbits(24):06x}"
        block_ids = [_block_id(prefix, rng) for _ in range(rng.randint(2, 14))]
        at_s = rng.uniform(0, site.days * DAY_S)
        seen_blocks = 0
        while at_s < site.days * DAY_S and len(block_ids) < 60:
            turns.append(Turn(at_s, tuple(block_ids), seen_blocks))
            if rng.random() > chance:
                break
            gap_s = rng.lognormvariate(math.log(median_s), 1.6)
            at_s += min(max(60.0, gap_s), 4 * DAY_S)
            seen_blocks = len(block_ids)
            block_ids += [_block_id(prefix, rng) for _ in range(rng.randint(0, 2))]
    return sorted(turns)


def simulate(site: Site, policy: Policy, turns: list[Turn], seed: int) -> Result:
    """Return the figures of ``policy``; one of two stores is lost at half time."""
    return _Simulation(site, policy, seed).run(turns)


class _Simulation:
    def __init__(self, site: Site, policy: Policy, seed: int):
        self.site = site
        self.policy = policy
        self.engine: OrderedDict[str, None] = OrderedDict()
        self.transfers = Transfers(site.link_bytes_s)
        self.stores: dict[str, StoreState] = {}
        self.busy_until: dict[str, float] = {}
        self.events: list = []
        self.sequence = itertools.count()
        self.waiting: dict[int, Turn] = {}
        self.ticking = False
        self.records: list[tuple[Turn, int, float]] = []
        self.return_bytes = 0
        self.parents: dict[str, str] = {}
        if policy.valuation is not None:
            names = ("s1", "s2")
            limits = StoreLimits(0, site.store_blocks * site.block_bytes)
            for number, name in enumerate(names):
                rng = random.Random(seed + number)
                state = StoreState(limits, rng, valuation=policy.valuation())
                handle_store(StoresUpdated(name, names), state, 0.0)
                self.stores[name] = state

    def run(self, turns: list[Turn]) -> Result:
        self.schedule(self.site.days * DAY_S / 2, self.lose_store)
        for turn in turns:
            pairs = itertools.pairwise(turn.block_ids)
            self.parents.update((child, parent) for parent, child in pairs)
            self.schedule(turn.at_s, self.arrive, turn)
        while self.events:
            now_s, _, action, *args = heapq.heappop(self.events)
            action(now_s, *args)
        return self.result(turns)

    def schedule(self, at_s: float, action, *args) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), action, *args))

    def lose_store(self, now_s: float) -> None:
        if not self.stores:
            return
        del self.stores["s1"]
        for state in self.stores.values():
            handle_store(StoresUpdated("s2", ("s2",)), state, now_s)
        self.handle(StoreLost("s1"), now_s)

    def arrive(self, now_s: float, turn: Turn) -> None:
        cached = 0
        while cached < len(turn.block_ids) and turn.block_ids[cached] in self.engine:
            cached += 1
        store, lengths, chance, held = self.find(turn.block_ids, now_s)
        lengths = lengths[cached:]
        count = self.choose(store, lengths, now_s)
        if not count:
            self.compute(now_s, turn, cached, now_s, chance, held)
            return
        import_id = next(self.sequence)
        wanted = turn.block_ids[cached : cached + count]
        blocks = tuple(
            SizedBlock(block_id, self.site.block_bytes) for block_id in wanted
        )
        self.waiting[import_id] = (turn, cached, chance, held)
        self.handle(ImportRequested(import_id, TARGET_REF, store, blocks), now_s)

    def find(self, block_ids, now_s):
        store, best, chance = "", (), 0.5
        held: dict[str, set[str]] = {}
        for name in preferred_stores(block_ids[0], self.stores):
            (holding,) = handle_store(
                FindRequested(block_ids), self.stores[name], now_s
            )
            leading = tuple(itertools.takewhile(bool, holding.lengths))
            pairs = zip(block_ids, holding.lengths, strict=True)
            held[name] = {block_id for block_id, length in pairs if length}
            chance = max(chance, holding.chance) if held else chance
            if len(leading) > len(best):
                store, best = name, leading
        return store, best, chance, held

    def choose(self, store, lengths, now_s) -> int:
        if not lengths or not self.policy.compares_costs:
            return len(lengths)
        link = self.transfers.link("dc1", store, now_s)
        bytes_ahead = self.transfers.bytes_ahead("dc1", store)
        return blocks_to_import(
            lengths,
            BLOCK_TOKENS,
            self.site.prefill_tokens_s,
            lambda size: link.expected_s(size, bytes_ahead, now_s),
            self.site.prices,
        )

    def compute(self, now_s, turn, cached, asked_s, chance, held) -> None:
        missing = len(turn.block_ids) - cached
        compute_s = missing * BLOCK_TOKENS / self.site.prefill_tokens_s
        self.records.append((turn, missing, now_s - asked_s + compute_s))
        for block_id in reversed(turn.block_ids):
            self.engine[block_id] = None
            self.engine.move_to_end(block_id)
        while len(self.engine) > self.site.engine_blocks:
            self.engine.popitem(last=False)
        self.schedule(now_s + compute_s, self.export, turn, chance, held)

    def export(self, now_s, turn, chance, held) -> None:
        size = self.site.block_bytes
        for copy, name in enumerate(preferred_stores(turn.block_ids[0], self.stores)):
            chance_here = chance * LOSS_CHANCE**copy
            if copy and self.policy.name == "lru":
                return
            if self.policy.compares_costs and not self.is_export_worthwhile(
                name, chance_here, now_s
            ):
                continue
            held_ids = held.get(name, set())
            missing = [each for each in turn.block_ids if each not in held_ids]
            blocks = tuple(SizedBlock(each, size) for each in missing)
            if blocks:
                self.handle(ExportOffered(TARGET_REF, name, blocks, chance_here), now_s)

    def is_export_worthwhile(self, store: str, chance: float, now_s: float) -> bool:
        site = self.site
        rate_bytes_s = self.transfers.link("dc1", store, now_s).rate_bytes_s
        import_s = site.block_bytes / rate_bytes_s
        compute_s = BLOCK_TOKENS * token_cost_s(site.prefill_tokens_s, site.prices)
        return should_export(site.block_bytes, chance, compute_s, import_s, site.prices)

    def handle(self, event, now_s: float) -> None:
        for effect in handle_transfers(event, self.transfers, now_s):
            if isinstance(effect, StartTransfer):
                self.start(effect, now_s)
            elif isinstance(effect, ImportAnswer) and effect.import_id in self.waiting:
                turn, cached, chance, held = self.waiting.pop(effect.import_id)
                cached += effect.blocks
                self.compute(now_s, turn, cached, turn.at_s, chance, held)
        if self.transfers.queued and not self.ticking:
            self.ticking = True
            self.schedule(now_s + TICK_S, self.tick)

    def tick(self, now_s: float) -> None:
        self.ticking = False
        self.handle(Tick(), now_s)

    def start(self, start: StartTransfer, now_s: float) -> None:
        blocks = start.blocks
        if start.kind is TransferKind.EXPORT:
            blocks = [each for each in blocks if self.accepts(start, each, now_s)]
        size = len(blocks) * self.site.block_bytes
        if now_s > DAY_S:
            self.return_bytes += size
        begin_s = max(now_s, self.busy_until.get(start.store, 0.0))
        end_s = begin_s + size / self.site.link_bytes_s
        self.busy_until[start.store] = end_s
        ended = TransferEnded(start.transfer_id, tuple(blocks), size, end_s - now_s)
        self.schedule(end_s, self.end, ended)

    def accepts(self, start: StartTransfer, block_id: str, now_s: float) -> bool:
        """Return whether the store accepts a block, and record it there.

        An upload sends its headers first, so a refusal costs no transfer.
        """
        state = self.stores.get(start.store)
        if state is None:
            return False
        size = self.site.block_bytes
        event = WriteBegun(block_id, size, CHECKSUM, BLOCK_TOKENS)
        effect = handle_store(event, state, now_s)[-1]
        if not isinstance(effect, WriteAccepted):
            return False
        parent = self.parents.get(block_id, "")
        ended = WriteEnded(block_id, effect.generation, size, CHECKSUM, parent)
        handle_store(ended, state, now_s)
        return True

    def end(self, now_s: float, ended: TransferEnded) -> None:
        self.handle(ended, now_s)

    def result(self, turns: list[Turn]) -> Result:
        measured = [record for record in self.records if record[0].at_s > DAY_S]
        half_s = self.site.days * DAY_S / 2
        first_token_times = sorted(
            wait_s for turn, _, wait_s in measured if turn.seen_blocks
        )
        returns = sum(turn.seen_blocks > 0 and turn.at_s > DAY_S for turn in turns)
        return Result(
            _share(measured),
            self.return_bytes / returns / 1e6,
            first_token_times[len(first_token_times) // 2],
            first_token_times[int(len(first_token_times) * 0.95)],
            _share([record for record in measured if record[0].at_s > half_s]),
        )


def _share(records) -> float:
    """Return the share of known blocks in follow-up prompts that were recomputed."""
    recomputed = sum(
        max(0, missing - len(turn.block_ids) + turn.seen_blocks)
        for turn, missing, _ in records
    )
    return recomputed / sum(turn.seen_blocks for turn, _, _ in records)


def _block_id(prefix: str, rng: random.Random) -> str:
    return f"{prefix}{rng.getrandbits(128):032x}"
