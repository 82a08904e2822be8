"""Requests of this VM that want a permit for one target: a functional core."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from vanillabeam.fleet.permits import PermitReply, RecentGrants
from vanillabeam.notices import Incarnation

__all__ = ["Claim", "Permit", "RateLine", "count_before"]

#: Seconds from the ask within which a permit must be used.
PERMIT_S = 0.5
#: Shortest time after a denial in which nobody asks again.
MIN_WAIT_S = 0.01
#: The same where this VM has no place among those that wait: seconds, or a share of the
#: time until the turn, as others may give up theirs.
RECHECK_S = 0.3
RECHECK_SHARE = 0.25


class Permit(NamedTuple):
    """Right to send one request to a target.

    :param until_s: monotonic time at which it lapses; minus infinity if the target
        had no limit, so that it is worth nothing once there is one.
    """

    incarnation: Incarnation
    until_s: float = float("-inf")


class Claim:
    """A request that wants to be sent to targets with limits.

    :param rank: urgency, 0 is the most urgent.
    :param began_s: monotonic time at which it came.
    :ivar ends_s: monotonic time until which it waits, as no other target can take it;
        minus infinity if it doesn't wait.
    :ivar turn_s: monotonic time of the turn that it waits for at some target.
    :ivar permit: a permit that another request has got for it.
    """

    def __init__(self, rank: int, workspace: str, began_s: float):
        self.rank = rank
        self.workspace = workspace
        self.began_s = began_s
        self.ends_s = float("-inf")
        self.turn_s = float("-inf")
        self.permit: Permit | None = None

    def patience_s(self, now_s: float) -> float:
        """Return the seconds for which it would wait for one more target.

        It has one place at a time: what is kept elsewhere would be lost.
        """
        return 0.0 if now_s < self.turn_s else max(0.0, self.ends_s - now_s)

    def key(self, grants: RecentGrants, now_s: float) -> tuple[int, int, float]:
        """Return the place in the order of claims; the smallest is the first."""
        return (self.rank, grants.count(self.workspace, now_s), self.began_s)


class RateLine:
    """Claims of this VM to one target, and what was last heard of its permits.

    :param incarnation: the target.
    :ivar until_s: monotonic time until which this VM doesn't ask.
    :ivar turn_s: monotonic time of the turn of the last request that asked.
    :ivar queued: that request, if this VM has a place among those that wait.
    :ivar denied_s: monotonic time at which this was heard.
    :ivar rivals: other VMs that wait.
    :ivar grants: permits that this VM has had.
    :ivar granter: address of the control VM that gave the last permit.
    :ivar granted_s: monotonic time of the last permit.

    >>> line = RateLine(("t-1", 1))
    >>> line.record_denial(claim, reply, now_s=10.0)
    >>> line.may_ask(10.1)
    False
    """

    def __init__(self, incarnation: Incarnation):
        self.incarnation = incarnation
        self.claims: list[Claim] = []
        self.until_s = float("-inf")
        self.turn_s = float("-inf")
        self.queued: Claim | None = None
        self.denied_s = float("-inf")
        self.rivals = 0
        self.grants = RecentGrants()
        self.granter = ""
        self.granted_s = float("-inf")
        self._share_s: float | None = None

    def first(self, now_s: float) -> Claim:
        """Return the claim whose turn it is."""
        return min(self.claims, key=lambda claim: claim.key(self.grants, now_s))

    def may_ask(self, now_s: float) -> bool:
        """Return whether there may be a permit for this VM."""
        return now_s >= self.until_s

    def left_s(self, now_s: float) -> float:
        """Return the seconds until a request that asks now has its turn."""
        return max(0.0, round(max(self.turn_s, self.until_s) - now_s, 6))

    def record_denial(self, claim: Claim, reply: PermitReply, now_s: float) -> None:
        """Record that there is no permit for some time."""
        self.denied_s, self.rivals = now_s, reply["rivals"]
        wait_s = max(MIN_WAIT_S, reply["wait_s"])
        self.turn_s = now_s + wait_s
        if reply["queued"]:
            self.queued, self.until_s = claim, self.turn_s
            claim.turn_s = self.turn_s
            return
        pause_s = wait_s
        if self.rivals:
            pause_s = min(wait_s, max(RECHECK_S, RECHECK_SHARE * wait_s))
        self.queued, self.until_s = None, now_s + pause_s

    def urge(self, claim: Claim) -> bool:
        """Let a claim ask if it is more urgent than the one that has a place.

        :returns: whether it may ask before the turn of that one.
        """
        if self.queued is None or self.queued.rank <= claim.rank:
            return False
        self.queued, self.until_s = None, float("-inf")
        return True

    def record_grant(
        self, claim: Claim, sent_s: float, granter: str, now_s: float
    ) -> None:
        """Give a claim its permit.

        :param sent_s: monotonic time at which it was asked for.
        """
        self.queued = None
        claim.permit = Permit(self.incarnation, sent_s + PERMIT_S)
        self.grants.record(claim.workspace, now_s)
        self.granter, self.granted_s = granter, now_s

    def take_share(
        self, rate_s: float, entries: int, offset: float, now_s: float
    ) -> PermitReply:
        """Answer in place of a granter, while none replies, by an equal share.

        :param offset: random number below 1 that spreads the first requests of VMs.
        """
        interval_s = max(1, entries) / rate_s
        if self._share_s is None:
            self._share_s = now_s + interval_s * offset
        wait_s = max(0.0, self._share_s - now_s)
        if not wait_s:
            self._share_s = now_s + interval_s
        return PermitReply(
            granted=not wait_s, wait_s=wait_s, queued=True, rivals=entries - 1
        )

    def end_shares(self) -> None:
        """Record that a granter replies again."""
        self._share_s = None


def count_before(
    claim: Claim, waiting: Sequence[Claim], grants: RecentGrants, now_s: float
) -> int:
    """Return the number of waiting claims whose turn comes before another one.

    Workspaces take turns: one that has had less lately goes first.

    :param grants: permits that this VM has had.
    """
    urgent = sum(other.rank < claim.rank for other in waiting)
    equal = Counter(
        other.workspace
        for other in waiting
        if other.rank == claim.rank
        and (other.workspace != claim.workspace or other.began_s < claim.began_s)
    )
    own = equal.pop(claim.workspace, 0)
    turns = grants.count(claim.workspace, now_s) + own + 1
    others = sum(
        min(count, max(0, turns - grants.count(workspace, now_s)))
        for workspace, count in equal.items()
    )
    return urgent + own + others
