"""Choice between waiting for a target's runs and changing its weights under them.

A target that was told to wait for its runs can't be told otherwise until they have
ended, so the choice is made with each order, by how long other targets of the rollout
have waited. Where too little time is left, the order is held back while there is some,
so that most runs end; then a few that may go on elsewhere are broken off, and more, or
others, go on under the new weights, as a broken one may be lost whole.
"""

from collections.abc import Iterable
from enum import StrEnum

from vanillabeam.fleet.records import Route

__all__ = ["REPEATS_SHARE", "RunWaits", "Strategy", "choose_strategy", "has_time"]

#: Longest wait for runs that is always allowed.
MIN_WAIT_S = 1.0
#: Factor by which a wait that goes on is expected to become longer.
ONGOING_FACTOR = 2.0
#: Share of the retry budget's floor that one round of a rollout may use.
REPEATS_SHARE = 0.5
#: Targets that a stream needs to go on elsewhere.
MIN_ATTEMPTS = 2

Incarnation = tuple[str, int]


class Strategy(StrEnum):
    """Treatment of a target's runs when its weights change."""

    #: They end first.
    WAIT = "wait"
    #: They are broken off.
    TRUNCATE = "truncate"
    #: They go on under the new weights.
    RETAIN = "retain"


class RunWaits:
    """Times for which targets have waited for their runs in the rollout of a version.

    >>> waits = RunWaits()
    >>> waits.start(("t-1", 1_000), Strategy.WAIT)
    >>> waits.record(("t-1", 1_000), "m", version=2, waited_s=1.5)
    >>> waits.expected_s("m", version=2)
    3.0
    """

    def __init__(self):
        self._versions: dict[str, int] = {}
        self._ended_s: dict[str, float] = {}
        self._ongoing_s: dict[str, dict[Incarnation, float]] = {}
        #: Wait of each order that goes on.
        self._waited_s: dict[Incarnation, float] = {}

    def start(self, incarnation: Incarnation, strategy: Strategy) -> None:
        """Record that a target gets an order; only some orders wait for runs."""
        self.finish(incarnation)
        if strategy is Strategy.WAIT:
            self._waited_s[incarnation] = 0.0

    def record(
        self, incarnation: Incarnation, model: str, version: int, waited_s: float
    ) -> None:
        """Record that a target has waited for this long and still has runs."""
        if incarnation in self._waited_s and self._begin(model, version):
            self._ongoing_s[model][incarnation] = waited_s

    def end_wait(self, incarnation: Incarnation) -> None:
        """Record that a target waits no more."""
        for model, ongoing_s in self._ongoing_s.items():
            waited_s = ongoing_s.pop(incarnation, 0.0)
            self._ended_s[model] = max(self._ended_s[model], waited_s)
            if waited_s > self._waited_s.get(incarnation, 0.0):
                self._waited_s[incarnation] = waited_s

    def finish(self, incarnation: Incarnation) -> float:
        """Record the end of an order; return for how long the target waited."""
        self.end_wait(incarnation)
        return self._waited_s.pop(incarnation, 0.0)

    def expected_s(self, model: str, version: int) -> float:
        """Return how long the next target is expected to wait; 0 if unknown."""
        if not self._begin(model, version):
            return 0.0
        ongoing_s = max(self._ongoing_s[model].values(), default=0.0)
        return max(self._ended_s[model], ONGOING_FACTOR * ongoing_s)

    def _begin(self, model: str, version: int) -> bool:
        """Begin with a newer version; return whether ``version`` is the newest."""
        if version > self._versions.get(model, 0):
            self._versions[model] = version
            self._ended_s[model] = 0.0
            self._ongoing_s[model] = {}
        return version == self._versions[model]


def has_time(expected_s: float, spare_s: float) -> bool:
    """Return whether a target may wait for its runs, however long they last.

    :param expected_s: expected wait.
    :param spare_s: time that this rollout can spend on it.
    """
    return expected_s <= max(MIN_WAIT_S, spare_s)


def choose_strategy(
    routes: Iterable[Route], service: str, runs: int | None, repeats: float
) -> Strategy:
    """Return the strategy of an order to a target that can't wait for its runs.

    :param routes: routes of the deployment in force.
    :param runs: number of runs at the target; ``None`` if unknown.
    :param repeats: runs of the target that may be repeated elsewhere.
    """
    served = [
        route
        for route in routes
        if any(share.service == service for share in route.shares)
    ]
    can_go_on = all(
        route.is_idempotent and route.attempts >= MIN_ATTEMPTS for route in served
    )
    if served and can_go_on and runs is not None and runs <= repeats:
        return Strategy.TRUNCATE
    return Strategy.RETAIN
