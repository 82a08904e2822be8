"""Whether a VM is in touch, by the rules of the platform."""

from enum import Enum

from tests.soak.fleet import BOUNDS

CONTACT_S = BOUNDS["contact_ms"] / 1000
VM_KINDS = ("down", "stopped", "frozen")
SLOW_KINDS = ("slow", "lag")


class Touch(Enum):
    """How the rules with a bound in time hold for a VM."""

    IN = "in touch"
    OUTER = "in touch with a core that isn't stable"
    OUT = "out of touch"


def touch(history, vm, since_s, until_s):
    """Return how a VM was in touch during a span."""
    start_s = since_s - CONTACT_S
    faults = [o for o in history.outages if o.overlaps(start_s, until_s)]
    if start_s < 0 or any(_disturbs(fault, vm) for fault in faults):
        return Touch.OUT
    if _lost_core(history, since_s - 2 * CONTACT_S, until_s):
        return Touch.OUT
    core_faults = [fault for fault in faults if is_of_core(history, fault)]
    if any(fault.kind == "slow" for fault in core_faults):
        return Touch.OUT
    for at_s in _moments(faults, start_s, until_s):
        leading = majority(history, at_s)
        if not leading or any(is_cut(history, vm, other, at_s) for other in leading):
            return Touch.OUT
    events = {s for fault in core_faults for s in (fault.start_s, fault.end_s)}
    is_stable = not any(start_s <= event_s <= until_s for event_s in events)
    return Touch.IN if is_stable else Touch.OUTER


def majority(history, at_s):
    """Return the control VMs that run and reach more than half of all."""
    running = [vm for vm in history.controls if is_running(history, vm, at_s)]
    half = len(history.controls) / 2
    leading = [
        vm
        for vm in running
        if sum(not is_cut(history, vm, other, at_s) for other in running) > half
    ]
    return leading if len(leading) > half else []


def is_running(history, vm, at_s):
    """Return whether a VM's process ran."""
    return not any(
        fault.kind in VM_KINDS and vm in fault.vms and fault.overlaps(at_s, at_s)
        for fault in history.outages
    )


def is_cut(history, a, b, at_s):
    """Return whether two VMs can't reach each other, in either direction."""
    return any(
        fault.kind == "cut" and fault.is_between(a, b) and fault.overlaps(at_s, at_s)
        for fault in history.outages
    )


def is_calm(history, since_s, until_s):
    """Return whether there was no fault at all, and none shortly before."""
    start_s = since_s - 2 * CONTACT_S
    return start_s >= 0 and not any(
        fault.overlaps(start_s, until_s) for fault in history.outages
    )


def _disturbs(fault, vm):
    if fault.kind in VM_KINDS:
        return vm in fault.vms
    return fault.kind in (*SLOW_KINDS, "reset") and fault.touches(vm)


def _lost_core(history, since_s, until_s):
    """Return whether half of the core or more was down at once."""
    return any(
        fault.kind == "down"
        and len(fault.vms.intersection(history.controls)) * 2 >= len(history.controls)
        and fault.overlaps(since_s, until_s)
        for fault in history.outages
    )


def is_of_core(history, fault):
    """Return whether a fault is of control VMs or of the links between them."""
    core = set(history.controls)
    if fault.kind in VM_KINDS:
        return bool(fault.vms & core)
    return bool(fault.vms & core) and bool(fault.others & core)


def _moments(faults, start_s, until_s):
    """Return a moment in each part of a span in which the faults are the same."""
    ends = {s for fault in faults for s in (fault.start_s, fault.end_s)}
    inside = sorted({start_s, until_s} | {s for s in ends if start_s < s < until_s})
    return [*inside, *((a + b) / 2 for a, b in zip(inside, inside[1:], strict=False))]
