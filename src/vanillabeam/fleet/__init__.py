"""Fleet-wide state: the replicated configuration and the target directory."""

from vanillabeam.fleet.directory import Directory, TargetRecord
from vanillabeam.fleet.follower import Follower
from vanillabeam.fleet.machine import Command, FleetMachine, FleetState, make_deploy
from vanillabeam.fleet.records import (
    Bounds,
    Deployment,
    Engine,
    FleetSettings,
    Limits,
    Route,
    RouteKind,
    Service,
    Share,
    Store,
    Target,
    Workspace,
)
from vanillabeam.fleet.view import FleetView

__all__ = [
    "Bounds",
    "Command",
    "Deployment",
    "Directory",
    "Engine",
    "FleetMachine",
    "FleetSettings",
    "FleetState",
    "Follower",
    "Limits",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "TargetRecord",
    "Store",
    "Target",
    "FleetView",
    "Workspace",
    "make_deploy",
]
