"""A leave call that was acknowledged is forgotten when processes are killed."""

import os
import threading
import time

from standins.case import run_case
from standins.clients import Clients, wait_ready
from standins.configs import make_plain_config
from standins.fleet import BOUNDS, CONTROL_PORT, ZONES
from standins.http import call
from standins.operator import send_order
from standins.workers import Worker

#: Seconds until the provider starts a process again.
DOWN_S = 0.8
#: Seconds by which the last ping before the leave call arrives late.
PING_DELAY_S = 3.5
DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
#: Seconds from its leave call until the worker exits.
SERVES_S = 9.0


def send_late(fleet, worker, host):
    """Have a ping, made now, arrive late at the control VM that it was sent to."""
    beat = worker.heartbeat()
    made_s = fleet.record.write(f"{worker.name} sends ping {beat['seq']}: ready")

    def arrive():
        time.sleep(PING_DELAY_S)
        path = f"/api/Instances.Heartbeat/{worker.name}"
        status, _, _ = call(host, CONTROL_PORT, "POST", path, beat)
        fleet.record.write(f"ping {beat['seq']} of {made_s:.3f} arrives: {status}")

    threading.Thread(target=arrive, daemon=True).start()


def leave(fleet, worker, host):
    """Send the leave call; return the time of its confirmation, ``None`` without."""
    worker.stop_announcing()
    path = f"/api/Instances.Leave/{worker.name}"
    body = {"born": worker.born_ms}
    status, _, _ = call(host, CONTROL_PORT, "POST", path, body)
    at_s = fleet.record.write(f"{worker.name} hears {status} for its leave call")
    return at_s if 200 <= status < 300 else None


def play(fleet, trouble):
    """Have a worker leave, and kill many processes; return the exit code."""
    record, controls = fleet.record, fleet.controls
    first, host = controls[0], fleet.hosts[controls[0]]
    fleet.start_all()
    config = make_plain_config(3)
    if send_order(fleet, "/api/Config.Put", controls, config, limit_s=25.0) is None:
        return 2
    workers = [
        Worker(fleet, f"i-{number}", "deposit-api", ZONES[number % 4], number)
        for number in range(4)
    ]
    for worker in workers:
        worker.announce()
    if not wait_ready(fleet):
        return 2
    clients = Clients(fleet)
    time.sleep(5.0)
    leaver = workers[0]
    send_late(fleet, leaver, host)
    time.sleep(0.2)
    left_s = leave(fleet, leaver, host)
    if left_s is None:
        return 2
    time.sleep(0.5)
    killed = [first, *fleet.fronts] if trouble else []
    for name in killed:
        fleet.kill(name)
    time.sleep(DOWN_S)
    for name in killed:
        fleet.start(name)
    in_touch_s = record.now_s() + CONTACT_S
    time.sleep(max(0.0, left_s + SERVES_S - record.now_s()))
    leaver.close()
    record.write(f"{leaver.name} exits")
    clients.stop()
    return judge(record, workers, clients, max(left_s + DRAIN_S, in_touch_s), left_s)


def judge(record, workers, clients, from_s, left_s):
    """Return 1 if requests reached the worker that had left."""
    late = [
        sum(clients.sent_s[request_id] > from_s for _, request_id in worker.arrivals)
        for worker in workers
    ]
    record.write(
        f"leave call of {workers[0].name} acknowledged at {left_s:.3f}; requests sent"
        f" after {from_s:.3f}, when all machines are in touch: {late[0]} ran there,"
        f" {sum(late[1:])} elsewhere"
    )
    if late[0]:
        return 1
    return 0 if sum(late) else 2


if __name__ == "__main__":
    run_case(__file__, play, os.environ.get("TROUBLE", "1") != "0")
