"""A stand-in for a model engine: runs, prefix cache, cold start, faults."""

import heapq
import itertools
import random
import re
from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec
import trio

__all__ = ["FakeEngine", "FakeTargetSettings", "Faults", "Refusal", "Run"]

RUNS_KEPT = 1000
CHARACTERS_PER_TOKEN = 4
PREFILL_STEP_TOKENS = 4096
DEFAULT_OUTPUT_TOKENS = 16
EVENTS_KEPT = 4096

_OWN_WORDS = re.compile(r"((?:\d+~[0-9a-f]{4} )*)$")


class FakeTargetSettings(NamedTuple):
    """What a fake target announces and how fast it is.

    :param listener: ``host:port`` of a targets' listener; empty to stay quiet.
    :param service: the plain service's name; a target without is an engine.
    :param queue: requests beyond ``capacity`` that wait before ``429 full``.
    :param warm_completions: completions after which it is no longer cold.
    :param prefill_tokens_s: prompt tokens a second, one prompt at a time.
    :param decode_tokens_s: output tokens a second of each run.
    :param cached_tokens: size of the prefix cache.
    :param load_s: seconds that loading one model takes.
    :param link_bytes_s: rate of block export and import.
    :param dedup_keys: a plain service answers a known key from memory.
    """

    target: str = "t1"
    data_centre: str = "dc1"
    listener: str = ""
    service: str = ""
    models: dict[str, str] = {"m": "v1"}
    adapters: dict[str, str] = {}
    capacity: int = 8
    cold_capacity: int = 2
    queue: int = 8
    warm_completions: int = 4
    checks_fencing: bool = True
    prefill_tokens_s: float = 200_000.0
    decode_tokens_s: float = 2_000.0
    cached_tokens: int = 200_000
    block_tokens: int = 4000
    block_bytes: int = 4096
    load_s: float = 0.05
    link_bytes_s: float = 50_000_000.0
    announce_every_s: float = 2.0
    load_every_s: float = 1.0
    dedup_keys: bool = True
    seed: int = 1


class Faults(NamedTuple):
    """Faults that are switched on; none by default.

    :param duplicate: chance that a piece is sent twice.
    :param reorder: chance that a piece changes place with the next one.
    :param lose: chance that a piece is left out; a resume has it again.
    :param cut_after: connections break after this many pieces.
    :param silent_after: connections go silent after this many pieces.
    :param delay_s: seconds before a run's or call's answer begins.
    :param refuse: type of a refusal for every new run, such as ``full``.
    :param forget_runs: resumes are answered with ``unknown-run``.
    :param first_connections: cuts and silences hit only this many connections.
    """

    duplicate: float = 0.0
    reorder: float = 0.0
    lose: float = 0.0
    cut_after: int | None = None
    silent_after: int | None = None
    delay_s: float = 0.0
    refuse: str = ""
    forget_runs: bool = False
    first_connections: int | None = None


class Refusal(NamedTuple):
    """An answer to a run that was not started."""

    status: int
    type: str


class Run:
    """One run: its pieces so far and whoever waits for more."""

    def __init__(self, run_id: str, priority: int):
        self.run_id = run_id
        self.priority = priority
        self.pieces: list[bytes] = []
        self.done = False
        self.broken = False
        self.scope = trio.CancelScope()
        self._changed = trio.Event()

    def notify(self) -> None:
        """Wake all readers."""
        self._changed.set()
        self._changed = trio.Event()

    async def changed(self, wait_s: float) -> bool:
        """Wait for a change; ``False`` if none came within ``wait_s``."""
        with trio.move_on_after(wait_s):
            await self._changed.wait()
            return True
        return False


