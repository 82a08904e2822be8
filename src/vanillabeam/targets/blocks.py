"""Blocks expected in a target's prefix cache; the information may be stale."""

from collections.abc import Sequence
from typing import NamedTuple

from vanillabeam.targetwire import CacheEvents

__all__ = ["BlockHints"]

#: Blocks kept per target; the oldest are dropped first.
HINT_LIMIT_BLOCKS = 50_000


class ApplyResult(NamedTuple):
    """Result of applying a message of cache events.

    :param gap: whether earlier events were missed and no summary has come since, so
        that the hints are incomplete.
    """

    gap: bool


class BlockHints:
    """Blocks cached by one boot of a target, according to its cache events."""

    def __init__(self):
        self.held: dict[str, None] = {}
        self.next_event = 0
        self._has_gap = False

    def clear(self) -> None:
        """Remove all blocks, after a restart of the target or the loss of its cache."""
        self.held.clear()
        self.next_event = 0
        self._has_gap = False

    def apply(self, message: CacheEvents) -> ApplyResult:
        """Apply events; skip those applied before and detect a gap."""
        first = message["first"]
        events = message["events"]
        if message.get("summary"):
            return self._replace(first, events)
        self._has_gap = self._has_gap or first > self.next_event
        skip = max(0, self.next_event - first)
        for event in events[skip:]:
            self._change(event["kind"], event["blocks"])
        self.next_event = max(self.next_event, first + len(events))
        return ApplyResult(self._has_gap)

    def count_leading(self, blocks: Sequence[str]) -> int:
        """Return how many leading ``blocks`` the target is expected to hold."""
        count = 0
        for block in blocks:
            if block not in self.held:
                return count
            count += 1
        return count

    def _replace(self, first: int, events) -> ApplyResult:
        self.held.clear()
        self._has_gap = False
        for event in events:
            self._change(event["kind"], event["blocks"])
        self.next_event = max(self.next_event, first + len(events))
        return ApplyResult(False)

    def _change(self, kind: str, blocks: list[str]) -> None:
        if kind == "cleared":
            self.held.clear()
            return
        for block in blocks:
            self.held.pop(block, None)
            if kind == "stored":
                self.held[block] = None
        while len(self.held) > HINT_LIMIT_BLOCKS:
            del self.held[next(iter(self.held))]
