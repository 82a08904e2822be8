"""Wait of one request for a place at the targets of its service."""

import trio

from vanillabeam.decisions import RequestWaits, WaitEnded, WaitRefused, log_record
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.lines import ServiceLine
from vanillabeam.forwarding.exceptions import MIN_RETRY_AFTER_S, TooLate
from vanillabeam.forwarding.resources import Resources
from vanillabeam.waiting import Claim

__all__ = ["PlaceWait"]

#: Time for which a prompt that fits nowhere holds back those behind it, as a multiple
#: of the route's latency objective.
HOLD_OBJECTIVES = 0.6
#: The same on a route without an objective, as a share of the request's time limit.
HOLD_LIMIT_SHARE = 0.1
#: Tokens of the answer in the size of a prompt, as in ``docs/design/admission.md``.
ANSWER_TOKENS = 256


class PlaceWait:
    """A request's place in the line of its service.

    :ivar failure: why the request was refused, if it was.
    """

    def __init__(self, request: AdmittedRequest, resources: Resources, service: str):
        self.failure: TooLate | None = None
        self._request = request
        self._resources = resources
        self._service = service
        self._claim: Claim | None = None
        self._began_s: float | None = None

    @property
    def _line(self) -> ServiceLine:
        return self._resources.chooser.lines.line(self._service)

    def may_try(self, now_s: float) -> bool:
        """Return whether no other request goes before this one."""
        line = self._line.line
        if self._claim is not None and self._claim in line:
            return line.next(now_s) is self._claim
        return not len(line)

    async def wait(
        self, costs: PromptCosts | None, is_resumed: bool, earliest_s: float | None
    ) -> bool:
        """Wait in line until it is the request's turn.

        :param costs: costs of a prompt; ``None`` for a plain call.
        :param is_resumed: whether a part of an answer was passed on.
        :param earliest_s: monotonic time before which no target is expected to have a
            place; ``None`` if the request wasn't tried yet.
        :returns: whether it is; ``False`` if it can't get a place in time.
        """
        now_s = trio.current_time()
        line = self._line
        self._resources.chooser.lines.apply(self._resources.follower.view.deployment)
        if self._claim is None:
            self._claim = self._make_claim(costs, is_resumed)
        claim = self._claim
        if claim not in line.line:
            line.line.enter(claim, now_s)
        if earliest_s is not None:
            claim.earliest_s = earliest_s
            line.line.record_no_fit(claim, now_s)
            line.wake_next(now_s)
        place, length = line.line.place(claim), len(line.line)
        expected_s = line.line.expected_s(claim, now_s)
        is_new, self._began_s = self._began_s is None, self._began_s or now_s
        if is_new and line.line.next(now_s) is not claim:
            self._log_begin(place, length, expected_s)
        retry_s = await line.sleep(claim, now_s)
        if retry_s is None:
            return True
        self._refuse(place, length, expected_s, retry_s)
        return False

    def record_served(self, now_s: float) -> None:
        """Record that the request is sent to a target."""
        line = self._line
        line.line.record_served(self._claim, now_s)
        line.wake_next(now_s)
        self._log_end("sent", now_s)

    def leave(self) -> None:
        """Leave the line without a place, if the request is in it."""
        claim, self._claim = self._claim, None
        if claim is not None and claim in self._line.line:
            now_s = trio.current_time()
            self._line.leave(claim, now_s)
            self._log_end("left", now_s)

    def _make_claim(self, costs: PromptCosts | None, is_resumed: bool) -> Claim:
        request = self._request
        limit_s = request.ends_s - request.began_s
        route, workspace = request.route, request.workspace
        hold_s = HOLD_OBJECTIVES * route.objective_s or HOLD_LIMIT_SHARE * limit_s
        claim = Claim(
            request.rank,
            workspace.name if workspace else "",
            request.began_s,
            request.ends_s,
            _size(costs),
            workspace.weight if workspace else 1.0,
            is_resumed or _is_returning(request),
            hold_s,
            route.name,
        )
        claim.needed_s = route.objective_s
        claim.needed_s = self._line.needed_s(claim)
        return claim

    def _log_begin(self, place: int, length: int, expected_s: float) -> None:
        claim = self._claim
        log_record(
            RequestWaits(
                self._request.metadata.request_id,
                self._service,
                claim.workspace,
                claim.rank,
                place,
                length,
                round(expected_s, 3),
                round(claim.latest_s - trio.current_time(), 3),
                claim.is_returning,
            )
        )

    def _log_end(self, outcome: str, now_s: float) -> None:
        if self._began_s is None:
            return
        self._resources.counters.waits.labels(self._service, outcome).inc()
        waited_s = round(now_s - self._began_s, 4)
        request_id = self._request.metadata.request_id
        length = len(self._line.line)
        log_record(WaitEnded(request_id, self._service, outcome, waited_s, length))
        self._began_s = None

    def _refuse(
        self, place: int, length: int, expected_s: float, retry_s: float
    ) -> None:
        now_s = trio.current_time()
        left_s = self._claim.latest_s - now_s
        self._resources.counters.waits.labels(self._service, "refused").inc()
        log_record(
            WaitRefused(
                self._request.metadata.request_id,
                self._service,
                self._claim.workspace,
                self._claim.rank,
                place,
                length,
                round(expected_s, 3),
                round(left_s, 3),
                round(now_s - self._began_s, 4),
                round(retry_s, 3),
            )
        )
        self._began_s = None
        detail = f"place {place + 1} of {length}, {max(0.0, left_s):.2f} s left"
        self.failure = TooLate(f"{self._service}: {detail}", retry_s)


def _size(costs: PromptCosts | None) -> float:
    if costs is None:
        return 1.0
    return costs.unique_tokens + costs.unstored_tokens + ANSWER_TOKENS


def _is_returning(request: AdmittedRequest) -> bool:
    """Return whether the caller seems to have been refused before.

    Its time limit is then shorter than the route's by at least one Retry-After.
    """
    budget_s = request.metadata.budget_s
    if budget_s is None:
        return False
    return budget_s <= request.route.timeout_s - MIN_RETRY_AFTER_S
