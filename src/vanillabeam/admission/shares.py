"""Whose turn it is: weighted fair shares, and reservations above them."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

__all__ = ["ReservedShares", "Share", "Shares", "WeightedShares"]

IDLE_LIMIT = 1000
LEAST_WEIGHT = 0.01
CATCH_UP_S = 2.0


class Share(NamedTuple):
    """What a workspace is entitled to.

    :param weight: part of what no reservation takes.
    :param reservation_tokens_s: tokens a second that are its own.
    """

    weight: float = 1.0
    reservation_tokens_s: float = 0.0


class Shares(Protocol):
    """Picks the workspace whose first request goes next."""

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return one workspace of ``heads`` (workspace, cost of its first)."""

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Count a request of ``workspace`` that was started."""


class WeightedShares:
    """Start-time fair queueing over workspaces.

    :param share_of: gives a workspace's share by name.
    """

    def __init__(self, share_of):
        self._share_of = share_of
        self._virtual = 0.0
        self._finish: dict[str, float] = {}

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return the workspace that is furthest behind its share."""
        return min((self._start(name), name) for name, _ in heads)[1]

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Move the workspace's next turn back by its cost over its weight."""
        start = self._start(workspace)
        weight = max(LEAST_WEIGHT, self._share_of(workspace).weight)
        self._finish[workspace] = start + cost / weight
        self._virtual = start
        self._forget_idle()

    def _start(self, workspace: str) -> float:
        return max(self._virtual, self._finish.get(workspace, 0.0))

    def _forget_idle(self) -> None:
        if len(self._finish) <= IDLE_LIMIT:
            return
        self._finish = {
            name: finish
            for name, finish in self._finish.items()
            if finish > self._virtual
        }


class ReservedShares(WeightedShares):
    """Weighted shares, but a reservation that is due goes first.

    Each workspace with a reservation has a time at which its next request is
    due, spaced by cost over the reserved rate; see ``docs/design/admission.md``.
    """

    def __init__(self, share_of):
        super().__init__(share_of)
        self._due_s: dict[str, float] = {}

    def pick(self, heads: Iterable[tuple[str, float]], now_s: float) -> str:
        """Return the workspace most overdue, else the furthest behind."""
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
        """Set when the workspace's next request is due."""
        super().charge(workspace, cost, now_s)
        rate = self._share_of(workspace).reservation_tokens_s
        if rate <= 0:
            return
        due_s = max(now_s - CATCH_UP_S, self._due_s.get(workspace, now_s))
        self._due_s[workspace] = due_s + cost / rate
        if len(self._due_s) > IDLE_LIMIT:
            late_s = now_s - CATCH_UP_S
            due = self._due_s.items()
            self._due_s = {name: due_s for name, due_s in due if due_s > late_s}
