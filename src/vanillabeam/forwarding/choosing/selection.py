"""Selection of the next target of one request, with the waits for one."""

from typing import NamedTuple

import trio

from vanillabeam.decisions import TargetChosen, log_record
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.choice import Choice
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.ratelines import Claim, Permit
from vanillabeam.forwarding.choosing.requestcosts import estimate_request_costs
from vanillabeam.forwarding.exceptions import (
    NoTarget,
    TargetsLimited,
    TargetsPaused,
    TooLate,
)
from vanillabeam.forwarding.judging.passage import Passage
from vanillabeam.forwarding.resources import Resources
from vanillabeam.notices import Reason

__all__ = ["Selected", "Selection"]

#: Longest time that a prompt waits for a target with enough free memory, as a
#: multiple of the route's latency objective.
MEMORY_WAIT_OBJECTIVES = 0.6
#: Interval of the checks for a usable target.
POLL_INTERVAL_S = 0.1
#: The same if a target takes the request once one of those before it has ended.
BUSY_POLL_INTERVAL_S = 0.03
#: Longest expected wait for the first event at which a prompt is still sent, as
#: a multiple of the route's latency objective. An answer that comes later is of
#: little use and would also delay the prompts behind it.
MAX_WAIT_OBJECTIVES = 1.5
#: Targets that were left out in one log line.
MAX_LOGGED_TARGETS = 4


class Selected(NamedTuple):
    """A target and the right to send it the request."""

    choice: Choice
    permit: Permit


