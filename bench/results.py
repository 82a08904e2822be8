"""Results of runs, flattened and stored by commit for comparison."""

import json
import os
import platform
import statistics
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

__all__ = [
    "Measurement",
    "Spread",
    "earlier_result",
    "flatten",
    "keep_result",
    "make_measurement",
    "spread_of",
]

_FOLDER = Path(__file__).parent / "results"
_COMMIT_DIGITS = 10


class Measurement(TypedDict):
    """Result of one call of the tool.

    :param commit: commit of the tree; ends in ``-dirty`` if tracked files differ.
    :param recorded: time of the call in ISO 8601.
    :param machine: architecture and number of cores.
    :param seed: seed of the first repeat.
    :param values: figures of each repeat, by dotted path.
    :param notes: values of the first repeat that are not numbers.
    """

    name: str
    commit: str
    recorded: str
    machine: str
    seed: int
    values: dict[str, list[float]]
    notes: dict[str, str]


class Spread(NamedTuple):
    """Distribution of a figure over several repeats.

    :param relative: (largest - smallest) / median; 0 for one repeat.
    """

    median: float
    smallest: float
    largest: float
    relative: float


def make_measurement(
    name: str, seed: int, outputs: list[dict[str, Any]]
) -> Measurement:
    """Return the measurement of several repeats.

    :param outputs: result of the entry's ``run`` in each repeat.
    """
    values: dict[str, list[float]] = {}
    notes: dict[str, str] = {}
    for output in outputs:
        for path, leaf in flatten(output).items():
            if isinstance(leaf, bool | str) or leaf is None:
                notes.setdefault(path, str(leaf))
            else:
                values.setdefault(path, []).append(float(leaf))
    return Measurement(
        name=name,
        commit=_commit(),
        recorded=datetime.now(UTC).isoformat(timespec="seconds"),
        machine=f"{platform.machine()}, {os.cpu_count()} cores",
        seed=seed,
        values=values,
        notes=notes,
    )


def flatten(output: Any, prefix: str = "") -> dict[str, Any]:
    """Return the leaves of nested dictionaries and lists, by dotted path."""
    if isinstance(output, dict):
        items = output.items()
    elif isinstance(output, list | tuple):
        items = enumerate(output)
    else:
        return {prefix: output}
    leaves = {}
    for key, value in items:
        path = f"{prefix}.{key}" if prefix else str(key)
        leaves.update(flatten(value, path))
    return leaves


def spread_of(figures: list[float]) -> Spread:
    """Return the spread of ``figures``."""
    median = statistics.median(figures)
    smallest, largest = min(figures), max(figures)
    width = largest - smallest
    relative = width / abs(median) if median else 0.0
    return Spread(median, smallest, largest, relative)


def keep_result(measurement: Measurement, folder: Path = _FOLDER) -> Path:
    """Store ``measurement`` by its commit and return the path of the file."""
    folder.mkdir(exist_ok=True)
    path = folder / f"{measurement['name']}-{measurement['commit']}.json"
    path.write_text(json.dumps(measurement, indent=1) + "\n")
    return path


def earlier_result(
    name: str, commit: str, against: str = "", folder: Path = _FOLDER
) -> Measurement | None:
    """Return the latest stored result of another commit, ``None`` if there is none.

    :param commit: commit of the current measurement.
    :param against: prefix that the other commit must have; empty for any.
    """
    kept = []
    for path in folder.glob(f"{name}-*.json"):
        measurement = json.loads(path.read_text())
        if measurement["name"] != name or measurement["commit"] == commit:
            continue
        if measurement["commit"].startswith(against):
            kept.append(measurement)
    return max(kept, key=lambda measurement: measurement["recorded"], default=None)


def _commit() -> str:
    head = _git("rev-parse", f"--short={_COMMIT_DIGITS}", "HEAD")
    if not head:
        return "unknown"
    return f"{head}-dirty" if _git("status", "--porcelain", "-uno") else head


def _git(*arguments: str) -> str:
    command = ["git", "-C", str(_FOLDER.parent), *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip()
