"""``vanillabeam explain``: timeline of one request, from the logs of several VMs."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

import typer

from vanillabeam.cli.client import JsonOption, print_json

__all__ = ["explain", "parse_record", "read_lines", "request_timeline"]

EXIT_NOT_FOUND = 1
#: Fields that every log line has; the others are the inputs of the decision.
COMMON_FIELDS = ("time", "level", "event", "vm", "data_centre", "request_id")
IN_FORCE_EVENT = "state-in-force"
#: Events of a VM's view of the system that are shown between a request's lines.
STATE_EVENTS = (IN_FORCE_EVENT, "target-changed", "target-left", "target-silent")


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of VMs; default is to read stdin."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show in order the decisions about a request, and their inputs."""
    lines = request_timeline(request_id, read_lines(files or []))
    if as_json:
        print_json(lines)
    for line in [] if as_json else lines:
        typer.echo(_format_record(line))
    if not lines:
        typer.echo(f"no log line has the request id {request_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)


def request_timeline(request_id: str, lines: Iterable[str]) -> list[dict]:
    """Return the log records of a request and of its targets meanwhile, by time.

    :param lines: log lines; lines without a JSON object are ignored.
    :returns: the records of the request, the changes of the state of its targets
        that its VMs logged in the same time, and the state that was in force when
        it arrived; empty if no line has the request's id.
    """
    own: list[dict] = []
    state_records: list[dict] = []
    for line in lines:
        record = parse_record(line)
        if record is None:
            continue
        if record.get("request_id") == request_id:
            own.append(record)
        elif record.get("event") in STATE_EVENTS:
            state_records.append(record)
    if not own:
        return []
    own.sort(key=lambda record: record["time"])
    vms = {record["vm"] for record in own}
    targets = {record["target"] for record in own if "target" in record}
    first, last = own[0]["time"], own[-1]["time"]
    concurrent = [
        record
        for record in state_records
        if record["vm"] in vms
        and first <= record["time"] <= last
        and record.get("target") in {None, *targets}
    ]
    initial = _state_before(state_records, own[0])
    return sorted([*initial, *own, *concurrent], key=lambda record: record["time"])


def _state_before(state_records: list[dict], first: dict) -> list[dict]:
    """Return the state in force on the request's VM when it arrived, if logged.

    :param first: first record of the request.
    """
    states = [
        record
        for record in state_records
        if record["event"] == IN_FORCE_EVENT
        and record["vm"] == first["vm"]
        and record["time"] < first["time"]
    ]
    return [max(states, key=lambda record: record["time"])] if states else []


def read_lines(files: list[Path]) -> Iterator[str]:
    """Yield the lines of files, or those of the standard input without files."""
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as lines:
            yield from lines


def parse_record(line: str) -> dict | None:
    """Return the record of a log line; ``None`` if it has none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    is_valid = isinstance(record, dict) and {"time", "event", "vm"} <= record.keys()
    return record if is_valid else None


def _format_record(record: dict) -> str:
    inputs = " ".join(
        f"{name}={value}" for name, value in record.items() if name not in COMMON_FIELDS
    )
    return f"{record['time']} {record['vm']} {record['event']} {inputs}"
