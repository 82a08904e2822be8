"""Recent outcomes of requests, by target, of all entry VMs.

One entry VM sends too little to tell a failing target from bad luck. The entry VMs
therefore report what they have seen in the last seconds along with their load, and
each judges by the sums of all.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.fleet.loads import EntryLoad, accumulate, add_loads, make_load

__all__ = ["Observations"]

#: Time for which an outcome counts.
WINDOW_S = 3.0
#: Answers without any deviation that are assumed of each target beforehand, so that
#: one failure is no reason to leave it alone.
PRIOR_ANSWERS = 10


class _Outcome(NamedTuple):
    at_s: float
    counts: EntryLoad


class Observations:
    """Outcomes that this entry VM has seen, and the sums of all others.

    >>> observed = Observations()
    >>> observed.record_answer("t-1", failed=True, now_s=1.0)
    >>> list(observed.failure_excess(["t-1", "t-2"]))
    ['t-1']
    """

    def __init__(self):
        self._others = make_load()
        self._outcomes: deque[_Outcome] = deque()
        self._own = make_load()

    def update_others(self, load: EntryLoad) -> None:
        """Replace what all other entry VMs have seen."""
        self._others = load

    def record_answer(self, target: str, failed: bool, now_s: float) -> None:
        """Record a target's answer, or that none came."""
        counts = make_load(answers={target: 1})
        if failed:
            counts["failures"] = {target: 1}
        self._record(counts, now_s)

    def own(self, now_s: float) -> EntryLoad:
        """Return what this VM has seen lately."""
        limit_s = now_s - WINDOW_S
        while self._outcomes and self._outcomes[0].at_s <= limit_s:
            self._outcomes.popleft()
        self._own = add_loads(*[outcome.counts for outcome in self._outcomes])
        return self._own

    def failure_excess(self, targets: Iterable[str]) -> dict[str, float]:
        """Return by how much more often targets fail than all of them together.

        :param targets: names of a service's targets.
        :returns: difference of the shares of failed requests, for the targets with
            the greater one.
        """
        names = set(targets)
        failing = {*self._own["failures"], *self._others.get("failures", {})} & names
        if not failing:
            return {}
        failures = sum(self._count("failures", name) for name in failing)
        answers = sum(self._count("answers", name) for name in names)
        usual = failures / max(1, answers)
        excess = {}
        for name in failing:
            failed = self._count("failures", name) + PRIOR_ANSWERS * usual
            share = failed / (self._count("answers", name) + PRIOR_ANSWERS)
            if share > usual:
                excess[name] = share - usual
        return excess

    def _record(self, counts: EntryLoad, now_s: float) -> None:
        self._outcomes.append(_Outcome(now_s, counts))
        accumulate(self._own, counts)

    def _count(self, field: str, key: str) -> int:
        own, others = self._own.get(field, {}), self._others.get(field, {})
        return own.get(key, 0) + others.get(key, 0)
