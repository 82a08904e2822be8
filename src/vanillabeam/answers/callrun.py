"""Functional core of one service call: attempts and retries.

A call that may not be repeated isn't sent again once an attempt may have run. The
shell in :mod:`vanillabeam.answers.call` performs the effects. Attempts are numbered;
events of earlier attempts are ignored.
"""

from functools import singledispatch
from typing import NamedTuple

from vanillabeam.admission import RetryBudget
from vanillabeam.answers.exceptions import (
    AnswerLost,
    AnswerTooLarge,
    CallNotRepeated,
)
from vanillabeam.answers.requestrun import (
    DeadlinePassed,
    Denied,
    Granted,
    Release,
    RequestRun,
    Start,
)
from vanillabeam.config import Repeats
from vanillabeam.exceptions import DeadlineExceeded, InvariantBroken, VanillabeamError
from vanillabeam.targets import OutcomeKind, Permit

__all__ = [
    "Acquire",
    "Answered",
    "CallRun",
    "DeadlinePassed",
    "Deliver",
    "Denied",
    "Fail",
    "Granted",
    "HeadReceived",
    "Lost",
    "Oversized",
    "Refused",
    "Release",
    "Send",
    "Sent",
    "Start",
    "handle",
    "is_safe",
    "may_repeat",
    "needs_claim",
]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_ATTEMPTS = 4


class Sent(NamedTuple):
    """The first byte of the request is about to be sent."""

    attempt: int


class Refused(NamedTuple):
    """The target refused to run the call.

    :param type: type of the target's problem document.
    """

    attempt: int
    type: str


class HeadReceived(NamedTuple):
    """The head of the answer was received."""

    attempt: int


class Answered(NamedTuple):
    """The whole answer was received."""

    attempt: int


class Oversized(NamedTuple):
    """The answer exceeds the size limit."""

    attempt: int


class Lost(NamedTuple):
    """The connection ended or timed out before the whole answer was received."""

    attempt: int
    detail: str


class Acquire(NamedTuple):
    """Request a permit.

    :param excluded: names of targets that must not be chosen.
    """

    excluded: frozenset[str]


class Send(NamedTuple):
    """Send the call on a new connection."""

    attempt: int
    permit: Permit


class Deliver(NamedTuple):
    """Deliver the answer to the caller."""


class Fail(NamedTuple):
    """End the call with a failure."""

    failure: VanillabeamError


Event = (
    Start
    | Granted
    | Denied
    | Sent
    | Refused
    | HeadReceived
    | Answered
    | Oversized
    | Lost
    | DeadlinePassed
)
Effect = Acquire | Send | Release | Deliver | Fail


def is_safe(method: str) -> bool:
    """Return whether HTTP defines ``method`` as safe."""
    return method.upper() in SAFE_METHODS


def may_repeat(method: str, repeats: Repeats, key: str) -> bool:
    """Return whether a call that may have run may be sent again.

    :param repeats: the service's configured policy on repeats.
    :param key: idempotency key, or empty.
    """
    if is_safe(method) or repeats is Repeats.SAFE:
        return True
    return repeats is Repeats.BY_KEY and bool(key)


def needs_claim(method: str, repeats: Repeats, key: str) -> bool:
    """Return whether the idempotency key must be claimed before the call is sent.

    Parameters as with :func:`may_repeat`.
    """
    return bool(key) and not is_safe(method) and repeats is not Repeats.SAFE


class CallRun(RequestRun):
    """State of one call.

    :param repeatable: result of :func:`may_repeat`.
    :param budget: retry budget of all requests of this VM.

    >>> run = CallRun(False, RetryBudget())
    >>> handle(Start(), run, now_s=0.0)
    [Acquire(excluded=frozenset())]
    """

    def __init__(self, repeatable: bool, budget: RetryBudget):
        super().__init__(repeatable, budget)
        self.attempt = 0


@singledispatch
def handle(event: Event, state: CallRun, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects for the shell.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the event is unknown or impossible in this state.
    """
    raise InvariantBroken(f"a call does not take {type(event).__name__}")


@handle.register
def _(event: Start, state: CallRun, now_s: float) -> list[Effect]:
    state.budget.earn()
    return [Acquire(state.exclusions.targets)]


@handle.register
def _(event: Granted, state: CallRun, now_s: float) -> list[Effect]:
    if state.ended:
        return [Release(event.permit, OutcomeKind.NOT_RUN)]
    if state.permit is not None:
        raise InvariantBroken("a call holds two permits")
    state.history.begin_attempt()
    state.permit = event.permit
    state.attempt += 1
    return [Send(state.attempt, event.permit)]


@handle.register
def _(event: Denied, state: CallRun, now_s: float) -> list[Effect]:
    if state.ended:
        return []
    if state.exclusions.clear_once():
        return [Acquire(state.exclusions.targets)]
    return _fail(state, state.failure or event.failure)


@handle.register
def _(event: Sent, state: CallRun, now_s: float) -> list[Effect]:
    if _is_current(event.attempt, state):
        state.history.mark_sent()
    return []


@handle.register
def _(event: HeadReceived, state: CallRun, now_s: float) -> list[Effect]:
    if _is_current(event.attempt, state):
        state.history.mark_answered()
    return []


@handle.register
def _(event: Refused, state: CallRun, now_s: float) -> list[Effect]:
    if not _is_current(event.attempt, state):
        return []
    state.record_refusal(event.type)
    return _try_other_target(state, OutcomeKind.NOT_RUN)


@handle.register
def _(event: Answered, state: CallRun, now_s: float) -> list[Effect]:
    if not _is_current(event.attempt, state):
        return []
    state.ended = True
    return [*_release(state, OutcomeKind.COMPLETED), Deliver()]


@handle.register
def _(event: Oversized, state: CallRun, now_s: float) -> list[Effect]:
    if not _is_current(event.attempt, state):
        return []
    released = _release(state, OutcomeKind.COMPLETED)
    return released + _fail(state, AnswerTooLarge())


@handle.register
def _(event: Lost, state: CallRun, now_s: float) -> list[Effect]:
    if not _is_current(event.attempt, state):
        return []
    if state.record_unsent_loss():
        return _try_other_target(state, OutcomeKind.NOT_RUN)
    if not state.history.repeatable:
        released = _release(state, OutcomeKind.FAILED)
        return released + _fail(state, CallNotRepeated(event.detail))
    state.failure = AnswerLost(event.detail)
    return _try_other_target(state, OutcomeKind.FAILED)


@handle.register
def _(event: DeadlinePassed, state: CallRun, now_s: float) -> list[Effect]:
    if state.ended:
        return []
    released = _release(state, OutcomeKind.CANCELLED)
    return released + _fail(state, DeadlineExceeded())


def _is_current(attempt: int, state: CallRun) -> bool:
    return not state.ended and state.permit is not None and attempt == state.attempt


def _try_other_target(state: CallRun, kind: OutcomeKind) -> list[Effect]:
    target = state.permit.target
    effects = _release(state, kind)
    denial = state.deny_retry(target, kind, state.attempt, MAX_ATTEMPTS)
    if denial is not None:
        return effects + _fail(state, denial)
    return [*effects, Acquire(state.exclusions.targets)]


def _release(state: CallRun, kind: OutcomeKind) -> list[Effect]:
    if state.permit is None:
        return []
    permit, state.permit = state.permit, None
    return [Release(permit, kind)]


def _fail(state: CallRun, failure: VanillabeamError) -> list[Effect]:
    if state.ended:
        raise InvariantBroken("a call ended twice")
    state.ended = True
    return [Fail(state.history.annotate(failure))]
