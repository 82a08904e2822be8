"""``vanillabeam workspace``: keys and secrets for tickets."""

import secrets

import typer

from vanillabeam.auth import digest
from vanillabeam.cli.client import JsonOption, print_json

__all__ = ["app"]

KEY_BYTES = 32

app = typer.Typer(no_args_is_help=True, help="Keys of workspaces and operators.")


@app.command("key")
def key(as_json: JsonOption = False) -> None:
    """Make a key, its digest for a ticket, and a cache secret."""
    value = "vb-" + secrets.token_urlsafe(KEY_BYTES)
    made = {
        "key": value,
        "key_digest": digest(value),
        "cache_secret": secrets.token_hex(KEY_BYTES),
    }
    if as_json:
        print_json(made)
        return
    typer.echo(f"key (give it to the caller, keep it nowhere): {made['key']}")
    typer.echo(f"key digest (into the ticket):                 {made['key_digest']}")
    typer.echo(f"cache secret (into the ticket):               {made['cache_secret']}")
