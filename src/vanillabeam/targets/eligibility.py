"""Eligibility of targets for new work and for single requests."""

from vanillabeam.config import Config, TargetRoleKind
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.exceptions import (
    DataCentreOut,
    TargetGone,
    TargetLeaving,
    VersionNotLoaded,
)
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.records import PermitRequest

__all__ = ["refusal_of_request", "refusal_of_target"]


def refusal_of_target(
    target: OwnedTarget, config: Config, now_s: float
) -> VanillabeamError | None:
    """Return the reason why ``target`` takes no new work, ``None`` if it does."""
    if not config.in_service(target.data_centre):
        return DataCentreOut(target.data_centre)
    if now_s - target.last_seen_s >= target.settings.target_timeout_s:
        return TargetGone(target.name)
    role = config.target_roles.get(target.name)
    serving = role is None or role.kind is TargetRoleKind.SERVING
    if not serving or target.announcement.get("leaving", False):
        return TargetLeaving(target.name)
    return None


def refusal_of_request(
    request: PermitRequest, target: OwnedTarget, config: Config, now_s: float
) -> VanillabeamError | None:
    """Return the reason why ``target`` can't take ``request``, ``None`` if it can."""
    refusal = refusal_of_target(target, config, now_s)
    if refusal is not None:
        return refusal
    announcement = target.announcement
    if request.service:
        matches = announcement.get("service", "") == request.service
        return None if matches else VersionNotLoaded(request.service)
    if announcement["models"].get(request.model) != request.version:
        return VersionNotLoaded(f"{request.model}@{request.version}")
    if not request.adapter:
        return None
    loaded = announcement.get("adapters", {}).get(request.adapter)
    if loaded is None or request.adapter_version not in ("", loaded):
        return VersionNotLoaded(f"{request.adapter}@{request.adapter_version}")
    return None
