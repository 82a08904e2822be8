"""A model of engines that batch: steps, pieces of prompts, memory, cached parts."""

import heapq
from collections import OrderedDict
from itertools import count
from typing import NamedTuple

__all__ = ["Clock", "Engine", "EngineShape", "Part", "Run", "StoreLink"]


class EngineShape(NamedTuple):
    """What all engines of a service are like.

    :param kv_tokens: memory that running requests and cached parts share.
    :param step_s: of a step without any request.
    :param run_step_s: that each running request adds.
    :param read_tokens_s: prompt tokens read a second.
    :param piece_tokens: read in one step at most.
    """

    slots: int = 64
    kv_tokens: int = 93_000
    step_s: float = 0.0026
    run_step_s: float = 0.00012
    read_tokens_s: float = 48_000.0
    piece_tokens: int = 4_096


class Part(NamedTuple):
    """A part of a prompt that other prompts may share."""

    part_id: str
    tokens: int


class Clock:
    """Virtual time: calls functions in the order of their times."""

    def __init__(self):
        self.now_s = 0.0
        self._order = count()
        self._queue: list = []

    def at(self, at_s: float, function, *args) -> None:
        """Call a function at a time, at once if that has passed."""
        item = (max(at_s, self.now_s), next(self._order), function, args)
        heapq.heappush(self._queue, item)

    def run(self, until_s: float) -> None:
        """Call all that is due until a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, function, args = heapq.heappop(self._queue)
            function(*args)
        self.now_s = until_s


class StoreLink:
    """A store's link: transfers go one after another, twice as long from afar.

    :param token_s: time for one token within the data centre.
    """

    def __init__(self, name: str, data_centre: str, token_s: float):
        self.name = name
        self.data_centre = data_centre
        self.token_s = token_s
        self._free_s = 0.0

    def fetch(self, tokens: int, data_centre: str, now_s: float) -> float:
        """Return when a fetch that is asked for now has ended."""
        far = 1.0 if data_centre == self.data_centre else 2.0
        self._free_s = max(now_s, self._free_s) + far * tokens * self.token_s
        return self._free_s


class Run:
    """A prompt at an engine.

    :param shared: its shared parts in order.
    :param own: tokens of the part that only it has.
    :param fetches: store of each shared part, ``None`` where it is read.
    :param on_first: called with the time of its first event.
    :param on_end: called once all its tokens are made.
    """

    def __init__(self, rank, shared, own, output, fetches, on_first, on_end):
        self.rank = rank
        self.shared: tuple[Part, ...] = shared
        self.own = own
        self.output = output
        self.fetches: tuple[StoreLink | None, ...] = fetches
        self.on_first = on_first
        self.on_end = on_end
        self.to_read = 0
        self.made = 0
        self.ready_s = 0.0

    @property
    def room(self) -> int:
        """Tokens of memory that it takes."""
        return sum(part.tokens for part in self.shared) + self.own + self.output


class Engine:
    """One engine.

    :param on_read: called with the parts that it has read, or fetched.
    :ivar read: prompt tokens read so far.
    :ivar read_shared: those of shared parts, by id.
    """

    def __init__(self, name, data_centre, shape: EngineShape, clock: Clock, on_read):
        self.name = name
        self.data_centre = data_centre
        self.read = 0
        self.read_shared: list[Part] = []
        self._shape = shape
        self._clock = clock
        self._on_read = on_read
        self._order = count()
        self._waiting: list = []
        self._running: list[Run] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._steps = False

    def take(self, run: Run) -> None:
        """Queue a prompt by its rank."""
        heapq.heappush(self._waiting, (run.rank, next(self._order), run))
        if not self._steps:
            self._steps = True
            self._clock.at(self._clock.now_s, self._step)

    def empty(self) -> None:
        """Lose all cached parts, as after a restart."""
        self._cached.clear()

    def _step(self) -> None:
        self._admit()
        if not self._running:
            self._steps = False
            return
        now_s = self._clock.now_s
        pieces = self._pieces(now_s)
        decoding = [run for run in self._running if run.to_read == 0 and run.made]
        if not pieces and not decoding:
            self._clock.at(min(run.ready_s for run in self._running), self._step)
            return
        shape = self._shape
        took_s = shape.step_s + shape.run_step_s * len(self._running)
        took_s += sum(tokens for _, tokens in pieces) / shape.read_tokens_s
        self._clock.at(now_s + took_s, self._ended, pieces, decoding)

    def _pieces(self, now_s: float) -> list[tuple[Run, int]]:
        left, pieces = self._shape.piece_tokens, []
        for run in self._running:
            if run.to_read and run.ready_s <= now_s and left:
                tokens = min(left, run.to_read)
                pieces.append((run, tokens))
                left -= tokens
        return pieces

    def _ended(self, pieces, decoding) -> None:
        for run, tokens in pieces:
            run.to_read -= tokens
            self.read += tokens
            if run.to_read == 0:
                run.made = 1
                self._keep(run)
                run.on_first(self._clock.now_s)
        for run in decoding:
            run.made += 1
        for run in [run for run in self._running if run.made >= run.output]:
            self._running.remove(run)
            run.on_end()
        self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._shape.slots:
            run = self._waiting[0][2]
            taken = sum(each.room for each in self._running)
            if self._running and taken + run.room > self._shape.kv_tokens:
                return
            heapq.heappop(self._waiting)
            self._shrink(self._shape.kv_tokens - taken - run.room)
            self._begin(run)

    def _begin(self, run: Run) -> None:
        run.ready_s, run.to_read = self._clock.now_s, run.own
        whole = True
        for part, store in zip(run.shared, run.fetches, strict=True):
            if whole and part.part_id in self._cached:
                continue
            if whole and store is not None:
                run.ready_s = store.fetch(part.tokens, self.data_centre, run.ready_s)
                continue
            whole = False
            run.to_read += part.tokens
            self.read_shared.append(part)
        self._running.append(run)

    def _keep(self, run: Run) -> None:
        for part in run.shared:
            self._cached.pop(part.part_id, None)
            self._cached[part.part_id] = part.tokens
        self._shrink(self._shape.kv_tokens - sum(each.room for each in self._running))
        self._on_read(run.shared)

    def _shrink(self, room: int) -> None:
        """Let the longest unused parts yield until the rest fits."""
        size = sum(self._cached.values())
        while self._cached and size > max(0, room):
            size -= self._cached.popitem(last=False)[1]
