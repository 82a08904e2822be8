"""Detection of parts of prompts under which targets end: a functional core.

The end of a target has two possible causes, the target or a request. It accuses each
shared part of each request that was open there. A part is convicted once several
targets have ended under it one after the other, and no target has given a whole answer
to a prompt with it. Targets that end at the same time speak for another cause and
count once: the next end counts only if it came under a request that was sent after the
one before.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from vanillabeam.fleet.evidence import BrokenRequest, Evidence

__all__ = ["Conviction", "Suspects"]

#: Ends of targets, one after the other, that convict a part without any whole answer.
MIN_ENDS = 3
#: The same for a part that targets have answered before: it took part in many sound
#: requests, which may all have broken beside others.
MIN_ENDS_ANSWERED = 6
#: Ends from which entry VMs are asked when a part was answered last.
MIN_ENDS_ASKED = 2
#: Parts that they are asked about at a time.
MAX_ASKED = 64
#: Least time until these are chosen anew.
ASKED_PERIOD_S = 0.05
#: Share of the ends of targets since its last answer that such a part must explain.
MIN_SHARE_ANSWERED = 0.9
#: Share of the most ends that any part explains from which another one is weighed
#: against it.
COMPARED_SHARE = 0.75
#: Time for which the end of a target counts.
WINDOW_S = 60.0
#: Longest wait for what all entry VMs know of a part before it is convicted.
ANSWERS_WAIT_S = 1.0
MAX_ENDS = 512
MAX_REQUESTS_PER_END = 256
MAX_PARTS_PER_REQUEST = 64


class Conviction(NamedTuple):
    """A part under which targets end, and the evidence.

    :param targets: targets that ended under it, in order.
    :param requests: ids of the requests under which they ended.
    :param ends: number of ends that count, one after the other.
    :param first_age_s: seconds since the first of them.
    :param answered_age_s: seconds since the last whole answer; ``None`` without one.
    """

    part: str
    targets: tuple[str, ...]
    requests: tuple[str, ...]
    ends: int
    first_age_s: float
    answered_age_s: float | None


class _End:
    """End of one incarnation, with the requests that were open there.

    :ivar requests: parts of each request, by its id.
    :ivar sent_s: time at which the last request with a part was sent, by part.
    """

    def __init__(self, target: str, ended_s: float):
        self.target = target
        self.ended_s = ended_s
        self.requests: dict[str, tuple[str, ...]] = {}
        self.sent_s: dict[str, float] = {}

    def add(self, request_id: str, parts: tuple[str, ...], sent_s: float) -> None:
        """Add a request that was open there."""
        self.requests[request_id] = parts
        for part in parts:
            self.sent_s[part] = max(sent_s, self.sent_s.get(part, sent_s))


class _Accusation:
    """Answers of entry VMs about a part that they were asked about.

    :ivar began_s: time from which they were asked.
    :ivar answered_s: time of the last whole answer; ``None`` without one.
    :ivar told: entry VMs that have said what they know.
    """

    def __init__(self, now_s: float):
        self.began_s = now_s
        self.answered_s: float | None = None
        self.told: set[str] = set()


class Suspects:
    """Weighs what entry VMs report of targets that ended.

    >>> suspects = Suspects()
    >>> suspects.update("entry-1", evidence, now_s=1.0)
    >>> suspects.convict(["entry-1"], {}, now_s=1.2).part
    'p-1'
    """

    def __init__(self):
        self._ends: dict[tuple[str, int], _End] = {}
        self._accused: dict[str, _Accusation] = {}
        self._acquitted_s: dict[str, float] = {}
        self._asked: dict[str, int] = {}
        self._asked_s = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no end of a target counts."""
        return not self._ends

    def update(self, vm: str, evidence: Evidence, now_s: float) -> None:
        """Record the observations of an entry VM; what is known already is kept."""
        for broken in evidence["broken"]:
            self._add(broken, now_s)
        for part, age_s in evidence["answered"].items():
            accusation = self._accused.get(part)
            if accusation is None:
                continue
            accusation.told.add(vm)
            if age_s is not None:
                answered_s = max(accusation.answered_s or 0.0, now_s - age_s)
                accusation.answered_s = answered_s

    def acquit(self, part: str, now_s: float) -> None:
        """Forget what has been held against a part so far."""
        self._acquitted_s[part] = now_s

    def accused(self, now_s: float) -> dict[str, int]:
        """Return the parts that entry VMs are asked about.

        They are worked out a few times a second, however many entry VMs ask.

        :returns: number of ends that count against each; those with the most if there
            are many.
        """
        if now_s - self._asked_s >= ASKED_PERIOD_S:
            self._asked, self._asked_s = self._choose_asked(now_s), now_s
        return self._asked

    def _choose_asked(self, now_s: float) -> dict[str, int]:
        self._expire(now_s)
        counts = {}
        for part in self._parts_under(self._ends.values(), MIN_ENDS_ASKED):
            count = self._count(self._ends_under(part), part)
            if count >= MIN_ENDS_ASKED:
                counts[part] = count
        most = sorted(counts, key=lambda part: (-counts[part], part))[:MAX_ASKED]
        for part in most:
            self._accused.setdefault(part, _Accusation(now_s))
        return {part: counts[part] for part in most}

    def answered_s(self, part: str) -> float | None:
        """Return the time of the last whole answer that is known of a part."""
        accusation = self._accused.get(part)
        return accusation.answered_s if accusation else None

    def ended_after(self, part: str, sent_s: float) -> bool:
        """Return whether a target ended under a request that was sent after a time."""
        ends = self._ends.values()
        return any(end.sent_s.get(part, sent_s) > sent_s for end in ends)

    def convict(
        self, entries: Iterable[str], quarantined: Mapping[str, bool], now_s: float
    ) -> Conviction | None:
        """Return the part that explains most ends of targets, if it is convicted.

        Ends that a quarantined part explains accuse no other one. Before its first
        trial has failed, they still accuse parts without any whole answer that explain
        as many.

        :param entries: entry VMs that are asked about accused parts.
        :param quarantined: whether a trial has failed, by quarantined part.
        """
        self._expire(now_s)
        known = frozenset(entries)
        totals = Counter(each for end in self._ends.values() for each in end.sent_s)
        found = []
        for part in self._accused:
            if totals[part] >= MIN_ENDS and part not in quarantined:
                unexplained = self._unexplained(part, quarantined, totals)
                verdict = self._weigh(part, unexplained, known, now_s)
                found += [verdict] if verdict is not None else []
        never = [verdict for verdict in found if verdict.answered_age_s is None]
        return self._choose(never or found)

    def _unexplained(
        self, part: str, quarantined: Mapping[str, bool], totals: Counter[str]
    ) -> list[_End]:
        """Return the ends that no quarantined part explains better than this one.

        :param totals: number of ends under each part.
        """
        was_answered = self.answered_s(part) is not None
        better = {
            other
            for other, is_confirmed in quarantined.items()
            if is_confirmed
            or was_answered
            or totals[other] > totals[part]
            or (totals[other] == totals[part] and self._follows(other, part))
        }
        return [end for end in self._ends.values() if better.isdisjoint(end.sent_s)]

    def _choose(self, found: list[Conviction]) -> Conviction | None:
        """Return the most specific part of those that explain nearly as many ends.

        Parts that come first in prompts are shared by more requests.
        """
        if not found:
            return None
        most = max(len(verdict.targets) for verdict in found)
        compared = [v for v in found if len(v.targets) >= COMPARED_SHARE * most]
        return max(
            compared, key=lambda v: (self._depth(v.part), len(v.targets), v.part)
        )

    def _depth(self, part: str) -> int:
        """Return the last place that a part takes in a prompt."""
        return max(
            parts.index(part)
            for end in self._ends.values()
            for parts in end.requests.values()
            if part in parts
        )

    def _follows(self, later: str, earlier: str) -> bool:
        """Return whether a part comes after another one in some prompt."""
        return any(
            earlier in parts[: parts.index(later)]
            for end in self._ends.values()
            for parts in end.requests.values()
            if later in parts
        )

    def _parts_under(self, ends: Iterable[_End], least: int) -> list[str]:
        """Return the parts under which at least so many targets ended."""
        counts = Counter(part for end in ends for part in end.sent_s)
        return [part for part, count in counts.items() if count >= least]

    def _weigh(
        self, part: str, unexplained: list[_End], entries: frozenset[str], now_s: float
    ) -> Conviction | None:
        accusation = self._accused[part]
        waited = now_s - accusation.began_s >= ANSWERS_WAIT_S
        if not waited and not entries <= accusation.told:
            return None
        under = [end for end in self._ends_under(part) if end in unexplained]
        ends = self._count(under, part)
        answered_s = accusation.answered_s
        if answered_s is not None:
            since = [end for end in unexplained if end.ended_s > answered_s]
            if len(under) < MIN_SHARE_ANSWERED * len(since):
                return None
        if ends < (MIN_ENDS if answered_s is None else MIN_ENDS_ANSWERED):
            return None
        return Conviction(
            part,
            tuple(end.target for end in under),
            tuple(
                request_id
                for end in under
                for request_id, parts in end.requests.items()
                if part in parts
            ),
            ends,
            now_s - under[0].ended_s,
            None if answered_s is None else now_s - answered_s,
        )

    def _ends_under(self, part: str) -> list[_End]:
        """Return the ends that count against a part, in order."""
        accusation = self._accused.get(part)
        answered_s = accusation.answered_s if accusation else None
        since_s = max(answered_s or 0.0, self._acquitted_s.get(part, 0.0))
        ends = [
            end
            for end in self._ends.values()
            if end.ended_s > since_s and part in end.sent_s
        ]
        return sorted(ends, key=lambda end: end.ended_s)

    def _count(self, ends: list[_End], part: str) -> int:
        """Return how many ends came one after the other."""
        count, last_s = 0, float("-inf")
        for end in ends:
            if end.sent_s[part] > last_s:
                count, last_s = count + 1, end.ended_s
        return count

    def _add(self, broken: BrokenRequest, now_s: float) -> None:
        incarnation = (broken.target, broken.born_ms)
        ended_s = now_s - broken.ended_age_s
        end = self._ends.get(incarnation)
        if end is None:
            if ended_s < now_s - WINDOW_S or len(self._ends) >= MAX_ENDS:
                return
            end = self._ends[incarnation] = _End(broken.target, ended_s)
        if broken.request_id in end.requests:
            return
        if len(end.requests) >= MAX_REQUESTS_PER_END:
            return
        parts = broken.parts[:MAX_PARTS_PER_REQUEST]
        end.add(broken.request_id, parts, now_s - broken.sent_age_s)

    def _expire(self, now_s: float) -> None:
        limit_s = now_s - WINDOW_S
        if not any(end.ended_s <= limit_s for end in self._ends.values()):
            return
        self._ends = {k: e for k, e in self._ends.items() if e.ended_s > limit_s}
        parts = {part for end in self._ends.values() for part in end.sent_s}
        self._accused = {p: a for p, a in self._accused.items() if p in parts}
        self._acquitted_s = {p: s for p, s in self._acquitted_s.items() if p in parts}
