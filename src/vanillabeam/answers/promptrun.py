"""Functional core of one model prompt: attempts, resumes and continuations.

The shell in :mod:`vanillabeam.answers.answer` performs the effects and reports their
results as events. Each connection has a number (``connection_id``); events of earlier
connections are ignored.
"""

from functools import singledispatch
from typing import NamedTuple

from vanillabeam.admission import RetryBudget
from vanillabeam.answers.attempts import AttemptState
from vanillabeam.answers.events import End, Piece
from vanillabeam.answers.exceptions import (
    AnswerCut,
    AnswerLost,
    CallerDisconnected,
    PromptRejected,
)
from vanillabeam.answers.promptevents import (
    Acquire,
    CallerClosed,
    Cancel,
    Close,
    DeadlinePassed,
    Denied,
    Effect,
    Emit,
    Event,
    Finish,
    GiveUp,
    Granted,
    Lost,
    Read,
    Refused,
    Rejected,
    Release,
    Resume,
    RunNotFound,
    Send,
    Sent,
    Start,
    StreamOpened,
    TokenLimitReached,
)
from vanillabeam.answers.reorder import ReorderBuffer
from vanillabeam.answers.requestrun import RequestRun
from vanillabeam.exceptions import DeadlineExceeded, InvariantBroken, VanillabeamError
from vanillabeam.targets import OutcomeKind

__all__ = ["PromptLimits", "PromptRun", "abort", "handle"]

CLIENT_ERRORS = range(400, 500)


class PromptLimits(NamedTuple):
    """Limits on the retries of a prompt.

    :param max_attempts: most runs, over all targets.
    :param max_resumes: most resumes of one run in a row without a new piece.
    """

    max_attempts: int = 4
    max_resumes: int = 2


class PromptRun(RequestRun):
    """State of one prompt.

    :param budget: retry budget of all requests of this VM.
    :ivar attempts: runs started so far.
    :ivar fruitless_resumes: resumes of the current run since its last new piece.
    :ivar total_resumes: resumes of all runs.
    :ivar continued: whether the current run continues an earlier one.
    :ivar continuable: whether another run could continue the answer.
    :ivar version: weight version of the answer, empty if unknown.

    >>> run = PromptRun("r1", PromptLimits(), RetryBudget())
    >>> handle(Start(), run, now_s=0.0)
    [Acquire(version='', excluded=frozenset())]
    """

    def __init__(self, request_id: str, limits: PromptLimits, budget: RetryBudget):
        super().__init__(repeatable=True, budget=budget)
        self.request_id = request_id
        self.limits = limits
        self.connection_id = 0
        self.attempts = 0
        self.fruitless_resumes = 0
        self.total_resumes = 0
        self.reorder_buffer = ReorderBuffer()
        self.emitted_pieces = 0
        self.continued = False
        self.continuable = True
        self.last_piece_emitted = False
        self.version = ""

    @property
    def required_version(self) -> str:
        """Return the weight version that the next run must have, empty for any."""
        return self.version if self.emitted_pieces else ""

    @property
    def run_id(self) -> str:
        """Return the id of the current run, unique for each attempt."""
        return f"{self.request_id}-{self.attempts}"


