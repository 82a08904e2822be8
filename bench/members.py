"""Membership cores on virtual time: traffic, processor time, detection.

Every message is encoded and decoded as on the wire; each call counts with 250
bytes of HTTP a message, in and out. Processor time holds the simulation too.
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
    """Encodes and decodes what it sends; its load changes all the time."""

    def tick(self) -> None:
        """Say another load."""
        load = self.net.rng.randint(0, 100)
        self.feed(AppStateChanged(self.members.own.state._replace(load=load)))
        super().tick()

    def call(self, address, path, message, timeout_s, done) -> None:
        """Send what the wire would carry."""
        if path == "heartbeat":
            message = decode(Heartbeat, encode(message)).unwrap()
        super().call(address, path, message, timeout_s, done)


def run(seed: int) -> dict[str, Any]:
    """Measure 9, 50 and 340 VMs.

    :returns: bytes a second and processor share of a VM, and the seconds
        until all of a data centre hold a stopped VM for dead.
    """
    values: dict[str, Any] = {}
    for count, sizes in SIZES.items():
        net = Network(seed, loss=0.001, delay_s=0.0005)
        fleet = make_fleet(net, sizes, WireVm)
        net.run_until(SETTLE_S)
        values.update(_traffic(net, count))
        values[f"complete_views_{count}"] = _complete(fleet, sizes)
        values[f"dead_known_s_{count}"] = _detection_s(net, fleet)
    return values


def _traffic(net: Network, count: int) -> dict[str, float]:
    net.counts_bytes = True
    began_s = time.process_time()
    net.run_until(net.now_s + WINDOW_S)
    cpu_s = time.process_time() - began_s
    net.counts_bytes = False
    each = [size / WINDOW_S for size in net.bytes_of.values()]
    return {
        f"bytes_s_mean_{count}": round(sum(each) / count),
        f"bytes_s_max_{count}": round(max(each)),
        f"cpu_percent_{count}": round(100 * cpu_s / WINDOW_S / count, 3),
    }


def _complete(fleet: list[WireVm], sizes: dict[str, int]) -> float:
    whole = [len(vm.alive_names()) == sizes[vm.data_centre] for vm in fleet]
    return sum(whole) / len(whole)


def _detection_s(net: Network, fleet: list[WireVm]) -> float:
    gone, *others = [vm for vm in fleet if vm.data_centre == "a"]
    gone.stop()
    began_s = net.now_s
    while net.now_s < began_s + DETECTION_LIMIT_S:
        net.run_until(net.now_s + 0.25)
        if all(vm.status_of(gone.name) is Status.DEAD for vm in others):
            return net.now_s - began_s
    return DETECTION_LIMIT_S
