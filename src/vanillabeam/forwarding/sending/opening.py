"""Records of a request while it is open at a target."""

import trio

from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.choice import Choice
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.outcomes import Delivered, Outcome

__all__ = ["OpenAttempt"]

CLIENT_ERROR = 400
#: Silence after which a target is suspect: a multiple of the route's latency
#: objective, or a fixed time where the route has no objective.
SILENCE_LIMIT_OBJECTIVES = 1.5
DEFAULT_SILENCE_LIMIT_S = 0.5


class OpenAttempt:
    """Records the load, time and version of one request at a target.

    :param service: name of the service that the target belongs to.
    :ivar counted: what is counted of it for a rollout of the service.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        resources: Resources,
        service: str,
        choice: Choice,
    ):
        self._request = request
        self._resources = resources
        self._chooser = resources.chooser
        self._service = service
        self._target = choice.target
        self._is_released = False
        follower, now_s = resources.follower, trio.current_time()
        objective_s = request.route.objective_s
        self._chooser.record_sent(
            service, choice, follower.view, follower.entry_vms, now_s
        )
        self._open_request = self._chooser.load.record_start(
            choice.target.name,
            request.rank,
            choice.work,
            now_s,
            SILENCE_LIMIT_OBJECTIVES * objective_s or DEFAULT_SILENCE_LIMIT_S,
            choice.memory_tokens,
        )
        self._line.window.record_sent()
        self._is_return = self._chooser.notices.record_sent(choice.target.incarnation)
        self.counted = self._chooser.versions.begin(
            choice, request.route.name, bool(request.metadata.parts), now_s
        )

    @property
    def _line(self):
        return self._chooser.lines.line(self._service)

    @property
    def began_s(self) -> float:
        """Monotonic time at which the attempt began."""
        return self._open_request.began_s

    def record_head(self) -> None:
        """Record the time from sending the request to the head of its answer."""
        now_s = trio.current_time()
        self._chooser.load.record_response(self._open_request, self._service, now_s)
        if not self.counted.is_prompt:
            self.counted.record_first(now_s)
        self._chooser.lines.record_change(self._service, now_s)
        first_s = now_s - self.began_s
        self._resources.counters.first_event_s.labels(self._service).observe(first_s)

    def record_part(self) -> None:
        """Record that a part of the answer has arrived."""
        now_s = trio.current_time()
        self._chooser.load.record_activity(self._target.name, now_s)
        self.counted.record_first(now_s)
        self.counted.record_answer()

    def record_whole(self, status: int) -> None:
        """Record that the target has sent its whole answer."""
        if self._is_released:
            return
        if status < 300:
            took_s = trio.current_time() - self.began_s
            self._line.record_took(self._request.route.name, took_s)
        self._record_call(status >= CLIENT_ERROR)
        self._release(was_refused=False)

    def end_return(self, is_answered: bool) -> None:
        """Count the end of a request after a pause of its target, once.

        The head of an answer is enough: the target has taken the request.
        """
        if self._is_return:
            self._is_return = False
            self._chooser.notices.record_end(self._target.incarnation, is_answered)

    def end(
        self, outcome: Outcome | None, may_have_run: bool, was_refused: bool
    ) -> None:
        """Record the end of the attempt.

        :param outcome: ``None`` if it was cancelled.
        """
        self.end_return(is_answered=False)
        is_good = isinstance(outcome, Delivered) and outcome.status < CLIENT_ERROR
        self._record_call(not is_good)
        self._release(was_refused)
        self._count_end(outcome, may_have_run and not was_refused)

    def _record_call(self, failed: bool) -> None:
        """Record the time of a plain call."""
        self._chooser.load.record_call(
            self._open_request, self._service, failed, trio.current_time()
        )

    def _release(self, was_refused: bool) -> None:
        """Record that the target has a place again, once."""
        if self._is_released:
            return
        self._is_released = True
        now_s = trio.current_time()
        self._chooser.load.record_end(self._open_request)
        window = self._line.window
        (window.record_refused if was_refused else window.record_ended)(now_s)
        self._chooser.lines.record_change(self._service, now_s)

    def _count_end(self, outcome: Outcome | None, has_run: bool) -> None:
        """Count the end of the attempt for a rollout of its service.

        An answer that isn't whole at the caller's time limit counts as a failure; that
        a caller leaves before tells nothing.
        """
        is_late = outcome is None and trio.current_time() >= self._request.ends_s
        if isinstance(outcome, Delivered):
            self.counted.record_answer()
        elif has_run and (outcome or is_late):
            self.counted.record_failure()
        self._chooser.versions.end(self.counted)
