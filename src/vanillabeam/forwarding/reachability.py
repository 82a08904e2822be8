"""Data centres that this VM can't reach, judged by several of their targets."""

from vanillabeam.fleet import Target

__all__ = ["Reachability"]

#: So many targets of one data centre fail before all of it is doubtful.
MIN_FAILED_TARGETS = 2
#: A failure speaks against its data centre for so long.
FAILURE_TTL_S = 2.0


class Reachability:
    """Failures by data centre, until one of its targets answers.

    Where a link is cut, each request to a target beyond it waits in vain.
    What two targets have shown need not be learned from each of the others.

    >>> reach = Reach()
    >>> reach.failed(target, now_s=1.0)
    >>> reach.failed(other, now_s=1.1)
    >>> reach.is_doubtful("kgl-a", now_s=1.2)
    True
    """

    def __init__(self):
        self._failed: dict[str, dict[str, float]] = {}

    def record_failure(self, target: Target, now_s: float) -> None:
        """Count a target that gave no sound answer."""
        self._failed.setdefault(target.data_centre, {})[target.name] = now_s

    def record_success(self, target: Target) -> None:
        """Count an answer: the data centre can be reached."""
        self._failed.pop(target.data_centre, None)

    def is_suspect(self, data_centre: str, now_s: float) -> bool:
        """Return whether the targets of a data centre are to be used last."""
        times = self._failed.get(data_centre, {}).values()
        return sum(now_s - at_s < FAILURE_TTL_S for at_s in times) >= MIN_FAILED_TARGETS
