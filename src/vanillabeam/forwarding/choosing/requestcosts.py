"""Costs of an admitted prompt, from the state that this VM has at the moment."""

from vanillabeam.fleet import Follower, Store
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.costs import (
    FetchCost,
    PromptCosts,
    estimate_costs,
    fetch_cost_ratio,
)
from vanillabeam.forwarding.sending.context import FIRST_VERSION, cache_salt
from vanillabeam.forwarding.sending.sentparts import SentParts

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

    :param service: name of the service that the request is sent to.
    :param sent_parts: parts that targets were sent recently.
    :param tokens_s: tokens per second that a target prefills; 0 while unknown.
    :param now_s: monotonic time in seconds.
    """
    metadata = request.metadata
    if not metadata.parts:
        return None
    view, index = follower.view, follower.parts
    version = view.weights.get(metadata.model, FIRST_VERSION)
    salt = cache_salt(request, version, view.scopes)
    stores = {store.address: store for store in view.deployment.stores}
    record = view.deployment.services.get(service)
    kv_bytes = record.engine.kv_bytes if record and record.engine else 0.0

    def find_stored(part_id: str) -> FetchCost | None:
        stored = index.find(salt, part_id, now_s)
        store = stores.get(stored.store) if stored else None
        return _fetch_cost(store, kv_bytes, tokens_s) if store else None

    has_store_index = bool(stores) and index.is_fresh(now_s)
    last_shared_part = (metadata.parts[:-1] or metadata.parts)[-1]
    holders = sent_parts.holders(salt, last_shared_part.part_id, now_s)
    return estimate_costs(
        metadata,
        find_stored if has_store_index else None,
        request.rank,
        holders,
        request.route.objective_s,
    )


def _fetch_cost(store: Store, kv_bytes: float, tokens_s: float) -> FetchCost:
    cost_ratio = fetch_cost_ratio(kv_bytes, store.link_bytes_s, tokens_s)
    return FetchCost(store.data_centre, cost_ratio)
