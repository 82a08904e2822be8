"""What a piece of work costs: bytes held, processor time."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

__all__ = ["cpu_seconds", "held_bytes", "interleave"]


def held_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that the value of ``build()`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        value = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del value
    return after - before


def cpu_seconds(work: Callable[[], Any], rounds: int = 3) -> float:
    """Return the least processor time of ``work()`` in ``rounds`` rounds."""
    best = float("inf")
    for _ in range(rounds):
        began_s = time.process_time()
        work()
        best = min(best, time.process_time() - began_s)
    return best


def interleave(variants: dict[str, Callable[[int], Any]], seed: int) -> dict[str, Any]:
    """Run every variant once on the same seed, in an order that turns with it.

    Repeats of the tool raise the seed, so that no variant always goes first.
    """
    names = list(variants)
    turn = seed % len(names)
    order = names[turn:] + names[:turn]
    outputs = {name: variants[name](seed) for name in order}
    return {name: outputs[name] for name in names}
