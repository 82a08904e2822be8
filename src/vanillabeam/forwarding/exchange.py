"""The exchange of one caller's request: attempts, retries and the final answer."""

import trio

from vanillabeam.decisions import TargetChosen, log_record
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.attempt import Attempt
from vanillabeam.forwarding.choice import Choice
from vanillabeam.forwarding.costs import PromptCosts
from vanillabeam.forwarding.downstream import ResponseWriter
from vanillabeam.forwarding.events import EventCutter
from vanillabeam.forwarding.exceptions import (
    AnswerBroken,
    AnswerLate,
    NoTarget,
    TargetsPaused,
    TooLate,
)
from vanillabeam.forwarding.outcomes import AnswerEnd, Delivered, Outcome, Whole
from vanillabeam.forwarding.passage import Passage
from vanillabeam.forwarding.requestcosts import estimate_request_costs
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending import Broken

__all__ = ["Exchange"]

#: Failures to get a connection after which a request is given up.
MAX_CONNECT_FAILURES = 5
#: Longest time that a prompt waits for a target with enough free memory, as a
#: multiple of the route's latency objective.
MEMORY_WAIT_OBJECTIVES = 0.6
#: Delay before a retry. Targets that fail at the same moment are detected
#: meanwhile and aren't tried next.
RETRY_DELAY_S = 0.03
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
#: Targets that may end under one request.
MAX_ENDED_TARGETS = 2


