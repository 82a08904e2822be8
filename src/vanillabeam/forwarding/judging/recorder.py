"""Records of ended attempts: log lines, metrics, health and evidence."""

from typing import NamedTuple

from vanillabeam.decisions import AttemptFailed, log_record
from vanillabeam.forwarding.choosing.choice import Choice
from vanillabeam.forwarding.dialect import RequestMetadata
from vanillabeam.forwarding.exceptions import (
    AnswerTooLong,
    MismatchedAnswer,
    NotListening,
    RefusalUnproven,
    StreamNotResumed,
    TargetWithdrawn,
)
from vanillabeam.forwarding.judging.endings import BrokenAnswer
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.outcomes import AnswerEnd, Delivered, Outcome
from vanillabeam.forwarding.sending.upstream import Broken

__all__ = ["AttemptEnd", "OutcomeRecorder"]

#: Failures after which the target is known to run on.
_FAILURES_OF_RUNNING_TARGETS = (
    AnswerTooLong,
    MismatchedAnswer,
    RefusalUnproven,
    StreamNotResumed,
)
#: Parts of a prompt in a log line.
MAX_LOGGED_PARTS = 8


class AttemptEnd(NamedTuple):
    """End of an attempt.

    :param began_s: monotonic time at which it began.
    :param may_have_run: whether the target may have run the request.
    :param was_refused: whether the target refused it.
    """

    outcome: Outcome
    answer_end: AnswerEnd
    began_s: float
    may_have_run: bool
    was_refused: bool


class OutcomeRecorder:
    """Records what one attempt tells of its target.

    :param service: name of the service that the target belongs to.
    """

    def __init__(
        self,
        resources: Resources,
        metadata: RequestMetadata,
        service: str,
        choice: Choice,
    ):
        self._resources = resources
        self._metadata = metadata
        self._service = service
        self._choice = choice

    def record(self, end: AttemptEnd, now_s: float) -> None:
        """Record the end of the attempt."""
        outcome = end.outcome
        if isinstance(outcome, Broken) and isinstance(outcome.exc, TargetWithdrawn):
            self._log_failure(outcome, end, now_s)
            return
        self._count(end)
        if isinstance(outcome, Broken):
            self._record_failure(outcome, end, now_s)
        else:
            self._resources.chooser.record_success(self._choice.target)
        if isinstance(outcome, Delivered) and outcome.status < 300:
            self._resources.ends.record_answer(self._metadata.shared_parts, now_s)
        if not end.was_refused:
            failed = not isinstance(outcome, Delivered)
            observed = self._resources.chooser.load.observed
            observed.record_answer(self._choice.target.name, failed, now_s)

    def _count(self, end: AttemptEnd) -> None:
        kind = type(end.outcome).__name__.lower()
        counters = self._resources.counters
        counters.attempts.labels(self._service, kind).inc()
        last = "partial" if end.answer_end.partial_bytes else "whole"
        counters.answer_ends.labels(end.answer_end.framing, kind, last).inc()

    def _record_failure(self, broken: Broken, end: AttemptEnd, now_s: float) -> None:
        self._log_failure(broken, end, now_s)
        is_refused = isinstance(broken.exc, NotListening)
        chooser, target = self._resources.chooser, self._choice.target
        log_record(chooser.record_failure(target, now_s, is_refused))
        self._record_broken(broken, end, now_s)

    def _record_broken(self, broken: Broken, end: AttemptEnd, now_s: float) -> None:
        """Record an answer that broke off, perhaps because its target has ended.

        Targets that leave as planned end too; no request is at fault there.
        """
        target, resources = self._choice.target, self._resources
        if not end.may_have_run or resources.chooser.is_leaving(target):
            return
        if isinstance(broken.exc, _FAILURES_OF_RUNNING_TARGETS):
            return
        metadata = self._metadata
        answer = BrokenAnswer(
            metadata.request_id, target, metadata.shared_parts, end.began_s, now_s
        )
        for line in resources.ends.record_broken(answer):
            log_record(line)
        resources.probe.check(target)

    def _log_failure(self, broken: Broken, end: AttemptEnd, now_s: float) -> None:
        log_record(
            AttemptFailed(
                self._metadata.request_id,
                self._service,
                self._choice.target.name,
                broken.exc.type,
                broken.exc.detail,
                str(broken.exc.run),
                self._choice.age_s,
                *end.answer_end,
                round(now_s - end.began_s, 3),
                list(self._metadata.shared_parts[-MAX_LOGGED_PARTS:]),
            )
        )
