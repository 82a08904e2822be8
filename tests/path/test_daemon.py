import json
import signal
import subprocess
import sys
import time

import httpcore

from tests.builders import make_settings_document
from tests.path.fleet import hold_port, port_of

TIMEOUT_S = 20.0


def start_daemon(folder, **changes):
    sockets = {name: hold_port() for name in ("callers", "targets", "peers")}
    ports = {name: port_of(sock) for name, sock in sockets.items()}
    listeners = {name: {"port": port} for name, port in ports.items()}
    document = make_settings_document(listeners=listeners, **changes)
    path = folder / "vm.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "vanillabeam.daemon", "--settings", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    return process, ports, sockets


def close_sockets(sockets):
    for sock in sockets.values():
        sock.close()


def get_status(port, path):
    try:
        with httpcore.ConnectionPool() as pool:
            return pool.request("GET", f"http://127.0.0.1:{port}{path}").status
    except httpcore.ConnectError:
        return None


def wait_for_status(port, path, status):
    deadline_s = time.monotonic() + TIMEOUT_S
    while get_status(port, path) != status:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def test_the_daemon_becomes_ready_and_a_signal_drains_it(tmp_path):
    process, ports, sockets = start_daemon(tmp_path, drain={"notice_s": 0.5})
    try:
        wait_for_status(ports["callers"], "/readyz", 200)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        wait_for_status(ports["callers"], "/readyz", 503)
        assert get_status(ports["callers"], "/healthz") == 200
        _, logs = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
    assert process.returncode == 0
    close_sockets(sockets)
    events = [json.loads(line)["event"] for line in logs.splitlines()]
    assert events[-1] == "stopped"


def test_invalid_settings_stop_the_daemon_with_every_error(tmp_path):
    process, _, sockets = start_daemon(tmp_path, vm=3, colour="red")
    _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2
    close_sockets(sockets)
    assert "vm: " in errors
    assert "colour: " in errors
