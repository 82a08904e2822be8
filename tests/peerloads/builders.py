"""Builders of messages and VMs that exchange loads."""

from vanillabeam.fleet.loads import make_load
from vanillabeam.peerloads.core import LoadNotice, PeerLoads, describe
from vanillabeam.peerloads.groups import belongs_to

GROUP = "dc-a/0/0"


def notice(vm="e-1", sequence=1, boot="b-1", group=GROUP, work=None, room=None):
    """Return a message with one VM's open work."""
    return LoadNotice(
        vm=vm,
        boot=boot,
        sequence=sequence,
        group=group,
        targets=describe(make_load(work or {}, room or {})),
    )


class Bus:
    """Delivers each VM's open work to the others of its data centre at once.

    It stands for the datagrams, whose way takes a fraction of a millisecond.
    """

    def __init__(self):
        self.loads = {}

    def join(self, vm, load):
        """Connect a VM's load."""
        self.loads[vm] = load
        load.peers = _Peers(self, vm)


class _Peers:
    def __init__(self, bus, vm):
        self._bus = bus
        self._vm = vm
        self._received = PeerLoads()
        self._sequence = 0

    @property
    def total(self):
        return self._received.total

    def is_near(self, target, data_centre):
        return belongs_to(GROUP, target, data_centre)

    def notify(self, has_grown):
        self._sequence += 1
        load = self._bus.loads[self._vm].open_work()
        message = notice(self._vm, self._sequence, work=load["work"], room=load["room"])
        for vm, other in self._bus.loads.items():
            if vm != self._vm:
                other.peers._received.update(message, 0.0)
