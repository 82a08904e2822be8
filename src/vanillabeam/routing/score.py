"""Expected time to first token of a request at a target, and its cost."""

from typing import NamedTuple

from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.routing.weights import CostWeights

__all__ = ["Score", "score"]

BASE_S = 0.05
MIN_RATE_TOKENS_S = 10.0


class Score(NamedTuple):
    """Expected delay and cost of a request at a target; the lowest cost wins.

    :param cost_s: time to first token plus weighted costs, in seconds.
    :param first_token_s: expected time to first token in seconds.
    :param wait_s: portion of it spent in the owner's queue.
    :param delay_s: portion of it spent waiting for other requests, queue included.
    :param cached_tokens: prompt tokens expected in the target's cache.
    :param import_tokens: prompt tokens to import from a store.
    """

    cost_s: float
    first_token_s: float
    wait_s: float
    delay_s: float
    cached_tokens: int
    import_tokens: int


def score(
    request: RouteRequest,
    view: TargetView,
    held_blocks: int,
    weights: CostWeights,
    is_remote: bool,
    now_s: float,
) -> Score:
    """Return the score of ``view`` for ``request``.

    :param held_blocks: number of leading blocks that the target should hold.
    :param is_remote: whether the target is in another data centre.
    """
    rate = max(MIN_RATE_TOKENS_S, view.prefill_tokens_s)
    prompt = request.prompt_tokens
    cached = min(prompt, held_blocks * BLOCK_TOKENS)
    import_tokens, import_s = _import(request, view, cached, rate, weights)
    computed = prompt - cached - import_tokens
    pending = max(0.0, view.pending_tokens - rate * (now_s - view.seen_s))
    wait_s = _wait_s(view)
    delay_s = wait_s + pending / rate
    first_token_s = BASE_S + delay_s + import_s + computed / rate
    cost_s = first_token_s + weights.recomputed_token_s * computed
    cost_s += weights.link_byte_s * import_tokens * weights.token_bytes
    cost_s += weights.remote_s * is_remote + weights.cold_s * view.cold
    return Score(cost_s, first_token_s, wait_s, delay_s, cached, import_tokens)


def _import(
    request: RouteRequest,
    view: TargetView,
    cached: int,
    rate: float,
    weights: CostWeights,
) -> tuple[int, float]:
    """Return the tokens to import and the seconds it takes.

    Both are 0 where recomputing them is cheaper.
    """
    stored = min(request.prompt_tokens, request.stored_blocks * BLOCK_TOKENS)
    tokens = stored - cached
    if tokens <= 0 or view.link_bytes_s <= 0:
        return 0, 0.0
    import_s = tokens * weights.token_bytes / view.link_bytes_s
    import_cost_s = import_s + tokens * weights.token_bytes * weights.link_byte_s
    recompute_cost_s = tokens / rate + tokens * weights.recomputed_token_s
    if import_cost_s >= recompute_cost_s:
        return 0, 0.0
    return tokens, import_s


def _wait_s(view: TargetView) -> float:
    excess = view.in_use + view.queued + 1 - view.limit
    if excess <= 0:
        return 0.0
    return excess * view.run_s / max(1, view.limit)
