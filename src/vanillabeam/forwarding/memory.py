"""Which prompts fit into the targets' memory, as far as this VM can know."""

from typing import NamedTuple

from vanillabeam.fleet import Engine, Target
from vanillabeam.forwarding.load import Load

__all__ = ["MemoryDemand", "with_free_memory"]

#: Share of a target's memory that each rank leaves to more urgent ones.
RESERVE_PER_RANK = 0.05
MIN_MEMORY_SHARE = 0.5


class MemoryDemand(NamedTuple):
    """What a prompt takes of a target's memory.

    :param rank: 0 is the most urgent.
    :param tokens: of the prompt and the answer.
    """

    rank: int
    tokens: int


def with_free_memory(
    usable: list[Target],
    engine: Engine,
    needed: MemoryDemand,
    load: Load,
    entries: int,
    now_s: float,
) -> list[Target]:
    """Return the targets whose memory has room for a prompt.

    Less urgent ones leave some free: an urgent one that found none would
    preempt them, and what they had read would be read again.

    :param entries: entry VMs that send to the same targets.
    """
    limit = _limit(engine, needed.rank)
    found = []
    for target in usable:
        unreported = load.unreported_load(target.name, entries, now_s)
        taken = load.used_memory_tokens(target.name) + unreported.memory_tokens
        if not taken or taken + needed.tokens <= limit:
            found.append(target)
    return found


def _limit(engine: Engine, rank: int) -> float:
    return max(MIN_MEMORY_SHARE, 1 - RESERVE_PER_RANK * (rank + 1)) * engine.kv_tokens
