"""SWIM membership: the live VMs and the state that each reports."""

from vanillabeam.members.records import (
    AppState,
    DataCentreSummary,
    Member,
    Seed,
    Status,
)
from vanillabeam.members.shell import Members, MembershipView, ViewReply
from vanillabeam.members.state import MembersSettings

__all__ = [
    "AppState",
    "DataCentreSummary",
    "Member",
    "Members",
    "MembersSettings",
    "MembershipView",
    "Seed",
    "Status",
    "ViewReply",
]
