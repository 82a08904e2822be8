"""Dissemination of the newest configuration to every VM."""

from vanillabeam.spread.exceptions import CopyBehind, StoreDamaged
from vanillabeam.spread.shell import Spread
from vanillabeam.spread.status import (
    FleetStatus,
    UnreachableDataCentre,
    VmStatus,
    find_missing,
)
from vanillabeam.spread.store import DiskFiles, Files

__all__ = [
    "CopyBehind",
    "DiskFiles",
    "Files",
    "FleetStatus",
    "Spread",
    "StoreDamaged",
    "UnreachableDataCentre",
    "VmStatus",
    "find_missing",
]
