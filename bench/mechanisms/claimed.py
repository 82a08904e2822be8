"""Costs of the claims of a shard."""

import msgspec

from bench.cost import cpu_seconds, held_bytes
from bench.mechanisms.base import Mechanism
from vanillabeam.claims import Claim, ClaimMachine, ClaimSettings, Finish

__all__ = ["MECHANISMS"]

RECORDS = (2_000, 5_000, 10_000, 20_000)
BODY = "eyJzdGF0dXMiOiJwYWlkIiwicmVmdW5kIjo0MTE3fQ=="
LEASE_MS = 60_000
DIGEST = "5e" * 16


def _make_commands(records: int) -> list[str]:
    commands: list[str] = []
    for number in range(records):
        fields = {
            "workspace": f"workspace-{number % 500:05d}",
            "key": f"refund-2026-12-03-{number:012d}",
            "token": f"entry-017/{number:08x}",
            "entry": f"entry-{number % 60:03d}",
            "now_ms": 1_790_000_000_000 + number,
        }
        claim = Claim(**fields, digest=DIGEST, lease_ms=LEASE_MS)
        outcome = {"status": 200, "headers": [], "body": BODY, "bytes": 33}
        for command in (claim, Finish(**fields, outcome=outcome)):
            commands.append(msgspec.json.encode(command).decode())
    return commands


def _apply_all(commands: list[str]) -> ClaimMachine:
    machine = ClaimMachine(ClaimSettings())
    for index, command in enumerate(commands, start=1):
        machine.apply(index, command)
    return machine


def _measure_records(size: int, seed: int) -> dict[str, float]:
    commands = _make_commands(size)
    machine = _apply_all(commands)
    assert len(machine.records) == size
    return {
        "state_bytes": held_bytes(lambda: _apply_all(commands)),
        "snapshot_bytes": len(machine.snapshot()),
        "snapshot_cpu_s": cpu_seconds(machine.snapshot),
        "apply_cpu_s": cpu_seconds(lambda: _apply_all(commands), rounds=1),
        "command_bytes": sum(len(command) for command in commands),
    }


MECHANISMS = (Mechanism("claims of a shard", "keys kept", RECORDS, _measure_records),)
