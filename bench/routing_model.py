"""A model of targets on virtual time, to measure routing policies against."""

import heapq
import random
from collections import OrderedDict
from itertools import count
from typing import NamedTuple

import trio

from vanillabeam.cache.blocks import BLOCK_TOKENS
from vanillabeam.config import Priority

__all__ = ["Engine", "Prompt", "Site", "Store", "make_prompts"]

COLD_RATE = 0.25
OVERRUN_RATE = 0.03
WARM_COMPLETIONS = 6
SERVICE_CALL_S = 0.05


class Site(NamedTuple):
    """A deployment's shape.

    :param engines: engines in each data centre.
    :param one_way_s: between data centres.
    :param link_bytes_s: between an engine and the store.
    :param first_blocks: blocks of a new conversation, least and most.
    :param ledger_blocks: the same of a batch prompt.
    :param rate_s: interactive prompts a second at full load.
    """

    name: str
    engines: tuple[int, ...]
    services: tuple[int, ...]
    one_way_s: float
    link_bytes_s: float
    token_bytes: float
    prefill_tokens_s: float
    decode_tokens_s: float
    capacity: int
    cold_capacity: int
    cache_blocks: int
    first_blocks: tuple[int, int]
    ledger_blocks: tuple[int, int]
    output_tokens: tuple[int, int]
    workspaces: int
    rate_s: float
    ledger_rate_s: float


class Prompt(NamedTuple):
    """One request of the load."""

    number: int
    at_s: float
    workspace: str
    root: str
    blocks: tuple[str, ...]
    tokens: int
    output_tokens: int
    priority: Priority
    service: str = ""


