"""Open work that other entry VMs tell this one directly."""

from typing import Protocol

from vanillabeam.fleet.loads import EntryLoad, make_load

__all__ = ["NoPeers", "PeerWork"]


class PeerWork(Protocol):
    """Open work of the entry VMs that tell this one directly what they have open.

    :ivar total: sum over these VMs.
    """

    total: EntryLoad

    def is_near(self, target: str, data_centre: str) -> bool:
        """Return whether the VMs that send most to a target are among them."""

    def notify(self, has_grown: bool) -> None:
        """Tell these VMs of a change of this VM's own work."""


class NoPeers:
    """No such entry VMs."""

    def __init__(self):
        self.total = make_load()

    def is_near(self, target: str, data_centre: str) -> bool:
        """Return ``False``."""
        return False

    def notify(self, has_grown: bool) -> None:
        """Do nothing."""
