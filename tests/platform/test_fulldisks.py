"""Processes of control VMs whose disks are full, one after another, beside changes."""

import json
import random
import resource
import threading
import time
from itertools import count

import pytest

from tests.platform.processes import running_processes, wait_until
from tests.platform.test_lostmajority import metric

NETWORK = 48
NUMBERS = (1, 2, 3, 4)
ROUNDS = 2
#: Seconds between two changes.
CHANGE_S = 0.1
#: Log line of a replica whose disk had refused a write.
WORKS_AGAIN = "the data folder works again"
#: Bounds of the pages: until VMs are in touch after a fault, until a change is
#: acknowledged, and until all VMs obey it.
CONTACT_S = 3.0
ACK_S = 4.0
APPLY_S = 2.0


class Operator(threading.Thread):
    """Sends a configuration after the other to any control VM.

    :ivar confirmed: versions that were confirmed.
    """

    def __init__(self, processes, versions):
        super().__init__(daemon=True)
        self._processes = processes
        self._versions = versions
        self._ends = threading.Event()
        self._rng = random.Random(1)
        self.confirmed = []

    def run(self):
        while not self._ends.wait(CHANGE_S):
            version = next(self._versions)
            if self._processes.put(self._rng.choice(NUMBERS), version=version):
                self.confirmed.append(version)

    def end(self):
        self._ends.set()
        self.join()


class Disk:
    """Disk of a process, which takes no more bytes while it is full.

    No file may grow beyond ``taken_bytes`` then, log files of the process included.
    """

    def __init__(self, process):
        self._pid = process.pid
        self._limits = resource.prlimit(self._pid, resource.RLIMIT_FSIZE)

    def fill(self, taken_bytes):
        limits = (taken_bytes, self._limits[1])
        resource.prlimit(self._pid, resource.RLIMIT_FSIZE, limits)

    def free(self):
        resource.prlimit(self._pid, resource.RLIMIT_FSIZE, self._limits)


def read(processes, number):
    """Return the version that a control VM reads, ``None`` without an answer."""
    status, body = processes.call(number, "control", "GET", "/api/Config.Get")
    return json.loads(body)["version"] if status == 200 else None


# Guards against control VMs that take no more changes once their disks have been full,
# one after another, never two at once.
@pytest.mark.parametrize(
    ("full_s", "gap_s", "taken_bytes"), [(1.5, 0.1, 0), (3.5, 0.5, 3000)]
)
def test_disks_that_fill_up_in_turn_leave_control_vms_that_take_changes(
    tmp_path, full_s, gap_s, taken_bytes
):
    versions = count(10)
    with running_processes(tmp_path, NETWORK) as processes:
        seeds = [f"{processes.host(n)}:{processes.ports['control']}" for n in NUMBERS]
        for number in NUMBERS:
            processes.start(number, seeds=seeds, bootstrap=True)
        voters = "vanillabeam_log_voters"
        wait_until(lambda: all(metric(processes, n, voters) == 4 for n in NUMBERS))
        operator = Operator(processes, versions)
        operator.start()
        for _ in range(ROUNDS):
            for number in NUMBERS:
                disk = Disk(processes.running[number])
                disk.fill(taken_bytes)
                time.sleep(full_s)
                disk.free()
                time.sleep(gap_s)
        time.sleep(CONTACT_S)
        operator.end()
        assert all(process.poll() is None for process in processes.running.values())
        for number in NUMBERS:
            version = next(versions)
            began_s = time.monotonic()
            assert processes.put(number, version=version)
            assert time.monotonic() - began_s < ACK_S
            operator.confirmed.append(version)
        newest = operator.confirmed[-1]
        time.sleep(APPLY_S)
        assert [read(processes, number) for number in NUMBERS] == [newest] * 4
        wait_until(lambda: all(metric(processes, n, voters) == 4 for n in NUMBERS))
        assert len(operator.confirmed) > 20
        logs = [(tmp_path / f"vm-{number}.log").read_text() for number in NUMBERS]
        assert all(WORKS_AGAIN in log for log in logs)
        errors = [(tmp_path / f"vm-{number}.err").read_text() for number in NUMBERS]
        assert errors == [""] * 4
