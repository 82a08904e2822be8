"""Dissemination of tickets and restarts, with the cores on virtual time.

A ticket counts from the time at which the control VMs have applied it, so the
figures exclude the time of the log.
"""

import statistics
from typing import Any

from bench.members import SIZES
from tests.members.builders import Network, make_seeds
from tests.spread.builders import SpreadVm, make_model_body, make_spread_fleet

SETTLE_S = 40.0
TICKETS = 5
LIMIT_S = 60.0
MISSED_TICKETS = (400, 1_500)


class HeartbeatOnlyVm(SpreadVm):
    """Baseline that drops all pushes; tickets arrive only after heartbeats."""

    def answer(self, path, message, answered) -> None:
        """Answer a message unless it is a push."""
        if path != "push":
            super().answer(path, message, answered)


def run(seed: int) -> dict[str, Any]:
    """Measure 9 and 340 VMs, with pushes and with heartbeats only.

    :returns: seconds from the acceptance of a ticket until it is in force, and
        from a start until the VM is ready.
    """
    values: dict[str, Any] = {}
    for count in (9, 340):
        for name, vm_class in (("push", SpreadVm), ("heartbeat", HeartbeatOnlyVm)):
            times = _measure_in_force_s(seed, SIZES[count], vm_class)
            values[f"{name}_median_s_{count}"] = round(statistics.median(times), 3)
            values[f"{name}_last_s_{count}"] = round(max(times), 3)
    for missed in MISSED_TICKETS:
        values[f"restart_ready_s_{missed}_tickets"] = _measure_restart_s(seed, missed)
    return values


def _make_fleet(seed: int, sizes: dict[str, int], vm_class: type) -> tuple:
    control = tuple(f"{place}-0" for place in list(sizes)[:3])
    net = Network(seed, loss=0.001, delay_s=0.0005)
    fleet, log = make_spread_fleet(net, sizes, control, vm_class=vm_class)
    net.run_until(SETTLE_S)
    return net, fleet, log, control


def _accept(fleet: list[SpreadVm], log: Any, number: int) -> int:
    index = log.accept(make_model_body(number))
    for vm in fleet:
        if vm.control and vm.alive:
            vm.follow_log()
    return index


def _measure_in_force_s(
    seed: int, sizes: dict[str, int], vm_class: type
) -> list[float]:
    net, fleet, log, _ = _make_fleet(seed, sizes, vm_class)
    times: list[float] = []
    for number in range(1, TICKETS + 1):
        accepted_s = net.now_s
        index = _accept(fleet, log, number)
        net.run_until(accepted_s + LIMIT_S)
        for vm in fleet:
            in_force_times = [
                at_s for at_s, in_force_index in vm.in_force if in_force_index >= index
            ]
            times.append(in_force_times[0] - accepted_s if in_force_times else LIMIT_S)
    return times


def _measure_restart_s(seed: int, tickets: int) -> float:
    sizes = SIZES[9]
    net, fleet, log, control = _make_fleet(seed, sizes, SpreadVm)
    stopped = fleet[1]
    stopped.stop()
    for number in range(1, tickets + 1):
        _accept(fleet, log, number)
    net.run_until(net.now_s + 10)
    began_s = net.now_s
    restarted = SpreadVm(
        net, stopped.name, "a", make_seeds(sizes), control=control, log=log
    )
    net.run_until(began_s + LIMIT_S)
    if restarted.ready_s is None or restarted.spread.copy.index != tickets:
        return LIMIT_S
    return round(restarted.ready_s - began_s, 3)