@singledispatch
def handle(event: Event, state: PromptRun, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects for the shell.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the event is unknown or impossible in this state.
    """
    raise InvariantBroken(f"a prompt does not take {type(event).__name__}")


@handle.register
def _(event: Start, state: PromptRun, now_s: float) -> list[Effect]:
    state.budget.earn()
    return [Acquire(state.required_version, state.exclusions.targets)]


@handle.register
def _(event: Granted, state: PromptRun, now_s: float) -> list[Effect]:
    if state.ended:
        return [Release(event.permit, OutcomeKind.NOT_RUN)]
    if state.permit is not None:
        raise InvariantBroken("a prompt holds two permits")
    if state.emitted_pieces and event.permit.version != state.version:
        raise InvariantBroken("an answer was to go on in another weight version")
    state.permit = event.permit
    state.history.begin_attempt()
    state.attempts += 1
    state.fruitless_resumes = 0
    state.reorder_buffer = ReorderBuffer()
    state.continued = state.emitted_pieces > 0
    state.connection_id += 1
    return [Send(state.connection_id, state.run_id, event.permit, state.continued)]


@handle.register
def _(event: Denied, state: PromptRun, now_s: float) -> list[Effect]:
    if state.ended:
        return []
    if state.exclusions.clear_once():
        return [Acquire(state.required_version, state.exclusions.targets)]
    return _give_up(state, state.failure or event.failure)


@handle.register
def _(event: Sent, state: PromptRun, now_s: float) -> list[Effect]:
    if _is_current(event.connection_id, state):
        state.history.mark_sent()
    return []


@handle.register
def _(event: Refused, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    state.record_refusal(event.type)
    return _try_other_target(state, OutcomeKind.NOT_RUN)


@handle.register
def _(event: Rejected, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    if event.status in CLIENT_ERRORS and not state.emitted_pieces:
        rejected = PromptRejected(event.detail, event.status)
        return _stop(state, OutcomeKind.COMPLETED) + _give_up(state, rejected)
    state.failure = AnswerLost(f"status {event.status}")
    return _try_other_target(state, OutcomeKind.FAILED)


@handle.register
def _(event: StreamOpened, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    state.history.mark_answered()
    admitted_version = state.permit.version
    if not event.version or not admitted_version or event.version == admitted_version:
        state.version = admitted_version or event.version
        return []
    state.failure = AnswerLost("the engine runs another weight version")
    return _try_other_target(state, OutcomeKind.FAILED)


@handle.register
def _(event: Read, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    ready = state.reorder_buffer.add(event.pieces, now_s)
    effects: list[Effect] = []
    if ready:
        effects.append(_emit(state, ready))
    if event.end is not None:
        return effects + _end(state, event.end)
    if state.reorder_buffer.needs_resume(now_s):
        return effects + _resume(state, "a piece is missing")
    return effects


@handle.register
def _(event: Lost, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    if state.record_unsent_loss():
        return _try_other_target(state, OutcomeKind.NOT_RUN)
    return _resume(state, event.detail)


@handle.register
def _(event: RunNotFound, state: PromptRun, now_s: float) -> list[Effect]:
    if not _is_current(event.connection_id, state):
        return []
    state.failure = AnswerLost("the engine has lost the run")
    return _try_other_target(state, OutcomeKind.FAILED)


@handle.register
def _(event: TokenLimitReached, state: PromptRun, now_s: float) -> list[Effect]:
    state.continuable = False
    return []


@handle.register
def _(event: CallerClosed, state: PromptRun, now_s: float) -> list[Effect]:
    if state.ended:
        return []
    return _stop(state, OutcomeKind.CANCELLED) + _give_up(state, CallerDisconnected())


@handle.register
def _(event: DeadlinePassed, state: PromptRun, now_s: float) -> list[Effect]:
    if state.ended:
        return []
    stopped = _stop(state, OutcomeKind.CANCELLED)
    return stopped + _give_up(state, DeadlineExceeded())


def abort(state: PromptRun, exc: VanillabeamError) -> list[Effect]:
    """Stop the current run, release its permit and end the prompt with ``exc``."""
    stopped = _stop(state, OutcomeKind.FAILED)
    state.ended = True
    return [*stopped, GiveUp(state.history.annotate(exc))]


def _is_current(connection_id: int, state: PromptRun) -> bool:
    return (
        not state.ended
        and state.permit is not None
        and connection_id == state.connection_id
    )


def _emit(state: PromptRun, ready: list[Piece]) -> Emit:
    if state.last_piece_emitted:
        raise InvariantBroken("a piece came after the last one")
    state.emitted_pieces += len(ready)
    state.fruitless_resumes = 0
    state.last_piece_emitted = ready[-1].last
    for piece in ready:
        state.continuable = state.continuable and piece.text_only
    return Emit(ready, state.continued)


def _end(state: PromptRun, end: End) -> list[Effect]:
    if end.pieces > state.reorder_buffer.count:
        return _resume(state, "the end came before the last piece")
    if end.pieces < state.reorder_buffer.count:
        state.failure = AnswerCut("the engine's count is lower than what it sent")
        return _stop(state, OutcomeKind.FAILED) + _give_up(state, state.failure)
    return _finish(state)


def _finish(state: PromptRun) -> list[Effect]:
    state.ended = True
    permit = state.permit
    state.permit = None
    return [
        Close(state.connection_id),
        Release(permit, OutcomeKind.COMPLETED),
        Finish(),
    ]


def _resume(state: PromptRun, detail: str) -> list[Effect]:
    state.failure = AnswerLost(detail)
    if state.fruitless_resumes >= state.limits.max_resumes:
        return _try_other_target(state, OutcomeKind.FAILED)
    state.fruitless_resumes += 1
    state.total_resumes += 1
    state.reorder_buffer.discard_held()
    closed = state.connection_id
    state.connection_id += 1
    return [
        Close(closed),
        Resume(
            state.connection_id, state.run_id, state.permit, state.reorder_buffer.count
        ),
    ]


def _try_other_target(state: PromptRun, kind: OutcomeKind) -> list[Effect]:
    if state.last_piece_emitted:
        # All pieces have been sent to the caller; only the end mark is missing.
        return _finish(state)
    target = state.permit.target
    effects = _stop(state, kind)
    if state.emitted_pieces and not state.continuable:
        return effects + _give_up(state, AnswerCut("it can't be continued"))
    denial = state.deny_retry(target, kind, state.attempts, state.limits.max_attempts)
    if denial is not None:
        return effects + _give_up(state, denial)
    return [*effects, Acquire(state.required_version, state.exclusions.targets)]


def _stop(state: PromptRun, kind: OutcomeKind) -> list[Effect]:
    """Close, cancel and release the current run, if there is one."""
    if state.permit is None:
        return []
    permit, state.permit = state.permit, None
    effects: list[Effect] = [Close(state.connection_id)]
    if state.history.states[-1] is not AttemptState.NOT_SENT:
        effects.append(Cancel(state.run_id, permit))
    return [*effects, Release(permit, kind)]


def _give_up(state: PromptRun, failure: VanillabeamError) -> list[Effect]:
    if state.ended:
        raise InvariantBroken("a request ended twice")
    state.ended = True
    if state.emitted_pieces and not isinstance(failure, AnswerCut | CallerDisconnected):
        failure = AnswerCut(failure.type)
    return [GiveUp(state.history.annotate(failure))]
