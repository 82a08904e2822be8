"""Task of a control VM that keeps the quarantined parts of prompts."""

import time
from collections.abc import Awaitable, Callable
from typing import TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.decisions import PartConvicted, QuarantineChanged, log_record
from vanillabeam.exceptions import UnknownPart, VanillabeamError
from vanillabeam.fleet.evidence import Evidence
from vanillabeam.fleet.keeper import Change, QuarantineKeeper, Reason
from vanillabeam.fleet.machine import Command, FleetMachine, make_quarantine_change
from vanillabeam.fleet.quarantine import Quarantine, QuarantinedPart
from vanillabeam.fleet.suspects import Conviction
from vanillabeam.log import Applied, LogNode
from vanillabeam.log.exceptions import LogError

__all__ = ["QuarantineReply", "QuarantineRequest", "QuarantineTask"]

PERIOD_S = 0.1
#: Targets and requests of a conviction in a log line.
MAX_LOGGED_EVIDENCE = 8


class QuarantineRequest(TypedDict):
    """An operator's question about the quarantined parts.

    :param release: part whose quarantine is ended first; empty for none.
    """

    release: str


class QuarantineReply(TypedDict):
    """The quarantined parts.

    :param accused: parts that are not quarantined, with the number of targets that
        ended under them one after the other; empty but on the leader.
    """

    quarantine: Quarantine
    accused: dict[str, int]


class QuarantineTask:
    """Decides on quarantined parts while its VM leads the fleet log.

    :param propose: commits a command to the fleet log.
    :param active_entries: returns the entry VMs in touch at a monotonic time.
    """

    def __init__(
        self,
        node: LogNode,
        machine: FleetMachine,
        propose: Callable[[Command], Awaitable[Result[Applied, LogError]]],
        active_entries: Callable[[float], list[str]],
    ):
        self._node = node
        self._machine = machine
        self._propose = propose
        self._active_entries = active_entries
        self._keeper = QuarantineKeeper()

    def update(self, vm: str, evidence: Evidence, now_s: float) -> None:
        """Record the observations of an entry VM."""
        self._keeper.update(vm, evidence, now_s)

    def accused(self, now_s: float) -> dict[str, int]:
        """Return the parts that entry VMs are asked about."""
        return self._keeper.suspects.accused(now_s)

    async def handle(self, body: bytes) -> Result[bytes, VanillabeamError]:
        """Answer an operator; a release is committed first."""
        request = wire.decode(QuarantineRequest, body)
        if isinstance(request, Failure):
            return request
        part = request.unwrap()["release"]
        confirmed = await self._node.read()
        if isinstance(confirmed, Failure):
            return confirmed
        if part and part not in self._now:
            return Failure(UnknownPart(part))
        if part:
            released = await self._commit(Change(part, Reason.OPERATOR, None, None))
            if isinstance(released, Failure):
                return released
            confirmed = await self._node.read()
            if isinstance(confirmed, Failure):
                return confirmed
        now_s = trio.current_time()
        accused = self.accused(now_s) if self._node.is_leader else {}
        return Success(
            wire.encode(QuarantineReply(quarantine=self._now, accused=accused))
        )

    @property
    def _now(self) -> Quarantine:
        return self._machine.state.get("quarantine", {})

    async def run(self) -> None:
        """Decide until cancelled."""
        while True:
            await trio.sleep(PERIOD_S)
            now_s, now_ms = trio.current_time(), 1000 * time.time()
            if not self._node.is_leader:
                self._keeper.observe(self._now, now_s, now_ms)
                continue
            if self._keeper.is_idle(self._now):
                continue
            entries = self._active_entries(now_s)
            change = self._keeper.decide(self._now, entries, now_s, now_ms)
            if change is not None:
                await self._commit(change)

    async def _commit(self, change: Change) -> Result[Applied, LogError]:
        if change.conviction is not None:
            log_record(_describe_conviction(change.conviction))
        command = make_quarantine_change(change.part, change.basis, change.record)
        proposed = await self._propose(command)
        failure = proposed.failure().type if isinstance(proposed, Failure) else ""
        log_record(_describe_change(change, failure))
        return proposed


def _describe_conviction(conviction: Conviction) -> PartConvicted:
    answered_s = conviction.answered_age_s
    return PartConvicted(
        conviction.part,
        conviction.ends,
        list(conviction.targets[-MAX_LOGGED_EVIDENCE:]),
        list(conviction.requests[-MAX_LOGGED_EVIDENCE:]),
        round(conviction.first_age_s, 3),
        None if answered_s is None else round(answered_s, 3),
    )


def _describe_change(change: Change, failure: str) -> QuarantineChanged:
    record = change.record or QuarantinedPart(
        number=0,
        since_ms=0,
        targets=0,
        was_answered=False,
        failed=0,
        trial="",
        next_ms=0,
    )
    next_s = max(0.0, record["next_ms"] / 1000 - time.time())
    return QuarantineChanged(
        change.part,
        change.reason,
        record["trial"],
        record["targets"],
        record["failed"],
        round(next_s, 1),
        failure,
    )
