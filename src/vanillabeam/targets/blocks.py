"""Which blocks a target's prefix cache should hold: hints, never facts."""

from collections.abc import Sequence
from typing import NamedTuple

from vanillabeam.targetwire import CacheEvents

__all__ = ["BlockHints"]

HINT_LIMIT_BLOCKS = 50_000


class ApplyResult(NamedTuple):
    """What came of a message of cache events.

    :param gap: events were missed, so that the view is doubtful.
    """

    gap: bool


class BlockHints:
    """The blocks of one boot of one target, as its events tell them."""

    def __init__(self):
        self.held: dict[str, None] = {}
        self.next_event = 0
        self.incomplete = True

    def clear(self) -> None:
        """Forget everything: the target started again or turned cold."""
        self.held.clear()
        self.next_event = 0
        self.incomplete = True

    def apply(self, message: CacheEvents) -> ApplyResult:
        """Take events in; older ones are skipped, a gap makes doubtful."""
        first = message["first"]
        events = message["events"]
        if message.get("summary"):
            return self._replace(first, events)
        gap = first > self.next_event and self.next_event > 0
        skip = max(0, self.next_event - first)
        for event in events[skip:]:
            self._change(event["kind"], event["blocks"])
        self.next_event = max(self.next_event, first + len(events))
        self.incomplete = self.incomplete or gap
        return ApplyResult(gap)

    def count_leading(self, blocks: Sequence[str]) -> int:
        """Return how many of the first ``blocks`` the target should hold."""
        count = 0
        for block in blocks:
            if block not in self.held:
                return count
            count += 1
        return count

    def _replace(self, first: int, events) -> ApplyResult:
        self.held.clear()
        for event in events:
            self._change(event["kind"], event["blocks"])
        self.next_event = max(self.next_event, first + len(events))
        self.incomplete = False
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
