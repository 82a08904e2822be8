"""``vanillabeam status``: state of the system as one VM sees it."""

from datetime import UTC, datetime

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

__all__ = ["status"]

#: Fields to print by column heading, for each table; ``--json`` prints all fields.
#: In the members of a log, brackets mark a member that does not vote yet, and
#: ``!`` marks one that is not active.
TABLES = {
    "logs": {
        "log": "group",
        "role": "role",
        "leader": "leader",
        "term": "term",
        "commit": "commit",
        "losses left": "losses_left",
        "members": "members",
        "failure": "failure",
    },
    "vms": {
        "vm": "vm",
        "data centre": "data_centre",
        "index": "index",
        "since": "since",
        "ready": "ready",
        "whole": "whole",
    },
    "targets": {
        "target": "target",
        "models": "models",
        "service": "service",
        "limit": "limit",
        "in use": "in_use",
        "queued": "queued",
        "cold": "cold",
        "open": "open",
    },
}


def status(
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the logs, VMs and targets of the system as the called VM sees them."""
    result = OperatorClient(address, key_file, ca).get("/operator/status")
    document = unwrap_or_exit(result, as_json)
    if as_json:
        print_json(document)
        return
    typer.echo(
        f"{document['vm']} in {document['data_centre']}: {document['phase']}, "
        f"index {document['index']} in force"
    )
    console = Console()
    for title, columns in TABLES.items():
        rows = document[title]
        if rows:
            console.print(_table(title, columns, rows))
    for row in document["cut_off"]:
        typer.echo(
            f"cut off: {row['data_centre']}, last heard {row['age_s']:.0f} s ago"
        )


def _table(title: str, columns: dict[str, str], rows: list[dict]) -> Table:
    table = Table(*columns, title=title)
    for row in rows:
        table.add_row(
            *(_format_cell(field, row.get(field)) for field in columns.values())
        )
    return table


def _format_cell(field: str, value) -> str:
    if value is None:
        return "-"
    if field == "since":
        return datetime.fromtimestamp(value, UTC).strftime("%m-%d %H:%M:%S")
    if field == "members":
        return " ".join(_format_member(member) for member in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return " ".join(f"{name}@{version}" for name, version in value.items())
    return str(value)


def _format_member(member: dict) -> str:
    if not member["votes"]:
        return f"({member['vm']})"
    return member["vm"] if member["active"] is not False else f"{member['vm']}!"
