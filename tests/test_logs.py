import json

from loguru import logger

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
