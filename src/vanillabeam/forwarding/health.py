"""Which targets failed this VM lately, and which data centres."""

from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.reachability import Reachability

__all__ = ["Health"]

#: A target that failed is passed over for so long, doubled each time.
BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0


class _Backoff(NamedTuple):
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
        self._reach = Reachability()
        self._rests: dict[tuple[str, int], _Backoff] = {}

    def record_success(self, target: Target) -> None:
        """Count a sound answer."""
        self._rests.pop(target.life, None)
        self._reach.record_success(target)

    def record_failure(self, target: Target, now_s: float) -> float:
        """Count a request without a sound answer; return the target's rest."""
        self._reach.record_failure(target, now_s)
        rest = self._rests.get(target.life)
        failures = 1 if rest is None else rest.failures + 1
        rest_s = min(BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S)
        self._rests[target.life] = _Backoff(failures, now_s + rest_s)
        return rest_s

    def is_available(self, target: Target, now_s: float) -> bool:
        """Return whether a target that failed may be tried again."""
        rest = self._rests.get(target.life)
        return rest is None or now_s >= rest.until_s

    def is_unreachable(self, target: Target, now_s: float) -> bool:
        """Return whether the target's whole data centre seems out of reach."""
        return self._reach.is_suspect(target.data_centre, now_s)
