"""``vanillabeam report``: report on the burn of the error budgets."""

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from vanillabeam.burn import html_page, text_report
from vanillabeam.cli.client import (
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    print_json,
    unwrap_or_exit,
)

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Reports.")


@app.callback()
def reports() -> None:
    """Reports on the service levels of the system."""


@app.command("burn")
def burn(
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
    html: Annotated[
        Path | None, typer.Option("--html", help="Write an HTML page.")
    ] = None,
) -> None:
    """Show how fast the error budgets of the objectives burn, over all VMs."""
    result = OperatorClient(address, key_file, ca).get("/operator/burn")
    document = unwrap_or_exit(result, as_json)
    if html is not None:
        html.write_text(html_page(document))
        typer.echo(f"wrote {html}")
    elif as_json:
        print_json(document)
    else:
        Console().print(text_report(document))
