"""Records of version rollouts: replicated state, changes, reports of entry VMs."""

from enum import StrEnum
from typing import NotRequired, TypedDict

__all__ = [
    "BUCKETS",
    "RouteCounts",
    "RolloutChange",
    "RolloutReport",
    "Rollouts",
    "Step",
    "TargetCounts",
    "VersionRollout",
    "is_running",
    "step_rank",
]

#: Buckets of a slowness histogram. Each holds values up to twice those of the one
#: before it.
BUCKETS = 12


class Step(StrEnum):
    """Step of a rollout.

    :cvar WAITING: no target of the new version is there yet.
    :cvar TRIAL: a small share of the requests goes to the new version.
    :cvar SHIFT: the new version has passed; requests move over to it.
    :cvar COMPLETE: all requests go to the new version.
    :cvar ROLLED_BACK: no requests go to the new version.
    """

    WAITING = "waiting"
    TRIAL = "trial"
    SHIFT = "shift"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled-back"


class VersionRollout(TypedDict):
    """Rollout of one service to another software version.

    :param to: the new version.
    :param order: log index of the order; it identifies the rollout.
    :param started_ms: Unix milliseconds at which the order was read.
    :param duration_s: seconds within which the rollout has to end.
    :param share: share of the service's requests for the new version, 0 to 1.
    :param reason: cause of a rollback, empty before: ``bad``, ``slow``, ``no-targets``,
        ``capacity`` or ``time``.
    :param evidence: one line for operators about the last change.
    """

    service: str
    to: str
    order: int
    started_ms: int
    duration_s: float
    step: Step
    share: float
    reason: str
    evidence: str


#: Newest rollout of each service, running or ended.
Rollouts = dict[str, VersionRollout]


class RolloutChange(TypedDict):
    """Replacement of a service's rollout record.

    :param basis: order and rank of the step that is replaced; ``None`` for an order of
        an operator.
    :param record: the new record. The ``order`` of an operator's order is set when the
        change is applied.
    """

    basis: tuple[int, int] | None
    record: VersionRollout


class RouteCounts(TypedDict):
    """Counts of one entry VM for one route and one version.

    :param sent: requests sent.
    :param answers: requests that were answered or failed and may have run.
    :param failures: those of them without a valid answer.
    :param slowness: answers by bucket of their slowness; buckets above the last used
        one are omitted.
    """

    sent: int
    answers: int
    failures: int
    slowness: list[int]


class TargetCounts(TypedDict):
    """Counts of one entry VM for one target of the new version.

    :param slow: answers by bucket of their slowness, as in :class:`RouteCounts`.
    """

    answers: int
    failures: int
    slow: list[int]


class RolloutReport(TypedDict):
    """Counts of one entry VM since the order of a rollout.

    All counts are cumulative for one process, so a lost report costs nothing.

    :param boot: id of the process.
    :param new: counts of the new version, by route.
    :param old: counts of all other versions, by route.
    :param targets: counts by target of the new version.
    :param open_old: requests that are open at targets of other versions.
    """

    service: str
    order: int
    boot: str
    new: dict[str, RouteCounts]
    old: dict[str, RouteCounts]
    targets: NotRequired[dict[str, TargetCounts]]
    open_old: int


#: Steps in their order; the last two end a rollout.
_RANKS = {
    Step.WAITING: 0,
    Step.TRIAL: 1,
    Step.SHIFT: 2,
    Step.COMPLETE: 3,
    Step.ROLLED_BACK: 3,
}


def step_rank(step: Step) -> int:
    """Return the rank of a step; a rollout only moves to steps of a higher one."""
    return _RANKS[step]


def is_running(record: VersionRollout) -> bool:
    """Return whether a rollout has not ended yet."""
    return record["step"] not in (Step.COMPLETE, Step.ROLLED_BACK)
