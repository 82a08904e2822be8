"""Membership cores on virtual time: traffic, processor time, failure detection.

Every heartbeat is encoded and decoded as on the wire. Traffic includes 250 bytes
of HTTP per message, in both directions; processor time includes the simulation.
"""

import time
from typing import Any

from tests.members.builders import MemberVm, Network, make_fleet
from vanillabeam.members import Status
from vanillabeam.members.core import AppStateChanged
from vanillabeam.members.records import Heartbeat
from vanillabeam.wire import decode, encode

SIZES = {
    9: {"a": 3, "b": 2, "c": 2, "d": 2},
    50: {"a": 14, "b": 12, "c": 12, "d": 12},
    340: dict.fromkeys("abcde", 68),
}
SETTLE_S = 40.0
WINDOW_S = 20.0
DETECTION_LIMIT_S = 60.0


class WireVm(MemberVm):
    """VM that encodes and decodes its heartbeats and changes its load every tick."""

    def tick(self) -> None:
        """Publish a new random load."""
        load = self.net.rng.randint(0, 100)
        self.feed(AppStateChanged(self.members.own.state._replace(load=load)))
        super().tick()

    def call(self, address, path, message, timeout_s, done) -> None:
        """Send a message; a heartbeat is encoded and decoded first."""
        if path == "heartbeat":
            message = decode(Heartbeat, encode(message)).unwrap()
        super().call(address, path, message, timeout_s, done)


def run(seed: int) -> dict[str, Any]:
    """Measure 9, 50 and 340 VMs.

    :returns: bytes per second and processor share of a VM, the share of VMs that
        see their whole data centre, and the seconds until all other VMs of a data
        centre consider a stopped VM dead.
    """
    values: dict[str, Any] = {}
    for count, sizes in SIZES.items():
        net = Network(seed, loss=0.001, delay_s=0.0005)
        fleet = make_fleet(net, sizes, WireVm)
        net.run_until(SETTLE_S)
        values.update(_traffic(net, count))
        values[f"complete_views_{count}"] = _share_complete_views(fleet, sizes)
        values[f"dead_known_s_{count}"] = _detection_s(net, fleet)
    return values


def _traffic(net: Network, count: int) -> dict[str, float]:
    net.counts_bytes = True
    began_s = time.process_time()
    net.run_until(net.now_s + WINDOW_S)
    cpu_s = time.process_time() - began_s
    net.counts_bytes = False
    rates = [size / WINDOW_S for size in net.bytes_of.values()]
    return {
        f"bytes_s_mean_{count}": round(sum(rates) / count),
        f"bytes_s_max_{count}": round(max(rates)),
        f"cpu_percent_{count}": round(100 * cpu_s / WINDOW_S / count, 3),
    }


def _share_complete_views(fleet: list[WireVm], sizes: dict[str, int]) -> float:
    is_complete = [len(vm.alive_names()) == sizes[vm.data_centre] for vm in fleet]
    return sum(is_complete) / len(is_complete)


def _detection_s(net: Network, fleet: list[WireVm]) -> float:
    stopped, *others = [vm for vm in fleet if vm.data_centre == "a"]
    stopped.stop()
    began_s = net.now_s
    while net.now_s < began_s + DETECTION_LIMIT_S:
        net.run_until(net.now_s + 0.25)
        if all(vm.status_of(stopped.name) is Status.DEAD for vm in others):
            return net.now_s - began_s
    return DETECTION_LIMIT_S
