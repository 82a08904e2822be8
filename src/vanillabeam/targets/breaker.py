"""A circuit breaker for one target."""

import random

__all__ = ["Breaker"]

FAILURES_TO_OPEN = 3
#: The pause doubles with each further failure, from the first to the longest.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


class Breaker:
    """Circuit breaker that opens after consecutive failures.

    While open, it allows one run at a time as a probe, after a pause.

    :param rng: source of jitter for the pauses, so that owners do not probe at
        the same time.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.failures = 0
        self.open_until_s = float("-inf")
        self.probe: str | None = None

    @property
    def tripped(self) -> bool:
        """Return whether enough of the last runs failed in a row."""
        return self.failures >= FAILURES_TO_OPEN

    def allows(self, now_s: float) -> bool:
        """Return whether a run may be granted now."""
        if not self.tripped:
            return True
        return self.probe is None and now_s >= self.open_until_s

    def record_grant(self, permit_id: str) -> None:
        """Record a grant; while the breaker is tripped it is the probe."""
        if self.tripped:
            self.probe = permit_id

    def record_failure(self, permit_id: str, now_s: float) -> None:
        """Record a failed run and start a pause if the breaker is tripped."""
        self.failures += 1
        self.record_end(permit_id)
        if not self.tripped:
            return
        doublings = min(self.failures - FAILURES_TO_OPEN, 10)
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**doublings)
        self.open_until_s = now_s + pause_s * self._rng.uniform(0.75, 1.25)

    def record_success(self, permit_id: str) -> None:
        """Record a successful run, which closes the breaker."""
        self.failures = 0
        self.record_end(permit_id)

    def record_end(self, permit_id: str) -> None:
        """Record the end of a run that says nothing about the target's health."""
        if self.probe == permit_id:
            self.probe = None
