"""Target ownership: who grants permits, how many, and to whom."""

from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.targets.records import Ask, Entry, Outcome, OutcomeKind, Permit
from vanillabeam.targets.settings import TargetsSettings
from vanillabeam.targets.shell import AnnounceReply, Targets

__all__ = [
    "AnnounceReply",
    "Ask",
    "Entry",
    "Outcome",
    "OutcomeKind",
    "Permit",
    "RouteRequest",
    "TargetView",
    "Targets",
    "TargetsSettings",
]
