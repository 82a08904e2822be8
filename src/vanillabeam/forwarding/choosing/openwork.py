"""Open requests at each target, and the work and memory that they take there."""

from collections import deque
from typing import NamedTuple

from vanillabeam.fleet.loads import EntryLoad, WorkByRank, make_load
from vanillabeam.forwarding.choosing.othercalls import OtherCalls
from vanillabeam.forwarding.choosing.peerwork import NoPeers, PeerWork

__all__ = [
    "DEFAULT_HELD_S",
    "STREAM_WORK_TOKENS",
    "OpenRequest",
    "OpenWork",
    "UnreportedLoad",
]

#: Work of a running stream after the prefill, in tokens to prefill.
STREAM_WORK_TOKENS = 150
#: Fewest tokens of a request that other entry VMs are told of at once. Smaller ones
#: take a target a few milliseconds.
MIN_TOLD_TOKENS = 300
#: Time until requests of an entry VM appear in the load reports to the others.
REPORT_DELAY_S = 0.3
#: Seconds for which a request is taken to be open where nothing better is known.
DEFAULT_HELD_S = 1.0


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
    :param open_requests: requests of all entry VMs that were open at the target, this
        one included.
    """

    number: int
    target: str
    rank: int
    tokens: int
    memory_tokens: int
    queued_tokens: int
    began_s: float
    silence_limit_s: float
    open_requests: int = 1

    @property
    def is_call(self) -> bool:
        """Whether it is a plain call: prompts have tokens."""
        return not self.tokens and not self.memory_tokens


class UnreportedLoad(NamedTuple):
    """Load that other entry VMs may have added and not yet reported.

    :param tokens: work, in tokens to prefill.
    :param memory_tokens: tokens of memory.
    """

    tokens: int
    memory_tokens: int


class OpenWork:
    """Open work of this entry VM and, as last reported, of the others.

    :ivar others: load of all other entry VMs together, but for those of ``peers``.
    :ivar peers: open work that other entry VMs tell this one directly.
    :ivar others_seen_s: monotonic time at which it arrived; ``None`` before.
    """

    def __init__(self):
        self.others = make_load()
        self.others_seen_s: float | None = None
        self.peers: PeerWork = NoPeers()
        self._other_calls = OtherCalls()
        self._own: dict[str, WorkByRank] = {}
        self._open: dict[str, dict[int, OpenRequest]] = {}
        self._sent: deque[OpenRequest] = deque()
        self._next = 0

    def own(self) -> EntryLoad:
        """Return the load of this VM's own requests."""
        opened = {name: open_ for name, open_ in self._open.items() if open_}
        return make_load(
            {name: dict(work) for name, work in self._own.items() if work},
            {name: self._own_memory_tokens(name) for name in opened},
            calls={name: len(open_) for name, open_ in opened.items()},
        )

    def used_memory_tokens(self, target: str) -> int:
        """Return the tokens of memory that the requests of all VMs take at a target."""
        own_tokens = self._own_memory_tokens(target)
        loads = (self.others, self.peers.total)
        return own_tokens + sum(load["room"].get(target, 0) for load in loads)

    def unreported_load(
        self, target: str, entries: int, now_s: float
    ) -> UnreportedLoad:
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

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the reported load of all other entry VMs."""
        self.others, self.others_seen_s = load, now_s
        self._other_calls.update(load.get("calls", {}), now_s)

    def all_open_requests(
        self, target: str, now_s: float, held_s: float = DEFAULT_HELD_S
    ) -> float:
        """Return the requests of all VMs that are probably open at a target.

        :param held_s: seconds for which a request is open.
        """
        expected = self._other_calls.expected(target, held_s, now_s)
        told = self.peers.total["calls"].get(target, 0)
        return self.open_requests(target) + told + expected

    def queued_tokens(self, target: str, rank: int) -> int:
        """Return the work that a target does before new requests of ``rank``.

        :returns: tokens to prefill, of requests that are at least as urgent.
        """
        return sum(
            tokens
            for work in (
                self._own.get(target),
                self.others["work"].get(target),
                self.peers.total["work"].get(target),
            )
            if work
            for other, tokens in work.items()
            if other <= rank
        )

    def record_start(
        self,
        target: str,
        rank: int,
        tokens: int,
        now_s: float,
        silence_limit_s: float,
        memory_tokens: int,
    ) -> OpenRequest:
        """Record a request that is being sent to a target.

        :param rank: urgency, 0 is the most urgent.
        :param tokens: work of the request, in tokens to prefill.
        :param silence_limit_s: silence up to which the target is never suspect.
        :param memory_tokens: tokens of memory that the request takes.
        """
        self._next += 1
        request = OpenRequest(
            self._next,
            target,
            rank,
            tokens,
            memory_tokens,
            self.queued_tokens(target, rank) + tokens,
            now_s,
            silence_limit_s,
            round(self.all_open_requests(target, now_s)) + 1,
        )
        self._open.setdefault(target, {})[request.number] = request
        self._add(target, rank, tokens)
        self._sent.append(request)
        if tokens >= MIN_TOLD_TOKENS:
            self.peers.notify(has_grown=True)
        return request

    def record_response(self, request: OpenRequest) -> None:
        """Record the head of an answer, which shows that the prefill is done."""
        self._add(request.target, request.rank, -request.tokens)
        self._add(request.target, 0, min(STREAM_WORK_TOKENS, request.tokens))
        if request.tokens >= MIN_TOLD_TOKENS:
            self.peers.notify(has_grown=False)

    def record_end(self, request: OpenRequest, was_answered: bool) -> None:
        """Record the end of a request.

        :param was_answered: whether the head of its answer has arrived.
        """
        open_ = self._open.get(request.target, {})
        open_.pop(request.number, None)
        if not open_:
            self._open.pop(request.target, None)
        if was_answered:
            self._add(request.target, 0, -min(STREAM_WORK_TOKENS, request.tokens))
        else:
            self._add(request.target, request.rank, -request.tokens)
        if request.tokens >= MIN_TOLD_TOKENS:
            self.peers.notify(has_grown=False)

    def _add(self, target: str, rank: int, tokens: int) -> None:
        work = self._own.setdefault(target, {})
        work[rank] = work.get(rank, 0) + tokens
        if work[rank] <= 0:
            del work[rank]
        if not work:
            del self._own[target]
