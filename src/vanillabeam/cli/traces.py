"""``vanillabeam trace``: what became of one request."""

from typing import Annotated

import typer
from returns.result import Failure

from vanillabeam.cli.client import (
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    exit_with,
    print_json,
)

__all__ = ["trace"]


def trace(
    request_id: Annotated[str, typer.Argument(help="The answer's request id.")],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show ticket index, target, version, attempts and timings of a request."""
    client = OperatorClient(address, key_file, ca)
    result = client.get(f"/operator/traces/{request_id}")
    if isinstance(result, Failure):
        exit_with(result.failure(), as_json)
    if as_json:
        print_json(result.unwrap())
        return
    for name, value in result.unwrap().items():
        typer.echo(f"{name}: {value}")
