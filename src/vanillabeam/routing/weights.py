"""What a deployment is willing to pay for an earlier first token."""

from typing import NamedTuple

__all__ = ["CostWeights"]


class CostWeights(NamedTuple):
    """Prices, in seconds of first token.

    :param recomputed_token_s: price of computing a prompt token again.
    :param link_byte_s: price of a byte over a link.
    :param remote_s: price of another data centre of the region.
    :param cold_s: price of a target whose window has not opened.
    :param token_bytes: KV bytes of one token.
    :param load_factor: candidates with more than so many times the mean load
        come last.
    :param preferred_hit_share: part of a conversation's earlier blocks that its first
        choice is taken to hold while nothing is known.
    :param sample: targets drawn at random beside the ranked ones.
    """

    recomputed_token_s: float = 0.0
    link_byte_s: float = 0.0
    remote_s: float = 0.005
    cold_s: float = 0.0
    token_bytes: float = 100_000.0
    load_factor: float = 1.5
    preferred_hit_share: float = 0.8
    sample: int = 6
