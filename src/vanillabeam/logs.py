"""Structured logging: each event is a line of JSON or of text."""

import logging
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from loguru import logger

from vanillabeam import wire
from vanillabeam.decisions import KINDS, LibraryWarned, log_record
from vanillabeam.decisions.lines import write_to
from vanillabeam.output import LineWriter

if TYPE_CHECKING:
    from vanillabeam.settings import Logs

__all__ = ["FIELDS", "capture_libraries", "configure"]

_FIELDS = (
    "vm",
    "data_centre",
    "request_id",
    "workspace",
    "model",
    "service",
    "target",
    "boot_id",
    "version",
    "ticket",
    "index",
    "group",
    "term",
    "peer",
    "path",
    "status",
    "run",
    "failure",
    "detail",
    "attempts",
    "first_token_s",
    "total_s",
    "transfer",
    "store",
    "bytes",
    "count",
    "request_ids",
    "address",
    "role",
    "code",
)


#: Names of the fields that a log line may contain. Other fields are dropped, so
#: that a newly added field can't write a key or a prompt to the log.
FIELDS = tuple(dict.fromkeys((*_FIELDS, *(f for kind in KINDS for f in kind._fields))))


_ORDER = {name: number for number, name in enumerate(FIELDS)}


def configure(
    cfg: "Logs", vm: str, data_centre: str, output: LineWriter | None = None
) -> None:
    """Set the sink, level and format of this process's log lines.

    :param cfg: the ``logs`` section of the settings.
    :param vm: name of this VM, a field of every line.
    :param data_centre: data centre of this VM, a field of every line.
    :param output: writer to use in place of standard error; not used if
        ``cfg`` names a file.
    """
    logger.remove()
    sink = cfg["file"] or (output.write if output else _write_stderr)
    render = _as_json if cfg["format"] == "json" else _as_text
    logger.configure(extra={"vm": vm, "data_centre": data_centre})
    logger.add(sink, level=cfg["level"], format=render, catch=True)
    is_direct = cfg["format"] == "json" and callable(sink)
    write_to(_JsonLines(sink, cfg["level"], vm, data_centre) if is_direct else None)


class _JsonLines:
    """Writes the records of decisions as the logger writes them, without it.

    :param sink: takes a line.
    :param level: lowest level of the lines that are written.
    """

    def __init__(
        self, sink: Callable[[str], None], level: str, vm: str, data_centre: str
    ):
        self._sink = sink
        self._lowest = logger.level(level).no
        self._levels: dict[str, int] = {}
        self._vm = {"vm": vm, "data_centre": data_centre}
        self._second, self._second_text = 0, ""

    def __call__(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Write a line; a sink that fails loses it and nothing else."""
        if level not in self._levels:
            self._levels[level] = logger.level(level).no
        if self._levels[level] < self._lowest:
            return
        line = {"time": self._time(), "level": level, "event": event, **self._vm}
        line.update(sorted(fields.items(), key=_field_order))
        with suppress(OSError, ValueError):
            self._sink(wire.encode(line).decode() + "\n")

    def _time(self) -> str:
        now_s = time.time()
        second = int(now_s)
        if second != self._second:
            self._second = second
            at = datetime.fromtimestamp(second, UTC)
            self._second_text = at.strftime("%Y-%m-%dT%H:%M:%S")
        return f"{self._second_text}.{int((now_s - second) * 1000):03}+00:00"


def _field_order(item: tuple[str, Any]) -> int:
    return _ORDER[item[0]]


def capture_libraries() -> None:
    """Write the libraries' warnings as log lines.

    Otherwise they go to standard error, where a write may block the process.
    """
    logging.basicConfig(handlers=[_LibraryHandler()], force=True)


class _LibraryHandler(logging.Handler):
    """Passes what libraries log on to :func:`log_record`."""

    def emit(self, record: logging.LogRecord) -> None:
        log_record(LibraryWarned(record.name, record.getMessage()))


def _write_stderr(message: str) -> None:
    sys.stderr.write(message)


def _as_json(record) -> str:
    line = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
    }
    line.update(_fields(record))
    if record["exception"] is not None:
        line["exception"] = record["exception"].type.__name__
    record["extra"]["_line"] = wire.encode(line).decode()
    return "{extra[_line]}\n"


def _as_text(record) -> str:
    fields = " ".join(f"{name}={value}" for name, value in _fields(record).items())
    record["extra"]["_line"] = fields
    return "{time:HH:mm:ss.SSS} {level: <7} {message} {extra[_line]}\n{exception}"


def _fields(record) -> dict[str, object]:
    extra = record["extra"]
    return {name: extra[name] for name in FIELDS if name in extra}
