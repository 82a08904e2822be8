"""``vanillabeam capacity``: how much each target takes, as one entry VM knows it."""

from typing import Annotated, NoReturn

import httpcore
import typer
from prometheus_client.parser import text_string_to_metric_families
from rich.console import Console
from rich.table import Table

from vanillabeam.cli.client import (
    EXIT_UNREACHABLE,
    JsonOption,
    print_json,
    request_once,
)

__all__ = ["capacity", "read_rows"]

HTTP_OK = 200
TIMEOUTS_S = {"connect": 3.0, "read": 10.0, "write": 3.0}
#: Field of a row by metric.
FIELDS = {
    "vanillabeam_target_tokens_s": "tokens_s",
    "vanillabeam_target_takes_well": "takes_well",
    "vanillabeam_target_call_seconds": "call_s",
    "vanillabeam_target_slow": "slow",
}


def capacity(
    address: Annotated[
        str,
        typer.Argument(help="host:port at which an entry VM serves its metrics."),
    ],
    service: Annotated[str, typer.Option(help="Show this service only.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the speed of each target, and the open requests from which it slows."""
    try:
        response = request_once("GET", f"http://{address}/metrics", TIMEOUTS_S)
    except (httpcore.NetworkError, httpcore.TimeoutException, OSError) as exc:
        _exit(f"{address} can't be reached: {exc}")
    except (httpcore.ProtocolError, httpcore.UnsupportedProtocol, ValueError) as exc:
        _exit(f"{address} is no address of metrics: {exc}")
    if response.status != HTTP_OK:
        _exit(f"{address} answered with status {response.status}")
    try:
        rows = read_rows(response.content.decode(errors="replace"))
    except ValueError as exc:
        _exit(f"{address} serves no metrics: {exc}")
    rows = [row for row in rows if service in ("", row["service"])]
    if as_json:
        print_json(rows)
        return
    if not rows:
        typer.echo("no target has answered lately")
        return
    Console().print(_table(rows))


def _exit(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(EXIT_UNREACHABLE)


def read_rows(text: str) -> list[dict]:
    """Return what metrics in the Prometheus text format tell of each target."""
    rows: dict[tuple[str, str], dict] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            field = FIELDS.get(sample.name)
            if field is None:
                continue
            key = (sample.labels["service"], sample.labels["target"])
            row = rows.setdefault(
                key,
                {"service": key[0], "target": key[1]}
                | {"tokens_s": None, "takes_well": None, "call_s": None, "slow": False},
            )
            row[field] = bool(sample.value) if field == "slow" else sample.value
    return [rows[key] for key in sorted(rows)]


def _table(rows: list[dict]) -> Table:
    table = Table("service", "target", "tokens/s", "takes well", "call ms", "slow")
    for row in rows:
        table.add_row(
            row["service"],
            row["target"],
            _number(row["tokens_s"]),
            _number(row["takes_well"]),
            _number(row["call_s"], 1_000),
            "yes" if row["slow"] else "",
        )
    return table


def _number(value: float | None, factor: float = 1.0) -> str:
    return "-" if value is None else f"{factor * value:,.0f}"
