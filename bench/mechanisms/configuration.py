"""Costs of the configuration: records, snapshots and tickets."""

import json
import random
import zlib

import msgspec

from bench.cost import cpu_seconds, held_bytes
from bench.mechanisms.base import Mechanism
from vanillabeam.config import Config, TargetRole, Workspace
from vanillabeam.tickets import TicketMachine

__all__ = ["MECHANISMS", "make_config", "make_workspace", "workspace_fields"]

WORKSPACES = (2_000, 8_000, 16_000, 25_000, 35_000)
TARGETS = (100, 200, 400, 770)
TICKETS = (500, 1_000, 2_000, 4_000)
MODELS = 38
APPLIED_TICKETS = 20


def make_workspace(number: int, rng: random.Random) -> Workspace:
    """Return a workspace with one key and the commonly used fields."""
    return Workspace(
        name=f"workspace-{number:05d}",
        key_digests=(f"{rng.getrandbits(256):064x}",),
        cache_secret=f"{rng.getrandbits(256):064x}",
        weight=1.0 + number % 3,
        reservation_tokens_s=float(number % 50),
        quota_bytes=(number % 7) << 30,
    )


def make_config(workspaces: int, seed: int) -> Config:
    """Return a configuration.

    :param workspaces: number of workspaces.
    """
    rng = random.Random(seed)
    records = (make_workspace(number, rng) for number in range(workspaces))
    return Config(index=1, workspaces={record.name: record for record in records})


def _measure_records(size: int, seed: int) -> dict[str, float]:
    config = make_config(size, seed)
    encoded = msgspec.json.encode(config)
    return {
        "state_bytes": held_bytes(lambda: make_config(size, seed)),
        "json_bytes": len(encoded),
        "deflated_bytes": len(zlib.compress(encoded)),
        "decode_cpu_s": cpu_seconds(lambda: msgspec.json.decode(encoded, type=Config)),
    }


def _measure_target_roles(size: int, seed: int) -> dict[str, float]:
    def build() -> Config:
        roles = {}
        for number in range(size):
            name = f"target-{number:04d}"
            roles[name] = TargetRole(name, models=(f"model-{number % MODELS}",))
        return Config(target_roles=roles)

    return {
        "state_bytes": held_bytes(build),
        "json_bytes": len(msgspec.json.encode(build())),
    }


def _make_machine(workspaces: int, seed: int) -> TicketMachine:
    machine = TicketMachine()
    records = make_config(workspaces, seed).workspaces
    names = list(records)
    for index in range(0, len(names), 100):
        batch = {
            name: workspace_fields(records[name]) for name in names[index : index + 100]
        }
        machine.apply(index + 1, _make_ticket(index + 1, {"workspaces": batch}))
    return machine


def workspace_fields(workspace: Workspace) -> dict[str, object]:
    """Return the fields of a workspace as they stand in a ticket."""
    fields = workspace._asdict()
    del fields["name"]
    return fields


def _make_ticket(number: int, records: dict[str, object]) -> str:
    document = {"number": number, "author": "operator@kigali", "set": records}
    return json.dumps(document)


def _measure_machine(size: int, seed: int) -> dict[str, float]:
    machine = _make_machine(size, seed)
    snapshot = machine.snapshot()
    first_index = machine.config.index + 1
    fields = workspace_fields(make_workspace(0, random.Random(seed)))

    def apply_tickets() -> None:
        start = machine.config.index + 1
        for number in range(start, start + APPLIED_TICKETS):
            reply = machine.apply(
                number,
                _make_ticket(number, {"workspaces": {"workspace-00000": fields}}),
            )
            assert '"accepted"' in reply

    applied = cpu_seconds(apply_tickets) / APPLIED_TICKETS
    assert machine.config.index > first_index
    return {
        "state_bytes": held_bytes(lambda: _restore_machine(snapshot)),
        "snapshot_bytes": len(snapshot),
        "snapshot_cpu_s": cpu_seconds(machine.snapshot),
        "restore_cpu_s": cpu_seconds(lambda: _restore_machine(snapshot)),
        "apply_cpu_s": applied,
    }


def _restore_machine(snapshot: bytes) -> TicketMachine:
    machine = TicketMachine()
    machine.restore(snapshot)
    return machine


def _measure_tickets(size: int, seed: int) -> dict[str, float]:
    def build() -> TicketMachine:
        machine = TicketMachine()
        for number in range(1, size + 1):
            in_service = number % 2 == 0
            records = {"data_centres": {"kigali-1": {"in_service": in_service}}}
            machine.apply(number, _make_ticket(number, records))
        return machine

    machine = build()
    return {
        "state_bytes": held_bytes(build),
        "snapshot_bytes": len(machine.snapshot()),
        "replay_cpu_s": cpu_seconds(build, rounds=1),
    }


MECHANISMS = (
    Mechanism("workspace records", "workspaces", WORKSPACES, _measure_records),
    Mechanism("target roles", "targets", TARGETS, _measure_target_roles),
    Mechanism("ticket machine", "workspaces", WORKSPACES, _measure_machine),
    Mechanism("remembered tickets", "tickets", TICKETS, _measure_tickets),
)
