"""Scheduling between workspaces: weighted fair shares and reservations."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

__all__ = ["MIN_WEIGHT", "ReservedShares", "Share", "Shares", "WeightedShares"]

MAX_IDLE_WORKSPACES = 1000
MIN_WEIGHT = 0.01
#: Seconds of unused reservation that a workspace may catch up on.
MAX_CATCH_UP_S = 2.0


class Share(NamedTuple):
    """Share of the capacity that a workspace is entitled to.

    :param weight: relative share of the capacity beyond all reservations.
    :param reservation_tokens_s: tokens a second reserved for the workspace.
    """

    weight: float = 1.0
    reservation_tokens_s: float = 0.0


class Shares(Protocol):
    """Scheduler that picks the workspace whose first request is served next."""

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return the next workspace.

        :param heads: each workspace with the cost of its first request.
        """

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Charge a workspace for a request that was started."""


class WeightedShares:
    """Start-time fair queueing over workspaces.

    :param share_of: returns the share of a workspace by its name.
    """

    def __init__(self, share_of):
        self._share_of = share_of
        self._virtual_time = 0.0
        self._finish_times: dict[str, float] = {}

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return the workspace that is furthest behind its fair share."""
        return min((self.start(name), name) for name, _ in heads)[1]

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Advance the workspace's virtual finish time by cost over weight."""
        start = self.start(workspace)
        weight = max(MIN_WEIGHT, self._share_of(workspace).weight)
        self._finish_times[workspace] = start + cost / weight
        self._virtual_time = start
        self._drop_idle()

    def start(self, workspace: str) -> float:
        """Return the virtual time at which the next request of a workspace starts."""
        return max(self._virtual_time, self._finish_times.get(workspace, 0.0))

    def _drop_idle(self) -> None:
        if len(self._finish_times) <= MAX_IDLE_WORKSPACES:
            return
        self._finish_times = {
            name: finish
            for name, finish in self._finish_times.items()
            if finish > self._virtual_time
        }


class ReservedShares(WeightedShares):
    """Weighted shares in which workspaces with a due reservation go first.

    Each workspace with a reservation has a time at which its next request is
    due, spaced by cost over the reserved rate; see ``docs/design/admission.md``.
    """

    def __init__(self, share_of):
        super().__init__(share_of)
        self._due_s: dict[str, float] = {}

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return the workspace whose reservation is most overdue, if any.

        Otherwise return the one furthest behind its fair share.
        """
        heads = list(heads)
        due = [
            (self._due_s.get(name, now_s), name)
            for name, _ in heads
            if self._share_of(name).reservation_tokens_s > 0
        ]
        if due and min(due)[0] <= now_s:
            return min(due)[1]
        return super().pick(heads, now_s)

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Charge the workspace and set when its next request is due."""
        super().charge(workspace, cost, now_s)
        rate = self._share_of(workspace).reservation_tokens_s
        if rate <= 0:
            return
        due_s = max(now_s - MAX_CATCH_UP_S, self._due_s.get(workspace, now_s))
        self._due_s[workspace] = due_s + cost / rate
        if len(self._due_s) > MAX_IDLE_WORKSPACES:
            oldest_s = now_s - MAX_CATCH_UP_S
            due = self._due_s.items()
            self._due_s = {name: due_s for name, due_s in due if due_s > oldest_s}
