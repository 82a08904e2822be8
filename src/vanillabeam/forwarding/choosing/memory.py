"""Selection of targets with enough free memory for a prompt."""

from typing import NamedTuple

from vanillabeam.fleet import Engine, Target
from vanillabeam.forwarding.choosing.load import Load

__all__ = ["MemoryDemand", "with_free_memory"]

#: Share of a target's memory that each rank leaves free for more urgent ones.
RESERVE_PER_RANK = 0.05
MIN_MEMORY_SHARE = 0.5


class MemoryDemand(NamedTuple):
    """Memory that a prompt takes at a target.

    :param rank: urgency of the prompt, 0 is the most urgent.
    :param tokens: tokens of the prompt and of its answer.
    """

    rank: int
    tokens: int


def with_free_memory(
    usable: list[Target],
    engine: Engine,
    demand: MemoryDemand,
    load: Load,
    entries: int,
    now_s: float,
) -> list[Target]:
    """Return the targets that have enough free memory for a prompt.

    Less urgent prompts leave some memory free. An urgent prompt that finds none
    free preempts them, and their prefill is then repeated.

    :param usable: targets to choose from.
    :param demand: memory that the prompt takes.
    :param entries: number of entry VMs that send to the same targets.
    :param now_s: monotonic time in seconds.
    """
    limit = _limit(engine, demand.rank)
    fitting = []
    for target in usable:
        used = load.used_memory_tokens(target.name)
        if not load.is_near(target):
            used += load.unreported_load(target.name, entries, now_s).memory_tokens
        if not used or used + demand.tokens <= limit:
            fitting.append(target)
    return fitting


def _limit(engine: Engine, rank: int) -> float:
    return max(MIN_MEMORY_SHARE, 1 - RESERVE_PER_RANK * (rank + 1)) * engine.kv_tokens
