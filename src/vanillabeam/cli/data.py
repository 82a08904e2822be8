"""``vanillabeam data``: look at a data folder while its VM is stopped."""

import typer

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Data folders, while stopped.")
