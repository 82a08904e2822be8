"""State and events that the cores of prompts and of service calls share."""

from typing import NamedTuple

from vanillabeam.admission import RetryBudget
from vanillabeam.answers.attempts import AttemptHistory, AttemptState, Exclusions
from vanillabeam.answers.exceptions import RetriesDenied, TargetRefused
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets import OutcomeKind, Permit

__all__ = ["DeadlinePassed", "Denied", "Granted", "Release", "RequestRun", "Start"]


class Start(NamedTuple):
    """The request was admitted and, if required, its idempotency key was claimed."""


class Granted(NamedTuple):
    """A permit was granted."""

    permit: Permit


class Denied(NamedTuple):
    """No permit could be granted."""

    failure: VanillabeamError


class DeadlinePassed(NamedTuple):
    """The request's deadline has passed."""


class Release(NamedTuple):
    """Release a permit."""

    permit: Permit
    kind: OutcomeKind


class RequestRun:
    """State of one request: its attempts, permit and failure.

    :param repeatable: whether the request may run more than once.
    :param budget: retry budget of all requests of this VM.
    :ivar permit: permit of the current attempt.
    :ivar exclusions: targets that failed.
    :ivar failure: why the last attempt failed.
    :ivar ended: whether the caller's answer is complete or given up.
    """

    def __init__(self, repeatable: bool, budget: RetryBudget):
        self.history = AttemptHistory(repeatable)
        self.budget = budget
        self.permit: Permit | None = None
        self.exclusions = Exclusions()
        self.failure: VanillabeamError | None = None
        self.ended = False

    def record_refusal(self, type: str) -> None:
        """Record that the target refused to run the current attempt.

        :param type: type of the target's problem document.
        """
        self.history.mark_refused()
        self.failure = TargetRefused(type)

    def record_unsent_loss(self) -> bool:
        """Record the loss of an unsent attempt; return whether it was unsent."""
        if self.history.states[-1] is not AttemptState.NOT_SENT:
            return False
        self.failure = self.failure or TargetRefused("no connection")
        return True

    def deny_retry(
        self, target: str, kind: OutcomeKind, attempts: int, max_attempts: int
    ) -> VanillabeamError | None:
        """Return why there is no further attempt; if there is one, exclude ``target``.

        :param kind: outcome of the last attempt.
        """
        if attempts >= max_attempts:
            return self.failure
        if kind is not OutcomeKind.NOT_RUN and not self.budget.spend():
            return RetriesDenied()
        self.exclusions.add(target)
        return None
