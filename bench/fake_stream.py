"""Events of a fake target's streams, with injected faults."""

import random

from bench.fake_settings import Faults

__all__ = ["inject_faults", "make_events", "pieces_before_fault"]


def make_events(sent: int, pieces: list[bytes]) -> list[bytes]:
    """Return the events of new pieces, numbered after those that were sent."""
    return [
        b"id: %d\ndata: %b\n\n" % (number, piece)
        for number, piece in enumerate(pieces, sent + 1)
    ]


def inject_faults(
    events: list[bytes], faults: Faults, rng: random.Random
) -> list[bytes]:
    """Return events of which some are lost, swapped or sent twice."""
    if not (faults.duplicate or faults.reorder or faults.lose):
        return events
    events = [event for event in events if rng.random() >= faults.lose]
    for i in range(len(events) - 1):
        if rng.random() < faults.reorder:
            events[i], events[i + 1] = events[i + 1], events[i]
    copies = [2 if rng.random() < faults.duplicate else 1 for _ in events]
    return [e for e, n in zip(events, copies, strict=True) for _ in range(n)]


def pieces_before_fault(faults: Faults, sent: int) -> int | None:
    """Return how many pieces are sent before the next cut or silence."""
    limits = [n for n in (faults.cut_after, faults.silent_after) if n is not None]
    return min(limits) - sent if limits else None
