"""``vanillabeam status``: what one VM knows of the system."""

import typer
from returns.result import Failure
from rich.console import Console
from rich.table import Table

from vanillabeam.cli.client import (
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    exit_with,
    print_json,
)

__all__ = ["status"]


def status(
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show this VM, the quorum, the VMs and the targets as this VM sees them."""
    result = OperatorClient(address, key_file, ca).get("/operator/status")
    if isinstance(result, Failure):
        exit_with(result.failure(), as_json)
    document = result.unwrap()
    if as_json:
        print_json(document)
        return
    typer.echo(
        f"{document['vm']} in {document['data_centre']}: {document['phase']}, "
        f"index {document['index']} in force"
    )
    console = Console()
    for name in ("logs", "vms", "targets"):
        rows = document[name]
        if rows:
            console.print(_table(name, rows))


def _table(title: str, rows: list[dict]) -> Table:
    columns = list(rows[0])
    table = Table(*(name.replace("_", " ") for name in columns), title=title)
    for row in rows:
        table.add_row(*(_cell(row.get(name)) for name in columns))
    return table


def _cell(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, dict):
        return " ".join(f"{name}={entry}" for name, entry in value.items())
    if isinstance(value, list):
        return " ".join(str(entry) for entry in value)
    return str(value)
