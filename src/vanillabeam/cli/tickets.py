"""``vanillabeam ticket``: apply, show and wait for change tickets."""

import time
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from vanillabeam.cli.client import (
    EXIT_NOT_IN_FORCE,
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    print_json,
    unwrap_or_exit,
)

__all__ = ["app"]

POLL_S = 0.5

app = typer.Typer(no_args_is_help=True, help="Change tickets.")


@app.command("apply")
def apply(
    file: Annotated[Path, typer.Argument(help="Ticket file, JSON.", exists=True)],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Send a ticket; it is safe to send the same ticket again."""
    client = OperatorClient(address, key_file, ca)
    result = client.post("/operator/tickets", file.read_bytes())
    answer = unwrap_or_exit(result, as_json)
    if as_json:
        print_json(answer)
    else:
        typer.echo(f"ticket {answer['number']} accepted at index {answer['index']}")


@app.command("show")
def show(
    number: Annotated[int, typer.Argument(help="The ticket's number.")],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the state of a ticket."""
    result = OperatorClient(address, key_file, ca).get(f"/operator/tickets/{number}")
    document = unwrap_or_exit(result, as_json)
    if as_json:
        print_json(document)
        return
    for name, value in document.items():
        typer.echo(f"{name}: {value}")


@app.command("wait")
def wait(
    number: Annotated[int, typer.Argument(help="The ticket's number.")],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
    timeout_s: Annotated[float, typer.Option(help="Seconds to wait.")] = 20.0,
) -> None:
    """Wait until the ticket is in force on every reachable VM."""
    client = OperatorClient(address, key_file, ca)
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = client.get(f"/operator/tickets/{number}/vms")
        answer = unwrap_or_exit(result, as_json)
        if answer["in_force"] or time.monotonic() >= deadline_s:
            break
        time.sleep(POLL_S)
    if as_json:
        print_json(answer)
    else:
        _print_vms(answer)
    if not answer["in_force"]:
        raise typer.Exit(EXIT_NOT_IN_FORCE)


def _print_vms(answer) -> None:
    table = Table("VM", "data centre", "index in force", "has it")
    for row in answer["vms"]:
        has_it = "yes" if row["index"] >= answer["index"] else "no"
        table.add_row(row["vm"], row["data_centre"], str(row["index"]), has_it)
    Console().print(table)
    state = "in force" if answer["in_force"] else "not yet in force everywhere"
    typer.echo(f"ticket {answer['number']} (index {answer['index']}): {state}")
