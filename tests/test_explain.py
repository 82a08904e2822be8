import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from vanillabeam.cli import app
from vanillabeam.cli.explain import request_timeline

RECORDED = Path(__file__).parent / "recorded"

STORIES = {
    "refused-under-load": (
        "6757212de5cd0dd3",
        ["state-in-force", "request-admitted", "request-refused"],
        {"failure": "too-late", "run": "not-run"},
    ),
    "lost-its-target": (
        "d97e014a24f0cec0",
        [
            "state-in-force",
            "request-admitted",
            "target-chosen",
            "attempt-failed",
            "answer-cut",
        ],
        {"failure": "answer-broken"},
    ),
    "refused-after-a-change": (
        "3b7f90d05d67eb60",
        ["state-in-force", "request-refused"],
        {"failure": "route-unknown", "index": 14},
    ),
}


@pytest.mark.parametrize("name", STORIES)
def test_a_recorded_log_explains_a_request(name):
    request_id, events, ending = STORIES[name]
    lines = (RECORDED / f"{name}.jsonl").read_text().splitlines()
    lines_of_request = request_timeline(request_id, lines[::-1])
    assert [line["event"] for line in lines_of_request] == events
    assert ending.items() <= lines_of_request[-1].items()


def test_the_command_reads_several_files_and_prints_json():
    files = [str(path) for path in sorted(RECORDED.glob("*.jsonl"))]
    request_id = STORIES["lost-its-target"][0]
    result = CliRunner().invoke(app, ["explain", request_id, *files, "--json"])
    assert result.exit_code == 0
    assert json.loads(result.stdout)[-1]["event"] == "answer-cut"


def test_an_unknown_request_id_is_an_error():
    result = CliRunner().invoke(app, ["explain", "none"], input="no log\n{broken\n")
    assert result.exit_code == 1


def test_the_operators_page_shows_the_recorded_requests():
    page = (RECORDED.parents[1] / "docs" / "OPERATIONS.md").read_text()
    for request_id, _, _ in STORIES.values():
        assert f"explain {request_id} " in page
