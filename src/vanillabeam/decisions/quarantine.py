"""Records of the log lines about ended targets and quarantined parts of prompts."""

from typing import NamedTuple

__all__ = ["PartConvicted", "QuarantineChanged", "RequestAccused", "TargetEnded"]


class TargetEnded(NamedTuple):
    """A target ended while requests of this VM were open there.

    :param evidence: ``refused`` if its address refuses connections, ``restarted`` if a
        later start has announced itself.
    :param requests: number of requests that broke with it so far.
    """

    target: str
    born_ms: int
    evidence: str
    requests: int


class RequestAccused(NamedTuple):
    """A request broke with its target, which may have ended because of it.

    :param parts: parts of its prompt that other requests may share; the last ones if
        there are many.
    :param open_s: seconds for which it was open at the target.
    """

    request_id: str
    target: str
    born_ms: int
    parts: list[str]
    open_s: float


class PartConvicted(NamedTuple):
    """Targets ended one after the other under a part of prompts.

    :param part: id of the part.
    :param ends: number of ends that count.
    :param targets: targets that ended, in order; the last ones if there are many.
    :param requests: requests that broke with them; the last ones if there are many.
    :param first_age_s: seconds since the first of these ends.
    :param answered_age_s: seconds since the last whole answer to a prompt with the
        part; ``None`` if no entry VM knows of one.
    """

    part: str
    ends: int
    targets: list[str]
    requests: list[str]
    first_age_s: float
    answered_age_s: float | None


class QuarantineChanged(NamedTuple):
    """The record of a quarantined part was replaced, or removed.

    :param part: id of the part.
    :param reason: ``convicted``, ``trial-due``, ``trial-given``, ``trial-failed``,
        ``trial-unsettled``, ``answered``, ``unused`` or ``operator``.
    :param trial: entry VM that may send one request; ``*`` for the first that asks.
    :param targets: number of targets that ended under the part.
    :param failed: number of failed trials.
    :param next_s: seconds until the next trial.
    :param failure: type of the failure if the change was not committed; else empty.
    """

    part: str
    reason: str
    trial: str
    targets: int
    failed: int
    next_s: float
    failure: str
