"""Context that is sent to a target along with a request."""

from vanillabeam.fleet import Follower, Target
from vanillabeam.fleet.cachescopes import CacheScopes
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.dialect import ForwardingContext
from vanillabeam.forwarding.sending.prefixes import PrefixPlan, Sources, plan_prefix
from vanillabeam.forwarding.sending.sentparts import SentParts

__all__ = ["FIRST_VERSION", "cache_salt", "make_context"]

#: Weight version of a model before any other was announced.
FIRST_VERSION = 1


def cache_salt(request: AdmittedRequest, version: int, scopes: CacheScopes) -> str:
    """Return the salt of a prompt, by scope, model and weight version.

    Only requests of the same salt share cached prompts.

    :param scopes: those in force now: a request may have been admitted under others.
    """
    return f"{scopes.of(request.workspace)}/{request.metadata.model}/{version}"


def make_context(
    request: AdmittedRequest,
    target: Target,
    last_event_id: str,
    follower: Follower,
    sent_parts: SentParts,
    now_s: float,
) -> tuple[ForwardingContext, PrefixPlan]:
    """Return the context for a target, and the parts that it fetches and saves.

    :param last_event_id: id of the last event that the caller has received, empty
        at the beginning of a stream.
    :param sent_parts: parts that targets were sent; the prompt's parts are added.
    :param now_s: monotonic time in seconds.
    """
    workspace, model = request.workspace, request.metadata.model
    context = ForwardingContext(
        target=target.name,
        remaining_s=max(0.0, request.ends_s - now_s),
        workspace=workspace.name if workspace else "",
        priority=request.rank if model else None,
        last_event_id=last_event_id,
    )
    version = target.versions.get(model)
    if version is None:
        return context, PrefixPlan()
    salt = cache_salt(request, version, follower.view.scopes)
    parts = request.metadata.parts
    sources = _sources(target, salt, follower, sent_parts, now_s)
    plan = plan_prefix(parts, salt, sources, now_s, context.remaining_s)
    context = context._replace(
        cache_salt=salt,
        version=version,
        fetches=plan.fetches,
        saves=plan.saves,
        fetch_until_ms=plan.until_ms,
    )
    ids = [part.part_id for part in parts]
    sent_parts.record(target.incarnation, salt, ids[:-1], now_s)
    for part_id, stored in zip(ids, plan.fetches, strict=False):
        if stored is not None:
            follower.fetches.mark(salt, part_id, now_s)
    return context, plan


def _sources(
    target: Target, salt: str, follower: Follower, sent_parts: SentParts, now_s: float
) -> Sources:
    def is_cached(part: str) -> bool:
        return sent_parts.is_cached(target.incarnation, salt, part, now_s)

    stores = follower.view.deployment.stores
    return Sources(follower.parts, stores, is_cached)
