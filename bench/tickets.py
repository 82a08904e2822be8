"""Ticket machine with 35,000 workspaces: apply, snapshot and restart."""

import time
from collections.abc import Callable
from typing import Any

from tests.tickets.builders import SECRET, make_body
from vanillabeam.tickets import TicketMachine

WORKSPACES = 35_000
WORKSPACES_PER_TICKET = 200
TICKETS = 100
RESTART_TICKETS = 1_000


def run(seed: int) -> dict[str, Any]:
    """Measure processor time.

    :param seed: has no effect.
    :returns: milliseconds per ticket, seconds and bytes of a snapshot, and seconds
        of a restart with 1,000 tickets from the log and from a snapshot.
    """
    machine = _make_machine()
    first_number = WORKSPACES
    model = _measure_ticket_ms(machine, first_number, _model_body)
    workspace = _measure_ticket_ms(machine, first_number + TICKETS, _workspace_body)
    snapshot, snapshot_s = _measure_cpu_s(machine.snapshot)
    _, restore_s = _measure_cpu_s(lambda: TicketMachine().restore(snapshot))
    values = {
        "model_ticket_ms": round(model, 3),
        "workspace_ticket_ms": round(workspace, 3),
        "snapshot_bytes": len(snapshot),
        "snapshot_s": round(snapshot_s, 3),
        "restore_s": round(restore_s, 3),
    }
    return {**values, **_measure_restart()}


def _make_machine() -> TicketMachine:
    machine = TicketMachine()
    for number in range(1, WORKSPACES // WORKSPACES_PER_TICKET + 1):
        records = {
            f"w{number}-{i}": _make_workspace(number * WORKSPACES_PER_TICKET + i)
            for i in range(WORKSPACES_PER_TICKET)
        }
        machine.apply(number, make_body(number, workspaces=records).decode())
    return machine


def _make_workspace(key: int) -> dict[str, Any]:
    return {"key_digests": [f"{key:064x}"], "cache_secret": SECRET}


def _model_body(number: int) -> str:
    return make_body(number, models={"m": {"version": str(number)}}).decode()


def _workspace_body(number: int) -> str:
    return make_body(
        number, workspaces={"w1-1": _make_workspace(10**9 + number)}
    ).decode()


def _measure_ticket_ms(
    machine: TicketMachine, first_number: int, make: Callable[[int], str]
) -> float:
    bodies = [
        (number, make(number)) for number in range(first_number, first_number + TICKETS)
    ]

    def apply() -> None:
        for number, body in bodies:
            machine.apply(number, body)

    return 1000 * _measure_cpu_s(apply)[1] / TICKETS


def _measure_restart() -> dict[str, float]:
    bodies = [(number, _model_body(number)) for number in range(1, RESTART_TICKETS + 1)]

    def replay() -> TicketMachine:
        machine = TicketMachine()
        for number, body in bodies:
            machine.apply(number, body)
        return machine

    machine, log_s = _measure_cpu_s(replay)
    snapshot = machine.snapshot()
    _, restore_s = _measure_cpu_s(lambda: TicketMachine().restore(snapshot))
    return {
        "restart_1000_from_log_s": round(log_s, 3),
        "restart_1000_from_snapshot_s": round(restore_s, 4),
    }


def _measure_cpu_s(action: Callable[[], Any]) -> tuple[Any, float]:
    began_s = time.process_time()
    result = action()
    return result, time.process_time() - began_s
