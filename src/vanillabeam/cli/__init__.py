"""Command-line tool for operators."""

import typer

from vanillabeam.cli import (
    capacity,
    data,
    explain,
    keys,
    late,
    parts,
    reports,
    rollouts,
    settings,
    status,
    tickets,
    traces,
)

__all__ = ["app", "main"]

app = typer.Typer(
    no_args_is_help=True,
    help="Operate a vanillabeam system. Exit codes: 0 done, 1 refused, "
    "2 wrong usage, 3 outcome unknown, 4 VM unreachable, 5 not in force in time.",
)
app.add_typer(tickets.app, name="ticket")
app.add_typer(settings.app, name="settings")
app.add_typer(reports.app, name="report")
app.add_typer(data.app, name="data")
app.add_typer(keys.app, name="workspace")
app.add_typer(parts.app, name="part")
app.add_typer(rollouts.app, name="rollout")
app.command("status")(status.status)
app.command("trace")(traces.trace)
app.command("explain")(explain.explain)
app.command("late")(late.late)
app.command("capacity")(capacity.capacity)


def main() -> None:
    """Run the command-line tool."""
    app()
