"""Model of targets on virtual time, for the comparison of routing policies."""

import heapq
import random
from collections import OrderedDict
from itertools import count
from typing import NamedTuple

import trio

from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.config import Priority

__all__ = ["Engine", "Prompt", "Site", "Store", "make_prompts"]

COLD_RATE = 0.25
OVERRUN_RATE = 0.03
WARM_COMPLETIONS = 6
SERVICE_CALL_S = 0.05


class Site(NamedTuple):
    """Sizes and speeds of a deployment.

    :param engines: number of engines in each data centre.
    :param services: number of plain services in each data centre.
    :param one_way_s: seconds of one-way delay between data centres.
    :param link_bytes_s: bytes per second between an engine and the store.
    :param token_bytes: size of the KV cache of one token.
    :param cache_blocks: number of blocks that an engine caches.
    :param initial_blocks: minimum and maximum blocks of a new conversation.
    :param batch_blocks: minimum and maximum blocks of a batch prompt.
    :param output_tokens: minimum and maximum tokens of an answer.
    :param rate_s: interactive prompts per second at full load.
    :param batch_rate_s: batch prompts per second at full load.
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
    initial_blocks: tuple[int, int]
    batch_blocks: tuple[int, int]
    output_tokens: tuple[int, int]
    workspaces: int
    rate_s: float
    batch_rate_s: float


class Prompt(NamedTuple):
    """Request of the load.

    :param root: id of the conversation.
    :param service: plain service to call; empty for a prompt.
    """

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
    """Store outside the engines that keeps every block ever computed."""

    def __init__(self):
        self.blocks: set[str] = set()
        self.link_bytes = 0.0

    def count_leading(self, blocks: tuple[str, ...]) -> int:
        """Return the number of leading blocks that the store holds."""
        for leading, block in enumerate(blocks):
            if block not in self.blocks:
                return leading
        return len(blocks)


class RunStats(NamedTuple):
    """Costs of a run.

    :param tokens: prompt tokens.
    :param cached: prompt tokens that needed no computation.
    :param computed: prompt tokens that were computed.
    :param recomputed: computed tokens that had been computed before.
    :param import_s: seconds that the import from the store took.
    """

    tokens: int
    cached: int
    computed: int
    recomputed: int
    imported_bytes: int = 0
    import_s: float = 0.0


class Engine:
    """Engine with slots, a prefix cache and cold starts.

    It prefills one prompt at a time.
    """

    def __init__(self, name: str, data_centre: str, site: Site, store: Store):
        self.name = name
        self.data_centre = data_centre
        self.site = site
        self.store = store
        self.incarnation = 1
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, list[str]]] = []
        self.running = 0
        self.cold_completions = 0
        self.prefilling_tokens = 0.0
        self._waiting: list = []
        self._order = count()
        self._prefill = trio.Lock()
        self._link = trio.Lock()

    @property
    def queued(self) -> int:
        """Number of runs that wait for a slot."""
        return len(self._waiting)

    def go_cold(self, restart: bool) -> None:
        """Clear the cache and become cold.

        :param restart: whether the engine gets a new incarnation.
        """
        self.incarnation += restart
        self.cold_completions = WARM_COMPLETIONS
        self.cache.clear()
        self.events.append(("cleared", []))

    async def run(self, prompt: Prompt, import_tokens: int, first) -> RunStats:
        """Run ``prompt`` to completion.

        :param import_tokens: number of tokens to import from the store.
        :param first: called at the first token.
        """
        await self._acquire_slot(prompt.priority)
        try:
            return await self._run(prompt, import_tokens, first)
        finally:
            self.running -= 1
            self._start_next()

    async def _run(self, prompt: Prompt, import_tokens: int, first) -> RunStats:
        if prompt.service:
            await trio.sleep(SERVICE_CALL_S)
            first()
            return RunStats(0, 0, 0, 0)
        leading = self._count_cached(prompt.blocks)
        began_s = trio.current_time()
        cached_blocks = leading
        leading = max(leading, await self._import(prompt, leading, import_tokens))
        import_s = trio.current_time() - began_s
        size = int((leading - cached_blocks) * BLOCK_TOKENS * self.site.token_bytes)
        cached = min(prompt.tokens, leading * BLOCK_TOKENS)
        computed = prompt.tokens - cached
        stored_tokens = self.store.count_leading(prompt.blocks) * BLOCK_TOKENS
        recomputed = max(0, min(stored_tokens, prompt.tokens) - cached)
        self.prefilling_tokens += computed
        async with self._prefill:
            await trio.sleep(computed / self._rate())
        self.prefilling_tokens -= computed
        first()
        self._cache_blocks(prompt.blocks)
        await trio.sleep(prompt.output_tokens / self.site.decode_tokens_s)
        if self.cold_completions and self.running <= self.site.cold_capacity:
            self.cold_completions -= 1
        return RunStats(prompt.tokens, cached, computed, recomputed, size, import_s)

    async def _import(self, prompt: Prompt, leading: int, tokens: int) -> int:
        available_blocks = min(
            self.store.count_leading(prompt.blocks), leading + tokens // BLOCK_TOKENS
        )
        if available_blocks <= leading:
            return leading
        size = (available_blocks - leading) * BLOCK_TOKENS * self.site.token_bytes
        async with self._link:
            await trio.sleep(size / self.site.link_bytes_s)
        self.store.link_bytes += size
        return available_blocks

    def _rate(self) -> float:
        if not self.cold_completions:
            return self.site.prefill_tokens_s
        overrun = self.running > self.site.cold_capacity
        return self.site.prefill_tokens_s * (OVERRUN_RATE if overrun else COLD_RATE)

    def _count_cached(self, blocks: tuple[str, ...]) -> int:
        for leading, block in enumerate(blocks):
            if block not in self.cache:
                return leading
        return len(blocks)

    def _cache_blocks(self, blocks: tuple[str, ...]) -> None:
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

    async def _acquire_slot(self, priority: Priority) -> None:
        if self.running < self.site.capacity:
            self.running += 1
            return
        event = trio.Event()
        urgency_rank = list(Priority).index(priority)
        heapq.heappush(self._waiting, (urgency_rank, next(self._order), event))
        await event.wait()

    def _start_next(self) -> None:
        if self._waiting and self.running < self.site.capacity:
            self.running += 1
            heapq.heappop(self._waiting)[2].set()


def make_prompts(
    site: Site, seed: int, duration_s: float, load: float, batch_load: float
) -> list[Prompt]:
    """Return prompts in order of time.

    :param load: interactive prompts relative to full load.
    :param batch_load: batch prompts relative to full load.
    """
    rng = random.Random(seed)
    prompts = _make_interactive(site, rng, duration_s, load)
    if batch_load:
        prompts += _make_batch(site, rng, duration_s, batch_load)
    prompts += _make_calls(site, rng, duration_s, load)
    prompts.sort(key=lambda prompt: prompt.at_s)
    return [prompt._replace(number=n) for n, prompt in enumerate(prompts)]


def _make_interactive(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    turns: list[tuple[str, str, int]] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.rate_s * load)) < duration_s:
        if turns and rng.random() < 0.7:
            position = min(int(rng.expovariate(1 / 40.0)), len(turns) - 1)
            workspace, root, length = turns.pop(-1 - position)
            length += rng.random() < 0.5
        else:
            workspace = f"w{min(int(rng.paretovariate(1.0)), site.workspaces)}"
            root = f"c{len(prompts)}"
            length = rng.randint(*site.initial_blocks)
        turns.append((workspace, root, length))
        prompts.append(_make_prompt(site, rng, at_s, workspace, root, length))
    return prompts


def _make_batch(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.batch_rate_s * load)) < duration_s:
        root = f"l{len(prompts)}"
        length = rng.randint(*site.batch_blocks)
        prompt = _make_prompt(site, rng, at_s, "night", root, length)
        prompts.append(prompt._replace(priority=Priority.BATCH))
    return prompts


def _make_calls(site: Site, rng: random.Random, duration_s: float, load: float):
    prompts = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(site.rate_s * load)) < duration_s:
        call = Prompt(0, at_s, "w1", "", (), 0, 0, Priority.INTERACTIVE, "orders")
        prompts.append(call)
    return prompts


def _make_prompt(site, rng, at_s, workspace, root, length) -> Prompt:
    own = tuple(f"{workspace}/{root}/{n}" for n in range(length))
    blocks = (f"{workspace}/base", *own)
    tokens = len(blocks) * BLOCK_TOKENS + rng.randint(50, 600)
    output = rng.randint(*site.output_tokens)
    return Prompt(
        0, at_s, workspace, root, blocks, tokens, output, Priority.INTERACTIVE
    )
