"""``vanillabeam settings``: check a settings file, print the JSON Schema."""

from pathlib import Path
from typing import Annotated

import typer

from vanillabeam.cli.client import JsonOption, print_json, unwrap_or_exit
from vanillabeam.settings import load, schema

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Settings files.")


@app.command("check")
def check(
    file: Annotated[Path, typer.Argument(help="A VM's settings file.")],
    as_json: JsonOption = False,
) -> None:
    """Check a settings file and report all errors at once."""
    cfg = unwrap_or_exit(load(file), as_json)
    if as_json:
        print_json(cfg)
    else:
        typer.echo(f"{file}: good ({cfg['vm']} in {cfg['data_centre']})")


@app.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of a settings file."""
    print_json(schema())
