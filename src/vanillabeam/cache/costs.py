"""Cost model: import or recompute leading blocks, and export or skip blocks."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["Prices", "blocks_to_import", "should_export", "token_cost_s"]

#: Fixed cost in seconds of starting an import.
START_S = 0.005


class Prices(NamedTuple):
    """Prices of work in addition to its time, as seconds of time to first token.

    :param recomputed_token_s: price of computing a token again, in seconds.
    :param link_byte_s: price of moving a byte over a link, in seconds.
    """

    recomputed_token_s: float = 0.0
    link_byte_s: float = 0.0


def token_cost_s(prefill_tokens_s: float, prices: Prices) -> float:
    """Return the cost in seconds of computing one prompt token again.

    :param prefill_tokens_s: prefill rate of the target in tokens a second.
    """
    return 1.0 / prefill_tokens_s + prices.recomputed_token_s


def blocks_to_import(
    lengths: Sequence[int],
    block_tokens: int,
    prefill_tokens_s: float,
    expected_s: Callable[[int], float],
    prices: Prices,
) -> int:
    """Return the number of leading blocks that are cheaper to import than compute.

    The remaining blocks are computed after the import. Importing only some blocks
    pays off when the link's token bucket covers these at once and the others
    would have to wait for a refill.

    :param lengths: sizes in bytes of the leading blocks in the store, in order.
    :param block_tokens: tokens in a block.
    :param prefill_tokens_s: prefill rate of the target in tokens a second.
    :param expected_s: returns the expected seconds to import a number of bytes.
    """
    token_s = token_cost_s(prefill_tokens_s, prices)
    best_count = 0
    best_cost_s = len(lengths) * block_tokens * token_s
    size = 0
    for count, length in enumerate(lengths, start=1):
        size += length
        computed_tokens = (len(lengths) - count) * block_tokens
        cost_s = START_S + expected_s(size) + size * prices.link_byte_s
        cost_s += computed_tokens * token_s
        if cost_s < best_cost_s:
            best_count, best_cost_s = count, cost_s
    return best_count


def should_export(
    size: int,
    reuse_probability: float,
    compute_s: float,
    import_s: float,
    prices: Prices,
) -> bool:
    """Return whether exporting a block is expected to save more than it costs.

    An export saves nothing if importing the block costs more than computing it.

    :param size: size of the block in bytes.
    :param reuse_probability: probability that the prompt is sent again, so that
        the block is imported.
    :param compute_s: seconds to compute the block again, including its price.
    :param import_s: seconds to import the block over an idle link.
    """
    price_s = size * prices.link_byte_s
    saved_s = compute_s - import_s - price_s
    return saved_s > 0 and reuse_probability * saved_s > price_s
