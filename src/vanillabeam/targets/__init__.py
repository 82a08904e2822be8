"""Ownership of targets and the permits to send requests to them."""

from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.targets.records import (
    EntryVm,
    Outcome,
    OutcomeKind,
    Permit,
    PermitRequest,
)
from vanillabeam.targets.settings import TargetsSettings
from vanillabeam.targets.shell import AnnounceReply, Targets

__all__ = [
    "AnnounceReply",
    "PermitRequest",
    "EntryVm",
    "Outcome",
    "OutcomeKind",
    "Permit",
    "RouteRequest",
    "TargetView",
    "Targets",
    "TargetsSettings",
]
