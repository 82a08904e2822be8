"""Log lines of what is believed of targets."""

from vanillabeam.decisions import TargetChanged, note
from vanillabeam.fleet.records import Target

__all__ = ["log_target"]


def log_target(target: Target, age_s: float) -> None:
    """Log what a target newly says of itself.

    :param age_s: how long ago it said so, in seconds.
    """
    note(
        TargetChanged(
            target.name,
            target.service,
            target.address,
            target.born_ms,
            target.sequence,
            target.draining,
            target.cold_ms,
            age_s,
        )
    )
