import json
import signal
import subprocess
import sys
import time

import httpcore

from tests.builders import make_settings_document
from tests.path.fleet import hold_port, port_of

LIMIT_S = 20.0


def start(folder, **changes):
    held = {name: hold_port() for name in ("callers", "targets", "peers")}
    ports = {name: port_of(sock) for name, sock in held.items()}
    listeners = {name: {"port": port} for name, port in ports.items()}
    document = make_settings_document(listeners=listeners, **changes)
    path = folder / "vm.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "vanillabeam.daemon", "--settings", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    return process, ports, held


def close(held):
    for sock in held.values():
        sock.close()


def status_of(port, path):
    try:
        with httpcore.ConnectionPool() as pool:
            return pool.request("GET", f"http://127.0.0.1:{port}{path}").status
    except httpcore.ConnectError:
        return None


def wait_for(port, path, status):
    deadline_s = time.monotonic() + LIMIT_S
    while status_of(port, path) != status:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def test_the_daemon_becomes_ready_and_a_signal_drains_it(tmp_path):
    process, ports, held = start(tmp_path, drain={"notice_s": 0.5})
    try:
        wait_for(ports["callers"], "/readyz", 200)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        wait_for(ports["callers"], "/readyz", 503)
        assert status_of(ports["callers"], "/healthz") == 200
        _, logs = process.communicate(timeout=LIMIT_S)
    finally:
        process.kill()
    assert process.returncode == 0
    close(held)
    events = [json.loads(line)["event"] for line in logs.splitlines()]
    assert events[-1] == "stopped"


def test_bad_settings_end_it_with_every_fault(tmp_path):
    process, _, held = start(tmp_path, vm=3, colour="red")
    _, errors = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 2
    close(held)
    assert "vm: " in errors
    assert "colour: " in errors
