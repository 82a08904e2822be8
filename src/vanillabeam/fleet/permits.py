"""Permits for requests to targets that name a limit: a functional core.

One control VM grants all permits of a target, each for one request. It counts tokens
that come at the target's rate, so what all entry VMs together send is exact, however
many they are. An ask that gets none is told when its turn comes. A VM whose request
would wait as long has a place until then, in order of urgency, of what its workspace
has had, and of age.
"""

from collections import Counter, deque
from typing import NamedTuple, TypedDict

__all__ = [
    "PERMIT_PATH",
    "Granted",
    "PermitAsk",
    "PermitGranter",
    "PermitReply",
    "RecentGrants",
]

PERMIT_PATH = "/peer/fleet/permits"
#: Tokens that may be saved up beyond one, so that uneven arrivals use all of a rate:
#: seconds of it, or a number of requests if that is more.
SAVED_S = 0.5
SAVED_REQUESTS = 1.0
#: Seconds of its rate that a granter holds back at first if another one granted just
#: before: the VMs don't change to it at the same moment.
HANDOVER_S = 1.0
#: Seconds after the time that a waiting VM was told within which it comes back.
RETURN_SLACK_S = 0.15
#: Seconds within which the grants to workspaces are compared.
SHARE_WINDOW_S = 4.0
#: Seconds without an ask after which a target is forgotten.
IDLE_S = 30.0

#: Name of a target and what identifies its start.
Incarnation = tuple[str, int]


class PermitAsk(TypedDict):
    """Ask of an entry VM for one request to a target.

    :param rate_s: the target's requests a second, as the entry VM believes.
    :param rank: urgency of the request, 0 is the most urgent.
    :param workspace: the caller's; empty on a route that needs no key.
    :param waited_s: seconds since the request came.
    :param patience_s: seconds for which it would wait for this target; 0 if it goes
        elsewhere.
    :param previous: address of the granter of this VM's last permits; empty if it has
        had none lately.
    """

    vm: str
    target: str
    born_ms: int
    rate_s: float
    rank: int
    workspace: str
    waited_s: float
    patience_s: float
    previous: str


class PermitReply(TypedDict):
    """Answer to an ask.

    :param wait_s: seconds until the turn of the request that asked, without a permit.
    :param queued: whether its VM has a place among those that wait: it is to ask again
        at that time.
    :param rivals: other VMs that wait.
    """

    granted: bool
    wait_s: float
    queued: bool
    rivals: int


class Granted(NamedTuple):
    """Answer of a granter, and its address; empty for this VM's own share."""

    granter: str
    reply: PermitReply


class RecentGrants:
    """Permits of the last seconds by workspace.

    >>> grants = RecentGrants()
    >>> grants.record("shop", now_s=1.0)
    >>> grants.count("shop", now_s=2.0)
    1
    """

    def __init__(self):
        self._times: deque[tuple[float, str]] = deque()
        self._counts: Counter[str] = Counter()

    def record(self, workspace: str, now_s: float) -> None:
        """Count a permit."""
        self._times.append((now_s, workspace))
        self._counts[workspace] += 1

    def count(self, workspace: str, now_s: float) -> int:
        """Return the permits that a workspace has had lately."""
        self._expire(now_s)
        return self._counts[workspace]

    def total(self, now_s: float) -> int:
        """Return the permits that all workspaces have had lately."""
        self._expire(now_s)
        return len(self._times)

    def _expire(self, now_s: float) -> None:
        while self._times and self._times[0][0] <= now_s - SHARE_WINDOW_S:
            _, workspace = self._times.popleft()
            self._counts[workspace] -= 1
            if not self._counts[workspace]:
                del self._counts[workspace]


class _Waiter(NamedTuple):
    """A VM that waits, with its most urgent request.

    :param due_s: monotonic time at which it was told to ask again.
    """

    rank: int
    workspace: str
    since_s: float
    due_s: float


