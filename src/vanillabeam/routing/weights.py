"""Cost weights of routing, in seconds of delay to the first token."""

from typing import NamedTuple

__all__ = ["CostWeights"]


class CostWeights(NamedTuple):
    """Costs in equivalent seconds of first-token delay, and routing parameters.

    :param recomputed_token_s: cost of recomputing one prompt token.
    :param link_byte_s: cost of sending one byte over a link.
    :param remote_s: cost of a target in another data centre of the region.
    :param cold_s: cost of a cold target.
    :param token_bytes: bytes of KV cache for one token.
    :param load_factor: candidates whose load (requests per permit) exceeds this
        multiple of the mean load by more than 1 are ranked last.
    :param preferred_hit_share: share of a conversation's earlier blocks that its
        preferred target is assumed to hold while this entry VM has no record.
    :param sample: number of targets drawn at random beside the ranked ones.
    """

    recomputed_token_s: float = 0.0
    link_byte_s: float = 0.0
    remote_s: float = 0.005
    cold_s: float = 0.0
    token_bytes: float = 100_000.0
    load_factor: float = 1.5
    preferred_hit_share: float = 0.8
    sample: int = 6
