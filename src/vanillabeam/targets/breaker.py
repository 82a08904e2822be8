"""A circuit breaker for one target."""

import random

__all__ = ["Breaker"]

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


class Breaker:
    """Opens after failures in a row and lets one probe through at a time.

    :param rng: spreads the pauses, so that owners do not probe in step.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.failures = 0
        self.open_until_s = float("-inf")
        self.probe: str | None = None

    @property
    def tripped(self) -> bool:
        """Return whether the last runs failed."""
        return self.failures >= FAILURES_TO_OPEN

    def allows(self, now_s: float) -> bool:
        """Return whether a run may be granted now."""
        if not self.tripped:
            return True
        return self.probe is None and now_s >= self.open_until_s

    def record_grant(self, permit_id: str) -> None:
        """Note a grant; while tripped it is the probe."""
        if self.tripped:
            self.probe = permit_id

    def record_failure(self, permit_id: str, now_s: float) -> None:
        """Count a failure and pause after too many."""
        self.failures += 1
        self.record_end(permit_id)
        if not self.tripped:
            return
        doublings = min(self.failures - FAILURES_TO_OPEN, 10)
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**doublings)
        self.open_until_s = now_s + pause_s * self._rng.uniform(0.75, 1.25)

    def record_success(self, permit_id: str) -> None:
        """Close the breaker."""
        self.failures = 0
        self.record_end(permit_id)

    def record_end(self, permit_id: str) -> None:
        """Note a run that ended without saying anything of the target."""
        if self.probe == permit_id:
            self.probe = None
