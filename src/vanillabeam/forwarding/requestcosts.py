"""What an admitted prompt costs, by what this VM knows at the moment."""

from vanillabeam.fleet import Follower, Store
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.context import FIRST_VERSION, cache_salt
from vanillabeam.forwarding.costs import (
    FetchCost,
    PromptCosts,
    estimate_costs,
    fetch_cost_ratio,
)
from vanillabeam.forwarding.sentparts import SentParts

__all__ = ["estimate_request_costs"]


def estimate_request_costs(
    request: AdmittedRequest,
    service: str,
    follower: Follower,
    sent_parts: SentParts,
    tokens_s: float,
    now_s: float,
) -> PromptCosts | None:
    """Return the costs of a prompt, ``None`` for a plain call.

    :param service: that the request goes to.
    :param sent: the parts that targets were sent.
    :param tokens_s: that a target reads; 0 while that is not known.
    :param now_s: monotonic time in seconds.
    """
    metadata = request.metadata
    if not metadata.parts:
        return None
    view, index = follower.view, follower.parts
    version = view.weights.get(metadata.model, FIRST_VERSION)
    salt = cache_salt(request, version)
    stores = {store.address: store for store in view.deployment.stores}
    record = view.deployment.services.get(service)
    kv_bytes = record.engine.kv_bytes if record and record.engine else 0.0

    def find(part_id: str) -> FetchCost | None:
        held = index.find(salt, part_id, now_s)
        store = stores.get(held.store) if held else None
        return _fetch_cost(store, kv_bytes, tokens_s) if store else None

    has_store_index = bool(stores) and index.is_fresh(now_s)
    last_shared = (metadata.parts[:-1] or metadata.parts)[-1]
    holders = sent_parts.holders(salt, last_shared.part_id, now_s)
    return estimate_costs(
        metadata, find if has_store_index else None, request.rank, holders
    )


def _fetch_cost(store: Store, kv_bytes: float, tokens_s: float) -> FetchCost:
    share = fetch_cost_ratio(kv_bytes, store.link_bytes_s, tokens_s)
    return FetchCost(store.data_centre, share)
