"""Entry VMs that one of them exchanges loads with, as control VMs name them."""

from collections.abc import Mapping

from vanillabeam.fleet.loads import ENTRY_SILENCE_S
from vanillabeam.fleet.polling import ControlVm
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleet.watch import WatchReply, WatchRequest, digest_names

__all__ = ["PeerNews"]


class PeerNews:
    """Members of this VM's group.

    :param control_vms: the polled control VMs by address.
    :ivar group: group that this VM exchanges loads with; empty for none.
    :ivar addresses: addresses of the other VMs of the group by name.

    >>> peers = PeerNews(cfg, control_vms)
    >>> peers.join("dc-a/0/0")
    >>> peers.add_to(request)
    """

    def __init__(self, cfg: FleetSettings, control_vms: Mapping[str, ControlVm]):
        self.group = ""
        self.addresses: dict[str, str] = {}
        self._cfg = cfg
        self._control_vms = control_vms

    def join(self, group: str) -> None:
        """Exchange loads with the VMs of another group from now on."""
        self.group = group
        self.addresses = {}
        for control_vm in self._control_vms.values():
            control_vm.peers = {}

    @property
    def nearby(self) -> int:
        """Entry VMs of this data centre that exchange loads, this one included."""
        return max((vm.nearby for vm in self._control_vms.values()), default=0)

    def add_to(self, request: WatchRequest) -> None:
        """Say in a request which VMs this one exchanges loads with."""
        if not self.group:
            return
        request["peer"] = self._cfg.peer_address
        request["data_centre"] = self._cfg.data_centre
        request["group"] = self.group
        request["peers_digest"] = digest_names(self.addresses)

    def apply(self, reply: WatchReply, control_vm: ControlVm, now_s: float) -> None:
        """Combine the VMs of the group that each control VM has heard of lately."""
        if "nearby" not in reply:
            return
        control_vm.nearby = reply["nearby"]
        control_vm.peers = reply.get("peers", self.addresses)
        self.addresses = {
            vm: address
            for other in self._control_vms.values()
            if now_s - other.last_seen_s < ENTRY_SILENCE_S
            for vm, address in other.peers.items()
        }
