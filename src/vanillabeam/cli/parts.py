"""``vanillabeam part``: parts of prompts that a fleet keeps from targets."""

from datetime import UTC, datetime
from typing import Any

import msgspec
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
from vanillabeam.fleet.quarantine import QUARANTINE_PATH

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    help="Parts of prompts under which targets end; ask a control VM of a fleet.",
)


@app.command("list")
def list_parts(
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the quarantined parts, and on the leader those that are accused."""
    _show(_ask(OperatorClient(address, key_file, ca), "", as_json), as_json)


@app.command("release")
def release(
    part: str,
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """End the quarantine of a part; three more ends of targets begin it again."""
    _show(_ask(OperatorClient(address, key_file, ca), part, as_json), as_json)


def _ask(client: OperatorClient, part: str, as_json: bool) -> Any:
    body = msgspec.json.encode({"release": part})
    return unwrap_or_exit(client.post(QUARANTINE_PATH, body), as_json)


def _show(reply: Any, as_json: bool) -> None:
    if as_json:
        print_json(reply)
        return
    table = Table("part", "since", "targets ended", "failed trials", "trial", "next")
    for part, record in sorted(reply["quarantine"].items()):
        table.add_row(
            part,
            _time(record["since_ms"]),
            str(record["targets"]),
            str(record["failed"]),
            record["trial"],
            _time(record["next_ms"]),
        )
    console = Console(highlight=False)
    console.print(table)
    for part, ends in sorted(reply["accused"].items()):
        console.print(f"accused: {part}, {ends} ends one after the other")


def _time(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).isoformat(timespec="seconds")
