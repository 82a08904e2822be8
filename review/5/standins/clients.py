"""Clients that send requests to the entry VMs at a steady pace."""

import threading
import time

from standins.fleet import ENTRY_PORT, READY_PORT
from standins.http import call

HOST = "deposit.example"
PATH = "/balance/1"
DEADLINE_S = 1.5
PERIOD_S = 0.05


class Clients:
    """Sends requests to the entry VMs, one after the other, until stopped.

    :param prefix: begin of the ids of requests.
    :param start: place of the entry VM that is called first.
    :ivar sent_s: time at which each request was sent, by its id.
    """

    def __init__(self, fleet, prefix="q", start=0):
        self.sent_s = {}
        self._prefix = prefix
        self._start = start
        self._is_open = True
        self._fleet = fleet
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        """Send nothing more."""
        self._is_open = False
        self._thread.join()

    def _run(self):
        number = 0
        while self._is_open:
            number += 1
            place = (self._start + number) % len(self._fleet.fronts)
            self._send(f"{self._prefix}{number}", self._fleet.fronts[place])
            time.sleep(PERIOD_S)

    def _send(self, request_id, name):
        record, host = self._fleet.record, self._fleet.hosts[name]
        headers = {
            "Host": HOST,
            "X-Vanillabeam-Request-Id": request_id,
            "X-Vanillabeam-Deadline-Ms": str(int(1000 * DEADLINE_S)),
        }
        self.sent_s[request_id] = record.write(f"client sends {request_id} to {name}")
        status, _, _ = call(host, ENTRY_PORT, "GET", PATH, None, DEADLINE_S, headers)
        record.write(f"client hears {status} for {request_id}")


def wait_ready(fleet, limit_s=20.0):
    """Wait until each entry VM says that it is ready; return whether it did."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        states = [
            call(fleet.hosts[name], READY_PORT, "GET", "/api/ready")[0]
            for name in fleet.fronts
        ]
        if all(state == 200 for state in states):
            return True
        time.sleep(0.2)
    return False
