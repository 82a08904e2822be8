"""Import or recompute: how much of a prompt's beginning to import."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["Prices", "blocks_to_import", "should_export", "token_cost_s"]

START_S = 0.005


class Prices(NamedTuple):
    """What work costs besides time, in seconds of first token.

    :param recomputed_token_s: price of a token computed again.
    :param link_byte_s: price of a byte on a link.
    """

    recomputed_token_s: float = 0.0
    link_byte_s: float = 0.0


def token_cost_s(prefill_tokens_s: float, prices: Prices) -> float:
    """Return what computing one token of a prompt again costs."""
    return 1.0 / prefill_tokens_s + prices.recomputed_token_s


def blocks_to_import(
    lengths: Sequence[int],
    block_tokens: int,
    prefill_tokens_s: float,
    expected_s: Callable[[int], float],
    prices: Prices,
) -> int:
    """Return how many leading blocks cost less to import than to compute.

    What is not imported is computed after the import, so a part pays where
    the link's bucket has some bytes at once and the rest would have to wait.

    :param lengths: bytes of the blocks that the store could give, in order.
    :param expected_s: seconds until so many bytes are imported.
    """
    token_s = token_cost_s(prefill_tokens_s, prices)
    best = 0
    best_cost_s = len(lengths) * block_tokens * token_s
    size = 0
    for count, length in enumerate(lengths, start=1):
        size += length
        left = (len(lengths) - count) * block_tokens
        cost_s = START_S + expected_s(size) + size * prices.link_byte_s
        cost_s += left * token_s
        if cost_s < best_cost_s:
            best, best_cost_s = count, cost_s
    return best


def should_export(
    size: int, chance: float, compute_s: float, import_s: float, prices: Prices
) -> bool:
    """Return whether an export is expected to save more than it costs.

    It saves nothing where the import would not pay either.

    :param chance: chance that the prompt returns; then it is imported.
    :param compute_s: seconds to compute the block again, price included.
    :param import_s: seconds to import it over an idle link.
    """
    price_s = size * prices.link_byte_s
    saved_s = compute_s - import_s - price_s
    return saved_s > 0 and chance * saved_s > price_s