class FakeEngine:
    """An engine with continuous batching, made of timers.

    :param settings: rates and sizes.
    :param on_change: called when the announcement changes.

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
        self._order = itertools.count()
        self.loading = False
        self.restart()

    def restart(self) -> None:
        """Come up anew: other boot id, cold, nothing cached, no runs."""
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
        """Lose warmth and cache without a new boot id."""
        self.completions = 0
        self._event("cleared", [])
        self.cache.clear()

    @property
    def cold(self) -> bool:
        """Whether more than ``cold_capacity`` runs at once break it."""
        return self.completions < self.settings.warm_completions

    @property
    def active(self) -> int:
        """Runs that are not finished."""
        return sum(not run.done for run in self.runs.values())

    def admit(self, headers: Any, body: dict[str, Any]) -> Run | Refusal:
        """Return a new run, or why it does not start."""
        refusal = self._refusal(headers, body)
        if refusal:
            return refusal
        run_id = headers.get("vanillabeam-run-id") or f"run{next(self._order)}"
        run = Run(run_id, int(headers.get("vanillabeam-priority", "0")))
        self.runs[run_id] = run
        self.started.append(run_id)
        while len(self.runs) > RUNS_KEPT:
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
        """Compute ``run`` to its end, unless it is cancelled."""
        with run.scope:
            prompt, prefix = _split_prompt(body)
            blocks = [b for b in headers.get("vanillabeam-blocks", "").split(",") if b]
            salt = headers.get("vanillabeam-cache-salt", "")
            tokens = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
            cached = self._cached(blocks, salt, tokens)
            await self._prefill(tokens - cached, run.priority)
            self._keep(blocks, salt)
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
                await self._prefill_turn(priority)
                try:
                    await trio.sleep(step / self.settings.prefill_tokens_s)
                finally:
                    self._prefill_next()
                tokens -= step
                self.waiting_prefill_tokens -= step
        finally:
            self.waiting_prefill_tokens -= max(tokens, 0)

    async def _prefill_turn(self, priority: int) -> None:
        if not self._prefill_busy:
            self._prefill_busy = True
            return
        turn = trio.Event()
        entry = (priority, next(self._order), turn)
        heapq.heappush(self._prefill_queue, entry)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self._prefill_next()
            else:
                self._prefill_queue.remove(entry)
                heapq.heapify(self._prefill_queue)
            raise

    def _prefill_next(self) -> None:
        if self._prefill_queue:
            heapq.heappop(self._prefill_queue)[2].set()
        else:
            self._prefill_busy = False

    async def _decode(
        self, run: Run, body: dict[str, Any], prompt: str, done: int
    ) -> None:
        digest = blake2b(prompt.encode(), digest_size=2).hexdigest()
        total = done + int(
            body.get("max_completion_tokens")
            or body.get("max_tokens")
            or DEFAULT_OUTPUT_TOKENS
        )
        began_s = trio.current_time()
        for count in itertools.count(1):
            if done >= total:
                return
            due_s = began_s + count / self.settings.decode_tokens_s
            await trio.sleep_until(due_s)
            run.pieces.append(_chunk(run.run_id, body, f"{done}~{digest} "))
            run.notify()
            done += 1

    def _finish(self, run: Run, body: dict[str, Any], usage: dict[str, Any]) -> None:
        usage["completion_tokens"] = len(run.pieces)
        usage["total_tokens"] = usage["prompt_tokens"] + len(run.pieces)
        run.pieces.append(_chunk(run.run_id, body, "", "stop", usage))
        run.done = True
        self.completions += 1
        run.notify()

    def _cached(self, blocks: list[str], salt: str, tokens: int) -> int:
        held = 0
        for block in blocks:
            if block not in self.cache or self.cache[block] not in (salt, None):
                break
            self.cache.move_to_end(block)
            held += 1
        return min(held * self.settings.block_tokens, tokens - 1)

    def _keep(self, blocks: list[str], salt: str | None) -> None:
        new = [block for block in blocks if block not in self.cache]
        self.cache.update(dict.fromkeys(blocks, salt))
        evicted = []
        while len(self.cache) * self.settings.block_tokens > max(
            self.settings.cached_tokens, self.settings.block_tokens
        ):
            evicted.append(self.cache.popitem(last=False)[0])
        self._event("stored", new)
        self._event("evicted", evicted)

    def import_blocks(self, blocks: list[str]) -> None:
        """Hold ``blocks`` that came from a store; their ids name the salt."""
        self._keep(blocks, None)

    def _event(self, kind: str, blocks: list[str]) -> None:
        if blocks or kind == "cleared":
            self.events.append({"kind": kind, "blocks": blocks})
            del self.events[:-EVENTS_KEPT]


def _split_prompt(body: dict[str, Any]) -> tuple[str, str]:
    if "messages" in body:
        text = "".join(str(message.get("content")) for message in body["messages"])
    else:
        text = str(body.get("prompt", ""))
    prefix = _OWN_WORDS.search(text).group(1)
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
