"""``vanillabeam rollout``: move a service to another software version, in a fleet."""

import math
import time
from datetime import UTC, datetime
from typing import Annotated, Any

import msgspec
import typer
from returns.result import Failure
from rich.console import Console
from rich.table import Table

from vanillabeam.canary.exceptions import RolloutUnconfirmed
from vanillabeam.canary.messages import ROLLOUT_PATH, RolloutOrder, RolloutRequest
from vanillabeam.cli.client import (
    AddressOption,
    CaOption,
    JsonOption,
    KeyOption,
    OperatorClient,
    print_json,
    unwrap_or_exit,
)
from vanillabeam.exceptions import ProcessPaused

__all__ = ["app"]

#: Longest time within which a rollout may have to end.
MAX_DURATION_S = 86_400.0
#: Seconds for which an order is sent again whose outcome is open. Copies of it that
#: are read within 10 s of the first one are the same order.
RESEND_S = 4.0
RESEND_PERIOD_S = 0.5

app = typer.Typer(
    no_args_is_help=True,
    help="Rollouts of services to other software versions; ask a control VM of a "
    "fleet.",
)


def _check_duration(seconds: float) -> float:
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_DURATION_S:
        raise typer.BadParameter("must be over 0 and at most one day (86400)")
    return seconds


@app.command("start")
def start(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    to: Annotated[str, typer.Argument(help="Version that the traffic moves to.")],
    within_s: Annotated[
        float,
        typer.Option(
            "--within",
            help="Seconds within which the rollout ends, completed or rolled back.",
            callback=_check_duration,
        ),
    ],
    address: AddressOption,
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Start a rollout; it is safe to send the same order again within 10 s.

    The targets of the new version may start later. The fleet chooses the steps, judges
    the new version, and completes the rollout or rolls it back.
    """
    order = RolloutOrder(service=service, to=to, duration_s=within_s)
    request = RolloutRequest(service=service, start=order)
    reply = _ask(OperatorClient(address, key_file, ca), request, as_json)
    _show(reply, as_json)


@app.command("state")
def state(
    address: AddressOption,
    service: Annotated[str, typer.Argument(help="Name of the service; all.")] = "",
    key_file: KeyOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the newest rollout of a service, or of each one."""
    request = RolloutRequest(service=service)
    reply = _ask(OperatorClient(address, key_file, ca), request, as_json)
    _show(reply, as_json)


def _ask(client: OperatorClient, request: RolloutRequest, as_json: bool) -> Any:
    body = msgspec.json.encode(request)
    resend_until_s = time.monotonic() + RESEND_S
    while True:
        answer = client.post(ROLLOUT_PATH, body)
        is_open = isinstance(answer, Failure) and isinstance(
            answer.failure(), RolloutUnconfirmed | ProcessPaused
        )
        if not is_open or time.monotonic() >= resend_until_s:
            return unwrap_or_exit(answer, as_json)
        time.sleep(RESEND_PERIOD_S)


def _show(reply: Any, as_json: bool) -> None:
    if as_json:
        print_json(reply)
        return
    table = Table("service", "to", "step", "share", "ordered", "within", "reason")
    for service, record in sorted(reply["rollouts"].items()):
        table.add_row(
            service,
            record["to"],
            record["step"],
            f"{record['share']:.0%}",
            _time(record["started_ms"]),
            f"{record['duration_s']:g} s",
            record["reason"] or "-",
        )
    console = Console(highlight=False)
    if reply["rollouts"]:
        console.print(table)
    for service, record in sorted(reply["rollouts"].items()):
        if record["evidence"]:
            console.print(f"{service}: {record['evidence']}", soft_wrap=True)


def _time(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).isoformat(timespec="seconds")
