"""``vanillabeam data``: check, show and repair the data folder of a stopped VM."""

from pathlib import Path
from typing import Annotated, Any

import typer
from returns.result import Result

from vanillabeam import wire
from vanillabeam.cli.client import (
    EXIT_REFUSED,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    print_json,
    unwrap_or_exit,
)
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.log.check import GroupCheck, check as check_folder, show as show_group
from vanillabeam.log.folder import DiskFolder, ReadFolder, group_folder
from vanillabeam.log.forcing import ForcePlan, force as force_group, plan_force
from vanillabeam.log.records import Entry
from vanillabeam.log.requests import LogStatus, status_path

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


@app.command("force")
def force(
    folder: FolderArgument,
    group: Annotated[str, typer.Argument(help="A log, such as tickets.")],
    above: Annotated[
        int,
        typer.Option(help="Highest index of the log that any VM has shown.", min=0),
    ],
    gone: Annotated[
        list[str] | None,
        typer.Option(help="VM of a voter that is gone for good; once for each."),
    ] = None,
    others: Annotated[
        list[str] | None,
        typer.Option("--ask", help="host:port of one more VM to ask for voters."),
    ] = None,
    write: Annotated[
        bool, typer.Option("--write", help="Change the folder; else only print.")
    ] = False,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Continue a log that has lost its majority for good from this replica alone.

    Entries that only the lost voters held are lost. Read the recovery page first.
    """
    path = group_folder(folder, group)
    if not path.is_dir():
        raise typer.BadParameter(f"no files of group {group} in {folder}")

    def ask(address: str) -> Result[LogStatus, VanillabeamError]:
        client = OperatorClient(address, key_file, ca)
        return client.post(status_path(group), b"{}").bind(_read_status)

    planned = plan_force(ReadFolder(path), group, gone or (), above, ask, others or ())
    plan = unwrap_or_exit(planned, as_json)
    if write:
        unwrap_or_exit(force_group(DiskFolder(path), plan), as_json)
    if as_json:
        print_json(plan | {"written": write})
    else:
        _print_plan(plan, write)


def _read_status(document: Any) -> Result[LogStatus, VanillabeamError]:
    return wire.decode(LogStatus, wire.encode(document))


def _print_plan(plan: ForcePlan, is_written: bool) -> None:
    verb = "is" if is_written else "would be"
    typer.echo(
        f"{plan['vm']} {verb} the only voter of {plan['group']}, "
        f"under the new group id {plan['group_id']}."
    )
    typer.echo(
        f"It holds entries up to {plan['last_index']} of term {plan['last_term']}, "
        f"known as committed up to {plan['commit']}. Later entries are lost."
    )
    typer.echo(f"New entries begin at {plan['first_index']}.")
    for vm in plan["gone"]:
        typer.echo(f"gone for good by your word: {vm}; it must never start again")
    for vm in plan["emptied"]:
        typer.echo(f"{vm}: stop it and move log/{plan['group']} away before the start")
    if not is_written:
        typer.echo("Nothing was changed: add --write to do it.")


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
