"""Permits of this VM for requests to targets that name a limit."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from vanillabeam.decisions import PermitDenied, log_record
from vanillabeam.fleet import Target
from vanillabeam.fleet.permits import (
    SHARE_WINDOW_S,
    Granted,
    PermitAsk,
    RecentGrants,
)
from vanillabeam.fleet.ratelimits import RateLimits
from vanillabeam.forwarding.choosing.ratelines import (
    Claim,
    Permit,
    RateLine,
    count_before,
)
from vanillabeam.notices import Incarnation, LeftOut, Reason

__all__ = ["PermitCall", "RateGate"]


class PermitCall(Protocol):
    """Asks the control VM that grants a target's permits."""

    async def __call__(self, target: Target, ask: PermitAsk) -> Granted | None:
        """Return its answer; ``None`` if no control VM answers."""


class RateGate:
    """Gives requests their permits, and tells which targets have none at present.

    :param vm: name of this VM.
    :param limits: what this VM knows of targets' limits.
    :param rng: seeded; spreads the first requests while no control VM answers.
    :ivar ask: asks a granter; until it is set, this VM keeps to its share.
    :ivar entry_count: returns the number of entry VMs that share a limit.

    >>> gate = RateGate("vm-1", RateLimits(), random.Random(1))
    >>> permit = await gate.take(target, Claim(0, "shop", began_s=1.0))
    >>> gate.may_send(permit, now_s=1.1)
    True
    """

    def __init__(self, vm: str, limits: RateLimits, rng: random.Random):
        self.limits = limits
        self.ask: PermitCall | None = None
        self.entry_count: Callable[[], int] = lambda: 1
        self._vm = vm
        self._rng = rng
        self._lines: dict[Incarnation, RateLine] = {}
        self._locks: dict[Incarnation, trio.Lock] = {}
        #: Permits that this VM has had, by service.
        self._grants: defaultdict[str, RecentGrants] = defaultdict(RecentGrants)
        #: Requests that wait, by service.
        self._waiting: dict[str, list[Claim]] = {}

    def is_limited(self, target: Target, now_s: float) -> bool:
        """Return whether a request to a target needs a permit."""
        return self.limits.rate_s(target.incarnation, now_s) is not None

    def left_out(self, target: Target, now_s: float) -> LeftOut | None:
        """Return until when a target has no permit left; ``None`` if it may have."""
        line = self._lines.get(target.incarnation)
        if line is None or not self.is_limited(target, now_s):
            return None
        if line.may_ask(now_s):
            return None
        return LeftOut(Reason.LIMITED, now_s - line.denied_s, line.left_s(now_s))

    def may_send(self, permit: Permit, now_s: float) -> bool:
        """Return whether a request may be sent, just before its first byte."""
        if self.limits.rate_s(permit.incarnation, now_s) is None:
            return True
        return now_s < permit.until_s

    async def take(
        self, target: Target, claim: Claim, request_id: str = ""
    ) -> Permit | None:
        """Return a permit for one request; ``None`` if there is none now.

        What is got goes to the claim whose turn it is.
        """
        incarnation = target.incarnation
        if not self.is_limited(target, trio.current_time()):
            return Permit(incarnation)
        line = self._lines.setdefault(incarnation, RateLine(incarnation))
        lock = self._locks.setdefault(incarnation, trio.Lock())
        claim.permit = None
        line.claims.append(claim)
        try:
            # Requests that wait for the same moment are compared with each other.
            await trio.lowlevel.checkpoint()
            async with lock:
                return await self._ask_until_decided(target, line, claim, request_id)
        finally:
            if claim in line.claims:
                line.claims.remove(claim)

    async def _ask_until_decided(
        self, target: Target, line: RateLine, claim: Claim, request_id: str
    ) -> Permit | None:
        while claim.permit is None:
            sent_s = trio.current_time()
            rate_s = self.limits.rate_s(target.incarnation, sent_s)
            if rate_s is None:
                return Permit(target.incarnation)
            if not line.may_ask(sent_s):
                return None
            first = line.first(sent_s)
            granter, reply = await self._ask(target, line, first, rate_s, sent_s)
            now_s = trio.current_time()
            if not reply["granted"]:
                line.record_denial(first, reply, now_s)
                log_record(
                    PermitDenied(
                        request_id,
                        target.name,
                        target.born_ms,
                        round(rate_s, 3),
                        round(reply["wait_s"], 3),
                        reply["queued"],
                        reply["rivals"],
                        granter,
                    )
                )
                return None
            # The one that it was asked for may have been given up meanwhile.
            receiver = first if first in line.claims else claim
            line.record_grant(receiver, sent_s, granter, now_s)
            self._grants[target.service].record(receiver.workspace, now_s)
            line.claims.remove(receiver)
        return claim.permit

    async def _ask(
        self,
        target: Target,
        line: RateLine,
        claim: Claim,
        rate_s: float,
        now_s: float,
    ) -> Granted:
        ask = PermitAsk(
            vm=self._vm,
            target=target.name,
            born_ms=target.born_ms,
            rate_s=rate_s,
            rank=claim.rank,
            workspace=claim.workspace,
            waited_s=round(now_s - claim.began_s, 4),
            patience_s=round(claim.patience_s(now_s), 4),
            previous=line.granter if now_s - line.granted_s < SHARE_WINDOW_S else "",
        )
        granted = await self.ask(target, ask) if self.ask is not None else None
        if granted is not None:
            line.end_shares()
            return granted
        entries, offset = self.entry_count(), self._rng.random()
        now_s = trio.current_time()
        return Granted("", line.take_share(rate_s, entries, offset, now_s))

    def enter(self, service: str, claim: Claim, ends_s: float) -> None:
        """Record that a request waits for any target of a service.

        :param ends_s: monotonic time until which it does.
        """
        claim.ends_s = ends_s
        waiting = self._waiting.setdefault(service, [])
        if claim not in waiting:
            waiting.append(claim)

    def leave(self, service: str, claim: Claim) -> None:
        """Record that a request no longer waits."""
        claim.ends_s = claim.turn_s = float("-inf")
        waiting = self._waiting.get(service, [])
        if claim in waiting:
            waiting.remove(claim)

    def urge(self, claim: Claim, targets: Iterable[Target]) -> bool:
        """Let a claim ask before the turn of a less urgent one of this VM.

        :returns: whether it may, at some of the targets.
        """
        lines = [self._lines.get(target.incarnation) for target in targets]
        urged = [line.urge(claim) for line in lines if line is not None]
        return any(urged)

    def queue_s(
        self,
        service: str,
        claim: Claim | None,
        targets: Iterable[Target],
        now_s: float,
    ) -> float:
        """Return the seconds that the requests before a claim will take.

        :param claim: of a request; ``None`` stands for the next one that comes.
        :param targets: targets of the service that might take it.
        """
        waiting = self._waiting.get(service, [])
        before = len(waiting)
        if claim is not None:
            before = count_before(claim, waiting, self._grants[service], now_s)
        if not before:
            return 0.0
        total_s = sum(self._own_rate_s(target, now_s) for target in targets)
        return before / total_s if total_s else 0.0

    def _own_rate_s(self, target: Target, now_s: float) -> float:
        """Return the part of a target's rate that this VM can count on."""
        rate_s = self.limits.rate_s(target.incarnation, now_s)
        line = self._lines.get(target.incarnation)
        if rate_s is None or line is None:
            return rate_s or 0.0
        return rate_s / (1 + line.rivals)

    def used(self, now_s: float) -> dict[Incarnation, int]:
        """Return the permits that this VM has had in the last seconds, by target."""
        return {each: line.grants.total(now_s) for each, line in self._lines.items()}

    def keep_only(self, incarnations: set[Incarnation], now_s: float) -> None:
        """Forget the lines of all other targets, and of those without a limit."""
        self.limits.expire(now_s)
        for incarnation, line in list(self._lines.items()):
            is_limited = self.limits.rate_s(incarnation, now_s) is not None
            if line.claims or (incarnation in incarnations and is_limited):
                continue
            del self._lines[incarnation], self._locks[incarnation]
