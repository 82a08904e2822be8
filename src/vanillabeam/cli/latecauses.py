"""Causes of late answers, from the log lines of entry VMs: a functional core."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import datetime
from enum import StrEnum
from statistics import median
from typing import NamedTuple

__all__ = ["Cause", "Late", "Report", "explain_late"]

#: Fewest answers of a target by which it is compared with its service.
MIN_ANSWERS = 5
#: Factor to the median of its service from which a target is slow. Targets are 2 to 3
#: times as slow for moments, which a median over its answers doesn't show.
SLOW_FACTOR = 1.5
#: Expected waits below this are noise of the machine.
MIN_EXPECTED_S = 0.05


class Cause(StrEnum):
    """Causes of a late answer, by time."""

    WAITED = "waited for us"
    RETRIED = "retried"
    AT_TARGET = "at the target"
    PREFILL = "prefill"
    MEMORY = "memory moved"
    PAUSED = "paused"
    SLOW_TARGET = "slow target"


class Late(NamedTuple):
    """A late answer.

    :param seconds: by cause; only causes that took time.
    """

    request_id: str
    route: str
    data_centre: str
    workspace: str
    target: str
    seconds: dict[Cause, float]

    @property
    def main(self) -> Cause:
        """Cause that took the most time."""
        return max(self.seconds, key=lambda cause: self.seconds[cause])


class Report(NamedTuple):
    """Late answers among those that the logs describe.

    :param answers: answers whose admission and choice of a target were logged too.
    :param incomplete: other answers: lines over their budget are dropped.
    """

    answers: int
    incomplete: int
    late: list[Late]

    def by(self, field: str) -> dict[str, dict[str, float]]:
        """Return the number of late answers and the seconds by cause, by a field."""
        groups: defaultdict[str, Counter] = defaultdict(Counter)
        for late in self.late:
            group = groups[getattr(late, field)]
            group["late"] += 1
            group[f"mainly {late.main}"] += 1
            for cause, seconds in late.seconds.items():
                group[str(cause)] += seconds
        return {
            name: {key: round(value, 3) for key, value in group.items()}
            for name, group in sorted(groups.items())
        }


class _Request(NamedTuple):
    admitted: dict
    chosen: list[dict]
    answered: dict

    @property
    def is_late_by_s(self) -> float:
        """Seconds by which the first part was late; negative if it wasn't."""
        objective_s = self.admitted["objective_s"]
        first_s = self.answered["first_s"]
        if not objective_s or first_s is None:
            return self.answered["total_s"] - self.admitted["budget_s"]
        return first_s - objective_s

    @property
    def arrived_s(self) -> float:
        """Unix time of the request's head."""
        return _seconds(self.answered) - self.answered["total_s"]

    @property
    def sent_s(self) -> float:
        """Seconds from the head of the request to the choice of its last target."""
        return max(0.0, _seconds(self.chosen[-1]) - self.arrived_s)

    @property
    def at_target_s(self) -> float:
        """Seconds from the choice of the last target to its first part."""
        first_s = self.answered["first_s"]
        end_s = self.answered["total_s"] if first_s is None else first_s
        return max(0.0, end_s - self.sent_s)

    @property
    def slowness(self) -> float:
        """Seconds to the first part over those expected."""
        return self.at_target_s / max(MIN_EXPECTED_S, self.chosen[-1]["wait_s"])


def explain_late(records: Iterable[dict], pause_s: float) -> Report:
    """Return the late answers and what made them late.

    An answer is late if its first part came after the route's objective (its end after
    the time limit, where the route has none), or if a later part came ``pause_s``
    after the one before it.

    :param records: log records of entry VMs, in any order.
    """
    requests, incomplete = _join(records)
    factors = _target_factors(requests)
    late = [
        _explain(request, factors, pause_s)
        for request in requests
        if request.is_late_by_s > 0 or request.answered["gap_s"] > pause_s
    ]
    return Report(len(requests), incomplete, [each for each in late if each.seconds])


def _join(records: Iterable[dict]) -> tuple[list[_Request], int]:
    admitted: dict[tuple, dict] = {}
    chosen: defaultdict[tuple, list[dict]] = defaultdict(list)
    answered: dict[tuple, dict] = {}
    for record in records:
        key = (record["vm"], record.get("request_id"))
        if record["event"] == "request-admitted" and "objective_s" in record:
            admitted[key] = record
        elif record["event"] == "target-chosen" and "queued" in record:
            chosen[key].append(record)
        elif record["event"] == "request-answered" and "gap_s" in record:
            answered[key] = record
    whole = [key for key in answered if key in admitted and key in chosen]
    requests = [
        _Request(admitted[key], sorted(chosen[key], key=_seconds), answered[key])
        for key in whole
    ]
    return requests, len(answered) - len(whole)


def _target_factors(requests: list[_Request]) -> dict[str, float]:
    """Return how much slower than the median of its service each target is."""
    by_service: defaultdict[str, list[float]] = defaultdict(list)
    by_target: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for request in requests:
        service, target = request.chosen[-1]["service"], request.chosen[-1]["target"]
        by_service[service].append(request.slowness)
        by_target[service, target].append(request.slowness)
    return {
        target: median(values) / max(1e-6, median(by_service[service]))
        for (service, target), values in by_target.items()
        if len(values) >= MIN_ANSWERS
    }


def _explain(request: _Request, factors: dict[str, float], pause_s: float) -> Late:
    admitted, last, answered = request.admitted, request.chosen[-1], request.answered
    seconds: dict[Cause, float] = {}
    if request.is_late_by_s > 0:
        seconds = _seconds_to_first(request, factors.get(last["target"], 1.0))
    if answered["gap_s"] > pause_s:
        seconds[Cause.PAUSED] = answered["gap_s"] - pause_s
    return Late(
        answered["request_id"],
        admitted["route"],
        admitted.get("data_centre", ""),
        admitted["workspace"],
        last["target"],
        {cause: round(value, 4) for cause, value in seconds.items() if value > 0},
    )


def _seconds_to_first(request: _Request, factor: float) -> dict[Cause, float]:
    """Return the seconds to the first part of an answer, by cause."""
    first, last = request.chosen[0], request.chosen[-1]
    waited_s = min(request.sent_s, max(0.0, _seconds(first) - request.arrived_s))
    took_s = request.at_target_s
    expected_s = min(took_s, last["wait_s"])
    tokens = max(1, last["queued"] + last["work"])
    own = max(0, last["work"] - last["fetched"])
    beyond_s = took_s - expected_s
    slow_s = 0.0
    if factor >= SLOW_FACTOR:
        slow_s = min(beyond_s, took_s * (1 - 1 / factor))
    return {
        Cause.WAITED: waited_s,
        Cause.RETRIED: request.sent_s - waited_s,
        Cause.PREFILL: expected_s * own / tokens,
        Cause.MEMORY: expected_s * last["fetched"] / tokens,
        # Work queued before the request, and what nobody expected.
        Cause.AT_TARGET: expected_s * last["queued"] / tokens + beyond_s - slow_s,
        Cause.SLOW_TARGET: slow_s,
    }


def _seconds(record: dict) -> float:
    return datetime.fromisoformat(record["time"]).timestamp()
