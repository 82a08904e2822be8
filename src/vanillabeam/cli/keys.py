"""``vanillabeam workspace``: create keys and secrets for tickets."""

import typer

from vanillabeam.cli.client import JsonOption, print_json
from vanillabeam.tickets.keys import make_workspace_key

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Keys of workspaces and operators.")


@app.command("key")
def key(as_json: JsonOption = False) -> None:
    """Create a key, its digest for a ticket, and a cache secret."""
    value = make_workspace_key()
    data = {
        "key": value.key,
        "key_digest": value.digest,
        "cache_secret": value.cache_secret,
    }
    if as_json:
        print_json(data)
        return
    typer.echo(f"key (give it to the caller, keep it nowhere): {data['key']}")
    typer.echo(f"key digest (into the ticket):                 {data['key_digest']}")
    typer.echo(f"cache secret (into the ticket):               {data['cache_secret']}")
