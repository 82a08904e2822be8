"""Order in which the waiting requests of one service get places: a functional core."""

from bisect import insort
from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heapreplace

from vanillabeam.shares import MIN_WEIGHT, Share, WeightedShares
from vanillabeam.waiting.claim import Claim
from vanillabeam.waiting.rates import MIN_RETURN_S, OBSERVE_S, PlaceRate, Returns

__all__ = ["WaitingLine"]

#: One place in so many goes to a less urgent kind that was served less than the more
#: urgent ones, so that it doesn't starve. The more urgent ones lose at most 6 %.
TURNS_OF_LEAST = 16
#: Longest time until a refused caller should return, beyond the earliest time, in
#: multiples of the time that it could wait. Callers that give up before leave their
#: times unused.
RETURN_SPAN = 4.0
#: Longest expected wait of a claim that was not yet found likely to be served, as a
#: share of the time that it can wait. Without it, a sixth of the refused claims of
#: ``tests/waiting`` were refused only after they had waited, as estimates vary.
ENTRY_SHARE = 0.8
#: Number of claims of a kind from which old ones count half.
MAX_COUNTED = 1_000


class WaitingLine:
    """Waiting requests of one service at one entry VM.

    Ranks are served in order. Within a rank the workspace goes next that is furthest
    behind its weighted share by size, and within a workspace callers that return, then
    the earliest deadline, then the earliest arrival.

    >>> line = WaitingLine()
    >>> line.enter(Claim(1, "shop", arrival_s=0.0, deadline_s=2.0), now_s=0.0)
    >>> line.next(0.1).workspace
    'shop'
    """

    def __init__(self):
        self._ranks: dict[int, dict[str, list[Claim]]] = {}
        self._claims: set[Claim] = set()
        self._weights: dict[str, float] = {}
        self._shares = WeightedShares(lambda name: Share(self._weights.get(name, 1.0)))
        self._rate = PlaceRate()
        self._returns = Returns()
        self._change = 0
        self._turns = 0
        #: Claims that entered and that got a place, by rank.
        self._entered: dict[int, float] = {}
        self._served: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __contains__(self, claim: Claim) -> bool:
        return claim in self._claims

    def enter(self, claim: Claim, now_s: float) -> None:
        """Add a claim."""
        self._rate.record_waiting(now_s)
        self._add(claim)
        self._count(self._entered, claim.rank)

    def leave(self, claim: Claim) -> None:
        """Remove a claim, if it is in the line."""
        if claim not in self._claims:
            return
        self._claims.discard(claim)
        workspaces = self._ranks[claim.rank]
        workspaces[claim.workspace].remove(claim)
        if not workspaces[claim.workspace]:
            del workspaces[claim.workspace]
        if not workspaces:
            del self._ranks[claim.rank]
        if not any(claim.workspace in names for names in self._ranks.values()):
            self._weights.pop(claim.workspace, None)

    def record_served(self, claim: Claim | None, now_s: float) -> None:
        """Record that a request has got a place; remove it.

        :param claim: ``None`` if it didn't wait.
        """
        if self._claims:
            self._rate.record_waiting(now_s)
        self._rate.record_taken(now_s)
        if claim is None or claim not in self._claims:
            return
        is_turn = self._starved() == claim.rank
        self._turns = 0 if is_turn else self._turns + 1
        self._count(self._served, claim.rank)
        self._shares.charge(claim.workspace, claim.size, now_s)
        self.leave(claim)

    def record_change(self) -> None:
        """Record that places may have become free: all claims may be tried again."""
        self._change += 1

    def record_no_fit(self, claim: Claim, now_s: float) -> None:
        """Record that a claim was tried and no target has a place for it."""
        claim.record_no_fit(self._change, now_s)

    def next(self, now_s: float) -> Claim | None:
        """Return the claim that may be tried now; ``None`` if none may.

        A claim that fits nowhere holds back those behind it, if they aren't more
        urgent, for a limited time only: its place may be one that they don't need.
        """
        held_rank: int | None = None
        for claim in self.in_order():
            if held_rank is not None and claim.rank >= held_rank:
                continue
            if not claim.was_tried(self._change):
                return claim
            if claim.holds_back(now_s):
                held_rank = claim.rank
        return None

    def first(self) -> Claim | None:
        """Return the claim that gets the next place; ``None`` without claims."""
        return next(self.in_order(), None)

    def in_order(self) -> Iterator[Claim]:
        """Yield the claims in the order in which they get places."""
        starved = self._starved()
        first = None
        if starved is not None:
            first = next(self._in_order_of(starved))
            yield first
        for rank in sorted(self._ranks):
            yield from (c for c in self._in_order_of(rank) if c is not first)

    def place(self, claim: Claim) -> int:
        """Return the number of claims that get a place before this one."""
        for number, other in enumerate(self.in_order()):
            if other is claim:
                return number
        return len(self._claims)

    def expected_s(self, claim: Claim, now_s: float) -> float:
        """Return the seconds until a claim is expected to get a place."""
        return self._wait_s(claim, self.place(claim), now_s)

    def refusal(self, claim: Claim, now_s: float) -> float | None:
        """Return the seconds after which its caller should return.

        :returns: ``None`` if it is likely to get a place in time.
        """
        expected_s = self.expected_s(claim, now_s)
        if not self._is_hopeless(claim, expected_s, now_s):
            return None
        rate = self._rate.per_s(now_s)
        patience_s = max(MIN_RETURN_S, claim.latest_s - claim.arrival_s)
        first_s = now_s + max(MIN_RETURN_S, expected_s - patience_s)
        spacing_s = 1 / rate if rate else MIN_RETURN_S
        span_s = RETURN_SPAN * patience_s
        return self._returns.add(claim.rank, first_s, spacing_s, span_s) - now_s

    def hopeless(self, now_s: float) -> list[Claim]:
        """Return the claims that can't get a place in time behind the others."""
        found = []
        number = 0
        for claim in self.in_order():
            if self._is_hopeless(claim, self._wait_s(claim, number, now_s), now_s):
                found.append(claim)
            else:
                number += 1
        return found

    def oldest_s(self, now_s: float) -> float:
        """Return the age of the oldest claim, 0 without one."""
        return max((now_s - claim.arrival_s for claim in self._claims), default=0.0)

    def set_needed(self, needed_s: Callable[[Claim], float]) -> None:
        """Set the seconds that the answers of the waiting requests take."""
        for claim in self._claims:
            claim.needed_s = needed_s(claim)

    def reorder(
        self, rank_of: Callable[[Claim], int], weight_of: Callable[[str], float]
    ) -> None:
        """Apply changed priorities and weights to the claims that wait."""
        claims = sorted(self._claims, key=lambda claim: claim.number)
        for claim in claims:
            self.leave(claim)
        for claim in claims:
            claim.rank = rank_of(claim)
            claim.weight = weight_of(claim.workspace)
            self._add(claim)

    def _add(self, claim: Claim) -> None:
        self._claims.add(claim)
        self._weights[claim.workspace] = claim.weight
        workspaces = self._ranks.setdefault(claim.rank, {})
        claims = workspaces.setdefault(claim.workspace, [])
        insort(claims, claim, key=lambda each: each.key)

    def _count(self, counts: dict[int, float], rank: int) -> None:
        counts[rank] = counts.get(rank, 0.0) + 1
        if self._entered.get(rank, 0.0) > MAX_COUNTED:
            self._entered[rank] /= 2
            self._served[rank] = self._served.get(rank, 0.0) / 2

    def _served_share(self, rank: int) -> float:
        return self._served.get(rank, 0.0) / max(1.0, self._entered.get(rank, 0.0))

    def _starved(self) -> int | None:
        """Return the rank that has the next place out of order, if one has."""
        if self._turns < TURNS_OF_LEAST - 1 or len(self._ranks) < 2:
            return None
        first, *others = sorted(self._ranks)
        least = min(others, key=self._served_share)
        more_urgent = [first, *(rank for rank in others if rank < least)]
        lowest = min(map(self._served_share, more_urgent))
        return least if self._served_share(least) < lowest else None

    def _in_order_of(self, rank: int) -> Iterator[Claim]:
        """Yield the claims of a rank, workspaces by their virtual start times."""
        heap = [
            (self._shares.start(name), name, 0, claims)
            for name, claims in self._ranks[rank].items()
        ]
        heapify(heap)
        while heap:
            start, name, number, claims = heap[0]
            claim = claims[number]
            if number + 1 < len(claims):
                weight = max(MIN_WEIGHT, claim.weight)
                entry = (start + claim.size / weight, name, number + 1, claims)
                heapreplace(heap, entry)
            else:
                heappop(heap)
            yield claim

    def _wait_s(self, claim: Claim, before: int, now_s: float) -> float:
        rate = self._rate.per_s(now_s)
        in_line_s = (before + 1) / rate if rate else 0.0
        return max(0.0, claim.earliest_s - now_s, in_line_s)

    def _is_hopeless(self, claim: Claim, expected_s: float, now_s: float) -> bool:
        left_s = claim.latest_s - now_s
        if left_s <= 0 or expected_s > left_s:
            return True
        if not claim.is_likely and expected_s > ENTRY_SHARE * left_s:
            return True
        has_rate = self._rate.per_s(now_s) is not None
        claim.is_likely = has_rate or now_s >= claim.arrival_s + OBSERVE_S
        return False
