"""Discrete-event model of engines with continuous batching.

It covers decode steps, chunked prefill, KV memory, the prefix cache and fetches
of stored prompt parts.
"""

import heapq
from collections import OrderedDict
from itertools import count
from typing import NamedTuple

__all__ = ["Clock", "Engine", "EngineShape", "Part", "Run", "StoreLink"]


class EngineShape(NamedTuple):
    """Sizes and speeds of the engines of a service.

    :param slots: number of requests that run at once.
    :param kv_tokens: tokens of KV memory, shared by running requests and cached
        parts.
    :param step_s: seconds that a step takes without any request.
    :param step_s_per_run: seconds that each running request adds to a step.
    :param prefill_tokens_s: prompt tokens prefilled per second.
    :param prefill_chunk_tokens: maximum number of prompt tokens that one step
        prefills.
    """

    slots: int = 64
    kv_tokens: int = 93_000
    step_s: float = 0.0026
    step_s_per_run: float = 0.00012
    prefill_tokens_s: float = 48_000.0
    prefill_chunk_tokens: int = 4_096


class Part(NamedTuple):
    """A part of a prompt that other prompts may share."""

    part_id: str
    tokens: int


class Clock:
    """Virtual clock that calls scheduled functions in order of time."""

    def __init__(self):
        self.now_s = 0.0
        self._order = count()
        self._queue: list = []

    def call_at(self, at_s: float, function, *args) -> None:
        """Schedule a call of ``function``.

        :param at_s: time of the call; a time in the past means now.
        """
        item = (max(at_s, self.now_s), next(self._order), function, args)
        heapq.heappush(self._queue, item)

    def run(self, until_s: float) -> None:
        """Make all calls that are due until ``until_s``."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, function, args = heapq.heappop(self._queue)
            function(*args)
        self.now_s = until_s


class StoreLink:
    """Link of a store, which carries one transfer at a time.

    A transfer to another data centre takes twice as long.

    :param token_s: seconds to transfer one token within the data centre.
    """

    def __init__(self, name: str, data_centre: str, token_s: float):
        self.name = name
        self.data_centre = data_centre
        self.token_s = token_s
        self._idle_from_s = 0.0

    def fetch(self, tokens: int, data_centre: str, now_s: float) -> float:
        """Return the time at which a fetch requested at ``now_s`` completes.

        :param data_centre: data centre of the engine that fetches.
        """
        factor = 1.0 if data_centre == self.data_centre else 2.0
        self._idle_from_s = (
            max(now_s, self._idle_from_s) + factor * tokens * self.token_s
        )
        return self._idle_from_s


class Run:
    """Run of a prompt at an engine.

    :param rank: urgency of the prompt, 0 is the most urgent.
    :param shared: shared parts of the prompt, in order.
    :param own_tokens: tokens of the part that no other prompt shares.
    :param output_tokens: number of tokens that the run generates.
    :param sources: store of each shared part, ``None`` for a part that no store
        keeps.
    :param on_first_token: called with the time of the first token.
    :param on_end: called after the last token.
    """

    def __init__(
        self, rank, shared, own_tokens, output_tokens, sources, on_first_token, on_end
    ):
        self.rank = rank
        self.shared: tuple[Part, ...] = shared
        self.own_tokens = own_tokens
        self.output_tokens = output_tokens
        self.sources: tuple[StoreLink | None, ...] = sources
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.pending_tokens = 0
        self.generated_tokens = 0
        self.ready_s = 0.0

    @property
    def memory_tokens(self) -> int:
        """Tokens of KV memory that the run takes."""
        return (
            sum(part.tokens for part in self.shared)
            + self.own_tokens
            + self.output_tokens
        )


class Engine:
    """Engine that prefills and decodes runs in steps.

    :param on_parts_cached: called with the shared parts of a prompt once they
        are cached.
    :ivar prefilled_tokens: number of prompt tokens prefilled so far.
    :ivar prefilled_parts: shared parts that were prefilled, once per prefill.
    """

    def __init__(
        self, name, data_centre, shape: EngineShape, clock: Clock, on_parts_cached
    ):
        self.name = name
        self.data_centre = data_centre
        self.prefilled_tokens = 0
        self.prefilled_parts: list[Part] = []
        self._shape = shape
        self._clock = clock
        self._on_parts_cached = on_parts_cached
        self._order = count()
        self._waiting: list = []
        self._running: list[Run] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._is_stepping = False

    def submit(self, run: Run) -> None:
        """Queue a run by its rank."""
        heapq.heappush(self._waiting, (run.rank, next(self._order), run))
        if not self._is_stepping:
            self._is_stepping = True
            self._clock.call_at(self._clock.now_s, self._step)

    def clear_cache(self) -> None:
        """Drop all cached parts, as a restart does."""
        self._cached.clear()

    def _step(self) -> None:
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        now_s = self._clock.now_s
        chunks = self._plan_prefill(now_s)
        decoding = [
            run
            for run in self._running
            if run.pending_tokens == 0 and run.generated_tokens
        ]
        if not chunks and not decoding:
            self._clock.call_at(min(run.ready_s for run in self._running), self._step)
            return
        shape = self._shape
        duration_s = shape.step_s + shape.step_s_per_run * len(self._running)
        duration_s += sum(tokens for _, tokens in chunks) / shape.prefill_tokens_s
        self._clock.call_at(now_s + duration_s, self._finish_step, chunks, decoding)

    def _plan_prefill(self, now_s: float) -> list[tuple[Run, int]]:
        budget, chunks = self._shape.prefill_chunk_tokens, []
        for run in self._running:
            if run.pending_tokens and run.ready_s <= now_s and budget:
                tokens = min(budget, run.pending_tokens)
                chunks.append((run, tokens))
                budget -= tokens
        return chunks

    def _finish_step(self, chunks, decoding) -> None:
        for run, tokens in chunks:
            run.pending_tokens -= tokens
            self.prefilled_tokens += tokens
            if run.pending_tokens == 0:
                run.generated_tokens = 1
                self._cache_parts(run)
                run.on_first_token(self._clock.now_s)
        for run in decoding:
            run.generated_tokens += 1
        for run in [
            run for run in self._running if run.generated_tokens >= run.output_tokens
        ]:
            self._running.remove(run)
            run.on_end()
        self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._shape.slots:
            run = self._waiting[0][2]
            used_tokens = sum(each.memory_tokens for each in self._running)
            if (
                self._running
                and used_tokens + run.memory_tokens > self._shape.kv_tokens
            ):
                return
            heapq.heappop(self._waiting)
            self._evict(self._shape.kv_tokens - used_tokens - run.memory_tokens)
            self._start_run(run)

    def _start_run(self, run: Run) -> None:
        run.ready_s, run.pending_tokens = self._clock.now_s, run.own_tokens
        is_prefix_available = True
        for part, store in zip(run.shared, run.sources, strict=True):
            if is_prefix_available and part.part_id in self._cached:
                continue
            if is_prefix_available and store is not None:
                run.ready_s = store.fetch(part.tokens, self.data_centre, run.ready_s)
                continue
            is_prefix_available = False
            run.pending_tokens += part.tokens
            self.prefilled_parts.append(part)
        self._running.append(run)

    def _cache_parts(self, run: Run) -> None:
        for part in run.shared:
            self._cached.pop(part.part_id, None)
            self._cached[part.part_id] = part.tokens
        self._evict(
            self._shape.kv_tokens - sum(each.memory_tokens for each in self._running)
        )
        self._on_parts_cached(run.shared)

    def _evict(self, capacity_tokens: int) -> None:
        """Evict the least recently used parts until the rest fits."""
        cached_tokens = sum(self._cached.values())
        while self._cached and cached_tokens > max(0, capacity_tokens):
            cached_tokens -= self._cached.popitem(last=False)[1]
