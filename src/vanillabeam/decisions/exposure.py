"""Records of the log lines of entry VMs about software versions and their rollouts."""

from typing import NamedTuple

__all__ = ["ExposureChanged", "RolloutInForce", "VersionHeld", "VersionsBarred"]


class ExposureChanged(NamedTuple):
    """Some requests of a service go to a new version from now on, or none do any more.

    :param to: the new version.
    :param order: log index of the order, which identifies the rollout.
    :param exposes: whether some do now; not without news of the leader, for instance.
    :param news_age_s: seconds since the last news of the leader; ``None`` without any.
    """

    service: str
    to: str
    order: int
    exposes: bool
    news_age_s: float | None


class RolloutInForce(NamedTuple):
    """A rollout of a service to another software version has begun, or has changed.

    :param to: the new version.
    :param order: log index of the order, which identifies the rollout.
    :param step: ``waiting``, ``trial``, ``shift``, ``complete`` or ``rolled-back``.
    :param share: share of the service's requests that go to the new version.
    :param reason: why it was rolled back; empty otherwise.
    :param evidence: what the last change was decided by.
    """

    service: str
    to: str
    order: int
    step: str
    share: float
    reason: str
    evidence: str


class VersionHeld(NamedTuple):
    """A software version appeared beside another one, and no rollout names it.

    Its targets get no requests for some time, as an order may be in transit.

    :param version: the version that appeared.
    :param targets: number of its targets.
    :param hold_s: seconds for which it gets nothing, unless an order arrives.
    """

    service: str
    version: str
    targets: int
    hold_s: float


class VersionsBarred(NamedTuple):
    """A request found no target, and some were left out because of their version.

    :param known: number of known targets of the service.
    :param barred: number of those that the request may not go to.
    :param to: new version of the newest rollout; empty without one.
    :param step: its step.
    :param news_age_s: seconds since the last news of the leader; ``None`` without any.
    """

    request_id: str
    service: str
    known: int
    barred: int
    to: str
    step: str
    news_age_s: float | None