class _Bucket:
    """Tokens of one target and the VMs that wait for them."""

    def __init__(self, rate_s: float, now_s: float, has_moved: bool):
        self.tokens = -HANDOVER_S * rate_s if has_moved else 0.0
        self.rate_s = rate_s
        self.asked_s = now_s
        self.grants = RecentGrants()
        self.waiters: dict[str, _Waiter] = {}

    def refill(self, rate_s: float, now_s: float) -> None:
        """Add the tokens since the last ask, and drop VMs that did not come back."""
        came = max(0.0, now_s - self.asked_s) * self.rate_s
        self.rate_s, self.asked_s = rate_s, now_s
        saved = max(SAVED_REQUESTS, SAVED_S * rate_s)
        self.tokens = min(self.tokens + came, 1.0 + saved)
        for vm, waiter in list(self.waiters.items()):
            if waiter.due_s + RETURN_SLACK_S < now_s:
                del self.waiters[vm]

    def count_before(self, vm: str, ask: _Waiter, now_s: float) -> int:
        """Return the number of other VMs whose turn comes before an ask."""
        key = self._key(ask, now_s)
        others = [waiter for other, waiter in self.waiters.items() if other != vm]
        return sum(self._key(waiter, now_s) < key for waiter in others)

    def has_token(self, vm: str, rank: int) -> bool:
        """Return whether there is a token that no more urgent request waits for.

        Among requests of one rank the one that comes gets it: a VM asks again at its
        turn, and what is kept for one that doesn't come would be lost.
        """
        urgent = sum(
            other != vm and waiter.rank < rank for other, waiter in self.waiters.items()
        )
        return self.tokens >= 1.0 + urgent

    def _key(self, waiter: _Waiter, now_s: float) -> tuple[int, int, float]:
        used = self.grants.count(waiter.workspace, now_s)
        return (waiter.rank, used, waiter.since_s)


class PermitGranter:
    """Grants the permits of the targets that it is asked for.

    :param address: address of this VM, by which entry VMs know it.

    >>> granter = PermitGranter()
    >>> granter.grant(ask, rate_s=2.0, now_s=1.0)
    {'granted': False, 'wait_s': 0.5, 'queued': False, 'rivals': 0}
    """

    def __init__(self, address: str = ""):
        self._address = address
        self._buckets: dict[Incarnation, _Bucket] = {}

    def grant(self, ask: PermitAsk, rate_s: float | None, now_s: float) -> PermitReply:
        """Answer an ask.

        :param rate_s: the target's requests a second as this VM believes; ``None`` if
            it knows of no limit.
        """
        if rate_s is None:
            rate_s = ask["rate_s"]
        incarnation = (ask["target"], ask["born_ms"])
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            has_moved = ask["previous"] not in ("", self._address)
            bucket = _Bucket(rate_s, now_s, has_moved)
            self._buckets[incarnation] = bucket
        bucket.refill(rate_s, now_s)
        vm, since_s = ask["vm"], now_s - ask["waited_s"]
        waiter = _Waiter(ask["rank"], ask["workspace"], since_s, now_s)
        rivals = len(bucket.waiters.keys() - {vm})
        bucket.waiters.pop(vm, None)
        if bucket.has_token(vm, ask["rank"]):
            bucket.tokens -= 1.0
            bucket.grants.record(ask["workspace"], now_s)
            return PermitReply(granted=True, wait_s=0.0, queued=False, rivals=rivals)
        before = bucket.count_before(vm, waiter, now_s)
        wait_s = max(0.0, 1.0 + before - bucket.tokens) / rate_s
        queued = wait_s <= ask["patience_s"]
        if queued:
            bucket.waiters[vm] = waiter._replace(due_s=now_s + wait_s)
        return PermitReply(
            granted=False, wait_s=round(wait_s, 4), queued=queued, rivals=rivals
        )

    def granted(self, now_s: float) -> dict[Incarnation, int]:
        """Return the permits of the last seconds by target."""
        return {
            incarnation: bucket.grants.total(now_s)
            for incarnation, bucket in self._buckets.items()
        }

    def expire(self, now_s: float) -> None:
        """Forget targets that nobody has asked for lately."""
        for incarnation, bucket in list(self._buckets.items()):
            if now_s - bucket.asked_s > IDLE_S:
                del self._buckets[incarnation]
