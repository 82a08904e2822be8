"""Starts and ends of real processes under what the platform does to them."""

import os
import signal
import time
from pathlib import Path

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


# A settings file that was missing or half written at the start ended the process.
@pytest.mark.parametrize("kept", [None, 0, 0.5])
def test_a_process_waits_for_its_settings_file(tmp_path, kept):
    with running_processes(tmp_path, NETWORK) as processes:
        path = processes.write_settings(1)
        text = path.read_text()
        path.unlink()
        if kept is not None:
            path.write_text(text[: int(kept * len(text))])
        process = processes.run(1, path)
        wait_until(lambda: processes.lines(1, "settings-unreadable"))
        time.sleep(INTERPRETER_S)
        assert process.poll() is None
        path.write_text(text)
        wait_until(processes.put)
        assert len(processes.lines(1, "settings-unreadable")) <= 2


def test_a_process_without_settings_stops_cleanly(tmp_path):
    with running_processes(tmp_path, NETWORK) as processes:
        path = processes.write_settings(1)
        path.write_text("")
        processes.run(1, path)
        wait_until(lambda: processes.lines(1, "settings-unreadable"))
        assert processes.terminate(1) == 0


# A process whose standard output was closed once ended at its start.
@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
def test_a_process_serves_without_its_standard_streams(tmp_path, closed):
    def close():
        for descriptor in closed:
            os.close(descriptor)

    with running_processes(tmp_path, NETWORK) as processes:
        process = processes.start(1, options={"preexec_fn": close})
        wait_until(processes.put)
        assert process.poll() is None
        for number in closed:
            path = Path(f"/proc/{process.pid}/fd/{number}")
            assert path.readlink() == Path(os.devnull)
