"""Logging of changes to the recorded state of targets."""

from vanillabeam.decisions import TargetChanged, log_record
from vanillabeam.fleet.records import Target

__all__ = ["log_target"]


def log_target(target: Target, age_s: float) -> None:
    """Log a target's changed announcement.

    :param age_s: age of the announcement in seconds.
    """
    log_record(
        TargetChanged(
            target.name,
            target.service,
            target.address,
            target.born_ms,
            target.sequence,
            target.draining,
            target.cold_ms,
            age_s,
            target.software,
        )
    )
