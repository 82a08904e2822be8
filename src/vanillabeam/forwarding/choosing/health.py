"""Health of targets and data centres, as seen by this VM's own requests."""

from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.reachability import Reachability

__all__ = ["Health"]

#: Backoff after the first failure of a target; each further failure doubles it.
BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0


class _Backoff(NamedTuple):
    failures: int
    until_s: float


class Health:
    """Tracks failures of targets, by incarnation, until they answer again.

    >>> health = Health()
    >>> health.record_failure(target, now_s=1.0)
    0.5
    >>> health.is_available(target, now_s=1.2)
    False
    """

    def __init__(self):
        self._reachability = Reachability()
        self._backoffs: dict[tuple[str, int], _Backoff] = {}

    def record_success(self, target: Target) -> None:
        """Record a valid answer of a target and end its backoff."""
        self._backoffs.pop(target.incarnation, None)
        self._reachability.record_success(target)

    def record_failure(
        self, target: Target, now_s: float, is_refused: bool = False
    ) -> float:
        """Record a request without a valid answer.

        :param is_refused: whether the target's address refused the connection. Its
            host, and so its data centre, is within reach then.
        :returns: the target's backoff in seconds.
        """
        if not is_refused:
            self._reachability.record_failure(target, now_s)
        backoff = self._backoffs.get(target.incarnation)
        failures = 1 if backoff is None else backoff.failures + 1
        backoff_s = min(BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S)
        self._backoffs[target.incarnation] = _Backoff(failures, now_s + backoff_s)
        return backoff_s

    def record_end(self, incarnation: tuple[str, int]) -> None:
        """Record that a target has ended, which says nothing of its data centre."""
        self._reachability.forget(incarnation[0])

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other incarnations."""
        self._backoffs = {
            incarnation: backoff
            for incarnation, backoff in self._backoffs.items()
            if incarnation in incarnations
        }

    def is_available(self, target: Target, now_s: float) -> bool:
        """Return whether no backoff of the target is running."""
        backoff = self._backoffs.get(target.incarnation)
        return backoff is None or now_s >= backoff.until_s

    def is_unreachable(self, target: Target, now_s: float) -> bool:
        """Return whether the target's whole data centre seems unreachable."""
        return self._reachability.is_suspect(target.data_centre, now_s)
