"""Fake model engine: runs, prefix cache, cold starts and injected faults."""

import heapq
import itertools
import random
import re
from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec
import trio

from bench.fake_settings import FakeTargetSettings, Faults, Refusal

__all__ = ["FakeEngine", "Run"]

MAX_RUNS = 1000
CHARACTERS_PER_TOKEN = 4
PREFILL_STEP_TOKENS = 4096
DEFAULT_OUTPUT_TOKENS = 16
MAX_EVENTS = 4096

_GENERATED_SUFFIX = re.compile(r"((?:\d+~[0-9a-f]{4} )*)$")


class Run:
    """Run of a prompt, which streams read while it is generated.

    :ivar pieces: JSON of the stream's events so far.
    :ivar done: whether the run has completed.
    :ivar broken: whether the run was aborted by a cancellation or restart.
    """

    def __init__(self, run_id: str, priority: int):
        self.run_id = run_id
        self.priority = priority
        self.pieces: list[bytes] = []
        self.done = False
        self.broken = False
        self.scope = trio.CancelScope()
        self._changed = trio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self, wait_s: float) -> bool:
        """Wait for a change.

        :returns: ``False`` if nothing changed within ``wait_s`` seconds.
        """
        with trio.move_on_after(wait_s):
            await self._changed.wait()
            return True
        return False


