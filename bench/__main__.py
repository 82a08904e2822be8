"""Command line of the measuring tool: ``python -m bench NAME``."""

import json
import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from bench.entries import find_entries, load_entry
from bench.results import (
    Measurement,
    earlier_result,
    keep_result,
    make_measurement,
)
from bench.tables import compare_table, entries_table, values_table

MAX_REPEATS = 1000

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def main(
    name: Annotated[str, typer.Argument(help="Entry to run; empty lists all.")] = "",
    seed: Annotated[int, typer.Option(help="Seed of the first repeat.")] = 1,
    repeats: Annotated[
        int, typer.Option(min=1, max=MAX_REPEATS, help="Runs, each with its own seed.")
    ] = 1,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="File to write the result to.")
    ] = None,
    keep: Annotated[
        bool, typer.Option(help="Store the result for later comparison.")
    ] = False,
    against: Annotated[
        str, typer.Option(help="Commit to compare with; by default the latest.")
    ] = "",
) -> None:
    """Run an entry and print its figures as a table and as JSON."""
    console = Console()
    entries = find_entries()
    if name not in entries:
        console.print(entries_table(entries))
        raise typer.Exit(code=2 if name else 0)
    measurement = _measure(name, seed, repeats)
    document = json.dumps(measurement, indent=1)
    if json_file is not None:
        json_file.write_text(document + "\n")
    if not console.is_terminal and json_file is None:
        sys.stdout.write(document + "\n")
    console.print(values_table(measurement))
    earlier = earlier_result(name, measurement["commit"], against)
    if earlier is not None:
        console.print(compare_table(measurement, earlier))
    if keep:
        console.print(f"kept {keep_result(measurement)}")


def _measure(name: str, seed: int, repeats: int) -> Measurement:
    run = load_entry(name)
    outputs = [run(seed + repeat) for repeat in range(repeats)]
    return make_measurement(name, seed, outputs)


if __name__ == "__main__":
    app()
