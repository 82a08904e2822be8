"""``vanillabeam data``: check and show the data folder of a stopped VM."""

from pathlib import Path
from typing import Annotated

import typer

from vanillabeam.cli.client import (
    EXIT_REFUSED,
    JsonOption,
    print_json,
    unwrap_or_exit,
)
from vanillabeam.log.check import GroupCheck, check as check_folder, show as show_group
from vanillabeam.log.records import Entry

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Data folders of stopped VMs.")

FolderArgument = Annotated[
    Path, typer.Argument(help="The data folder.", exists=True, file_okay=False)
]


@app.command("check")
def check(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Check every log in a data folder without changing anything."""
    groups = check_folder(folder)
    if as_json:
        print_json([_make_row(group) for group in groups])
    else:
        for group in groups:
            typer.echo(f"{group.group}: {_describe(group)}")
    if any(group.failure for group in groups):
        raise typer.Exit(EXIT_REFUSED)


@app.command("show")
def show(
    folder: FolderArgument,
    group: Annotated[str, typer.Argument(help="A log, such as tickets.")] = "tickets",
    as_json: JsonOption = False,
) -> None:
    """Show the contents of a log's files, without the commands and their secrets."""
    view = unwrap_or_exit(show_group(folder, group), as_json)
    view = view | {"entries": _format_entries(view["entries"])}
    if as_json:
        print_json(view)
        return
    for name, value in view.items():
        typer.echo(f"{name}: {value}")


def _make_row(group: GroupCheck) -> dict[str, object]:
    failure = group.failure.type if group.failure else None
    return {"group": group.group, "torn_bytes": group.torn_bytes, "failure": failure}


def _describe(group: GroupCheck) -> str:
    if group.failure is not None:
        return f"{group.failure.type}: {group.failure.detail}"
    if group.torn_bytes:
        return f"good; a torn end of {group.torn_bytes} bytes is cut at the next start"
    return "good"


def _format_entries(entries: list[Entry]) -> list[str]:
    return [f"{entry.index}/{entry.term} {entry.kind}" for entry in entries]
