"""Lines of requests of this VM that wait for places, by service."""

from collections.abc import Callable

import trio

from vanillabeam.counters import Counters
from vanillabeam.fleet import Deployment
from vanillabeam.forwarding.admitted import rank_of
from vanillabeam.waiting import CallWindow, Claim, WaitingLine

__all__ = ["POLL_INTERVAL_S", "ServiceLine", "ServiceLines"]

#: Interval at which the first request is tried again without news: expected waits fall
#: as time passes, and targets recover.
POLL_INTERVAL_S = 0.1
#: Interval of the checks of all requests, which take time by their number:
#: 0.7 ms for 300, on one core of the build machine.
SWEEP_INTERVAL_S = 0.1
#: Longest time that another request sleeps without news.
MAX_SLEEP_S = 1.0
#: Weight of one request in the moving average of the seconds to a whole answer.
TOOK_SMOOTHING = 0.1
#: Margin on that mean: a request that is sent with just the mean left is late half of
#: the time, and its work is lost.
TOOK_FACTOR = 1.1


class ServiceLine:
    """The line of one service, with the tasks that wait in it.

    :ivar line: decides whose turn it is.
    :ivar window: limits the open plain calls while targets refuse some.
    """

    def __init__(self):
        self.line = WaitingLine()
        self.window = CallWindow()
        self._events: dict[Claim, trio.Event] = {}
        self._refusals: dict[Claim, float] = {}
        #: The request that is tried without news; the first one when it last looked.
        self._poller: Claim | None = None
        self._changed_s = float("-inf")
        self._swept_s = float("-inf")
        #: Seconds from sending a request to its whole answer, by route: their mean and
        #: their mean deviation from it.
        self._took_s: dict[str, tuple[float, float]] = {}

    def record_took(self, route: str, took_s: float) -> None:
        """Record the seconds from sending a request to its whole answer."""
        mean_s, deviation_s = self._took_s.get(route, (took_s, 0.0))
        error_s = took_s - mean_s
        self._took_s[route] = (
            mean_s + TOOK_SMOOTHING * error_s,
            deviation_s + TOOK_SMOOTHING * (abs(error_s) - deviation_s),
        )

    def needed_s(self, claim: Claim) -> float:
        """Return the seconds within which most answers to a route are whole.

        :returns: what the claim has already, if it is unknown.
        """
        if claim.route not in self._took_s:
            return claim.needed_s
        mean_s, deviation_s = self._took_s[claim.route]
        return TOOK_FACTOR * mean_s + deviation_s

    def record_change(self, now_s: float) -> None:
        """Record that places may have become free; wake the first request."""
        if len(self.line):
            self._changed_s = now_s
            self.line.record_change()
            self.wake_next(now_s)

    def wake_next(self, now_s: float) -> None:
        """Wake the request whose turn it is, and the first one unless it polls."""
        self._wake(self.line.next(now_s))
        first = self.line.first()
        if first is not self._poller:
            self._wake(first)

    async def sleep(self, claim: Claim, now_s: float) -> float | None:
        """Wait until it is a claim's turn.

        :returns: ``None`` at its turn; the seconds after which its caller should
            return if it can't get a place in time.
        """
        while True:
            self._refuse_hopeless(claim, now_s)
            if claim in self._refusals:
                return self._refusals.pop(claim)
            if self.line.next(now_s) is claim:
                return None
            is_first = self.line.first() is claim
            if is_first:
                self._poller = claim
            else:
                # The order also changes by claims that enter: another one may be first.
                if self._poller is claim:
                    self._poller = None
                self.wake_next(now_s)
            interval_s = POLL_INTERVAL_S if is_first else MAX_SLEEP_S
            event = self._events[claim] = trio.Event()
            try:
                with trio.move_on_at(min(claim.latest_s, now_s + interval_s)):
                    await event.wait()
            finally:
                self._events.pop(claim, None)
            now_s = trio.current_time()
            if is_first and now_s >= self._changed_s + POLL_INTERVAL_S:
                self.record_change(now_s)

    def leave(self, claim: Claim, now_s: float) -> None:
        """Remove a claim that got no place."""
        self._refusals.pop(claim, None)
        self.line.leave(claim)
        self.wake_next(now_s)

    def _refuse_hopeless(self, claim: Claim, now_s: float) -> None:
        """Refuse the claim, and now and then all, if they can't be served in time.

        The turn of a refused claim passes to the next one.
        """
        length = len(self.line)
        if now_s >= self._swept_s + SWEEP_INTERVAL_S:
            self._swept_s = now_s
            self.line.set_needed(self.needed_s)
            for other in self.line.hopeless(now_s):
                self._refuse(other, now_s)
        if claim in self.line:
            self._refuse(claim, now_s)
        if len(self.line) < length:
            self.wake_next(now_s)

    def _refuse(self, claim: Claim, now_s: float) -> None:
        retry_s = self.line.refusal(claim, now_s)
        if retry_s is not None:
            self._refusals[claim] = retry_s
            self.line.leave(claim)
            self._wake(claim)

    def _wake(self, claim: Claim | None) -> None:
        event = self._events.get(claim)
        if event is not None:
            event.set()


class ServiceLines:
    """Lines of all services of an entry VM."""

    def __init__(self):
        self._lines: dict[str, ServiceLine] = {}
        self._deployment: Deployment | None = None

    def line(self, service: str) -> ServiceLine:
        """Return the line of a service."""
        return self._lines.setdefault(service, ServiceLine())

    def record_change(self, service: str, now_s: float) -> None:
        """Record that places of a service may have become free."""
        self.line(service).record_change(now_s)

    def record_report(self, now_s: float) -> None:
        """Record that the load of other VMs has arrived."""
        for line in self._lines.values():
            line.record_change(now_s)

    def apply(self, deployment: Deployment) -> None:
        """Apply the priorities and weights in force to the requests that wait."""
        if deployment is self._deployment:
            return
        self._deployment = deployment
        rank, weight = _rank_lookup(deployment), _weight_lookup(deployment)
        for line in self._lines.values():
            line.line.reorder(rank, weight)

    def add_metrics(self, counters: Counters) -> None:
        """Add the length and the oldest age of each line to the metrics of a VM."""
        help_text = "Requests that wait for a place."
        counters.add_gauges("waiting_requests", help_text, ("service",), self.lengths)
        counters.add_gauges(
            "waiting_oldest_seconds",
            "Age of the oldest request that waits for a place.",
            ("service",),
            lambda: self.oldest_s(trio.current_time()),
        )

    def lengths(self) -> dict[tuple[str], float]:
        """Return the number of waiting requests by service."""
        return {(name,): float(len(each.line)) for name, each in self._lines.items()}

    def oldest_s(self, now_s: float) -> dict[tuple[str], float]:
        """Return the age of the oldest waiting request by service."""
        return {
            (name,): each.line.oldest_s(now_s) for name, each in self._lines.items()
        }


def _rank_lookup(deployment: Deployment) -> Callable[[Claim], int]:
    routes = {route.name: route for route in deployment.routes}
    workspaces = {workspace.name: workspace for workspace in deployment.workspaces}

    def rank(claim: Claim) -> int:
        """Return the rank now; that of a removed route stays."""
        route = routes.get(claim.route)
        return rank_of(route, workspaces.get(claim.workspace)) if route else claim.rank

    return rank


def _weight_lookup(deployment: Deployment) -> Callable[[str], float]:
    weights = {workspace.name: workspace.weight for workspace in deployment.workspaces}
    return lambda name: weights.get(name, 1.0)