class Selection:
    """Selects the targets of one request, one after the other.

    :param service: name of the service that the request is sent to.
    :param passage: tells whether a part of the prompt was quarantined meanwhile.
    :ivar tried: names of the targets that were selected.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        resources: Resources,
        service: str,
        passage: Passage,
    ):
        self.tried: set[str] = set()
        self._request = request
        self._resources = resources
        self._service = service
        self._passage = passage
        workspace = request.workspace.name if request.workspace else ""
        self._claim = Claim(request.rank, workspace, request.began_s)
        self._costs: PromptCosts | None = None
        self._has_chosen = False
        self._refused_wait_s: float | None = None
        self._pause_left_s: float | None = None

    async def wait(self, sent: int, has_started: bool) -> Selected | None:
        """Return a target; wait a short time if none can take the request yet.

        :param sent: number of targets that the request was sent to.
        :param has_started: whether a part of an answer was passed on.
        """
        try:
            return await self._wait(sent, has_started)
        finally:
            self._resources.chooser.rates.leave(self._service, self._claim)

    async def _wait(self, sent: int, has_started: bool) -> Selected | None:
        while True:
            if self._passage.is_barred():
                return None
            choice = self._choose(sent, has_started)
            if choice is not None:
                permit = await self._take_permit(choice)
                if permit is not None:
                    self._log(choice, sent)
                    return Selected(choice, permit)
                continue
            if self._urges():
                continue
            if not self._may_wait(sent, has_started, trio.current_time()):
                return None
            if self._is_limited():
                self._enter()
            await trio.sleep(self._poll_interval_s())

    def _urges(self) -> bool:
        """Return whether a target may be asked before a less urgent request's turn."""
        chooser, now_s = self._resources.chooser, trio.current_time()
        left_out = chooser.left_out(self._service, now_s)
        limited = [
            target
            for target in chooser.allowed_targets(self._service, now_s)
            if target.name in left_out
            and left_out[target.name].reason is Reason.LIMITED
            and target.name not in self.tried
        ]
        return bool(limited) and chooser.rates.urge(self._claim, limited)

    def _enter(self) -> None:
        """Wait in line for the targets that name a limit."""
        request = self._request
        ends_s = request.ends_s - request.route.objective_s
        self._resources.chooser.rates.enter(self._service, self._claim, ends_s)

    async def _take_permit(self, choice: Choice) -> Permit | None:
        """Return the right to send to a target, ``None`` if another must be chosen."""
        chooser, request_id = self._resources.chooser, self._request.metadata.request_id
        is_limited = chooser.rates.is_limited(choice.target, trio.current_time())
        permit = await chooser.rates.take(choice.target, self._claim, request_id)
        if permit is None or not is_limited:
            return permit
        # Time has passed: another request may have taken the place of a cold target.
        return permit if self._is_still_allowed(choice) else None

    def _is_still_allowed(self, choice: Choice) -> bool:
        resources = self._resources
        return not choice.is_cold or resources.chooser.may_send_cold(
            choice.target,
            resources.follower.view,
            resources.follower.entry_vms,
            trio.current_time(),
        )

    def _poll_interval_s(self) -> float:
        left_s, turn_s = self._pause_left_s, self._claim.turn_s - trio.current_time()
        if turn_s > 0.0:
            return min(POLL_INTERVAL_S, turn_s)
        if left_s is None:
            return POLL_INTERVAL_S
        return min(POLL_INTERVAL_S, max(BUSY_POLL_INTERVAL_S, left_s))

    def _may_wait(self, sent: int, has_started: bool, now_s: float) -> bool:
        """Return whether a target may yet take the request in its time.

        It may announce itself, free enough memory, or end the pause that it asked for.
        """
        resources, request = self._resources, self._request
        self._pause_left_s = self.pause_left_s(self.tried)
        if self._pause_left_s is not None:
            if sent and not has_started:
                # The answer that is there is passed on.
                return False
            served_s = now_s + self._pause_left_s + request.route.objective_s
            return served_s < request.ends_s
        is_discovering = resources.follower.is_discovering(now_s)
        if is_discovering and not resources.chooser.has_targets(self._service):
            return True
        if not request.metadata.parts or self._refused_wait_s is not None:
            return False
        return (
            now_s < request.began_s + MEMORY_WAIT_OBJECTIVES * request.route.objective_s
        )

    def pause_left_s(self, tried: set[str]) -> float | None:
        """Return the seconds until a target may take the request, if all are paused.

        :param tried: names of targets that don't count.
        """
        resources = self._resources
        return resources.chooser.pause_left_s(
            self._service,
            self._request.metadata,
            resources.follower.view,
            tried,
            trio.current_time(),
            self._claim,
        )

    def _is_limited(self) -> bool:
        """Return whether some target could take the request but for its limit."""
        chooser = self._resources.chooser
        left_out = chooser.left_out(self._service, trio.current_time())
        return any(why.reason is Reason.LIMITED for why in left_out.values())

    def _choose(self, sent: int, has_started: bool) -> Choice | None:
        request, resources = self._request, self._resources
        self._costs = self._estimate_costs()
        choice = resources.chooser.choose(
            self._service,
            request.metadata,
            resources.follower.view,
            resources.follower.entry_vms,
            self.tried,
            trio.current_time(),
            self._costs,
        )
        if choice is None or self._is_wait_too_long(choice, has_started):
            return None
        resources.chooser.versions.record_choice(choice.target, not self._has_chosen)
        self._has_chosen = True
        return choice

    def _log(self, choice: Choice, sent: int) -> None:
        request, costs = self._request, self._costs
        log_record(
            TargetChosen(
                request.metadata.request_id,
                self._service,
                choice.target.name,
                choice.candidates,
                choice.age_s,
                choice.loads_age_s,
                choice.failing,
                choice.work,
                costs.unstored_tokens if costs else 0,
                round(choice.wait_s, 3),
                choice.is_cold,
                sent,
                self._resources.follower.view.index,
                self._describe_left_out(),
            )
        )

    def _describe_left_out(self) -> list[str]:
        """Return the targets that asked to be left out, for the log."""
        now_s = trio.current_time()
        found = self._resources.chooser.left_out(self._service, now_s)
        return [
            f"{name} {why.reason} {why.age_s:.2f}"
            for name, why in list(found.items())[:MAX_LOGGED_TARGETS]
        ]

    def _is_wait_too_long(self, choice: Choice, has_started: bool) -> bool:
        """Return whether the expected wait is too long for the route's objective."""
        objective_s = self._request.route.objective_s
        if (
            not objective_s
            or self._request.metadata.last_event_id
            or has_started
            or choice.tries_speed
        ):
            return False
        is_too_long = choice.wait_s > MAX_WAIT_OBJECTIVES * objective_s
        if is_too_long:
            self._refused_wait_s = choice.wait_s - objective_s
        return is_too_long

    def _estimate_costs(self) -> PromptCosts | None:
        resources, now_s = self._resources, trio.current_time()
        return estimate_request_costs(
            self._request,
            self._service,
            resources.follower,
            resources.sent_parts,
            resources.chooser.load.tokens_s(self._service, now_s),
            now_s,
        )

    def failure(self) -> NoTarget:
        """Return the failure to report if no target was selected."""
        if self._pause_left_s is not None:
            kind = TargetsLimited if self._is_limited() else TargetsPaused
            return kind(self._explain(), self._pause_left_s)
        if self._refused_wait_s is not None:
            wait_s = self._refused_wait_s
            return TooLate(f"{wait_s:.2f} s beyond the objective", wait_s)
        return NoTarget(self._explain())

    def _explain(self) -> str:
        resources = self._resources
        return resources.chooser.explain_refusal(
            self._service,
            self._request.metadata,
            resources.follower.view,
            len(resources.follower.entry_vms),
            trio.current_time(),
            self._estimate_costs(),
        )
