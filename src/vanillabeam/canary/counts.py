"""Counts of one entry VM by version, since the order of a rollout."""

import math
from collections import Counter

from vanillabeam.canary.records import (
    BUCKETS,
    RolloutReport,
    Rollouts,
    RouteCounts,
    TargetCounts,
    VersionRollout,
    is_running,
)

__all__ = ["CountedRequest", "VersionCounts", "bucket"]

#: Upper limit of the first bucket of a slowness histogram: seconds of a plain call, or
#: multiple of the time expected of a prompt. The last bucket is open above.
FIRST_LIMIT = 0.01
#: Failures at the new version, and their share of its answers beyond a multiple of the
#: old version's share, from which on it looks bad to one VM.
BAD_FAILURES = 3
BAD_SHARE, BAD_FACTOR = 0.02, 3.0
#: Least expected time to the first event of a prompt: below, noise decides.
MIN_EXPECTED_S = 0.05


def bucket(slowness: float) -> int:
    """Return the bucket of a slowness.

    >>> bucket(0.01), bucket(0.011), bucket(1e9)
    (0, 1, 11)
    """
    if slowness <= FIRST_LIMIT:
        return 0
    return min(math.ceil(math.log2(slowness / FIRST_LIMIT)), BUCKETS - 1)


class _Counts:
    """Counts of one rollout."""

    def __init__(self, record: VersionRollout):
        self.record = record
        self.new: dict[str, RouteCounts] = {}
        self.old: dict[str, RouteCounts] = {}
        self.targets: dict[str, TargetCounts] = {}


class CountedRequest:
    """One request at one target, as it is counted.

    :param counts: counts of the rollout that ran when it began; ``None`` without one.
    :param expected_s: expected seconds to the first event of a prompt; ``None`` for a
        plain call.
    :param began_s: monotonic time at which it was begun.
    :param is_cold: whether its target is cold, so that its slowness tells nothing.
    """

    def __init__(
        self,
        counts: _Counts | None,
        version: tuple[str, str],
        route: str,
        target: str,
        expected_s: float | None,
        began_s: float,
        is_cold: bool,
    ):
        self.version = version
        self._counts = counts
        self._route = route
        self._target = target
        self._expected_s = expected_s
        self._began_s = began_s
        self._is_cold = is_cold
        self._is_sent = False
        self._is_answered = False
        self._first_s: float | None = None

    @property
    def is_prompt(self) -> bool:
        """Whether the request is a prompt."""
        return self._expected_s is not None

    def record_sent(self) -> None:
        """Count the request as sent, once."""
        if self._counts is not None and not self._is_sent:
            self._is_sent = True
            self._route_counts()["sent"] += 1

    def record_first(self, now_s: float) -> None:
        """Record the time of the head of the answer, or of a prompt's first event."""
        if self._first_s is None:
            self._first_s = now_s - self._began_s

    def record_answer(self) -> None:
        """Count the request as answered, once.

        A stream is counted with its first event, as its end may be too late for the
        decision.
        """
        if self._counts is None or self._is_answered:
            return
        self._count_answer()
        if self._first_s is None or self._is_cold:
            return
        slowness = self._first_s
        if self._expected_s is not None:
            slowness /= max(self._expected_s, MIN_EXPECTED_S)
        place = bucket(slowness)
        _increment(self._route_counts()["slowness"], place)
        counts = self._target_counts()
        if counts is not None:
            _increment(counts["slow"], place)

    def record_failure(self) -> None:
        """Count the request as failed; it may have run."""
        if self._counts is None:
            return
        self._count_answer()
        self._route_counts()["failures"] += 1
        counts = self._target_counts()
        if counts is not None:
            counts["failures"] += 1

    def _count_answer(self) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        self._route_counts()["answers"] += 1
        counts = self._target_counts()
        if counts is not None:
            counts["answers"] += 1

    def _is_new(self) -> bool:
        return self.version[1] == self._counts.record["to"]

    def _route_counts(self) -> RouteCounts:
        by_route = self._counts.new if self._is_new() else self._counts.old
        if self._route not in by_route:
            by_route[self._route] = RouteCounts(
                sent=0, answers=0, failures=0, slowness=[]
            )
        return by_route[self._route]

    def _target_counts(self) -> TargetCounts | None:
        if not self._is_new():
            return None
        by_target = self._counts.targets
        if self._target not in by_target:
            by_target[self._target] = TargetCounts(answers=0, failures=0, slow=[])
        return by_target[self._target]


class VersionCounts:
    """Counts of one process for each running rollout.

    :param boot: id of the process: what an earlier one has counted is kept apart.
    """

    def __init__(self, boot: str):
        self._boot = boot
        self._counts: dict[str, _Counts] = {}
        #: Requests that are open, by service and version: some were sent before the
        #: order.
        self._open: Counter[tuple[str, str]] = Counter()

    def update(self, rollouts: Rollouts) -> None:
        """Begin the counts of new rollouts; drop those of ended ones."""
        running = {name: each for name, each in rollouts.items() if is_running(each)}
        self._counts = {
            service: known
            if (known := self._counts.get(service)) is not None
            and known.record["order"] == record["order"]
            else _Counts(record)
            for service, record in running.items()
        }

    def begin(
        self,
        version: tuple[str, str],
        route: str,
        target: str,
        expected_s: float | None,
        now_s: float,
        is_cold: bool,
    ) -> CountedRequest:
        """Record the begin of a request at a target.

        :param version: service and version of the target.
        """
        self._open[version] += 1
        counts = self._counts.get(version[0])
        return CountedRequest(
            counts, version, route, target, expected_s, now_s, is_cold
        )

    def end(self, request: CountedRequest) -> None:
        """Record that a request is no longer open."""
        self._open[request.version] -= 1
        if not self._open[request.version]:
            del self._open[request.version]

    def looks_bad(self, service: str) -> bool:
        """Return whether the new version fails often, by what this VM alone has seen.

        This is no judgement: it serves a VM that can't hear the leader's.
        """
        counts = self._counts.get(service)
        if counts is None:
            return False
        (failures, share), (_, usual) = map(_failed, (counts.new, counts.old))
        return failures >= BAD_FAILURES and share > BAD_SHARE + BAD_FACTOR * usual

    def reports(self) -> list[RolloutReport]:
        """Return the counts of each running rollout."""
        return [
            RolloutReport(
                service=service,
                order=counts.record["order"],
                boot=self._boot,
                new=counts.new,
                old=counts.old,
                targets=counts.targets,
                open_old=self._open_old(service, counts.record["to"]),
            )
            for service, counts in self._counts.items()
        ]

    def _open_old(self, service: str, to: str) -> int:
        return sum(
            count
            for (name, software), count in self._open.items()
            if name == service and software != to
        )


def _failed(by_route: dict[str, RouteCounts]) -> tuple[int, float]:
    """Return the failures on all routes, and their share of the answers."""
    failures = sum(counts["failures"] for counts in by_route.values())
    answers = sum(counts["answers"] for counts in by_route.values())
    return failures, failures / max(1, answers)


def _increment(histogram: list[int], place: int) -> None:
    histogram.extend([0] * (place + 1 - len(histogram)))
    histogram[place] += 1
