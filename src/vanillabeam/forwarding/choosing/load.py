"""Open requests at each target, and the speed at which they are processed."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.fleet.loads import EntryLoad, WorkByRank, add_loads, make_load
from vanillabeam.forwarding.choosing.observations import Observations

__all__ = ["Load", "OpenRequest", "UnreportedLoad"]

#: Work of a running stream after the prefill, in tokens to prefill.
STREAM_WORK_TOKENS = 150
#: Fewest queued tokens of a request whose wait updates the estimated speed.
MIN_SAMPLE_TOKENS = 4_000
#: Seconds without such a wait after which a prompt may test the estimated speed.
SPEED_TTL_S = 10.0
#: Weight of one wait in the moving average of the speed.
RATE_SMOOTHING = 0.05
#: Time until requests of an entry VM appear in the load reports to the others.
REPORT_DELAY_S = 0.3
#: Multiple of the expected wait after which a silent target is suspect.
SUSPECT_WAIT_FACTOR = 3.0


class OpenRequest(NamedTuple):
    """A request that is open at a target.

    :param number: unique in this process.
    :param rank: urgency, 0 is the most urgent.
    :param tokens: work of the request, in tokens to prefill.
    :param memory_tokens: tokens of memory that it takes while it is open.
    :param queued_tokens: work queued at the target before the first event of the
        request, its own included.
    :param began_s: monotonic time at which it was sent.
    :param silence_limit_s: silence up to which the target is never suspect.
    """

    number: int
    target: str
    rank: int
    tokens: int
    memory_tokens: int
    queued_tokens: int
    began_s: float
    silence_limit_s: float


class UnreportedLoad(NamedTuple):
    """Load that other entry VMs may have added and not yet reported.

    :param tokens: work, in tokens to prefill.
    :param memory_tokens: tokens of memory.
    """

    tokens: int
    memory_tokens: int


class Load:
    """Open work of this entry VM and, as last reported, of the others.

    :ivar others: load of all other entry VMs together.
    :ivar observed: recent outcomes of requests, of all entry VMs.
    :ivar on_report: called with the monotonic time when the load of others arrives.

    >>> load = Load()
    >>> opened = load.record_start("t-1", rank=2, tokens=900, now_s=1.0)
    >>> load.queued_tokens("t-1", rank=2)
    900
    >>> load.record_response(opened, "llm", now_s=1.1)
    >>> load.record_end(opened)
    """

    def __init__(self):
        self.others = make_load()
        self._others_seen_s: float | None = None
        self.observed = Observations()
        self.on_report: Callable[[float], None] = lambda now_s: None
        self._own: dict[str, WorkByRank] = {}
        self._open: dict[str, dict[int, OpenRequest]] = {}
        self._unanswered: dict[str, dict[int, OpenRequest]] = {}
        self._last_activity_s: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._rated_s: dict[str, float] = {}
        self._sent: deque[OpenRequest] = deque()
        self._next = 0

    def own(self, now_s: float) -> EntryLoad:
        """Return the load of this VM's own requests, and what they have observed."""
        load = make_load(
            {name: dict(work) for name, work in self._own.items() if work},
            {
                name: self._own_memory_tokens(name)
                for name, open_ in self._open.items()
                if open_
            },
        )
        return add_loads(load, self.observed.own(now_s))

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the reported load of all other entry VMs."""
        self.others = load
        self._others_seen_s = now_s
        self.observed.update_others(load)
        self.on_report(now_s)

    def others_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the others' load arrived, ``None`` before."""
        return None if self._others_seen_s is None else now_s - self._others_seen_s

    def used_memory_tokens(self, target: str) -> int:
        """Return the tokens of memory that the requests of all VMs take at a target."""
        return self._own_memory_tokens(target) + self.others["room"].get(target, 0)

    def unreported_load(
        self, target: str, entries: int, now_s: float
    ) -> "UnreportedLoad":
        """Return the load that other entry VMs may have sent and not yet reported.

        When a target becomes free, all entry VMs see it at the same time. Each
        assumes that every other one has just sent as much as it has itself.

        :param entries: number of entry VMs, this one included.
        """
        while self._sent and self._sent[0].began_s <= now_s - REPORT_DELAY_S:
            self._sent.popleft()
        own = [request for request in self._sent if request.target == target]
        return UnreportedLoad(
            (entries - 1) * sum(request.tokens for request in own),
            (entries - 1) * sum(request.memory_tokens for request in own),
        )

    def _own_memory_tokens(self, target: str) -> int:
        return sum(
            request.memory_tokens for request in self._open.get(target, {}).values()
        )

    def open_requests(self, target: str) -> int:
        """Return the number of requests of this VM that are open at a target."""
        return len(self._open.get(target, ()))

    def queued_tokens(self, target: str, rank: int) -> int:
        """Return the work that a target does before new requests of ``rank``.

        :returns: tokens to prefill, of requests that are at least as urgent.
        """
        return sum(
            tokens
            for work in (self._own.get(target), self.others["work"].get(target))
            if work
            for other, tokens in work.items()
            if other <= rank
        )

    def wait_s(self, service: str, tokens: int) -> float:
        """Return the seconds that a service's target takes for some work.

        :param tokens: work, in tokens to prefill.
        :returns: 0 while the speed is unknown.
        """
        rate = self._rates.get(service)
        return tokens / rate if rate else 0.0

    def tokens_s(self, service: str) -> float:
        """Return the tokens per second that a service's targets process.

        :returns: 0 while the speed is unknown.
        """
        return self._rates.get(service, 0.0)

    def tries_speed(self, target: str, service: str, rank: int, now_s: float) -> bool:
        """Return whether a prompt is to be sent although it seems to be too late.

        Prompts that are refused show no speed, so a wrong estimate would stand. One at
        a time goes to an idle target.

        :param rank: urgency of the prompt, 0 is the most urgent.
        """
        rated_s = self._rated_s.get(service)
        is_old = rated_s is not None and now_s - rated_s > SPEED_TTL_S
        return is_old and not self.queued_tokens(target, rank)

    def record_start(
        self,
        target: str,
        rank: int,
        tokens: int,
        now_s: float,
        silence_limit_s: float = 1.0,
        memory_tokens: int = 0,
    ) -> OpenRequest:
        """Record a request that is being sent to a target.

        :param rank: urgency, 0 is the most urgent.
        :param tokens: work of the request, in tokens to prefill.
        :param silence_limit_s: silence up to which the target is never suspect.
        :param memory_tokens: tokens of memory that the request takes.
        """
        self._next += 1
        queued_tokens = self.queued_tokens(target, rank) + tokens
        request = OpenRequest(
            self._next,
            target,
            rank,
            tokens,
            memory_tokens,
            queued_tokens,
            now_s,
            silence_limit_s,
        )
        self._open.setdefault(target, {})[request.number] = request
        self._unanswered.setdefault(target, {})[request.number] = request
        self._add(target, rank, tokens)
        self._sent.append(request)
        return request

    def record_response(self, request: OpenRequest, service: str, now_s: float) -> None:
        """Record the head of an answer, which shows that the prefill is done."""
        if self._unanswered.get(request.target, {}).pop(request.number, None) is None:
            return
        self._last_activity_s[request.target] = now_s
        self._add(request.target, request.rank, -request.tokens)
        self._add(request.target, 0, min(STREAM_WORK_TOKENS, request.tokens))
        self._update_rate(service, request, now_s)

    def keep_only(self, targets: set[str]) -> None:
        """Forget when all other targets last sent data."""
        self._last_activity_s = {
            name: at_s
            for name, at_s in self._last_activity_s.items()
            if name in targets
        }

    def record_activity(self, target: str, now_s: float) -> None:
        """Record that data has arrived from a target."""
        self._last_activity_s[target] = now_s

    def record_end(self, request: OpenRequest) -> None:
        """Record the end of a request, answered or not."""
        self._open.get(request.target, {}).pop(request.number, None)
        unanswered = self._unanswered.get(request.target, {}).pop(request.number, None)
        if unanswered is not None:
            self._add(request.target, request.rank, -request.tokens)
        else:
            self._add(request.target, 0, -min(STREAM_WORK_TOKENS, request.tokens))

    def is_suspect(self, target: str, service: str, now_s: float) -> bool:
        """Return whether a target is silent for longer than its work explains."""
        unanswered = self._unanswered.get(target)
        if not unanswered:
            return False
        first = next(iter(unanswered.values()))
        expected_s = SUSPECT_WAIT_FACTOR * self.wait_s(service, first.queued_tokens)
        limit_s = max(first.silence_limit_s, expected_s)
        since_s = max(first.began_s, self._last_activity_s.get(target, 0.0))
        return now_s - since_s > limit_s

    def _update_rate(self, service: str, request: OpenRequest, now_s: float) -> None:
        waited_s = now_s - request.began_s
        if request.queued_tokens < MIN_SAMPLE_TOKENS or waited_s <= 0:
            return
        rate = request.queued_tokens / waited_s
        previous_rate = self._rates.get(service, rate)
        self._rates[service] = previous_rate + RATE_SMOOTHING * (rate - previous_rate)
        self._rated_s[service] = now_s

    def _add(self, target: str, rank: int, tokens: int) -> None:
        work = self._own.setdefault(target, {})
        work[rank] = work.get(rank, 0) + tokens
        if work[rank] <= 0:
            del work[rank]
