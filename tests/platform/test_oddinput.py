"""Odd documents and commands that must not end a control VM's process."""

import json
import time

from tests.platform.builders import make_document
from tests.platform.processes import running_processes, wait_until

NETWORK = 83
SETTLE_S = 3.0


# A store without a port in its address ended the process of each leader in turn.
def test_a_store_with_an_odd_address_ends_no_process(tmp_path):
    store = {"name": "st", "zone": "a", "kv_tokens": 5, "link_mbps": 1.0}
    with running_processes(tmp_path, NETWORK) as processes:
        process = processes.start(1)
        wait_until(processes.put)
        for number, address in enumerate(["x", "é:80", "a" * 300 + ":80"]):
            services = make_document()["services"]
            services.append(store | {"kv_store_addr": address})
            processes.put(version=10 + number, services=services)
            time.sleep(SETTLE_S / 3)
        assert process.poll() is None
        wait_until(lambda: processes.put(version=20))


# A committed command of another build ended the process, and again at every start.
def test_a_command_of_another_build_ends_no_process(tmp_path):
    with running_processes(tmp_path, NETWORK) as processes:
        process = processes.start(1)
        wait_until(processes.put)
        request = {"kind": "propose", "command": json.dumps({"kind": "of-another"})}
        processes.call(1, "peers", "POST", "/peer/log/fleet/request", request)
        time.sleep(SETTLE_S)
        assert process.poll() is None
        processes.terminate(1)
        process = processes.start(1)
        time.sleep(SETTLE_S)
        assert process.poll() is None
        status = processes.call(1, "peers", "POST", "/peer/log/fleet/status", {})
        assert json.loads(status[1])["failure"] == "log-replica-stopped"
