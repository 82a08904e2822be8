"""Loads that entry VMs report to a control VM, and what it tells each of the others."""

from typing import NamedTuple

from vanillabeam.fleet.loads import (
    EntryLoad,
    EntryLoads,
    LoadsByGroup,
    LoadScope,
    add_loads,
    make_load,
    open_work,
)
from vanillabeam.fleet.watch import WatchReply, WatchRequest, digest_names

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
        #: Group, data centre and address of the entry VMs that exchange loads.
        self._members: dict[str, _Member] = {}

    def record(self, request: WatchRequest, now_s: float) -> None:
        """Record the load in an entry VM's request."""
        vm, load = request["vm"], request["load"]
        is_home = request.get("scope") == LoadScope.HOME
        groups = _by_group(request)
        if is_home:
            self.loads.update(vm, make_load(), now_s)
            self.home_loads.update(vm, load, now_s, groups)
        else:
            self.loads.update(vm, load, now_s, groups)
            self.home_loads.forget(vm)
        self._members.pop(vm, None)
        if "peer" in request:
            self._members[vm] = _Member(
                request.get("group", ""),
                request.get("data_centre", ""),
                request["peer"],
            )

    def others(self, request: WatchRequest, now_s: float) -> EntryLoad:
        """Return the load of all entry VMs but the requesting one."""
        if not request["sends"] or request.get("scope") == LoadScope.NONE:
            return make_load()
        group = request.get("group", "")
        return add_loads(
            self.loads.total_except(request["vm"], now_s, group),
            self.home_loads.total_except(request["vm"], now_s, group),
            self._relayed.total_except(self._epoch, now_s, group),
        )

    def add_reported(self, reply: WatchReply, now_s: float) -> None:
        """Tell another control VM what entry VMs report to this one only."""
        reply["reported"] = self.home_loads.total_except("", now_s)
        reply["reported_groups"] = self.home_loads.group_totals(now_s)

    def add_peers(self, reply: WatchReply, request: WatchRequest, now_s: float) -> None:
        """Name the other entry VMs of the requesting VM's group and data centre."""
        if "peer" not in request:
            return
        active = set(self.loads.active_vms(now_s))
        self._members = {v: m for v, m in self._members.items() if v in active}
        nearby = [
            (vm, member)
            for vm, member in self._members.items()
            if member.data_centre == request.get("data_centre")
        ]
        peers = {
            vm: member.address
            for vm, member in nearby
            if vm != request["vm"] and member.group == request.get("group", "")
        }
        reply["nearby"] = len(nearby)
        if request.get("peers_digest") != digest_names(peers):
            reply["peers"] = peers


class _Member(NamedTuple):
    group: str
    data_centre: str
    address: str


def _by_group(request: WatchRequest) -> LoadsByGroup:
    group = request.get("group", "")
    return {group: open_work(request["load"])} if group else {}
