"""Ports that another program or a predecessor holds when a process starts."""

import time

import pytest

from tests.platform.processes import listening, running_processes, wait_until

NETWORK = 81
WAIT_S = 1.5


# A port in use at the start once ended the process with a traceback, even if the port
# was free again two seconds later.
@pytest.mark.parametrize("name", ["peers", "control"])
def test_a_control_vm_waits_for_a_port_in_use(tmp_path, name):
    with running_processes(tmp_path, NETWORK) as processes:
        with listening(processes.host(1), processes.ports[name]):
            process = processes.start(1)
            wait_until(lambda: processes.lines(1, "port-taken"))
            time.sleep(WAIT_S)
            assert process.poll() is None
        wait_until(processes.put)
        (taken,) = processes.lines(1, "port-taken")
        (free,) = processes.lines(1, "port-free")
        assert (taken["listener"], taken["failure"]) == (name, "port-unavailable")
        assert free["waited_s"] >= WAIT_S


# No second process may write a data folder: the one that waits for the peers' port
# must not have opened it.
def test_a_data_folder_is_untouched_while_another_process_holds_the_peers_port(
    tmp_path,
):
    with running_processes(tmp_path, NETWORK) as processes:
        with listening(processes.host(1), processes.ports["peers"]):
            processes.start(1)
            wait_until(lambda: processes.lines(1, "port-taken"))
            time.sleep(WAIT_S)
            assert not list((tmp_path / "data-1").iterdir())


# A metrics page is no reason not to serve.
def test_a_vm_serves_without_the_metrics_port_and_shows_metrics_later(tmp_path):
    with running_processes(tmp_path, NETWORK) as processes:
        with listening(processes.host(1), processes.ports["metrics"]):
            processes.start(1)
            wait_until(processes.put)
        wait_until(lambda: processes.has_metrics(1))


@pytest.mark.parametrize("name", ["entry", "readiness"])
def test_an_entry_vm_is_ready_only_with_its_ports(tmp_path, name):
    with running_processes(tmp_path, NETWORK) as processes:
        processes.start(1)
        wait_until(processes.put)
        with listening(processes.host(2), processes.ports[name]):
            process = processes.start(2, entry=True)
            wait_until(lambda: processes.lines(2, "state-in-force"))
            time.sleep(WAIT_S)
            assert process.poll() is None
            assert not processes.is_ready(2)
        wait_until(lambda: processes.is_ready(2))


# The end of a process that waits for a port must be as clean as any other.
def test_a_process_that_waits_for_a_port_stops_cleanly(tmp_path):
    with running_processes(tmp_path, NETWORK) as processes:
        with listening(processes.host(1), processes.ports["peers"]):
            processes.start(1)
            wait_until(lambda: processes.lines(1, "port-taken"))
            assert processes.terminate(1) == 0
            assert processes.lines(1, "stopped")
