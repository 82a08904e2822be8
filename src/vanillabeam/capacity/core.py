"""Load that each target handles well, as one entry VM knows it."""

import math
from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from vanillabeam.capacity.counts import Kind, OwnCounts, Sums, read_sums
from vanillabeam.capacity.evidence import (
    SLOW_FACTOR,
    contradicts,
    is_own_link,
    pick_evidence,
)
from vanillabeam.capacity.figures import Figure

__all__ = ["CapacityRow", "TargetCapacity"]

#: Fewest queued tokens of a prompt whose wait shows the speed.
MIN_SAMPLE_TOKENS = 4_000
#: Time between two samples of the sums.
SAMPLE_S = 0.5
#: Age from which the sums of the others no longer count.
OTHERS_TTL_S = 1.5
#: Time after a restart in which the sums of the others may be of the start before it:
#: they cover 1 s and are 0.3 s old.
RESTART_S = 1.5
#: Answers of an average target of the service that are assumed of each beforehand.
PRIOR_ANSWERS = 3
#: Difference to the service's median, as a logarithm, that is chance as often as not:
#: calls of one service differ in length. Smaller ones count for little.
CHANCE_DIFFERENCE = 0.2
#: Age of the newest answer from which the known speed gives way to the service's
#: median, and the time in which half of its weight is lost. A faster return sends the
#: calls of all VMs to a target that is still slow, each time.
FRESH_S = 10.0
FADE_S = 30.0
#: Multiple of the known time up to which one answer counts, so that a single one, as of
#: a lost packet, doesn't outweigh all others.
MAX_FACTOR = 4.0
#: Targets whose changes are told at a time, and the change of the requests that one
#: takes well from which it is told.
MAX_CHANGES = 10
TOLD_DIFFERENCE = 0.25
#: Time for which a service's median is kept.
MEDIAN_TTL_S = 1.0


class CapacityRow(NamedTuple):
    """Evidence on one target.

    :param tokens_s: tokens prefilled a second; 0 while unknown.
    :param takes_well: open requests that it takes without slowing; 0 while unknown.
    :param call_s: seconds of a plain call without others; 0 while unknown.
    :param is_slow: whether it is much slower than the median of its service.
    """

    service: str
    target: str
    tokens_s: float
    takes_well: int
    call_s: float
    is_slow: bool


