"""Starts and ends of real processes under what the platform does to them."""

import signal
import time

import pytest

from tests.platform.processes import running_processes, wait_until

NETWORK = 82
#: Seconds in which an interpreter has begun to run the program.
INTERPRETER_S = 0.3


def started(processes):
    return processes.lines(1, "started")


# SIGHUP once ended a process whose program was still being imported.
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2, 0.3])
def test_a_hangup_at_the_start_does_not_end_the_process(tmp_path, delay_s):
    with running_processes(tmp_path, NETWORK) as processes:
        process = processes.start(1)
        time.sleep(INTERPRETER_S + delay_s)
        process.send_signal(signal.SIGHUP)
        wait_until(processes.put)
        assert process.poll() is None


# SIGTERM once ended such a process by the signal, not as a planned stop.
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2, 0.3])
def test_a_planned_stop_at_the_start_ends_the_process_cleanly(tmp_path, delay_s):
    with running_processes(tmp_path, NETWORK) as processes:
        processes.start(1)
        time.sleep(INTERPRETER_S + delay_s)
        assert processes.terminate(1) == 0
        assert processes.lines(1, "stopped")
