"""Replicated log: a Raft implementation with one group of replicas per log.

:class:`LogNode` runs one replica. :class:`LogClient` sends requests to a group
from a VM without a replica. The functional core is
:func:`vanillabeam.log.core.handle`.
"""

from vanillabeam.log.check import FolderView, GroupCheck, check, show
from vanillabeam.log.client import LogClient
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.folder import group_folder
from vanillabeam.log.forcing import ForcePlan, force, plan_force
from vanillabeam.log.node import LogNode
from vanillabeam.log.records import (
    Address,
    Applied,
    LogSettings,
    Member,
    Membership,
    StateMachine,
)
from vanillabeam.log.requests import LogStatus

__all__ = [
    "Address",
    "Applied",
    "FolderView",
    "ForcePlan",
    "GroupCheck",
    "LogClient",
    "LogError",
    "LogNode",
    "LogSettings",
    "LogStatus",
    "Member",
    "Membership",
    "StateMachine",
    "check",
    "force",
    "group_folder",
    "plan_force",
    "show",
]
