"""Ownership of targets and the permits to send requests to them."""

from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.targets.records import (
    Entry,
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
    "Entry",
    "Outcome",
    "OutcomeKind",
    "Permit",
    "RouteRequest",
    "TargetView",
    "Targets",
    "TargetsSettings",
]