class FakeEngine:
    """Engine with continuous batching whose work is simulated by timers.

    :param settings: rates and sizes.
    :param on_change: called when the content of the announcement changes.
    :ivar started: ids of all runs that were started.
    :ivar cancelled: ids of all runs that were cancelled.
    :ivar overload_restarts: number of restarts because too many requests ran on
        the cold engine.

    >>> engine = FakeEngine(FakeTargetSettings(target="t1"))
    >>> engine.cold
    True
    """

    def __init__(
        self,
        settings: FakeTargetSettings,
        on_change: Callable[[], None] = lambda: None,
    ):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.faults = Faults()
        self.models = dict(settings.models)
        self.adapters = dict(settings.adapters)
        self.role = "serving"
        self.leaving = False
        self.order_index = 0
        self.runs: OrderedDict[str, Run] = OrderedDict()
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.overload_restarts = 0
        self.waiting_prefill_tokens = 0
        self.events: list[dict[str, Any]] = []
        self.next_event = 1
        self.on_change = on_change
        self._boots = itertools.count(1)
        self._prefill_queue: list[tuple[int, int, trio.Event]] = []
        self._prefill_busy = False
        self._sequence = itertools.count()
        self.loading = False
        self.restart()

    def restart(self) -> None:
        """Restart with a new boot id, cold, with an empty cache and no runs."""
        self.boot_id = f"{self.settings.target}-boot{next(self._boots)}"
        self.completions = 0
        self.cache: OrderedDict[str, str | None] = OrderedDict()
        self.events.clear()
        self.next_event = 1
        for run in self.runs.values():
            run.broken = True
            run.scope.cancel()
            run.notify()
        self.runs.clear()
        self.on_change()

    def go_cold(self) -> None:
        """Become cold and clear the cache, under the same boot id."""
        self.completions = 0
        self._add_event("cleared", [])
        self.cache.clear()

    @property
    def cold(self) -> bool:
        """Whether more than ``cold_capacity`` concurrent runs force a restart."""
        return self.completions < self.settings.warm_completions

    @property
    def active(self) -> int:
        """Number of runs that have not completed."""
        return sum(not run.done for run in self.runs.values())

    def admit(self, headers: Any, body: dict[str, Any]) -> Run | Refusal:
        """Return a new run, or the reason why it is refused."""
        refusal = self._refusal(headers, body)
        if refusal:
            return refusal
        run_id = headers.get("vanillabeam-run-id") or f"run{next(self._sequence)}"
        run = Run(run_id, int(headers.get("vanillabeam-priority", "0")))
        self.runs[run_id] = run
        self.started.append(run_id)
        while len(self.runs) > MAX_RUNS:
            self.runs.popitem(last=False)
        if self.cold and self.active > self.settings.cold_capacity:
            self.overload_restarts += 1
            self.restart()
        return run

    def _refusal(self, headers: Any, body: dict[str, Any]) -> Refusal | None:
        if self.faults.refuse:
            return Refusal(503, self.faults.refuse)
        if self.leaving or self.role != "serving":
            return Refusal(503, "leaving")
        if self.loading:
            return Refusal(503, "loading")
        boot_id = headers.get("vanillabeam-boot-id")
        if boot_id and boot_id != self.boot_id:
            return Refusal(409, "wrong-boot")
        model = str(body.get("model", "")).partition(":")[0]
        version = headers.get("vanillabeam-model-version")
        if model not in self.models or (version and version != self.models[model]):
            return Refusal(409, "wrong-version")
        if self.active >= self.settings.capacity + self.settings.queue:
            return Refusal(429, "full")
        return None

    async def generate(self, run: Run, body: dict[str, Any], headers: Any) -> None:
        """Generate the answer of ``run`` until it completes or is cancelled."""
        with run.scope:
            prompt, prefix = _split_prompt(body)
            blocks = [b for b in headers.get("vanillabeam-blocks", "").split(",") if b]
            salt = headers.get("vanillabeam-cache-salt", "")
            tokens = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
            cached = self._count_cached_tokens(blocks, salt, tokens)
            await self._prefill(tokens - cached, run.priority)
            self._cache_blocks(blocks, salt)
            await self._decode(run, body, prompt, len(prefix.split()))
            usage = {
                "prompt_tokens": tokens + len(prefix.split()),
                "prompt_tokens_details": {"cached_tokens": cached},
            }
            self._finish(run, body, usage)
        if not run.done:
            run.broken = True
            run.notify()

    async def _prefill(self, tokens: int, priority: int) -> None:
        self.waiting_prefill_tokens += tokens
        try:
            while tokens > 0:
                step = min(tokens, PREFILL_STEP_TOKENS)
                await self._acquire_prefill(priority)
                try:
                    await trio.sleep(step / self.settings.prefill_tokens_s)
                finally:
                    self._release_prefill()
                tokens -= step
                self.waiting_prefill_tokens -= step
        finally:
            self.waiting_prefill_tokens -= max(tokens, 0)

    async def _acquire_prefill(self, priority: int) -> None:
        if not self._prefill_busy:
            self._prefill_busy = True
            return
        turn = trio.Event()
        entry = (priority, next(self._sequence), turn)
        heapq.heappush(self._prefill_queue, entry)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self._release_prefill()
            else:
                self._prefill_queue.remove(entry)
                heapq.heapify(self._prefill_queue)
            raise

    def _release_prefill(self) -> None:
        if self._prefill_queue:
            heapq.heappop(self._prefill_queue)[2].set()
        else:
            self._prefill_busy = False

    async def _decode(
        self, run: Run, body: dict[str, Any], prompt: str, generated: int
    ) -> None:
        digest = blake2b(prompt.encode(), digest_size=2).hexdigest()
        total = generated + int(
            body.get("max_completion_tokens")
            or body.get("max_tokens")
            or DEFAULT_OUTPUT_TOKENS
        )
        began_s = trio.current_time()
        for count in itertools.count(1):
            if generated >= total:
                return
            due_s = began_s + count / self.settings.decode_tokens_s
            await trio.sleep_until(due_s)
            run.pieces.append(_chunk(run.run_id, body, f"{generated}~{digest} "))
            run.notify()
            generated += 1

    def _finish(self, run: Run, body: dict[str, Any], usage: dict[str, Any]) -> None:
        usage["completion_tokens"] = len(run.pieces)
        usage["total_tokens"] = usage["prompt_tokens"] + len(run.pieces)
        run.pieces.append(_chunk(run.run_id, body, "", "stop", usage))
        run.done = True
        self.completions += 1
        run.notify()

    def _count_cached_tokens(self, blocks: list[str], salt: str, tokens: int) -> int:
        cached_blocks = 0
        for block in blocks:
            if block not in self.cache or self.cache[block] not in (salt, None):
                break
            self.cache.move_to_end(block)
            cached_blocks += 1
        return min(cached_blocks * self.settings.block_tokens, tokens - 1)

    def _cache_blocks(self, blocks: list[str], salt: str | None) -> None:
        added = [block for block in blocks if block not in self.cache]
        self.cache.update(dict.fromkeys(blocks, salt))
        evicted = []
        while len(self.cache) * self.settings.block_tokens > max(
            self.settings.cached_tokens, self.settings.block_tokens
        ):
            evicted.append(self.cache.popitem(last=False)[0])
        self._add_event("stored", added)
        self._add_event("evicted", evicted)

    def import_blocks(self, blocks: list[str]) -> None:
        """Cache blocks imported from a store.

        They match any salt, as the salt is already part of their ids.
        """
        self._cache_blocks(blocks, None)

    def _add_event(self, kind: str, blocks: list[str]) -> None:
        if blocks or kind == "cleared":
            self.events.append({"kind": kind, "blocks": blocks})
            del self.events[:-MAX_EVENTS]


def _split_prompt(body: dict[str, Any]) -> tuple[str, str]:
    if "messages" in body:
        text = "".join(str(message.get("content")) for message in body["messages"])
    else:
        text = str(body.get("prompt", ""))
    prefix = _GENERATED_SUFFIX.search(text).group(1)
    return text[: len(text) - len(prefix)], prefix


def _chunk(
    run_id: str,
    body: dict[str, Any],
    text: str,
    finish: str | None = None,
    usage: dict[str, Any] | None = None,
) -> bytes:
    chat = "messages" in body
    content = {"delta": {"content": text}} if chat else {"text": text}
    chunk = {
        "id": f"cmpl-{run_id}",
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": body.get("model"),
        "choices": [{"index": 0, **content, "finish_reason": finish}],
    }
    if usage:
        chunk["usage"] = usage
    return msgspec.json.encode(chunk)
