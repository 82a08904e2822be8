"""Targets that have been absent for too long."""

import trio

from vanillabeam.decisions import TargetSilent, log_record
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.observed import ObservedVersions

__all__ = ["drop_silent"]


async def drop_silent(
    directory: Directory, observed: ObservedVersions, silence_s: float
) -> None:
    """Drop targets that have not announced themselves for a time, until cancelled."""
    while True:
        await trio.sleep(silence_s / 4)
        limit_s = trio.current_time() - silence_s
        for incarnation in directory.silent_since(limit_s):
            log_record(TargetSilent(*incarnation))
            directory.forget(incarnation[0])
        observed.forget_outdated()
