"""A copy of Evacuate.End that a frozen control VM carries out after a later Start."""

import os
import signal
import time

from standins.case import run_case
from standins.clients import Clients, wait_ready
from standins.configs import make_plain_config
from standins.fleet import BOUNDS, ZONES
from standins.operator import send_order
from standins.workers import Worker

ZONE = "kgl-a"
#: Freeze of a control VM, as long as in the site's list of troubles.
FREEZE_S = 4.0
EVAC_S = BOUNDS["evac_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
#: Seconds for which requests are watched.
WATCH_S = 8.0


def play(fleet, trouble):
    """Evacuate, take it back, evacuate again; return the exit code."""
    record, controls = fleet.record, fleet.controls
    frozen, others = controls[1], [controls[2], controls[3], controls[0]]
    fleet.start_all()
    config = make_plain_config(3)
    if send_order(fleet, "/api/Config.Put", others, config, limit_s=25.0) is None:
        return 2
    workers = [
        Worker(fleet, f"i-{number}", "deposit-api", ZONES[number % 2], number)
        for number in range(4)
    ]
    for worker in workers:
        worker.announce()
    if not wait_ready(fleet):
        return 2
    clients = Clients(fleet)
    time.sleep(4.0)
    if send_order(fleet, f"/api/Evacuate.Start/{ZONE}", others) is None:
        return 2
    time.sleep(EVAC_S + 1.0)
    thaw_s = time.monotonic() + FREEZE_S
    if trouble:
        fleet.signal(frozen, signal.SIGSTOP)
    taken_back_s = send_order(fleet, f"/api/Evacuate.End/{ZONE}", [frozen, *others])
    acked_s = send_order(fleet, f"/api/Evacuate.Start/{ZONE}", others)
    time.sleep(max(0.0, thaw_s - time.monotonic()))
    if trouble:
        fleet.signal(frozen, signal.SIGCONT)
    if taken_back_s is None or acked_s is None:
        return 2
    from_s = max(acked_s + EVAC_S, record.now_s() + CONTACT_S)
    time.sleep(max(0.0, from_s + WATCH_S - record.now_s()))
    clients.stop()
    return judge(record, workers, clients, acked_s, from_s)


def judge(record, workers, clients, acked_s, from_s):
    """Return 1 if requests reached the evacuated zone, 2 without any requests.

    :param from_s: time from which on all machines are in touch, and ``evac_ms`` are
        over.
    """
    late = {False: 0, True: 0}
    for worker in workers:
        for _, request_id in worker.arrivals:
            is_late = clients.sent_s[request_id] > from_s
            late[worker.zone == ZONE] += is_late
    record.write(
        f"evacuation of {ZONE} acknowledged at {acked_s:.3f} and not taken back since;"
        f" requests sent after {from_s:.3f}: {late[True]} ran in {ZONE}, {late[False]}"
        " elsewhere"
    )
    if late[True]:
        return 1
    return 0 if late[False] else 2


if __name__ == "__main__":
    run_case(__file__, play, os.environ.get("TROUBLE", "1") != "0")
