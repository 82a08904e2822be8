"""Large deployments on their way to entry VMs with thin links, on virtual time."""

import tempfile
from pathlib import Path
from typing import Any

import trio
import trio.testing

from tests.fleet.thinlinks import ThinFleet, make_document

ROUTES = (350, 1_400, 5_600)
ENTRIES = (9, 60, 194)
SETTLE_S = 4.0
LIMIT_S = 10.0


def run(seed: int) -> dict[str, Any]:
    """Measure deployments of three lengths in fleets of three sizes.

    :param seed: unused, as nothing is random.
    :returns: seconds from the leader's commit until the last entry VM has a large
        deployment in force (10 if not by then), and a small change of it; bytes that
        an entry VM receives meanwhile, and the most that a control VM sends.
    """
    values: dict[str, Any] = {}
    for entries in ENTRIES:
        for routes in ROUTES:
            for name, value in _measure(entries, routes).items():
                values[f"{name}_{routes}_routes_{entries}_vms"] = value
    return values


def _measure(entries: int, routes: int) -> dict[str, float]:
    """Return the figures of a large deployment and of a small change after it."""
    values: dict[str, float] = {}

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            fleet = ThinFleet(Path(folder), entries)
            async with trio.open_nursery() as nursery:
                for follower in fleet.followers:
                    nursery.start_soon(follower.run)
                await fleet.deploy(make_document(1, 30))
                await trio.sleep(SETTLE_S)
                values.update(await _deploy(fleet, "first", 2, routes))
                await trio.sleep(SETTLE_S)
                values.update(await _deploy(fleet, "change", 3, routes, changed=7))
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return values


async def _deploy(
    fleet: ThinFleet, name: str, number: int, routes: int, changed: int = -1
) -> dict[str, float]:
    received, sent = fleet.received_bytes(), fleet.sent_bytes()
    began_s = trio.current_time()
    await fleet.deploy(make_document(number, routes, changed=changed))
    await fleet.wait_all(lambda view: view.deployment.number >= number, LIMIT_S)
    return {
        f"{name}_s": round(min(trio.current_time() - began_s, LIMIT_S), 2),
        f"{name}_received_kb": _largest_kb(fleet.received_bytes(), received),
        f"{name}_sent_kb": _largest_kb(fleet.sent_bytes(), sent),
    }


def _largest_kb(after: list[int], before: list[int]) -> float:
    return round(max(a - b for a, b in zip(after, before, strict=True)) / 1000, 1)
