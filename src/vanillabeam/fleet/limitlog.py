"""Logging of limits that targets name."""

from vanillabeam.decisions import TargetLimited, TargetUnlimited, log_record
from vanillabeam.fleet.ratelimits import RateChange

__all__ = ["log_limit"]


def log_limit(change: RateChange, request_id: str = "", source: str = "") -> None:
    """Log that a target's limit was first heard, has changed or has ended.

    :param request_id: the request whose answer said so.
    :param source: VM that told this one; empty if this VM had the answer itself.
    """
    age_s = round(change.age_s, 3)
    if change.has_ended:
        held_s = round(change.held_s, 3)
        line = TargetUnlimited(
            *change.incarnation, change.rate_s, held_s, request_id, source, age_s
        )
    else:
        line = TargetLimited(
            *change.incarnation,
            change.rate_s,
            change.before_rate_s,
            request_id,
            source,
            age_s,
        )
    log_record(line)
