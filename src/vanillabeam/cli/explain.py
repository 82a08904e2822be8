"""``vanillabeam explain``: one request's story, from the logs of several VMs."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

import typer

from vanillabeam.cli.client import JsonOption, print_json

__all__ = ["explain", "request_timeline"]

EXIT_NOT_FOUND = 1
#: Fields that every line has; the others are what decided it.
COMMON = ("time", "level", "event", "vm", "data_centre", "request_id")
#: Changes of belief that are told beside a request's own lines.
STATE = "state-in-force"
BELIEFS = (STATE, "target-changed", "target-left", "target-silent")


def explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs of VMs; none reads stdin.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Tell in order what was decided about a request, and by what."""
    lines = request_timeline(request_id, _lines(files or []))
    if as_json:
        print_json(lines)
    for line in [] if as_json else lines:
        typer.echo(_text(line))
    if not lines:
        typer.echo(f"no line names {request_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)


def request_timeline(request_id: str, lines: Iterable[str]) -> list[dict]:
    """Return the lines of a request, and what its targets did meanwhile.

    :param lines: of logs; what is no JSON object is passed over.
    """
    own: list[dict] = []
    beliefs: list[dict] = []
    for line in lines:
        record = _record(line)
        if record is None:
            continue
        if record.get("request_id") == request_id:
            own.append(record)
        elif record.get("event") in BELIEFS:
            beliefs.append(record)
    if not own:
        return []
    own.sort(key=lambda record: record["time"])
    vms = {record["vm"] for record in own}
    targets = {record["target"] for record in own if "target" in record}
    first, last = own[0]["time"], own[-1]["time"]
    told = [
        record
        for record in beliefs
        if record["vm"] in vms
        and first <= record["time"] <= last
        and record.get("target") in {None, *targets}
    ]
    before = _last_state(beliefs, own[0])
    return sorted([*before, *own, *told], key=lambda record: record["time"])


def _last_state(beliefs: list[dict], first: dict) -> list[dict]:
    """Return what was in force on a request's VM when it came."""
    states = [
        record
        for record in beliefs
        if record["event"] == STATE
        and record["vm"] == first["vm"]
        and record["time"] < first["time"]
    ]
    return [max(states, key=lambda record: record["time"])] if states else []


def _lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as lines:
            yield from lines


def _record(line: str) -> dict | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    is_line = isinstance(record, dict) and {"time", "event", "vm"} <= record.keys()
    return record if is_line else None


def _text(record: dict) -> str:
    inputs = " ".join(
        f"{name}={value}" for name, value in record.items() if name not in COMMON
    )
    return f"{record['time']} {record['vm']} {record['event']} {inputs}"
