"""What is known of a request's runs, and what may be said about them."""

from enum import IntEnum
from typing import TypeVar

from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError

__all__ = ["AttemptState", "AttemptHistory"]

E = TypeVar("E", bound=VanillabeamError)


class AttemptState(IntEnum):
    """What is known of one attempt; the larger, the more may have happened."""

    NOT_SENT = 0
    MAY_HAVE_RUN = 1
    ANSWERED = 2


_RUNS = {
    AttemptState.NOT_SENT: Run.NOT_RUN,
    AttemptState.MAY_HAVE_RUN: Run.UNKNOWN,
    AttemptState.ANSWERED: Run.RAN,
}


class AttemptHistory:
    """The facts of every attempt of one request.

    :param repeatable: whether more than one attempt may have run.

    >>> history = AttemptHistory(repeatable=False)
    >>> history.begin_attempt()
    >>> history.mark_sent()
    >>> history.run
    <Run.UNKNOWN: 'unknown'>
    """

    def __init__(self, repeatable: bool):
        self.repeatable = repeatable
        self.states: list[AttemptState] = []

    @property
    def run(self) -> Run:
        """Return what may truthfully be said of the request."""
        return _RUNS[max(self.states, default=AttemptState.NOT_SENT)]

    def begin_attempt(self) -> None:
        """Start an attempt.

        :raises InvariantBroken: if an earlier one may have run and the
            request may not be repeated.
        """
        if not self.repeatable and self.run is not Run.NOT_RUN:
            raise InvariantBroken("a request that may not be repeated began again")
        self.states.append(AttemptState.NOT_SENT)

    def mark_sent(self) -> None:
        """Bytes of the current attempt may have left this VM."""
        self.states[-1] = max(self.states[-1], AttemptState.MAY_HAVE_RUN)

    def mark_refused(self) -> None:
        """The target said itself that it did not run the current attempt.

        :raises InvariantBroken: if the attempt was answered before.
        """
        if self.states[-1] is AttemptState.ANSWERED:
            raise InvariantBroken("an answered attempt was refused")
        self.states[-1] = AttemptState.NOT_SENT

    def mark_answered(self) -> None:
        """The target began to answer the current attempt."""
        self.states[-1] = AttemptState.ANSWERED

    def annotate(self, exc: E) -> E:
        """Return ``exc`` saying of the run what is true."""
        exc.run = self.run
        return exc
