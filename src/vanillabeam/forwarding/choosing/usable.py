"""Selection of the targets that may take a request, as far as memory allows."""

from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.fleet import FleetView, Target
from vanillabeam.forwarding.dialect import RequestMetadata

__all__ = ["Checks", "usable_targets"]

#: Share of the time allowed for loading new weights after which targets on older
#: ones get no more requests.
VERSION_DEADLINE_SHARE = 0.8
#: Time after which targets on older weights are used only if the others are full or
#: late.
VERSION_GRACE_S = 1.0


class Checks(NamedTuple):
    """Beliefs of an entry VM about targets at a monotonic time.

    :param is_available: whether no backoff of a target is running.
    :param is_suspect: whether a target is silent or out of reach.
    :param is_paused: whether a target, given by its name, is about to load weights.
    :param is_left_out: whether a target has told this VM to send it nothing.
    """

    is_available: Callable[[Target, float], bool]
    is_suspect: Callable[[Target, float], bool]
    is_paused: Callable[[str, float], bool]
    is_left_out: Callable[[Target, float], bool]


def usable_targets(
    targets: list[Target],
    metadata: RequestMetadata,
    view: FleetView,
    tried: set[str],
    checks: Checks,
    version_s: float,
    now_s: float,
    newest_only: bool = True,
) -> list[Target]:
    """Return the targets that may take a request.

    Targets that are in backoff, suspect or about to load weights are left out unless
    there are no others; those that have asked to be are left out in any case.

    :param targets: known targets of the service.
    :param tried: names of targets that were sent the request already.
    :param version_s: seconds allowed for loading new weights.
    :param now_s: monotonic time in seconds.
    :param newest_only: whether targets on older weights are left out, from
        :data:`VERSION_GRACE_S` after newer ones were named, unless there are no others.
    """
    candidates = [
        target
        for target in targets
        if not target.draining
        and target.data_centre not in view.evacuated
        and target.name not in tried
        and not checks.is_left_out(target, now_s)
        and (not metadata.model or metadata.model in target.versions)
    ]
    candidates = _with_allowed_weights(
        candidates, metadata.model, view, version_s, now_s
    )
    if newest_only:
        candidates = _with_newest_weights(candidates, metadata.model, view, now_s)
    available = [target for target in candidates if checks.is_available(target, now_s)]
    healthy = [target for target in available if not checks.is_suspect(target, now_s)]
    unpaused = [
        target for target in healthy if not checks.is_paused(target.name, now_s)
    ]
    return unpaused or healthy or available or candidates


def _with_allowed_weights(
    candidates: list[Target],
    model: str,
    view: FleetView,
    version_s: float,
    now_s: float,
) -> list[Target]:
    """Return the targets whose weights may be used, with a margin to the time limit."""
    due_s = now_s - VERSION_DEADLINE_SHARE * version_s
    required_version = view.version_named_before(model, due_s)
    return [
        target
        for target in candidates
        if target.versions.get(model, 0) >= required_version
    ]


def _with_newest_weights(
    candidates: list[Target], model: str, view: FleetView, now_s: float
) -> list[Target]:
    """Return the targets on the newest weights, or all if there are none."""
    preferred_version = view.version_named_before(model, now_s - VERSION_GRACE_S)
    current = [
        target
        for target in candidates
        if target.versions.get(model, 0) >= preferred_version
    ]
    return current or candidates
