"""What is open at each target, and how quickly it is worked off."""

from collections import deque
from typing import NamedTuple

from vanillabeam.fleet.loads import EntryLoad, WorkByRank, make_load

__all__ = ["Load", "OpenRequest", "Unseen"]

#: Work that a stream is worth once its prompt is read, in tokens to read.
RUNNING_TOKENS = 150
#: Waits for less work than this say nothing of the speed.
FEWEST_TOKENS = 4_000
#: Weight of one wait in the learned speed.
LEARNED_SHARE = 0.05
#: What was sent so lately others have not heard of.
NEWS_S = 0.3
#: Expected waits after which a target that is silent is doubtful.
PATIENCE_FACTOR = 3.0


class OpenRequest(NamedTuple):
    """A request that is open at a target.

    :param number: unique in this process.
    :param tokens: that it brought.
    :param room: tokens of memory that it takes while it is open.
    :param ahead: tokens that go before its first event, its own included.
    :param patience_s: silence that says nothing yet.
    """

    number: int
    target: str
    rank: int
    tokens: int
    room: int
    ahead: int
    began_s: float
    patience_s: float


class Unseen(NamedTuple):
    """What others may have sent to a target.

    :param tokens: of work.
    :param room: tokens of memory.
    """

    tokens: int
    room: int


class Load:
    """Open work of this entry VM and, by hearsay, of the others.

    >>> load = Load()
    >>> opened = load.began("t-1", rank=2, tokens=900, now_s=1.0)
    >>> load.ahead("t-1", rank=2)
    900
    >>> load.answered(opened, now_s=1.1)
    >>> load.ended(opened)
    """

    def __init__(self):
        self.others = make_load()
        self._own: dict[str, WorkByRank] = {}
        self._open: dict[str, dict[int, OpenRequest]] = {}
        self._unanswered: dict[str, dict[int, OpenRequest]] = {}
        self._sign_s: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._sent: deque[OpenRequest] = deque()
        self._next = 0

    def own(self) -> EntryLoad:
        """Return what this VM has open at targets."""
        return make_load(
            {name: dict(work) for name, work in self._own.items() if work},
            {name: self._room_at(name) for name, open_ in self._open.items() if open_},
        )

    def update_others(self, load: EntryLoad) -> None:
        """Take what all other entry VMs have open."""
        self.others = load

    def room_taken(self, target: str) -> int:
        """Return the tokens of memory that all open requests take at a target."""
        return self._room_at(target) + self.others["room"].get(target, 0)

    def unseen(self, target: str, entries: int, now_s: float) -> "Unseen":
        """Return what other entry VMs may have sent that is not heard of yet.

        Where a target turns free, all of them see it at the same time. Each
        takes the others to do as it has just done itself.

        :param entries: entry VMs, this one included.
        """
        while self._sent and self._sent[0].began_s <= now_s - NEWS_S:
            self._sent.popleft()
        own = [each for each in self._sent if each.target == target]
        return Unseen(
            (entries - 1) * sum(each.tokens for each in own),
            (entries - 1) * sum(each.room for each in own),
        )

    def _room_at(self, target: str) -> int:
        return sum(each.room for each in self._open.get(target, {}).values())

    def open_requests(self, target: str) -> int:
        """Return how many requests of this VM are open at a target."""
        return len(self._open.get(target, ()))

    def ahead(self, target: str, rank: int) -> int:
        """Return the tokens that a target works off before ``rank``."""
        return sum(
            tokens
            for work in (self._own.get(target), self.others["work"].get(target))
            if work
            for other, tokens in work.items()
            if other <= rank
        )

    def wait_s(self, service: str, tokens: int) -> float:
        """Return how long a service's target takes for so many tokens.

        :returns: 0 while the speed is not known.
        """
        rate = self._rates.get(service)
        return tokens / rate if rate else 0.0

    def tokens_s(self, service: str) -> float:
        """Return the tokens a second that a service's targets work off.

        :returns: 0 while the speed is not known.
        """
        return self._rates.get(service, 0.0)

    def began(
        self,
        target: str,
        rank: int,
        tokens: int,
        now_s: float,
        patience_s: float = 1.0,
        room: int = 0,
    ) -> OpenRequest:
        """Count a request that is on its way to a target.

        :param patience_s: silence of the target that says nothing yet.
        :param room: tokens of memory that it takes.
        """
        self._next += 1
        ahead = self.ahead(target, rank) + tokens
        opened = OpenRequest(
            self._next, target, rank, tokens, room, ahead, now_s, patience_s
        )
        self._open.setdefault(target, {})[opened.number] = opened
        self._unanswered.setdefault(target, {})[opened.number] = opened
        self._add(target, rank, tokens)
        self._sent.append(opened)
        return opened

    def answered(self, opened: OpenRequest, service: str, now_s: float) -> None:
        """Count the head of its answer: its prompt is read."""
        if self._unanswered.get(opened.target, {}).pop(opened.number, None) is None:
            return
        self._sign_s[opened.target] = now_s
        self._add(opened.target, opened.rank, -opened.tokens)
        self._add(opened.target, 0, min(RUNNING_TOKENS, opened.tokens))
        self._learn(service, opened, now_s)

    def heard(self, target: str, now_s: float) -> None:
        """Count a sign of life of a target."""
        self._sign_s[target] = now_s

    def ended(self, opened: OpenRequest) -> None:
        """Count a request's end, answered or not."""
        self._open.get(opened.target, {}).pop(opened.number, None)
        waited = self._unanswered.get(opened.target, {}).pop(opened.number, None)
        if waited is not None:
            self._add(opened.target, opened.rank, -opened.tokens)
        else:
            self._add(opened.target, 0, -min(RUNNING_TOKENS, opened.tokens))

    def is_doubtful(self, target: str, service: str, now_s: float) -> bool:
        """Return whether a target is silent for longer than its work explains."""
        unanswered = self._unanswered.get(target)
        if not unanswered:
            return False
        first = next(iter(unanswered.values()))
        expected_s = PATIENCE_FACTOR * self.wait_s(service, first.ahead)
        limit_s = max(first.patience_s, expected_s)
        since_s = max(first.began_s, self._sign_s.get(target, 0.0))
        return now_s - since_s > limit_s

    def _learn(self, service: str, opened: OpenRequest, now_s: float) -> None:
        waited_s = now_s - opened.began_s
        if opened.ahead < FEWEST_TOKENS or waited_s <= 0:
            return
        rate = opened.ahead / waited_s
        known = self._rates.get(service, rate)
        self._rates[service] = known + LEARNED_SHARE * (rate - known)

    def _add(self, target: str, rank: int, tokens: int) -> None:
        work = self._own.setdefault(target, {})
        work[rank] = work.get(rank, 0) + tokens
        if work[rank] <= 0:
            del work[rank]
