"""What a prompt costs a target, by what the stores keep of it."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata
from vanillabeam.forwarding.memory import MemoryDemand

__all__ = ["FetchCost", "PromptCosts", "fetch_cost_ratio", "estimate_costs"]

#: What fetching a kept part costs of reading it, where no speed is known.
DEFAULT_FETCH_COST_RATIO = 0.1
#: A fetch costs no more of reading than this; else reading would be better.
MAX_FETCH_COST_RATIO = 0.5
#: Fetches from another data centre take so many times longer.
REMOTE_FETCH_FACTOR = 2.0
#: What is left of a fetch at the favourite, which may have the parts itself.
PREFERRED_FETCH_FACTOR = 0.5


class FetchCost(NamedTuple):
    """A part that a store keeps.

    :param data_centre: of the store.
    :param share: what fetching it within that costs of reading it.
    """

    data_centre: str
    cost_ratio: float = DEFAULT_FETCH_COST_RATIO


class PromptCosts(NamedTuple):
    """What a prompt costs, in tokens to read.

    :param affinity: what keeps prompts together that share most.
    :param own: the part that no other prompt shares.
    :param unread: shared parts that can't be fetched.
    :param fetched: tokens to read that fetching is worth, by the data centre
        of the stores.
    :param favourite_has_all: whether the favourite has most likely read them.
    :param rank: 0 is the most urgent.
    :param room: tokens of memory that it takes.
    :param holders: lives of targets that have used its shared parts lately.
    """

    affinity_key: str
    unique_tokens: int
    unstored_tokens: int
    fetch_tokens: dict[str, float]
    preferred_has_all: bool
    rank: int
    memory_tokens: int
    holders: frozenset[tuple[str, int]]

    @property
    def memory_demand(self) -> MemoryDemand:
        """What it takes of a target's memory."""
        return MemoryDemand(self.rank, self.memory_tokens)

    def work_at(self, target: Target, is_preferred: bool) -> int:
        """Return what it costs at a target."""
        if target.life in self.holders or (is_preferred and self.preferred_has_all):
            return self.unique_tokens
        fetch_tokens = sum(
            tokens * (1.0 if data_centre == target.data_centre else REMOTE_FETCH_FACTOR)
            for data_centre, tokens in self.fetch_tokens.items()
        )
        if is_preferred:
            fetch_tokens *= PREFERRED_FETCH_FACTOR
        return self.unique_tokens + self.unstored_tokens + int(fetch_tokens)


def estimate_costs(
    metadata: RequestMetadata,
    find_stored: Callable[[str], FetchCost | None] | None,
    rank: int,
    holders: frozenset[tuple[str, int]] = frozenset(),
) -> PromptCosts | None:
    """Return the costs of a prompt, ``None`` for a plain call.

    What the stores don't keep nobody has read, or not for long.

    :param find: returns where a part is kept; ``None`` while nothing is known
        of stores, and the favourite may have read anything.
    """
    if not metadata.parts:
        return None
    shared = metadata.parts[:-1]
    fetch_tokens: dict[str, float] = {}
    unstored_tokens = _tokens(shared)
    for part in shared if find_stored else ():
        kept = find_stored(part.part_id)
        if kept is None:
            break
        unstored_tokens -= part.tokens
        tokens = fetch_tokens.get(kept.data_centre, 0.0) + kept.cost_ratio * part.tokens
        fetch_tokens[kept.data_centre] = tokens
    return PromptCosts(
        affinity_key=(shared or metadata.parts)[-1].part_id,
        unique_tokens=metadata.parts[-1].tokens,
        unstored_tokens=unstored_tokens,
        fetch_tokens=fetch_tokens,
        preferred_has_all=find_stored is None,
        rank=rank,
        memory_tokens=_tokens(metadata.parts) + metadata.output_tokens,
        holders=holders,
    )


def fetch_cost_ratio(kv_bytes: float, link_bytes_s: float, tokens_s: float) -> float:
    """Return what fetching a part costs of reading it.

    :param kv_bytes: of one token.
    :param link_bytes_s: that the store's link carries.
    :param tokens_s: that a target reads; 0 in any of them is not known.
    """
    if not (kv_bytes and link_bytes_s and tokens_s):
        return DEFAULT_FETCH_COST_RATIO
    return min(MAX_FETCH_COST_RATIO, kv_bytes / link_bytes_s * tokens_s)


def _tokens(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts)
