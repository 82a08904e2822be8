"""Generation of the reference pages for failures, settings and log lines.

``python -m vanillabeam.reference docs`` writes the pages to ``docs``.
"""

import importlib
import inspect
import pkgutil
import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import vanillabeam
from vanillabeam.decisions import KINDS, event_name
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.problems import catalogue
from vanillabeam.settings import schema, write_schema

__all__ = ["failures_page", "log_page", "settings_page", "write_pages"]

_PARAM = re.compile(r":param (\w+):(.+?)(?=\n:param|\Z)", re.DOTALL)

FAILURES_INTRO = """# Failures

Generated from the code by `python -m vanillabeam.reference docs`.

Every failure is answered with an `application/problem+json` document whose
`type` is `urn:vanillabeam:` followed by a name from this table. The header
`Vanillabeam-Run` says whether a target ran the request: `not-run` and `ran`
are certain, `unknown` means that it may have run. `Retry-After` is sent where
the table gives a time.

| type | status | run | retry after (s) | meaning | what to do |
|---|---|---|---|---|---|
"""

SETTINGS_INTRO = """# Settings

Generated from the code by `python -m vanillabeam.reference docs`; the JSON
Schema is `docs/settings.schema.json`. A settings file is one JSON document.
Unknown keys, wrong types and values out of range are refused;
`vanillabeam settings check FILE` reports all faults at once, each with its
path in the document. Relative paths are resolved against the folder of the
settings file.
"""

#: Descriptions of the fields that several kinds of log lines share.
COMMON_FIELDS = {
    "request_id": "id of the caller's request",
    "index": "index of the fleet state in force",
    "number": "number of the deployment",
    "target": "id of the target",
    "service": "name of the service",
    "born_ms": "Unix time of the target's start in milliseconds",
    "failure": "type of the failure, as in failures.md",
    "detail": "description of this occurrence",
    "total_s": "seconds since the request's head was read",
    "attempts": "number of targets that were sent the request",
    "status": "HTTP status of the answer to the caller",
    "address": "address as host and port",
    "epoch": "identifies one start of the process",
    "count": "number of prompt parts or lines",
    "route": "name of the route in the deployment",
    "workspace": "workspace of the caller's key, empty on a public route",
    "rank": "priority rank, 0 is the most urgent",
    "cold": "whether the target is in its cold window",
    "age_s": "age of the target's newest announcement in seconds",
    "run": "whether the request may have run",
    "retry_after_s": "seconds in the answer's Retry-After, if any",
    "draining": "whether the target takes no new work",
    "cold_ms": "remaining time of the target's cold window in milliseconds",
    "evacuated": "data centres that are out of service",
    "weights": "newest version of each model",
    "kind": "kind of the operator's order",
    "subject": "data centre or model that the order concerns",
    "model": "name of the model",
    "version": "version of the weights or of this program",
    "reply": "answer of the target",
    "store": "name or address of the store",
    "peer": "VM that was to be removed",
    "role": "role of the process, entry or control",
    "code": "exit code of the process",
    "seeds": "hosts that the settings list now",
    "dropped": "event of the lines that were dropped",
}

LOG_INTRO = """# Log lines

Generated from the code by `python -m vanillabeam.reference docs`.

Log lines are JSON objects on standard output, one on each line. Every line
has `time`, `level`, `event`, `vm` and `data_centre`. Each kind has a maximum
number of lines per second; lines over it are dropped and counted by
`lines-dropped`. How to read the lines of one request together is described in
[operations](OPERATIONS.md).
"""


def failures_page() -> str:
    """Return the page that lists all failures."""
    _load_all()
    own = [kind for kind in catalogue() if kind.__module__.startswith("vanillabeam")]
    return FAILURES_INTRO + "".join(_failure_row(kind) for kind in own)


def settings_page() -> str:
    """Return the page that describes all settings."""
    document = schema()
    parts = [SETTINGS_INTRO, *_section("The document", document)]
    for name, part in sorted(document["$defs"].items()):
        parts.extend(_section(name, part))
    return "".join(parts)


def log_page() -> str:
    """Return the page that describes all kinds of log lines."""
    return LOG_INTRO + "".join(_kind_section(kind) for kind in KINDS)


def write_pages(folder: Path) -> None:
    """Write the pages and the schema into ``folder``."""
    (folder / "failures.md").write_text(failures_page())
    (folder / "settings.md").write_text(settings_page())
    (folder / "loglines.md").write_text(log_page())
    write_schema(folder / "settings.schema.json")


def _load_all() -> None:
    for module in pkgutil.walk_packages(vanillabeam.__path__, "vanillabeam."):
        importlib.import_module(module.name)


def _failure_row(kind: type[VanillabeamError]) -> str:
    retry = "" if kind.retry_after_s is None else f"{kind.retry_after_s:g}"
    meaning = inspect.getdoc(kind).splitlines()[0]
    cells = (
        f"`{kind.type}`",
        str(int(kind.status)),
        str(kind.run),
        retry,
        meaning,
        kind.advice,
    )
    return "| " + " | ".join(cells) + " |\n"


def _kind_section(record: type) -> str:
    meaning = inspect.getdoc(record)
    params = dict(_PARAM.findall(meaning))
    kind = KINDS[record]
    rows = "".join(
        f"| `{name}` | {_words(params.get(name) or COMMON_FIELDS.get(name, ''))} |\n"
        for name in record._fields
    )
    return (
        f"\n## {event_name(record)}\n\n{meaning.splitlines()[0]} "
        f"{kind.level.capitalize()}, {kind.lines_s} a second.\n\n"
        f"| field | meaning |\n|---|---|\n{rows}"
    )


def _words(text: str) -> str:
    return " ".join(text.split())


def _section(title: str, part: dict[str, Any]) -> Iterator[str]:
    yield f"\n## {title}\n\n"
    if part.get("description"):
        yield part["description"].splitlines()[0] + "\n\n"
    yield "| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n"
    required = part.get("required", [])
    for key, field in part["properties"].items():
        default = "required" if key in required else _default(field)
        row = (f"`{key}`", _type(field), default, _allowed(field), _meaning(field))
        yield "| " + " | ".join(row) + " |\n"


def _default(field: dict[str, Any]) -> str:
    if "default" not in field:
        return "as listed there"
    return f"`{_json(field['default'])}`"


def _json(value: Any) -> str:
    return {None: "null", True: "true", False: "false"}.get(value, str(value))


def _type(field: dict[str, Any]) -> str:
    if "$ref" in field:
        name = field["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if "anyOf" in field:
        return " or ".join(_type(each) for each in field["anyOf"])
    if field.get("type") == "array":
        return f"list of {_type(field['items'])}"
    return field.get("type", "value")


def _allowed(field: dict[str, Any]) -> str:
    if "anyOf" in field:
        return ", ".join(filter(None, map(_allowed, field["anyOf"])))
    if field.get("type") == "array":
        return _allowed(field["items"])
    if "enum" in field:
        return ", ".join(f"`{value}`" for value in field["enum"])
    if "const" in field:
        return f"`{field['const']}`"
    bounds = {
        "minimum": "≥",
        "exclusiveMinimum": ">",
        "maximum": "≤",
        "exclusiveMaximum": "<",
    }
    return " ".join(f"{sign} {field[k]:g}" for k, sign in bounds.items() if k in field)


def _meaning(field: dict[str, Any]) -> str:
    return field.get("description", "")


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
