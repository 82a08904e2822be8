import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from typer.testing import CliRunner

from vanillabeam.capacity.core import MAX_CHANGES, TargetCapacity
from vanillabeam.capacity.gauges import add_capacity_gauges
from vanillabeam.cli import app
from vanillabeam.cli.capacity import read_rows
from vanillabeam.counters import Counters


def teach(capacity, call_ms, from_s=0.0, to_s=10.0):
    """Let other VMs have seen ten calls at each target in each second."""
    sums = {name: [2, 10, 10, 10 * ms, 10] for name, ms in call_ms.items()}
    for name in sums:
        capacity.call_s(name, "orders", 1, from_s)
    for step in range(int(2 * (to_s - from_s)) + 1):
        capacity.update_others({"ended": sums}, from_s + step / 2)


def slow_fleet():
    capacity = TargetCapacity()
    teach(capacity, {"t-1": 100, "t-2": 100, "t-3": 400})
    return capacity


def metrics(capacity):
    counters = Counters()
    add_capacity_gauges(counters, capacity, lambda: 10.0)
    return counters.text()


def test_the_command_shows_what_the_gauges_have():
    rows = read_rows(metrics(slow_fleet()).decode())
    assert [(row["target"], row["slow"]) for row in rows] == [
        ("t-1", False),
        ("t-2", False),
        ("t-3", True),
    ]
    assert rows[0]["call_s"] == pytest.approx(0.1, rel=0.01)
    assert rows[2]["tokens_s"] is None


# Guards against a line in each period for what the operator knows already.
def test_a_change_is_told_once():
    capacity = slow_fleet()
    told = capacity.changes(10.0)
    assert [(row.target, row.is_slow) for row in told] == [("t-3", True)]
    assert capacity.changes(10.1) == []
    teach(capacity, {"t-1": 100, "t-2": 100, "t-3": 100}, 10.5, 20.0)
    told = capacity.changes(20.0)
    assert [(row.target, row.is_slow) for row in told] == [("t-3", False)]


def test_changes_told_at_a_time_are_bounded():
    capacity = TargetCapacity()
    call_ms = {f"t-{n:02}": 100 if n % 3 else 400 for n in range(60)}
    teach(capacity, call_ms)
    first, second = capacity.changes(10.0), capacity.changes(10.0)
    assert (len(first), len(second)) == (MAX_CHANGES, 20 - MAX_CHANGES)


class Metrics(BaseHTTPRequestHandler):
    body = b""

    def do_GET(self):  # noqa: N802
        self.send_response(200 if self.path == "/metrics" else 404)
        self.send_header("content-length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *args):
        pass


def run_command(body, *options):
    handler = type("Handler", (Metrics,), {"body": body})
    server = HTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.handle_request)
    thread.start()
    address = f"127.0.0.1:{server.server_address[1]}"
    result = CliRunner().invoke(app, ["capacity", address, *options])
    thread.join()
    server.server_close()
    return result, address


def test_the_command_prints_a_table_of_one_service():
    result, _ = run_command(metrics(slow_fleet()), "--service", "orders")
    assert result.exit_code == 0
    assert "t-3" in result.stdout
    result, _ = run_command(metrics(slow_fleet()), "--service", "other")
    assert "no target has answered" in result.stdout


def test_the_command_fails_clearly():
    result, address = run_command(b"<html>no metrics</html>")
    assert result.exit_code == 4
    result = CliRunner().invoke(app, ["capacity", address])
    assert (result.exit_code, address in result.output) == (4, True)
