"""Records of the log lines about rollouts of software versions."""

from typing import NamedTuple

__all__ = ["RolloutOrdered", "RolloutStepped", "RolloutSuspected"]


class RolloutOrdered(NamedTuple):
    """An operator's order of a rollout was answered.

    :param to: software version that the traffic moves to.
    :param duration_s: seconds within which the rollout has to end.
    :param order: log index of the rollout that the order began, or that it repeats; 0
        if it was not accepted.
    :param failure: type of the failure if it was not accepted; else empty.
    """

    service: str
    to: str
    duration_s: float
    order: int
    failure: str


class RolloutStepped(NamedTuple):
    """The leader has proposed the next step of a rollout, or a higher share.

    :param to: software version that the traffic moves to.
    :param order: log index of the order; it identifies the rollout.
    :param age_s: seconds since the order.
    :param step: ``trial``, ``shift``, ``complete`` or ``rolled-back``.
    :param share: share of the service's requests for the new version.
    :param reason: cause of a rollback: ``bad``, ``slow``, ``no-targets``, ``capacity``
        or ``time``; else empty.
    :param evidence: what the step is based on.
    :param sent: requests that were sent to the new version by then.
    :param failure: type of the failure if the change was not committed; else empty.
    """

    service: str
    to: str
    order: int
    age_s: float
    step: str
    share: float
    reason: str
    evidence: str
    sent: int
    failure: str


class RolloutSuspected(NamedTuple):
    """A new version has begun, or ceased, to look worse than the old one.

    :param to: software version under trial.
    :param order: log index of the order; it identifies the rollout.
    :param odds: logarithm of the odds against the new version; from 9.2 on it is rolled
        back.
    :param evidence: the test with these odds.
    """

    service: str
    to: str
    order: int
    odds: float
    evidence: str
