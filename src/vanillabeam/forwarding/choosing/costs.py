"""Costs of a prompt at a target, given the parts of it that stores keep."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.memory import MemoryDemand
from vanillabeam.forwarding.dialect import PromptPart, RequestMetadata

__all__ = ["FetchCost", "PromptCosts", "estimate_costs", "fetch_cost_ratio"]

#: Cost of fetching a stored part relative to its prefill, while some speed that
#: decides it is unknown.
DEFAULT_FETCH_COST_RATIO = 0.1
#: Upper limit of that ratio; above it, a target prefills instead of fetching.
MAX_FETCH_COST_RATIO = 0.5
#: Factor by which fetches from another data centre take longer.
REMOTE_FETCH_FACTOR = 2.0
#: Factor on the fetch costs at the preferred target, which may have cached the
#: parts itself.
PREFERRED_FETCH_FACTOR = 0.5


class FetchCost(NamedTuple):
    """Cost of fetching a part from a store.

    :param data_centre: data centre of the store.
    :param cost_ratio: cost of a fetch within that data centre, relative to the
        prefill of the part.
    """

    data_centre: str
    cost_ratio: float = DEFAULT_FETCH_COST_RATIO


class PromptCosts(NamedTuple):
    """Costs of a prompt, in tokens to prefill.

    The preferred target is the one that rendezvous hashing selects for the
    affinity key.

    :param affinity_key: id of the last shared part. Prompts of the same key prefer
        the same target, which then has their shared parts cached.
    :param unique_tokens: tokens of the last part, which no other prompt shares.
    :param unstored_tokens: tokens of shared parts that can't be fetched.
    :param fetch_tokens: cost of the fetches, by data centre of the stores.
    :param preferred_has_all: whether the preferred target has probably cached
        all shared parts.
    :param rank: urgency of the prompt, 0 is the most urgent.
    :param memory_tokens: tokens of memory that the prompt takes.
    :param holders: incarnations of targets that have used the shared parts
        recently.
    :param objective_s: seconds within which the first event is due; 0 without one.
    """

    affinity_key: str
    unique_tokens: int
    unstored_tokens: int
    fetch_tokens: dict[str, float]
    preferred_has_all: bool
    rank: int
    memory_tokens: int
    holders: frozenset[tuple[str, int]]
    objective_s: float = 0.0

    @property
    def memory_demand(self) -> MemoryDemand:
        """Memory that the prompt takes at a target."""
        return MemoryDemand(self.rank, self.memory_tokens)

    def work_at(self, target: Target, is_preferred: bool) -> int:
        """Return the work of the prompt at a target, in tokens to prefill.

        :param is_preferred: whether it is the preferred target.
        """
        if target.incarnation in self.holders or (
            is_preferred and self.preferred_has_all
        ):
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
    objective_s: float = 0.0,
) -> PromptCosts | None:
    """Return the costs of a prompt, ``None`` for a plain call.

    A part that no store keeps counts as cached at no target: none has prefilled
    it, or not long ago.

    :param find_stored: returns the cost of fetching a part, ``None`` if no store
        keeps it. Itself ``None`` while the contents of the stores are unknown; the
        preferred target may then have cached everything.
    :param rank: urgency of the prompt, 0 is the most urgent.
    :param holders: incarnations of targets that have used the shared parts
        recently.
    :param objective_s: seconds within which the first event is due; 0 without one.
    """
    if not metadata.parts:
        return None
    shared = metadata.parts[:-1]
    fetch_tokens: dict[str, float] = {}
    unstored_tokens = _tokens(shared)
    for part in shared if find_stored else ():
        fetch_cost = find_stored(part.part_id)
        if fetch_cost is None:
            break
        unstored_tokens -= part.tokens
        tokens = (
            fetch_tokens.get(fetch_cost.data_centre, 0.0)
            + fetch_cost.cost_ratio * part.tokens
        )
        fetch_tokens[fetch_cost.data_centre] = tokens
    return PromptCosts(
        affinity_key=(shared or metadata.parts)[-1].part_id,
        unique_tokens=metadata.parts[-1].tokens,
        unstored_tokens=unstored_tokens,
        fetch_tokens=fetch_tokens,
        preferred_has_all=find_stored is None,
        rank=rank,
        memory_tokens=_tokens(metadata.parts) + metadata.output_tokens,
        holders=holders,
        objective_s=objective_s,
    )


def fetch_cost_ratio(kv_bytes: float, link_bytes_s: float, tokens_s: float) -> float:
    """Return the cost of fetching a part, relative to its prefill.

    An argument of 0 is unknown, and the default ratio is returned.

    :param kv_bytes: size of the KV cache of one token, in bytes.
    :param link_bytes_s: bytes per second that the store's link carries.
    :param tokens_s: tokens per second that a target prefills.
    """
    if not (kv_bytes and link_bytes_s and tokens_s):
        return DEFAULT_FETCH_COST_RATIO
    return min(MAX_FETCH_COST_RATIO, kv_bytes / link_bytes_s * tokens_s)


def _tokens(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts)
