import json
from datetime import datetime, timedelta

import pytest
from loguru import logger

from vanillabeam.decisions import RequestRefused, TargetChosen, TaskFailed, log_record
from vanillabeam.decisions.lines import write_to
from vanillabeam.logs import configure


def read_lines(tmp_path, form):
    path = tmp_path / "log"
    configure({"format": form, "level": "INFO", "file": str(path)}, "vm-1", "dc-1")
    logger.bind(request_id="r-1", key="secret", prompt="a letter").info("answered")
    logger.bind(target="t{0}").warning("braces {stay}")
    logger.remove()
    return path.read_text().splitlines()


def test_json_lines_carry_known_fields_only(tmp_path):
    first, second = (json.loads(line) for line in read_lines(tmp_path, "json"))
    assert first["event"] == "answered"
    assert first["request_id"] == "r-1"
    assert first["vm"] == "vm-1"
    assert not {"key", "prompt"} & first.keys()
    assert second["target"] == "t{0}"


def test_text_lines_carry_known_fields_only(tmp_path):
    first, second = read_lines(tmp_path, "text")
    assert "request_id=r-1" in first
    assert "secret" not in first
    assert "letter" not in first
    assert "braces {stay}" in second


class Lines:
    def __init__(self, level="INFO"):
        self.written = []
        configure({"format": "json", "level": level, "file": None}, "vm-1", "a", self)

    def write(self, line):
        self.written.append(line)


RECORDS = [
    RequestRefused("r-1", "no-target", 'a "quote"\n{x}', 503, "not-run", 0.25, 7),
    TargetChosen(
        "r-1", "llm", "t", 3, 0.2, None, 0.0, 9, 0, 0, 0, 0.1, False, 1, 7, ["é"]
    ),
    TaskFailed("follower", "ValueError", "at x.py:3"),
]


# Guards against lines of decisions that differ from those of the logger.
@pytest.mark.parametrize("record", RECORDS)
def test_a_record_is_written_as_the_logger_writes_it(record):
    lines = Lines()
    log_record(record)
    write_to(None)
    log_record(record)
    logger.remove()
    direct, logged = (json.loads(line) for line in lines.written)
    assert list(direct) == list(logged)
    times = [datetime.fromisoformat(line.pop("time")) for line in (direct, logged)]
    assert direct == logged
    assert abs(times[1] - times[0]) < timedelta(seconds=5)
    assert all(line.endswith("}\n") for line in lines.written)


def test_a_record_below_the_level_is_not_written():
    lines = Lines("WARNING")
    log_record(RECORDS[1])
    log_record(RECORDS[0])
    write_to(None)
    logger.remove()
    assert [json.loads(line)["event"] for line in lines.written] == ["request-refused"]