class Exchange:
    """Sends a request to targets, with retries, until one has answered.

    :param request: the caller's request, with its route and workspace.
    :param resources: shared by all requests of this VM.
    :param writer: sends the answer to the caller.
    """

    def __init__(
        self, request: AdmittedRequest, resources: Resources, writer: ResponseWriter
    ):
        self._request = request
        self._resources = resources
        self._writer = writer
        self._service = resources.chooser.pick_service(request.route)
        self._cutter = EventCutter(request.metadata.last_event_id)
        self._tried: set[str] = set()
        self._sent = 0
        self._connect_failures = 0
        self._refused_wait_s: float | None = None
        self._pause_left_s: float | None = None
        self._attempts: list[Attempt] = []
        #: Incarnations that the request was sent to.
        self._incarnations: list[tuple[str, int]] = []
        self._passage = Passage(
            resources.gate, resources.follower, request.metadata.shared_parts
        )
        #: Answer of a target that ran the request and failed.
        self._error: Whole | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some target may have run the request."""
        return any(attempt.may_have_run for attempt in self._attempts)

    @property
    def attempts(self) -> int:
        """Number of targets that the request was sent to."""
        return self._sent

    @property
    def answer_end(self) -> AnswerEnd:
        """End of the last answer."""
        return self._attempts[-1].answer_end if self._attempts else AnswerEnd()

    async def run(self) -> VanillabeamError | None:
        """Run the exchange and send the answer to the caller.

        :returns: the failure to report to the caller; ``None`` if an answer was
            sent.
        """
        self._resources.chooser.record_request(self._service, trio.current_time())
        with trio.move_on_at(self._request.ends_s):
            await self._passage.enter()
            if self._passage.was_barred:
                return self._passage.failure()
            with self._passage.sending():
                return await self._run_attempts()
        if self.may_have_run:
            return AnswerLate(f"after {self._request.route.timeout_s:g} s")
        return NoTarget("no target in time")

    async def _run_attempts(self) -> VanillabeamError | None:
        previous: Outcome | None = None
        while True:
            choice = await self._wait_for_choice()
            if choice is None:
                return await self._conclude(previous)
            previous = await self._attempt(choice)
            if isinstance(previous, Delivered):
                return None
            if not self._may_retry(previous):
                return await self._conclude(previous)
            if isinstance(previous, Broken):
                await trio.sleep(RETRY_DELAY_S)
            if self._has_ended_targets():
                return await self._conclude(previous)

    def _has_ended_targets(self) -> bool:
        """Return whether so many targets ended under the request that it may be why."""
        ends = self._resources.ends
        ended = sum(ends.has_ended(each) for each in self._incarnations)
        return ended >= MAX_ENDED_TARGETS

    async def _wait_for_choice(self) -> Choice | None:
        """Return a target; wait a short time if none can take the request yet."""
        while True:
            if self._passage.is_barred():
                return None
            choice = self._choose()
            if choice is not None or not self._may_wait(trio.current_time()):
                return choice
            is_busy = self._pause_left_s == 0.0
            await trio.sleep(BUSY_POLL_INTERVAL_S if is_busy else POLL_INTERVAL_S)

    def _may_wait(self, now_s: float) -> bool:
        """Return whether a target may yet take the request in its time.

        It may announce itself, free enough memory, or end the pause that it asked for.
        """
        resources, request = self._resources, self._request
        self._pause_left_s = self._find_pause_left(now_s, self._tried)
        if self._pause_left_s is not None:
            if self._sent and not self._writer.started:
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

    def _find_pause_left(self, now_s: float, tried: set[str]) -> float | None:
        """Return the seconds until a target may take the request, if all are paused.

        :param tried: names of targets that don't count.
        """
        resources = self._resources
        return resources.chooser.pause_left_s(
            self._service,
            self._request.metadata,
            resources.follower.view,
            tried,
            now_s,
        )

    def _choose(self) -> Choice | None:
        request, resources, costs = (
            self._request,
            self._resources,
            self._estimate_costs(),
        )
        choice = resources.chooser.choose(
            self._service,
            request.metadata,
            resources.follower.view,
            resources.follower.entry_vms,
            self._tried,
            trio.current_time(),
            costs,
        )
        if choice is None or self._is_wait_too_long(choice):
            return None
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
                self._sent,
                resources.follower.view.index,
                self._describe_left_out(),
            )
        )
        return choice

    def _describe_left_out(self) -> list[str]:
        """Return the targets that asked to be left out, for the log."""
        now_s = trio.current_time()
        found = self._resources.chooser.left_out(self._service, now_s)
        return [
            f"{name} {why.reason} {why.age_s:.2f}"
            for name, why in list(found.items())[:MAX_LOGGED_TARGETS]
        ]

    def _is_wait_too_long(self, choice: Choice) -> bool:
        """Return whether the expected wait is too long for the route's objective."""
        objective_s = self._request.route.objective_s
        if (
            not objective_s
            or self._request.metadata.last_event_id
            or self._writer.started
            or choice.tries_speed
        ):
            return False
        is_too_long = choice.wait_s > MAX_WAIT_OBJECTIVES * objective_s
        if is_too_long:
            self._refused_wait_s = choice.wait_s - objective_s
        return is_too_long

    def _estimate_costs(self) -> PromptCosts | None:
        resources = self._resources
        return estimate_request_costs(
            self._request,
            self._service,
            resources.follower,
            resources.sent_parts,
            resources.chooser.load.tokens_s(self._service),
            trio.current_time(),
        )

    def _may_retry(self, previous: Outcome) -> bool:
        """Return whether the request may be sent to one more target."""
        route = self._request.route
        if self._attempts and self._attempts[-1].has_passed_on:
            return False
        if self._passage.is_trial or (self.may_have_run and self._passage.is_suspect):
            return False
        if isinstance(previous, Broken) and previous.exc.run is Run.NOT_RUN:
            self._connect_failures += 1
            if self._connect_failures >= MAX_CONNECT_FAILURES:
                return False
            return self._sent < route.attempts
        if self._sent >= route.attempts:
            return False
        if self.may_have_run and not route.is_idempotent:
            return False
        entries = len(self._resources.follower.entry_vms)
        now_s = trio.current_time()
        if not self._resources.chooser.allow_retry(self._service, entries, now_s):
            return False
        self._resources.counters.repeats.labels(self._service).inc()
        return True

    async def _conclude(self, previous: Outcome | None) -> VanillabeamError | None:
        """Pass the last answer on, or return the failure to report to the caller."""
        if isinstance(previous, Whole):
            return await self._pass_on(previous)
        if previous is None and self._passage.was_barred:
            return self._passage.failure()
        if previous is None and self._pause_left_s is not None:
            return TargetsPaused(self._explain_refusal(), self._pause_left_s)
        if previous is None and self._refused_wait_s is not None:
            return TooLate(
                f"{self._refused_wait_s:.2f} s beyond the objective",
                self._refused_wait_s,
            )
        if previous is None:
            return NoTarget(self._explain_refusal())
        if self.may_have_run and previous.exc.run is Run.NOT_RUN:
            return AnswerBroken("an earlier target may have run it")
        return previous.exc

    async def _pass_on(self, answer: Whole) -> VanillabeamError | None:
        """Pass a failure or refusal of a target on, unless it would be untrue."""
        if self._writer.started:
            return AnswerBroken(f"another target answered {answer.status}")
        is_refusal = not self._attempts[-1].may_have_run
        if is_refusal and self._error is not None:
            answer = self._error
        elif is_refusal and self.may_have_run:
            return AnswerBroken("an earlier target may have run it")
        if answer.is_cut:
            return NoTarget(f"refused with {answer.status} and no whole body")
        headers = answer.headers
        if answer.is_pause:
            headers = [*headers, (b"retry-after", self._retry_after())]
        await self._writer.send_response(answer.status, headers, answer.body)
        return None

    def _retry_after(self) -> bytes:
        """Return when the caller of a refused request should return.

        The target's own time binds this VM, and other targets may serve the caller
        sooner.
        """
        pause_left_s = self._find_pause_left(trio.current_time(), set())
        wait_s = max(NoTarget.retry_after_s, pause_left_s or 0.0)
        return f"{self._resources.chooser.spread_retry_after(wait_s):.2f}".encode()

    def _explain_refusal(self) -> str:
        resources = self._resources
        return resources.chooser.explain_refusal(
            self._service,
            self._request.metadata,
            resources.follower.view,
            len(resources.follower.entry_vms),
            trio.current_time(),
            self._estimate_costs(),
        )

    async def _attempt(self, choice: Choice) -> Outcome:
        """Send the request to one target."""
        route = self._request.route
        attempt = Attempt(
            self._request,
            self._resources,
            self._service,
            self._writer,
            self._cutter,
            choice,
            self._passage,
            may_go_elsewhere=route.is_idempotent and self._sent + 1 < route.attempts,
        )
        self._tried.add(choice.target.name)
        self._incarnations.append(choice.target.incarnation)
        self._attempts.append(attempt)
        try:
            outcome = await attempt.run()
        finally:
            self._sent += attempt.was_sent
        if isinstance(outcome, Whole) and attempt.may_have_run:
            self._error = outcome
        return outcome
