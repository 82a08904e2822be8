"""Decision whether a request has run, derived from the states of its attempts."""

from enum import IntEnum
from typing import TypeVar

from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError

__all__ = ["AttemptHistory", "AttemptState", "Exclusions"]

E = TypeVar("E", bound=VanillabeamError)


class AttemptState(IntEnum):
    """State of one attempt, ordered by how far it may have got."""

    NOT_SENT = 0
    MAY_HAVE_RUN = 1
    ANSWERED = 2


_RUNS = {
    AttemptState.NOT_SENT: Run.NOT_RUN,
    AttemptState.MAY_HAVE_RUN: Run.UNKNOWN,
    AttemptState.ANSWERED: Run.RAN,
}


class Exclusions:
    """Targets that failed a request and aren't chosen for it again.

    :ivar targets: their names.

    >>> exclusions = Exclusions()
    >>> exclusions.add("t-1")
    >>> exclusions.clear_once(), exclusions.targets
    (True, frozenset())
    """

    def __init__(self):
        self.targets: frozenset[str] = frozenset()
        self._is_cleared = False

    def add(self, target: str) -> None:
        """Exclude a target."""
        self.targets |= {target}

    def clear_once(self) -> bool:
        """Make all targets eligible again, the first time; return whether any was not.

        A target that failed may be the only one and may have recovered by now.
        """
        if not self.targets or self._is_cleared:
            return False
        self._is_cleared = True
        self.targets = frozenset()
        return True


class AttemptHistory:
    """States of all attempts of one request.

    :param repeatable: whether the request may run more than once.
    :ivar states: one state for each attempt, the current attempt last.

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
        """Return whether the request ran, over all attempts."""
        return _RUNS[max(self.states, default=AttemptState.NOT_SENT)]

    def begin_attempt(self) -> None:
        """Add an attempt of which nothing has been sent.

        :raises InvariantBroken: if an earlier attempt may have run and the
            request may not be repeated.
        """
        if not self.repeatable and self.run is not Run.NOT_RUN:
            raise InvariantBroken("a request that may not be repeated began again")
        self.states.append(AttemptState.NOT_SENT)

    def mark_sent(self) -> None:
        """Record that bytes of the current attempt may have left this VM."""
        self.states[-1] = max(self.states[-1], AttemptState.MAY_HAVE_RUN)

    def mark_refused(self) -> None:
        """Record that the target refused to run the current attempt.

        :raises InvariantBroken: if the target had begun to answer it.
        """
        if self.states[-1] is AttemptState.ANSWERED:
            raise InvariantBroken("an answered attempt was refused")
        self.states[-1] = AttemptState.NOT_SENT

    def mark_answered(self) -> None:
        """Record that the target began to answer the current attempt."""
        self.states[-1] = AttemptState.ANSWERED

    def annotate(self, exc: E) -> E:
        """Set ``exc.run`` to the known run state and return ``exc``."""
        exc.run = self.run
        return exc
