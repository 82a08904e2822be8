"""Requests of several kinds for a few places, on a simulated clock."""

import heapq
import random
from typing import NamedTuple

from vanillabeam.waiting import Claim, WaitingLine

STEP_S = 0.01


class Caller(NamedTuple):
    """A request of a scene.

    :param busy_s: seconds for which it takes its places.
    :param places: places that it takes at once.
    :param tries: how often its caller comes back after a refusal.
    """

    at_s: float
    rank: int = 0
    workspace: str = "a"
    limit_s: float = 2.0
    busy_s: float = 0.1
    places: int = 1
    tries: int = 0
    weight: float = 1.0
    is_returning: bool = False
    name: str = ""


class Served(NamedTuple):
    caller: Caller
    waited_s: float


class Scene:
    """One line in front of some places.

    :ivar served: requests that got a place, in order.
    :ivar refused: requests that were refused, with the time and the seconds in the
        answer.
    """

    def __init__(self, places):
        self.line = WaitingLine()
        self.free = places
        self.served, self.refused = [], []
        self._places = places
        self._callers = {}
        self._ends = []
        self._number = 0

    def play(self, callers, until_s, events=()):
        """Serve callers until a time; ``events`` are functions by their time."""
        queue = [(caller.at_s, number, caller) for number, caller in enumerate(callers)]
        self._number = len(queue)
        heapq.heapify(queue)
        events = sorted(events, key=lambda event: event[0])
        for step in range(round(until_s / STEP_S)):
            now_s = step * STEP_S
            while events and events[0][0] <= now_s:
                events.pop(0)[1]()
            while self._ends and self._ends[0][0] <= now_s:
                self.free += heapq.heappop(self._ends)[1]
                self.line.record_change()
            while queue and queue[0][0] <= now_s:
                self._arrive(heapq.heappop(queue)[2], now_s)
            for claim in self.line.hopeless(now_s):
                self._refuse(claim, now_s, queue)
            self._serve(now_s)
        return self

    def served_share(self, **fields):
        """Return the share of the matching callers that got a place."""
        served = len(self._matching([each.caller for each in self.served], fields))
        refused = len(self._matching([each[0] for each in self.refused], fields))
        return served / max(1, served + refused)

    def waits(self, **fields):
        """Return the sorted waits of the matching callers that got a place."""
        found = self._matching([each.caller for each in self.served], fields)
        return sorted(each.waited_s for each in self.served if each.caller in found)

    @staticmethod
    def _matching(callers, fields):
        return [
            caller
            for caller in callers
            if all(getattr(caller, name) == value for name, value in fields.items())
        ]

    def _arrive(self, caller, now_s):
        claim = Claim(
            caller.rank,
            caller.workspace,
            now_s,
            now_s + caller.limit_s - caller.busy_s,
            caller.places,
            caller.weight,
            caller.is_returning,
            hold_s=0.5,
        )
        self._callers[claim] = caller
        self.line.enter(claim, now_s)

    def _serve(self, now_s):
        while (claim := self.line.next(now_s)) is not None:
            caller = self._callers[claim]
            if caller.places > self.free:
                self.line.record_no_fit(claim, now_s)
                continue
            self.free -= caller.places
            self.line.record_served(claim, now_s)
            heapq.heappush(self._ends, (now_s + caller.busy_s, caller.places))
            self.served.append(Served(caller, now_s - claim.arrival_s))

    def _refuse(self, claim, now_s, queue):
        caller = self._callers[claim]
        return_s = self.line.refusal(claim, now_s)
        self.line.leave(claim)
        if return_s is None:
            return_s = 0.0
        self.refused.append((caller, now_s, return_s))
        if caller.tries:
            at_s = now_s + return_s
            back = caller._replace(at_s=at_s, tries=caller.tries - 1, is_returning=True)
            self._number += 1
            heapq.heappush(queue, (at_s, self._number, back))


def steady(rate_s, until_s, since_s=0.0, **fields):
    """Return callers that come evenly."""
    count = round(rate_s * (until_s - since_s))
    return [Caller(since_s + number / rate_s, **fields) for number in range(count)]


def at_random(rate_s, until_s, seed, **fields):
    """Return callers that come at random."""
    rng = random.Random(seed)
    count = round(rate_s * until_s)
    return [Caller(rng.random() * until_s, **fields) for _ in range(count)]
