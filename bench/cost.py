"""Costs of a function: memory that its result holds, processor time."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

__all__ = ["cpu_seconds", "held_bytes", "interleave"]


def held_bytes(build: Callable[[], Any]) -> int:
    """Return the number of bytes that the result of ``build()`` holds."""
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
    """Return the shortest processor time of ``work()`` in seconds.

    :param rounds: number of calls, of which the fastest counts.
    """
    best = float("inf")
    for _ in range(rounds):
        began_s = time.process_time()
        work()
        best = min(best, time.process_time() - began_s)
    return best


def interleave(variants: dict[str, Callable[[int], Any]], seed: int) -> dict[str, Any]:
    """Run every variant once with the same seed, in an order rotated by the seed.

    Repeats of the tool increment the seed, so no variant always runs first.

    :returns: results by name, in the order of ``variants``.
    """
    names = list(variants)
    turn = seed % len(names)
    order = names[turn:] + names[:turn]
    outputs = {name: variants[name](seed) for name in order}
    return {name: outputs[name] for name in names}
