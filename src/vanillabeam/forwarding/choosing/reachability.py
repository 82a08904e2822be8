"""Detection of data centres that this VM can't reach."""

from vanillabeam.fleet import Target

__all__ = ["Reachability"]

#: Number of failed targets that makes their whole data centre suspect.
MIN_FAILED_TARGETS = 2
#: Time for which a failure counts against the data centre.
FAILURE_TTL_S = 2.0


class Reachability:
    """Tracks failed targets by data centre, until one of its targets answers.

    While the link to a data centre is down, every request to a target there waits
    for a timeout. Once two targets have failed, the others are used last, without
    a timeout at each of them.

    >>> reachability = Reachability()
    >>> reachability.record_failure(target, now_s=1.0)
    >>> reachability.record_failure(other, now_s=1.1)
    >>> reachability.is_suspect("kgl-a", now_s=1.2)
    True
    """

    def __init__(self):
        self._failed: dict[str, dict[str, float]] = {}

    def record_failure(self, target: Target, now_s: float) -> None:
        """Record a target that gave no valid answer."""
        self._failed.setdefault(target.data_centre, {})[target.name] = now_s

    def record_success(self, target: Target) -> None:
        """Record an answer, which shows that the data centre is reachable."""
        self._failed.pop(target.data_centre, None)

    def forget(self, name: str) -> None:
        """Forget the failures of a target, which had another cause."""
        for failed in self._failed.values():
            failed.pop(name, None)

    def is_suspect(self, data_centre: str, now_s: float) -> bool:
        """Return whether a data centre seems unreachable, so its targets come last."""
        times = self._failed.get(data_centre, {}).values()
        return sum(now_s - at_s < FAILURE_TTL_S for at_s in times) >= MIN_FAILED_TARGETS
