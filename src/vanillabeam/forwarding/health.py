"""Which targets failed this VM lately, and which data centres."""

from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.reach import Reach

__all__ = ["Health"]

#: A target that failed is passed over for so long, doubled each time.
REST_S = 0.5
MOST_REST_S = 8.0


class _Rest(NamedTuple):
    failures: int
    until_s: float


class Health:
    """Failures of targets, each by its life, until they answer again.

    >>> health = Health()
    >>> health.failed(target, now_s=1.0)
    >>> health.is_rested(target, now_s=1.2)
    False
    """

    def __init__(self):
        self._reach = Reach()
        self._rests: dict[tuple[str, int], _Rest] = {}

    def answered(self, target: Target) -> None:
        """Count a sound answer."""
        self._rests.pop(target.incarnation, None)
        self._reach.answered(target)

    def failed(self, target: Target, now_s: float) -> float:
        """Count a request without a sound answer; return the target's rest."""
        self._reach.failed(target, now_s)
        rest = self._rests.get(target.incarnation)
        failures = 1 if rest is None else rest.failures + 1
        rest_s = min(REST_S * 2 ** (failures - 1), MOST_REST_S)
        self._rests[target.incarnation] = _Rest(failures, now_s + rest_s)
        return rest_s

    def is_rested(self, target: Target, now_s: float) -> bool:
        """Return whether a target that failed may be tried again."""
        rest = self._rests.get(target.incarnation)
        return rest is None or now_s >= rest.until_s

    def is_cut_off(self, target: Target, now_s: float) -> bool:
        """Return whether the target's whole data centre seems out of reach."""
        return self._reach.is_doubtful(target.data_centre, now_s)
