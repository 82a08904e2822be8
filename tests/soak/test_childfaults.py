"""Faults of a child process, switched on and off by files."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PROGRAM = """
import os, sys, time
from pathlib import Path
from tests.soak import childfaults
true_time = time.time()
childfaults.install(sys.argv[1])
ahead_s = time.time() - true_time
from vanillabeam.log.folder import DiskFolder
began_s = time.monotonic()
try:
    folder = DiskFolder(Path(sys.argv[2]) / "log")
    folder.replace("a", b"1")
    folder.append("a", b"2")
    folder.sync("a")
    outcome = folder.read("a").decode()
except OSError as exc:
    outcome = exc.strerror
os.write(1, b"a line\\n")
print(outcome, round(time.monotonic() - began_s), round(ahead_s), flush=True)
"""


def run(tmp_path, **faults):
    """Return what a child wrote to its data folder, its duration, and its clock."""
    data, folder = tmp_path / "data", tmp_path / "faults"
    data.mkdir()
    folder.mkdir()
    for name, text in faults.items():
        (folder / name).write_text(text)
    settings = tmp_path / "settings.json"
    settings.write_text(json.dumps({"platform": {"data_dir": str(data)}}))
    variables = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}",
        "VANILLABEAM_CONFIG": str(settings),
    }
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(folder), str(data)],
        env=variables,
        capture_output=True,
        text=True,
        check=True,
    )
    line, outcome = result.stdout.splitlines()
    assert line == "a line"
    return outcome


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ({}, "12 0 0"),
        ({"full": ""}, "No space left on device 0 0"),
        ({"broken": ""}, "Input/output error 0 0"),
        ({"slow": "0.5"}, "12 3 0"),
        ({"clock": "10"}, "12 0 10"),
        ({"clock": "-10"}, "12 0 -10"),
    ],
)
def test_a_fault_lasts_while_its_file_stands(tmp_path, faults, outcome):
    seconds = run(tmp_path, **faults).split()
    expected = outcome.split()
    if "slow" in faults:
        assert int(seconds[-2]) >= int(expected[-2]) - 1
        seconds[-2] = expected[-2]
    assert seconds == expected
