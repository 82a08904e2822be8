"""Operator: sends each order to one control VM after the other until it is settled."""

import time

from standins.fleet import CONTROL_PORT
from standins.http import call

FINAL = (400, 409, 412, 413, 422)
BACKOFF_S = 0.1


def send_order(fleet, path, order, document=None, limit_s=4.0):
    """Send an order to the control VMs in the given order until one confirms it.

    A VM without an answer for a second is left for the next one. No copy is sent
    later than ``limit_s`` after the first.

    :param order: names of control VMs.
    :returns: the time of the confirmation, ``None`` without one.
    """
    began_s, pause_s = time.monotonic(), BACKOFF_S
    while True:
        for name in order:
            if time.monotonic() - began_s > limit_s:
                return None
            fleet.record.write(f"operator sends {path} to {name}")
            status, _, _ = call(fleet.hosts[name], CONTROL_PORT, "POST", path, document)
            at_s = fleet.record.write(f"operator hears {status} of {name} for {path}")
            if 200 <= status < 300:
                return at_s
            if status in FINAL:
                return None
            time.sleep(pause_s)
            pause_s *= 2
