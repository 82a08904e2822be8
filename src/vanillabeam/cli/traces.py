"""``vanillabeam trace``: show the trace of one request."""

from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from vanillabeam.cli.client import (
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    print_json,
    unwrap_or_exit,
)

__all__ = ["trace"]


def trace(
    request_id: Annotated[str, typer.Argument(help="Request id, as in the answer.")],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show ticket index, target, version, attempts and timings of a request."""
    client = OperatorClient(address, key_file, ca)
    result = client.get(f"/operator/traces/{request_id}")
    document = unwrap_or_exit(result, as_json)
    if as_json:
        print_json(document)
        return
    attempts = document.pop("attempts", [])
    for name, value in document.items():
        if value not in (None, ""):
            typer.echo(f"{name}: {value}")
    if attempts:
        Console().print(_table(attempts))


def _table(attempts: list[dict]) -> Table:
    columns = ("target", "data_centre", "version", "at_s", "ended_s", "outcome")
    table = Table(*(name.replace("_", " ") for name in columns), title="attempts")
    for attempt in attempts:
        table.add_row(*(str(attempt.get(name, "-")) for name in columns))
    return table
