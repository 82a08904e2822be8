"""Claim of one request to a place at the targets of its service."""

import itertools

__all__ = ["Claim"]

#: Longest time kept for the answer itself, as a share of the time limit, so that a
#: request is tried while it is not known well how long its answer takes.
MAX_NEEDED_SHARE = 0.5

_numbers = itertools.count(1)


class Claim:
    """A request that waits for a place at some target.

    :param rank: urgency, 0 is the most urgent.
    :param workspace: workspace that the place is charged to.
    :param arrival_s: monotonic time at which the request arrived.
    :param deadline_s: monotonic time by which its answer is due.
    :param size: cost of the request; 1 for a plain call, tokens for a prompt.
    :param weight: share of the workspace, relative to the others.
    :param is_returning: whether the caller has been refused before.
    :param hold_s: seconds for which claims behind it are held back once it was offered
        a place and fitted nowhere.
    :param route: name of the route, from which the rank follows.
    :ivar needed_s: seconds that its answer takes once it has a place.
    :ivar earliest_s: monotonic time before which no target is expected to have a place.
    :ivar is_likely: whether it was found likely to get a place in time.
    """

    def __init__(
        self,
        rank: int,
        workspace: str,
        arrival_s: float,
        deadline_s: float,
        size: float = 1.0,
        weight: float = 1.0,
        is_returning: bool = False,
        hold_s: float = 0.0,
        route: str = "",
    ):
        self.rank = rank
        self.workspace = workspace
        self.arrival_s = arrival_s
        self.deadline_s = deadline_s
        self.size = size
        self.weight = weight
        self.is_returning = is_returning
        self.hold_s = hold_s
        self.route = route
        self.needed_s = 0.0
        self.earliest_s = float("-inf")
        self.is_likely = False
        self.number = next(_numbers)
        self._tried_at: int | None = None
        self._held_from_s: float | None = None

    @property
    def latest_s(self) -> float:
        """Latest monotonic time at which a place is of use."""
        limit_s = self.deadline_s - self.arrival_s
        return self.deadline_s - min(self.needed_s, MAX_NEEDED_SHARE * limit_s)

    @property
    def key(self) -> tuple[bool, float, float, int]:
        """Place among the claims of the same rank and workspace; smallest first.

        The size has no part in it, so that large requests are not passed over.
        """
        return (
            not self.is_returning,
            self.deadline_s,
            self.arrival_s,
            self.number,
        )

    def record_no_fit(self, change: int, now_s: float) -> None:
        """Record that no target has a place for it.

        :param change: number of the last change of places.
        """
        self._tried_at = change
        if self._held_from_s is None:
            self._held_from_s = now_s

    def was_tried(self, change: int) -> bool:
        """Return whether it found no place since the last change of places."""
        return self._tried_at == change

    def holds_back(self, now_s: float) -> bool:
        """Return whether the claims behind it wait until it has been served."""
        return self._held_from_s is None or now_s < self._held_from_s + self.hold_s
