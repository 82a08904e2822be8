"""Membership: which VMs are alive, and what they say of themselves."""

from vanillabeam.members.records import AppState, Member, Seed, Status, Summary
from vanillabeam.members.shell import Members, View, ViewReply
from vanillabeam.members.state import MembersConfig

__all__ = [
    "AppState",
    "Member",
    "Members",
    "MembersConfig",
    "Seed",
    "Status",
    "Summary",
    "View",
    "ViewReply",
]
