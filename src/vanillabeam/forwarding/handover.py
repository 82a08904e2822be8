"""What a target is told beside the request: salt, version, kept parts."""

from collections import Counter

from vanillabeam.fleet import Follower, Target
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.dialect import Handover
from vanillabeam.forwarding.prefixes import PrefixPlan, plan_prefix

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
    now_s: float,
) -> tuple[Handover, Counter[str]]:
    """Return what to tell a target, and how many parts are fetched and read.

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
        return handover, Counter()
    salt = cache_salt(request, version)
    stores = follower.view.deployment.stores
    plan = plan_prefix(
        request.facts.parts, salt, follower.parts, stores, now_s, handover.left_s
    )
    handover = handover._replace(
        cache_salt=salt,
        version=version,
        fetches=plan.fetches,
        saves=plan.saves,
        fetch_until_ms=plan.until_ms,
    )
    return handover, _note_fetches(request, salt, plan, follower)


def _note_fetches(
    request: Admitted, salt: str, plan: PrefixPlan, follower: Follower
) -> Counter[str]:
    """Tell the leader which kept parts are of use; return the counts."""
    counts: Counter[str] = Counter()
    for part, held in zip(request.facts.parts, plan.fetches, strict=False):
        counts["read" if held is None else "fetched"] += 1
        if held is not None:
            follower.fetched(salt, part.part_id)
    return counts
