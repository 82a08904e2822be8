"""The exchange of one caller's request: attempts, retries and the final answer."""

from math import inf

import trio

from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.selection import Selected, Selection
from vanillabeam.forwarding.exceptions import (
    AnswerBroken,
    AnswerLate,
    NoTarget,
)
from vanillabeam.forwarding.judging.passage import Passage
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.attempt import Attempt
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.events import EventCutter
from vanillabeam.forwarding.sending.outcomes import AnswerEnd, Delivered, Outcome, Whole
from vanillabeam.forwarding.sending.upstream import Broken

__all__ = ["Exchange"]

#: Failures to get a connection after which a request is given up.
MAX_CONNECT_FAILURES = 5
#: Delay before a retry. Targets that fail at the same moment are detected
#: meanwhile and aren't tried next.
RETRY_DELAY_S = 0.03
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
        self._sent = 0
        self._connect_failures = 0
        self._attempts: list[Attempt] = []
        #: Incarnations that the request was sent to.
        self._incarnations: list[tuple[str, int]] = []
        self._passage = Passage(
            resources.gate, resources.follower, request.metadata.shared_parts
        )
        self._selection = Selection(request, resources, self._service, self._passage)
        #: Answer of a target that ran the request and failed.
        self._error: Whole | None = None
        self._scope = trio.CancelScope(deadline=request.ends_s)
        writer.on_whole = self._extend

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
        with self._scope:
            await self._passage.enter()
            if self._passage.was_barred:
                return self._passage.failure()
            with self._passage.sending():
                return await self._run_attempts()
        if self.may_have_run:
            waited_s = trio.current_time() - self._request.began_s
            return AnswerLate(f"after {waited_s:.1f} s")
        return NoTarget("no target in time")

    def conclude(self) -> None:
        """Have :meth:`run` return at once, with what is known of the request."""
        self._scope.deadline = trio.current_time()

    def _extend(self, is_whole: bool) -> None:
        """Let a slow caller take an answer that is whole after the time limit."""
        self._scope.deadline = inf if is_whole else self._request.ends_s

    async def _run_attempts(self) -> VanillabeamError | None:
        previous: Outcome | None = None
        selection = self._selection
        while True:
            selected = await selection.wait(self._sent, self._writer.has_begun)
            if selected is None:
                return await self._conclude(previous)
            previous = await self._attempt(selected)
            if isinstance(previous, Delivered):
                return None
            if self._scope.deadline > self._request.ends_s:
                self._writer.record_whole(False)
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
        if self._writer.has_begun and not self._cutter.can_resume:
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
        if previous is None:
            return self._selection.failure()
        if self.may_have_run and previous.exc.run is Run.NOT_RUN:
            return AnswerBroken("an earlier target may have run it")
        return previous.exc

    async def _pass_on(self, answer: Whole) -> VanillabeamError | None:
        """Pass a failure or refusal of a target on, unless it would be untrue."""
        if self._writer.has_begun:
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
        pause_left_s = self._selection.pause_left_s(set())
        wait_s = max(NoTarget.retry_after_s, pause_left_s or 0.0)
        return f"{self._resources.chooser.spread_retry_after(wait_s):.2f}".encode()

    async def _attempt(self, selected: Selected) -> Outcome:
        """Send the request to one target."""
        route, choice = self._request.route, selected.choice
        attempt = Attempt(
            self._request,
            self._resources,
            self._service,
            self._writer,
            self._cutter,
            choice,
            self._passage,
            selected.permit,
            may_go_elsewhere=route.is_idempotent and self._sent + 1 < route.attempts,
        )
        self._selection.tried.add(choice.target.name)
        self._incarnations.append(choice.target.incarnation)
        self._attempts.append(attempt)
        try:
            outcome = await attempt.run()
        finally:
            self._sent += attempt.was_sent
        if isinstance(outcome, Whole) and attempt.may_have_run:
            self._error = outcome
        return outcome
