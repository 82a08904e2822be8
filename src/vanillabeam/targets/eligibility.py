"""Whether a target may take a request at all."""

from vanillabeam.config import Config, TargetRoleKind
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.exceptions import (
    DataCentreOut,
    TargetGone,
    TargetLeaving,
    VersionNotLoaded,
)
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.records import Ask

__all__ = ["refusal_of_ask", "refusal_of_target"]


def refusal_of_target(
    target: OwnedTarget, config: Config, now_s: float
) -> VanillabeamError | None:
    """Return why ``target`` takes no new work, ``None`` if it does."""
    if not config.in_service(target.data_centre):
        return DataCentreOut(target.data_centre)
    if now_s - target.heard_s >= target.settings.target_gone_s:
        return TargetGone(target.name)
    role = config.target_roles.get(target.name)
    serving = role is None or role.kind is TargetRoleKind.SERVING
    if not serving or target.announcement.get("leaving", False):
        return TargetLeaving(target.name)
    return None


def refusal_of_ask(
    ask: Ask, target: OwnedTarget, config: Config, now_s: float
) -> VanillabeamError | None:
    """Return why ``target`` may not take ``ask``, ``None`` if it may."""
    refused = refusal_of_target(target, config, now_s)
    if refused is not None:
        return refused
    said = target.announcement
    if ask.service:
        matches = said.get("service", "") == ask.service
        return None if matches else VersionNotLoaded(ask.service)
    if said["models"].get(ask.model) != ask.version:
        return VersionNotLoaded(f"{ask.model}@{ask.version}")
    if not ask.adapter:
        return None
    loaded = said.get("adapters", {}).get(ask.adapter)
    if loaded is None or ask.adapter_version not in ("", loaded):
        return VersionNotLoaded(f"{ask.adapter}@{ask.adapter_version}")
    return None
