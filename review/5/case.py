"""A worker crashes and is back cold under its id; entry VMs send as before."""

import time

from review.standins.case import run_case
from review.standins.clients import Clients, wait_ready
from review.standins.configs import make_plain_config
from review.standins.fleet import BOUNDS
from review.standins.operator import send_order
from review.standins.workers import Worker

COLD_S, COLD_PER_S = 3.0, 8.9
MOST = COLD_PER_S * BOUNDS["cold_over"] + BOUNDS["cold_slack"]
#: Seconds until the worker is back.
DOWN_S = 0.4
#: Seconds by which its first ping arrives late.
LATE_S = 1.0
CLIENTS = 6


def make_config():
    """Return a configuration whose service has a cold start."""
    config = make_plain_config(3)
    config["services"][0] |= {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
    return config


def play(fleet, trouble):
    """Have a worker crash and return cold; return the exit code."""
    fleet.start_all()
    config = make_config()
    controls = fleet.controls
    if send_order(fleet, "/api/Config.Put", controls, config, limit_s=25.0) is None:
        return 2
    workers = [
        Worker(fleet, f"i-{number}", "deposit-api", zone, number)
        for number, zone in enumerate(("kgl-a",))
    ]
    for worker in workers:
        worker.announce()
    if not wait_ready(fleet):
        return 2
    clients = [Clients(fleet, prefix=f"c{n}q", start=n) for n in range(CLIENTS)]
    time.sleep(5.0)
    first, began_s = workers[0], fleet.record.now_s()
    if trouble:
        first.crash()
        time.sleep(DOWN_S)
        first = Worker(fleet, "i-0", "deposit-api", "kgl-a", 0, first.port, COLD_S)
        first.announce(LATE_S)
        began_s = first.started_s
    time.sleep(COLD_S + 1.0)
    for each in clients:
        each.stop()
    return judge(fleet.record, first, clients, began_s, trouble)


def judge(record, worker, clients, began_s, trouble):
    """Return 1 if the cold worker got more in some second than it may get."""
    sent_s = {key: at_s for each in clients for key, at_s in each.sent_s.items()}
    times = [
        (sent_s[request_id], at_s)
        for at_s, request_id in worker.arrivals
        if began_s <= at_s < began_s + COLD_S
    ]
    counts = [
        sum(start <= sent and at_s < start + 1.0 for sent, at_s in times)
        for start, _ in times
    ]
    most = max(counts, default=0)
    record.write(
        f"from {began_s:.3f} on {worker.name} got {most} requests in its busiest second"
        f" of {COLD_S:g} s; a cold one may get {MOST:g}"
    )
    if not trouble:
        return 0 if times else 2
    return 1 if most > MOST else 0


if __name__ == "__main__":
    run_case(__file__, play)