class Store:
    """Blocks outside the engines: everything that was ever computed."""

    def __init__(self):
        self.blocks: set[str] = set()
        self.link_bytes = 0.0

    def leading(self, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks the store could give."""
        for held, block in enumerate(blocks):
            if block not in self.blocks:
                return held
        return len(blocks)


class Served(NamedTuple):
    """What a run cost.

    :param recomputed: tokens computed that had been computed before.
    """

    tokens: int
    cached: int
    computed: int
    recomputed: int
    imported_bytes: int = 0
    import_s: float = 0.0


class Engine:
    """An engine: slots, one prompt at a time, a prefix cache, cold starts."""

    def __init__(self, name: str, data_centre: str, site: Site, store: Store):
        self.name = name
        self.data_centre = data_centre
        self.site = site
        self.store = store
        self.boot = 1
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, list[str]]] = []
        self.running = 0
        self.to_warm = 0
        self.prefilling = 0.0
        self._waiting: list = []
        self._order = count()
        self._prefill = trio.Lock()
        self._link = trio.Lock()

    @property
    def queued(self) -> int:
        """Return how many runs wait for a slot."""
        return len(self._waiting)

    def go_cold(self, restart: bool) -> None:
        """Lose the cache and the warmth; with ``restart`` under a new boot."""
        self.boot += restart
        self.to_warm = WARM_COMPLETIONS
        self.cache.clear()
        self.events.append(("cleared", []))

    async def run(self, prompt: Prompt, import_tokens: int, first) -> Served:
        """Run ``prompt``; ``first`` is called at its first token."""
        await self._slot(prompt.priority)
        try:
            return await self._run(prompt, import_tokens, first)
        finally:
            self.running -= 1
            self._next()

    async def _run(self, prompt: Prompt, import_tokens: int, first) -> Served:
        if prompt.service:
            await trio.sleep(SERVICE_CALL_S)
            first()
            return Served(0, 0, 0, 0)
        held = self._leading(prompt.blocks)
        began_s = trio.current_time()
        before = held
        held = max(held, await self._import(prompt, held, import_tokens))
        import_s = trio.current_time() - began_s
        size = int((held - before) * BLOCK_TOKENS * self.site.token_bytes)
        cached = min(prompt.tokens, held * BLOCK_TOKENS)
        computed = prompt.tokens - cached
        known = self.store.leading(prompt.blocks) * BLOCK_TOKENS
        recomputed = max(0, min(known, prompt.tokens) - cached)
        self.prefilling += computed
        async with self._prefill:
            await trio.sleep(computed / self._rate())
        self.prefilling -= computed
        first()
        self._keep(prompt.blocks)
        await trio.sleep(prompt.output_tokens / self.site.decode_tokens_s)
        if self.to_warm and self.running <= self.site.cold_capacity:
            self.to_warm -= 1
        return Served(prompt.tokens, cached, computed, recomputed, size, import_s)

    async def _import(self, prompt: Prompt, held: int, tokens: int) -> int:
        wanted = min(self.store.leading(prompt.blocks), held + tokens // BLOCK_TOKENS)
        if wanted <= held:
            return held
        size = (wanted - held) * BLOCK_TOKENS * self.site.token_bytes
        async with self._link:
            await trio.sleep(size / self.site.link_bytes_s)
        self.store.link_bytes += size
        return wanted

    def _rate(self) -> float:
        if not self.to_warm:
            return self.site.prefill_tokens_s
        overrun = self.running > self.site.cold_capacity
        return self.site.prefill_tokens_s * (OVERRUN_RATE if overrun else COLD_RATE)

    def _leading(self, blocks: tuple[str, ...]) -> int:
        for held, block in enumerate(blocks):
            if block not in self.cache:
                return held
        return len(blocks)

    def _keep(self, blocks: tuple[str, ...]) -> None:
        for block in blocks:
            self.cache.pop(block, None)
            self.cache[block] = None
        self.events.append(("stored", list(blocks)))
        self.store.blocks.update(blocks)
        evicted = []
        while len(self.cache) > self.site.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        if evicted:
            self.events.append(("evicted", evicted))

    async def _slot(self, priority: Priority) -> None:
        if self.running < self.site.capacity:
            self.running += 1
            return
        event = trio.Event()
        urgency = list(Priority).index(priority)
        heapq.heappush(self._waiting, (urgency, next(self._order), event))
        await event.wait()

    def _next(self) -> None:
        if self._waiting and self.running < self.site.capacity:
            self.running += 1
            heapq.heappop(self._waiting)[2].set()


def make_prompts(
    site: Site, seed: int, duration_s: float, load: float, ledgers: float
) -> list[Prompt]:
    """Return prompts in order of time.

    :param load: interactive prompts as a part of full load.
    :param ledgers: batch prompts as a part of full load.
    """
    rng = random.Random(seed)
    prompts = _clerks(site, rng, duration_s, load)
    if ledgers:
        prompts += _ledgers(site, rng, duration_s, ledgers)
    prompts += _calls(site, rng, duration_s, load)
    prompts.sort(key=lambda prompt: prompt.at_s)
    return [prompt._replace(number=n) for n, prompt in enumerate(prompts)]


def _clerks(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    turns: list[tuple[str, str, int]] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.rate_s * load)) < duration_s:
        if turns and rng.random() < 0.7:
            place = min(int(rng.expovariate(1 / 40.0)), len(turns) - 1)
            workspace, root, length = turns.pop(-1 - place)
            length += rng.random() < 0.5
        else:
            workspace = f"w{min(int(rng.paretovariate(1.0)), site.workspaces)}"
            root = f"c{len(prompts)}"
            length = rng.randint(*site.first_blocks)
        turns.append((workspace, root, length))
        prompts.append(_prompt(site, rng, at_s, workspace, root, length))
    return prompts


def _ledgers(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.ledger_rate_s * load)) < duration_s:
        root = f"l{len(prompts)}"
        length = rng.randint(*site.ledger_blocks)
        prompt = _prompt(site, rng, at_s, "night", root, length)
        prompts.append(prompt._replace(priority=Priority.BATCH))
    return prompts


def _calls(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.rate_s * load)) < duration_s:
        call = Prompt(0, at_s, "w1", "", (), 0, 0, Priority.INTERACTIVE, "orders")
        prompts.append(call)
    return prompts


def _prompt(site, rng, at_s, workspace, root, length) -> Prompt:
    own = tuple(f"{workspace}/{root}/{n}" for n in range(length))
    blocks = (f"{workspace}/base", *own)
    tokens = len(blocks) * BLOCK_TOKENS + rng.randint(50, 600)
    output = rng.randint(*site.output_tokens)
    return Prompt(
        0, at_s, workspace, root, blocks, tokens, output, Priority.INTERACTIVE
    )
