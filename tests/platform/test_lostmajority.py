"""Processes of a fleet whose control VMs lose their majority for good."""

import json
import shutil

from typer.testing import CliRunner

from tests.platform.builders import make_document
from tests.platform.processes import running_processes, wait_until
from vanillabeam.cli import app

NETWORK = 47


def start(processes, *numbers, **changes):
    seeds = [f"{processes.host(n)}:{processes.ports['control']}" for n in (1, 2, 3)]
    for number in numbers:
        processes.start(number, seeds=seeds, **changes)


def metric(processes, number, name):
    """Return the value of a metric, ``None`` if the VM doesn't answer."""
    status, body = processes.call(number, "metrics", "GET", "/metrics")
    lines = body.decode().splitlines() if status == 200 else []
    values = [line.split()[1] for line in lines if line.startswith(f"{name} ")]
    return float(values[0]) if values else None


def force(processes, number, *options):
    folder = processes.folder / f"data-{number}"
    line = ["data", "force", str(folder), "fleet", "--above", "1000", *options]
    return CliRunner().invoke(app, line)


def configuration(processes, number=1):
    status, body = processes.call(number, "control", "GET", "/api/Config.Get")
    return json.loads(body) if status == 200 else None


def kill(processes, *numbers):
    for number in numbers:
        process = processes.running.pop(number)
        process.kill()
        process.wait()


# Guards against a fleet that never takes a configuration again: two of three control
# VMs are gone for good. Each step names what the operator reads there.
def test_a_lost_majority_is_named_and_the_log_goes_on_from_the_one_left(tmp_path):
    with running_processes(tmp_path, NETWORK) as processes:
        start(processes, 1, 2, 3, bootstrap=True)
        wait_until(lambda: metric(processes, 1, "vanillabeam_log_voters") == 3)
        wait_until(lambda: processes.put(version=5))
        hosts = [processes.host(number) for number in (2, 3)]
        kill(processes, 2, 3)
        (line, *_) = wait_until(lambda: processes.lines(1, "leader-missing"))
        assert (line["majority"], line["silent"], line["role"]) == (2, hosts, "voter")
        name = "vanillabeam_log_leaderless_seconds"
        assert metric(processes, 1, name) > 3
        assert not processes.put(version=6)
        gone = ("--gone", hosts[0], "--gone", hosts[1])
        assert force(processes, 1, *gone).exit_code == 1
        kill(processes, 1)
        assert force(processes, 1, "--gone", hosts[0]).exit_code == 1
        assert force(processes, 1, *gone).exit_code == 0
        assert force(processes, 1, *gone, "--write").exit_code == 0
        for number in (2, 3):
            shutil.rmtree(tmp_path / f"data-{number}")
        start(processes, 1, bootstrap=False)
        wait_until(lambda: configuration(processes) == make_document(version=5))
        start(processes, 2, 3, bootstrap=False)
        wait_until(lambda: metric(processes, 1, "vanillabeam_log_losses_left") == 1)
        reasons = [each["reason"] for each in processes.lines(1, "membership-changed")]
        assert reasons[-4:].count("caught up") == 2
        assert processes.put(version=6)
        kill(processes, 1)
        latest = make_document(version=6)
        wait_until(lambda: configuration(processes, number=2) == latest)
