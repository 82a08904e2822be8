"""Loads that entry VMs report to a control VM, and what it tells each of the others."""

from vanillabeam.fleet.loads import (
    EntryLoad,
    EntryLoads,
    LoadScope,
    make_load,
)
from vanillabeam.fleet.watch import WatchRequest

__all__ = ["LoadNews"]


class LoadNews:
    """Loads by entry VM.

    :param epoch: id of this control VM's process.
    :param relayed: loads that entry VMs report to one other control VM only.
    :ivar loads: loads of entry VMs that report to every control VM.
    :ivar home_loads: loads of entry VMs that report to this one only.
    """

    def __init__(self, epoch: str, relayed: EntryLoads):
        self.loads = EntryLoads()
        self.home_loads = EntryLoads()
        self._epoch = epoch
        self._relayed = relayed

    def record(self, request: WatchRequest, now_s: float) -> None:
        """Record the load in an entry VM's request."""
        vm, load = request["vm"], request["load"]
        is_home = request.get("scope") == LoadScope.HOME
        self.loads.update(vm, make_load() if is_home else load, now_s)
        if is_home:
            self.home_loads.update(vm, load, now_s)
        else:
            self.home_loads.forget(vm)

    def others(self, request: WatchRequest, now_s: float) -> EntryLoad:
        """Return the load of all entry VMs but the requesting one."""
        if not request["sends"] or request.get("scope") == LoadScope.NONE:
            return make_load()
        # The largest sum is copied, the others are added to it.
        total = self._relayed.total_except(self._epoch, now_s)
        self.home_loads.add_to(total, request["vm"], now_s)
        self.loads.add_to(total, request["vm"], now_s)
        return total