class TargetCapacity:
    """Speed of each target, and the open requests from which it slows.

    It is learned from this VM's answers and from the sums of all other entry VMs.

    >>> capacity = TargetCapacity()
    >>> capacity.record_call("t-1", "orders", 1, took_s=0.05, failed=False, now_s=1.0)
    >>> capacity.call_s("t-1", "orders", open_calls=1, now_s=1.0)
    0.05
    """

    def __init__(self):
        self._own = OwnCounts()
        self._others: dict[Kind, Mapping[str, list[int]]] = {}
        self._others_seen_s = float("-inf")
        self._sampled_s = float("-inf")
        self._figures: dict[Kind, dict[str, Figure]] = {kind: {} for kind in Kind}
        self._services: dict[str, str] = {}
        self._medians: dict[tuple[Kind, str], tuple[float, float]] = {}
        self._told: dict[str, tuple[bool, int]] = {}
        self._born: dict[str, int] = {}
        self._restarted_s: dict[str, float] = {}

    def record_prompt(
        self,
        target: str,
        service: str,
        queued_tokens: int,
        open_requests: int,
        waited_s: float,
        now_s: float,
    ) -> None:
        """Record the wait for the first event of a prompt.

        :param queued_tokens: tokens that the target had to prefill for it.
        :param open_requests: requests open at the target when it was sent.
        """
        if queued_tokens >= MIN_SAMPLE_TOKENS and waited_s > 0:
            self._record(
                Kind.PROMPT,
                target,
                service,
                queued_tokens,
                open_requests,
                waited_s,
                now_s,
            )

    def record_call(
        self,
        target: str,
        service: str,
        open_calls: int,
        took_s: float,
        failed: bool,
        now_s: float,
    ) -> None:
        """Record the end of a plain call; the time of a failure says nothing."""
        if not failed and took_s > 0:
            self._record(Kind.CALL, target, service, 1, open_calls, took_s, now_s)

    def _record(
        self,
        kind: Kind,
        target: str,
        service: str,
        units: int,
        open_requests: int,
        took_s: float,
        now_s: float,
    ) -> None:
        self._services[target] = service
        usual_s = self._pace_s(kind, target, service, open_requests, now_s) * units
        if usual_s:
            took_s = min(took_s, MAX_FACTOR * usual_s)
        sums = Sums(1, 1, open_requests, max(1, round(1_000 * took_s)), units)
        self._own.record(kind, target, sums, now_s)
        self._sample(now_s)

    def own(self, now_s: float) -> dict[str, dict[str, list[int]]]:
        """Return the sums of this VM for the others, by field and target.

        Where its own answers are late and those of the others aren't, its link is.
        """
        self._sample(now_s)
        shared: dict[str, dict[str, list[int]]] = {}
        for kind in Kind:
            shared[str(kind)] = {
                name: list(sums)
                for name, sums in self._own.sums(kind, now_s).items()
                if not contradicts(sums, self._other_sums(kind, name, now_s))
            }
        return shared

    def update_others(self, load: Mapping, now_s: float) -> None:
        """Replace the sums of all other entry VMs."""
        self._others = {kind: load.get(str(kind), {}) for kind in Kind}
        self._others_seen_s = now_s
        self._sample(now_s)

    def tokens_s(
        self,
        target: str,
        service: str,
        now_s: float,
        open_requests: float | None = None,
    ) -> float:
        """Return the tokens that a target prefills per second.

        :param open_requests: requests open there; ``None`` for as many as lately.
        :returns: 0 while nothing is known.
        """
        pace_s = self._pace_s(Kind.PROMPT, target, service, open_requests, now_s)
        return 1.0 / pace_s if pace_s else 0.0

    def service_tokens_s(self, service: str, now_s: float) -> float:
        """Return the median of the tokens that a service's targets prefill a second."""
        pace_s = self._median_s(Kind.PROMPT, service, now_s)
        return 1.0 / pace_s if pace_s else 0.0

    def wait_s(
        self,
        target: str,
        service: str,
        queued_tokens: float,
        now_s: float,
        open_requests: float | None = None,
    ) -> float:
        """Return the seconds that a target takes for some work; 0 if unknown."""
        pace_s = self._pace_s(Kind.PROMPT, target, service, open_requests, now_s)
        return queued_tokens * pace_s

    def call_s(
        self, target: str, service: str, open_calls: float, now_s: float
    ) -> float:
        """Return the seconds of a plain call; 0 while nothing is known.

        :param open_calls: calls open there, this one included.
        """
        return self._pace_s(Kind.CALL, target, service, open_calls, now_s)

    def takes_well(self, target: str, service: str, now_s: float) -> int | None:
        """Return the open requests that a target takes without slowing down.

        :returns: ``None`` while it is unknown.
        """
        known = (self._figures[kind].get(target) for kind in Kind)
        limits = [figure.takes_well for figure in known if figure is not None]
        return min((limit for limit in limits if limit is not None), default=None)

    def is_proven(self, target: str) -> bool:
        """Return whether this start of a target has answered any entry VM."""
        return any(target in figures for figures in self._figures.values())

    def call_age_s(self, target: str, now_s: float) -> float:
        """Return the seconds since a call showed a target's speed; 0 if none has."""
        figure = self._figures[Kind.CALL].get(target)
        return now_s - figure.seen_s if figure is not None else 0.0

    def evidence_age_s(self, target: str, service: str, now_s: float) -> float | None:
        """Return the seconds since a wait of a prompt showed a target's speed.

        :returns: that of the service's newest one if there is none of the target, or
            ``None``.
        """
        figures = self._figures[Kind.PROMPT]
        if target in figures:
            return now_s - figures[target].seen_s
        seen = [figures[name].seen_s for name in self._names(Kind.PROMPT, service)]
        return now_s - max(seen) if seen else None

    def rows(self, now_s: float) -> list[CapacityRow]:
        """Return what is known of each target."""
        return [
            self._row(service, target, now_s)
            for target, service in sorted(self._services.items())
            if self.is_proven(target)
        ]

    def changes(self, now_s: float) -> list[CapacityRow]:
        """Return the targets whose figures now lead to other decisions, at most a few.

        A target changes if it becomes slow or no longer is, or if the open requests
        that it takes well change by more than a quarter.
        """
        changed = []
        for target, service in sorted(self._services.items()):
            is_slow = self._is_slow(target, service, now_s)
            well = self.takes_well(target, service, now_s) or 0
            if _differs(is_slow, well, self._told.get(target, (False, 0))):
                self._told[target] = (is_slow, well)
                changed.append(self._row(service, target, now_s))
            if len(changed) == MAX_CHANGES:
                break
        return changed

    def keep_only(self, incarnations: set[tuple[str, int]], now_s: float) -> None:
        """Forget all other incarnations of targets."""
        born: dict[str, int] = {}
        for name, at_ms in incarnations:
            born[name] = max(at_ms, born.get(name, 0))
        restarted = {
            name
            for name in born.keys() & self._born.keys()
            if born[name] != self._born[name]
        }
        gone = self._services.keys() - born.keys()
        for name in gone | restarted:
            self._services.pop(name, None)
            self._told.pop(name, None)
            for figures in self._figures.values():
                figures.pop(name, None)
        if gone | restarted:
            self._own.forget(gone | restarted)
        self._born = born
        self._restarted_s = {
            name: at_s
            for name, at_s in self._restarted_s.items()
            if now_s - at_s < RESTART_S and name in born
        } | dict.fromkeys(restarted, now_s)

    def _row(self, service: str, target: str, now_s: float) -> CapacityRow:
        return CapacityRow(
            service,
            target,
            round(self.tokens_s(target, service, now_s), 1),
            self.takes_well(target, service, now_s) or 0,
            round(self.call_s(target, service, 1, now_s), 4),
            self._is_slow(target, service, now_s),
        )

    def _is_slow(self, target: str, service: str, now_s: float) -> bool:
        for kind in Kind:
            if target in self._figures[kind]:
                pace_s = self._pace_s(kind, target, service, None, now_s)
                return pace_s > SLOW_FACTOR * self._median_s(kind, service, now_s)
        return False

    def _pace_s(
        self,
        kind: Kind,
        target: str,
        service: str,
        open_requests: float | None,
        now_s: float,
    ) -> float:
        self._services.setdefault(target, service)
        median_s = self._median_s(kind, service, now_s)
        figure = self._figures[kind].get(target)
        if figure is None:
            return median_s
        pace_s = figure.pace_s(open_requests)
        if not median_s:
            return pace_s
        age_s = max(0.0, now_s - figure.seen_s - FRESH_S)
        answers = max(1, figure.answers) * 0.5 ** (age_s / FADE_S)
        difference = math.log(figure.best_pace_s / median_s) ** 2
        share = answers / (answers + PRIOR_ANSWERS)
        share *= difference / (difference + CHANCE_DIFFERENCE**2)
        return pace_s * (median_s / figure.best_pace_s) ** (1 - share)

    def _median_s(self, kind: Kind, service: str, now_s: float) -> float:
        known = self._medians.get((kind, service))
        if known is not None and 0 <= now_s - known[1] < MEDIAN_TTL_S:
            return known[0]
        names = self._names(kind, service)
        paces = [self._figures[kind][name].best_pace_s for name in names]
        value = median(paces) if paces else 0.0
        self._medians[kind, service] = (value, now_s)
        return value

    def _names(self, kind: Kind, service: str) -> list[str]:
        return [
            name for name in self._figures[kind] if self._services.get(name) == service
        ]

    def _other_sums(self, kind: Kind, target: str, now_s: float) -> Sums | None:
        if now_s - self._others_seen_s > OTHERS_TTL_S or target in self._restarted_s:
            return None
        return read_sums(self._others.get(kind, {}).get(target))

    def _sample(self, now_s: float) -> None:
        """Take a sample of all targets' sums, if it is time for one."""
        if now_s - self._sampled_s < SAMPLE_S:
            return
        self._sampled_s = now_s
        for kind in Kind:
            own = self._own.sums(kind, now_s)
            names = own.keys() | self._others.get(kind, {}).keys()
            pairs = [
                (name, own.get(name), self._other_sums(kind, name, now_s))
                for name in sorted(names)
            ]
            blames_link = is_own_link(pairs)
            for name, mine, theirs in pairs:
                self._update(kind, name, mine, theirs, blames_link, now_s)

    def _update(
        self,
        kind: Kind,
        target: str,
        mine: Sums | None,
        theirs: Sums | None,
        blames_link: bool,
        now_s: float,
    ) -> None:
        if self._born and target not in self._born:
            return
        figures = self._figures[kind]
        known = figures.get(target)
        pace_s = known.pace_s(None) if known else 0.0
        sums = pick_evidence(mine, theirs, pace_s, blames_link)
        if sums is not None:
            if known is None:
                known = figures[target] = Figure()
                self._medians.clear()
            known.record(sums.answers, sums.pace_s, sums.mean_open, now_s)


def _differs(is_slow: bool, well: int, told: tuple[bool, int]) -> bool:
    was_slow, took_well = told
    difference = abs(well - took_well)
    return is_slow != was_slow or difference > TOLD_DIFFERENCE * max(well, took_well)
