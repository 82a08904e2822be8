"""Voters of the fleet log and targets that have been absent for too long."""

from collections.abc import Iterable

import trio

from vanillabeam.decisions import TargetSilent, log_record
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.observed import ObservedVersions
from vanillabeam.log.requests import MemberStatus

__all__ = ["VOTER_ABSENCE_S", "AbsentVoters", "drop_silent"]

#: Seconds of silence after which a voter is removed, if enough voters remain.
VOTER_ABSENCE_S = 8.0


class AbsentVoters:
    """Since when each voter is absent.

    :param kept: number of voters that are never fallen short of.

    >>> absent = AbsentVoters(kept=3)
    >>> absent.find(node.status()["members"], now_s=9.0)
    '10.0.0.4'
    """

    def __init__(self, kept: int):
        self._kept = kept
        self._since_s: dict[str, float] = {}

    def find(self, members: Iterable[MemberStatus], now_s: float) -> str | None:
        """Return the name of a voter to remove; ``None`` if there is none."""
        voters = [member for member in members if member["votes"]]
        silent = {voter["vm"] for voter in voters if voter["active"] is False}
        self._since_s = {vm: self._since_s.get(vm, now_s) for vm in sorted(silent)}
        if len(voters) - 1 < self._kept:
            return None
        for vm, since_s in self._since_s.items():
            if now_s - since_s >= VOTER_ABSENCE_S:
                return vm
        return None


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
