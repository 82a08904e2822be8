"""``vanillabeam late``: causes of late answers, from the logs of entry VMs."""

from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from vanillabeam.cli.client import JsonOption, print_json
from vanillabeam.cli.explain import parse_record, read_lines
from vanillabeam.cli.latecauses import Cause, Report, explain_late

__all__ = ["late"]

EXIT_NOTHING = 1
#: Fields by which late answers are grouped, with the word for each.
GROUPS = {"route": "route", "data_centre": "data centre", "workspace": "workspace"}


def late(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of entry VMs; default is to read stdin."),
    ] = None,
    pause_s: Annotated[
        float,
        typer.Option("--pause", min=0.0, help="Longest pause of a stream, in seconds."),
    ] = 0.5,
    as_json: JsonOption = False,
) -> None:
    """Show what made answers late: by cause, route, data centre and workspace."""
    parsed = (parse_record(line) for line in read_lines(files or []))
    report = explain_late((record for record in parsed if record), pause_s)
    if not report.answers:
        typer.echo("no answer with all its log lines", err=True)
        raise typer.Exit(EXIT_NOTHING)
    if as_json:
        print_json(_to_json(report))
        return
    typer.echo(
        f"{len(report.late)} of {report.answers} answers were late; "
        f"{report.incomplete} others lack log lines"
    )
    _print_causes("all", _all(report))
    for field, word in GROUPS.items():
        for name, counts in report.by(field).items():
            _print_causes(f"{word} {name or '-'}", counts)


def _all(report: Report) -> dict[str, float]:
    total: Counter = Counter()
    for counts in report.by("route").values():
        total.update(counts)
    return {name: round(value, 3) for name, value in total.items()}


def _print_causes(title: str, counts: dict[str, float]) -> None:
    typer.echo(f"{title}: {int(counts.get('late', 0))} late")
    causes = [cause for cause in Cause if counts.get(cause)]
    for cause in sorted(causes, key=lambda cause: -counts[cause]):
        main = int(counts.get(f"mainly {cause}", 0))
        typer.echo(f"  {cause:15} {counts[cause]:10.3f} s   main cause of {main}")


def _to_json(report: Report) -> dict:
    return {
        "answers": report.answers,
        "incomplete": report.incomplete,
        "late": len(report.late),
        "all": _all(report),
        **{f"by_{field}": report.by(field) for field in GROUPS},
    }
