"""What a target is told beside the request: salt, version, kept parts."""

from vanillabeam.fleet import Follower, Target
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.dialect import Handover
from vanillabeam.forwarding.prefixes import PrefixPlan, Sources, plan_prefix
from vanillabeam.forwarding.sentparts import SentParts

__all__ = ["FIRST_VERSION", "cache_salt", "make_handover"]

#: Weight version of a model of which no other was named.
FIRST_VERSION = 1


def cache_salt(request: Admitted, version: int) -> str:
    """Return what keeps cached prompts of walls, models and versions apart."""
    workspace = request.workspace
    wall = workspace.name if workspace and workspace.isolated else ""
    return f"{wall}/{request.facts.model}/{version}"


def make_handover(
    request: Admitted,
    target: Target,
    last_event_id: str,
    follower: Follower,
    sent: SentParts,
    now_s: float,
) -> tuple[Handover, PrefixPlan]:
    """Return what to tell a target, and which parts it is to fetch and save.

    :param sent: the parts that targets were sent; this prompt's are added.
    :param last_event_id: where the stream goes on, empty at its beginning.
    :param now_s: monotonic time in seconds.
    """
    workspace, model = request.workspace, request.facts.model
    handover = Handover(
        target=target.name,
        left_s=max(0.0, request.ends_s - now_s),
        workspace=workspace.name if workspace else "",
        priority=request.rank if model else None,
        last_event_id=last_event_id,
    )
    version = target.versions.get(model)
    if version is None:
        return handover, PrefixPlan()
    salt = cache_salt(request, version)
    parts = request.facts.parts
    sources = _sources(target, salt, follower, sent, now_s)
    plan = plan_prefix(parts, salt, sources, now_s, handover.left_s)
    handover = handover._replace(
        cache_salt=salt,
        version=version,
        fetches=plan.fetches,
        saves=plan.saves,
        fetch_until_ms=plan.until_ms,
    )
    ids = [part.part_id for part in parts]
    sent.sent(target.incarnation, salt, ids[:-1], now_s)
    for part_id, held in zip(ids, plan.fetches, strict=False):
        if held is not None:
            follower.mark_fetched(salt, part_id)
    return handover, plan


def _sources(
    target: Target, salt: str, follower: Follower, sent: SentParts, now_s: float
) -> Sources:
    def is_cached(part: str) -> bool:
        return sent.is_cached(target.incarnation, salt, part, now_s)

    stores = follower.view.deployment.stores
    return Sources(follower.parts, stores, is_cached)
