"""What is known of a request's runs, and what may be said about them."""

from enum import IntEnum
from typing import TypeVar

from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError

__all__ = ["Fact", "Life"]

E = TypeVar("E", bound=VanillabeamError)


class Fact(IntEnum):
    """What is known of one attempt; the larger, the more may have happened."""

    NOT_SENT = 0
    MAY_HAVE_RUN = 1
    ANSWERED = 2


_RUNS = {
    Fact.NOT_SENT: Run.NOT_RUN,
    Fact.MAY_HAVE_RUN: Run.UNKNOWN,
    Fact.ANSWERED: Run.RAN,
}


class Life:
    """The facts of every attempt of one request.

    :param repeatable: whether more than one attempt may have run.

    >>> life = Life(repeatable=False)
    >>> life.begin()
    >>> life.sent()
    >>> life.run
    <Run.UNKNOWN: 'unknown'>
    """

    def __init__(self, repeatable: bool):
        self.repeatable = repeatable
        self.facts: list[Fact] = []

    @property
    def run(self) -> Run:
        """Return what may truthfully be said of the request."""
        return _RUNS[max(self.facts, default=Fact.NOT_SENT)]

    def begin(self) -> None:
        """Start an attempt.

        :raises InvariantBroken: if an earlier one may have run and the
            request may not be repeated.
        """
        if not self.repeatable and self.run is not Run.NOT_RUN:
            raise InvariantBroken("a request that may not be repeated began again")
        self.facts.append(Fact.NOT_SENT)

    def sent(self) -> None:
        """Bytes of the current attempt may have left this VM."""
        self.facts[-1] = max(self.facts[-1], Fact.MAY_HAVE_RUN)

    def refused(self) -> None:
        """The target said itself that it did not run the current attempt.

        :raises InvariantBroken: if the attempt was answered before.
        """
        if self.facts[-1] is Fact.ANSWERED:
            raise InvariantBroken("an answered attempt was refused")
        self.facts[-1] = Fact.NOT_SENT

    def answered(self) -> None:
        """The target began to answer the current attempt."""
        self.facts[-1] = Fact.ANSWERED

    def tell(self, exc: E) -> E:
        """Return ``exc`` saying of the run what is true."""
        exc.run = self.run
        return exc
