"""Costs of targets and permits per entry of a data centre."""

import random
import time
from typing import Any

import trio
from trio.testing import MockClock

from bench.cost import cpu_seconds, held_bytes
from bench.mechanisms.base import Mechanism
from bench.mechanisms.traffic import Traffic
from vanillabeam.routing import CostWeights, Router
from vanillabeam.targets import (
    EntryVm,
    Outcome,
    OutcomeKind,
    RouteRequest,
    Targets,
    TargetsSettings,
    TargetView,
)
from vanillabeam.targets.messages import pack_view
from vanillabeam.targetwire import Announcement, LoadReport
from vanillabeam.wire import encode

__all__ = ["MECHANISMS"]

ENTRIES = (10, 20, 40, 68)
TARGETS = (2, 4, 8, 16)
RATES_S = (4, 8, 16, 28)
MODELS = (1, 4, 16, 38)
ROUTED_TARGETS = (50, 154, 400, 770)
CHOICES = 200
#: Targets per entry at the required fleet size.
TARGETS_PER_ENTRY = 770 / 340
PERMIT_ENTRIES = 8
MODELS_LOADED = 4
ANNOUNCE_S = 2.0
LOAD_S = 1.0
SETTLE_S = 40.0
MEASURED_S = 32.0
CAPACITY = 32
RUN_S = 1.0
LOADED_S = 8.0
DATA_CENTRE = "kigali-1"


class _DataCentre:
    """Entries of a data centre and the targets that announce themselves to them.

    :ivar announced: number of announcements and load reports sent by targets.
    :ivar announced_bytes: bytes of their bodies.
    """

    def __init__(self, entries: int, targets: int, seed: int):
        self.traffic = Traffic()
        self.shells: dict[str, Targets] = {}
        self.entries = [
            EntryVm(f"entry-{n:03d}", DATA_CENTRE, f"e{n}:7003", f"e{n}:7002")
            for n in range(entries)
        ]
        self.targets = [f"engine-{n:04d}" for n in range(targets)]
        self.sequence = 0
        self.announced_bytes = 0
        self.announced = 0
        for entry in self.entries:
            shell = Targets(
                entry.vm,
                DATA_CENTRE,
                self.traffic.call_from(entry.address),
                TargetsSettings(entries_expected=entries),
                random.Random(f"{entry.vm}/{seed}"),
                address=entry.address,
                targets_address=entry.targets_address,
            )
            self.shells[entry.targets_address] = shell
            self.traffic.routes[entry.address] = shell.routes()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the entries' shells and the targets' announcements and reports."""
        for shell in self.shells.values():
            await nursery.start(shell.run)
            shell.members_changed(self.entries)
        nursery.start_soon(self._announce)

    async def _announce(self) -> None:
        owners = dict.fromkeys(self.targets, self.entries[0].targets_address)
        for name in self.targets:
            result = await self._shell(owners[name]).announce(_make_announcement(name))
            owners[name] = result.unwrap()["owner"]
        while True:
            self.sequence += 1
            for name in self.targets:
                await self._report(name, owners)
            await trio.sleep(LOAD_S)

    async def _report(self, name: str, owners: dict[str, str]) -> None:
        shell = self._shell(owners[name])
        load = _make_load(name, self.sequence)
        self._count_message(load)
        await shell.load(load)
        if self.sequence % round(ANNOUNCE_S / LOAD_S) == 0:
            announcement = _make_announcement(name)
            self._count_message(announcement)
            owners[name] = (await shell.announce(announcement)).unwrap()["owner"]

    def _shell(self, address: str) -> Targets:
        return self.shells[address]

    def _count_message(self, message: Any) -> None:
        self.announced += 1
        self.announced_bytes += len(encode(message))

    def clear(self) -> None:
        """Reset the counters."""
        self.traffic.clear()
        self.announced = self.announced_bytes = 0


def _make_announcement(name: str) -> Announcement:
    return Announcement(
        target=name,
        boot_id=f"{name}-boot-1",
        data_centre=DATA_CENTRE,
        address="10.0.0.1:8000",
        kind="engine",
        models={f"model-{n:02d}": "2026-11-01" for n in range(MODELS_LOADED)},
        capacity=CAPACITY,
        cold_capacity=4,
        checks_fencing=True,
    )


def _make_load(name: str, sequence: int) -> LoadReport:
    return LoadReport(
        target=name,
        boot_id=f"{name}-boot-1",
        sequence=sequence,
        running=3,
        queued=0,
        queued_prefill_tokens=0,
        cached_tokens=90_000,
        age_s=0.2,
    )


async def _measure_at_rest(entries: int, targets: int, seed: int) -> dict[str, float]:
    centre = _DataCentre(entries, targets, seed)
    async with trio.open_nursery() as nursery:
        await centre.start(nursery)
        await trio.sleep(SETTLE_S)
        centre.clear()
        began_s = time.process_time()
        await trio.sleep(MEASURED_S)
        cpu_s = time.process_time() - began_s
        nursery.cancel_scope.cancel()
    entry_seconds = entries * MEASURED_S
    traffic = centre.traffic
    return {
        "calls_per_s": sum(traffic.calls.values()) / entry_seconds,
        "body_bytes_per_s": sum(traffic.body_bytes.values()) / entry_seconds,
        "target_calls_per_s": centre.announced / entry_seconds,
        "target_body_bytes_per_s": centre.announced_bytes / entry_seconds,
        "core_cpu_s_per_s": cpu_s / entry_seconds,
    }


def _measure_entries(size: int, seed: int) -> dict[str, float]:
    targets = round(size * TARGETS_PER_ENTRY)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_measure_at_rest, size, targets, seed, clock=clock)


def _measure_owned(size: int, seed: int) -> dict[str, float]:
    async def settle() -> _DataCentre:
        centre = _DataCentre(1, size, seed)
        async with trio.open_nursery() as nursery:
            await centre.start(nursery)
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        return centre

    def build() -> _DataCentre:
        return trio.run(settle, clock=MockClock(autojump_threshold=0))

    rest = trio.run(
        _measure_at_rest, 1, size, seed, clock=MockClock(autojump_threshold=0)
    )
    return {
        "state_bytes": held_bytes(build),
        "core_cpu_s_per_s": rest["core_cpu_s_per_s"],
    }


async def _run_requests(rate_s: int, seed: int) -> dict[str, float]:
    centre = _DataCentre(PERMIT_ENTRIES, 2 * PERMIT_ENTRIES, seed)
    shells = list(centre.shells.values())
    async with trio.open_nursery() as nursery:
        await centre.start(nursery)
        await trio.sleep(SETTLE_S)
        # Completions widen the targets' windows, so load them before measuring.
        await _run_load(shells, rate_s, LOADED_S)
        idle = await _measure_load(centre, shells, 0)
        busy = await _measure_load(centre, shells, rate_s)
        nursery.cancel_scope.cancel()
    requests = busy["granted"] or 1
    rates = {
        name: (busy[name] - idle[name]) / requests * rate_s
        for name in ("calls", "body_bytes", "cpu_s")
    }
    return {
        "calls_per_s": rates["calls"],
        "body_bytes_per_s": rates["body_bytes"],
        "core_cpu_s_per_s": rates["cpu_s"],
        "granted_share": busy["granted"] / (rate_s * LOADED_S * len(shells)),
    }


async def _measure_load(
    centre: _DataCentre, shells: list[Targets], rate_s: int
) -> dict[str, float]:
    centre.clear()
    began_s = time.process_time()
    granted = await _run_load(shells, rate_s, LOADED_S)
    return {
        "granted": granted,
        "cpu_s": time.process_time() - began_s,
        "calls": sum(centre.traffic.calls.values()),
        "body_bytes": sum(centre.traffic.body_bytes.values()),
    }


async def _run_load(shells: list[Targets], rate_s: int, duration_s: float) -> int:
    granted = 0

    async def run_one(shell: Targets, number: int) -> None:
        nonlocal granted
        result = await shell.acquire(_make_request(number))
        permit = result.value_or(None)
        if permit is None:
            return
        granted += 1
        await trio.sleep(RUN_S)
        kind = OutcomeKind.COMPLETED
        shell.release(permit, Outcome(kind, first_token_s=0.2, prompt_tokens=9_000))

    if not rate_s:
        await trio.sleep(duration_s + RUN_S)
        return 0
    async with trio.open_nursery() as nursery:
        for number in range(int(rate_s * duration_s)):
            for index, shell in enumerate(shells):
                nursery.start_soon(run_one, shell, number * len(shells) + index)
            await trio.sleep(1.0 / rate_s)
    return granted


def _make_request(number: int) -> RouteRequest:
    return RouteRequest(
        request_id=f"request-{number}",
        workspace=f"workspace-{number % 500:05d}",
        model=f"model-{number % MODELS_LOADED:02d}",
        version="2026-11-01",
        prompt_tokens=9_000,
        conversation_root=f"root-{number % 1000}",
        blocks=(f"{number % 1000:056x}", f"{number % 1000 + 1:056x}"),
    )


def _measure_permits(size: int, seed: int) -> dict[str, float]:
    clock = MockClock(autojump_threshold=0)
    return trio.run(_run_requests, size, seed, clock=clock)


def _make_view(target: str, models: int) -> TargetView:
    return TargetView(
        target=target,
        boot_id=f"{target}-boot-1",
        address="10.0.0.1:8000",
        data_centre=DATA_CENTRE,
        owner="entry-001",
        epoch=1_790_000_000,
        models={f"model-{n:02d}": "2026-11-01" for n in range(models)},
        adapters={},
        service="",
        limit=CAPACITY,
        in_use=3,
        queued=0,
        run_s=4.0,
        pending_tokens=0,
        prefill_tokens_s=5_000.0,
        link_bytes_s=0.0,
        open=True,
        cold=False,
    )


def _measure_view(size: int, seed: int) -> dict[str, float]:
    view = _make_view("engine-0001", size)
    return {
        "view_bytes": len(encode(pack_view(view))),
        "state_bytes": held_bytes(lambda: _make_view("engine-0001", size)),
    }


def _make_router(size: int, seed: int) -> Router:
    router = Router(DATA_CENTRE, CostWeights(), random.Random(seed))
    for number in range(size):
        router.update(_make_view(f"engine-{number:04d}", MODELS_LOADED))
    return router


def _measure_choices(size: int, seed: int) -> dict[str, float]:
    router = _make_router(size, seed)
    requests = [_make_request(number) for number in range(CHOICES)]

    def choose_all() -> None:
        for request in requests:
            assert router.choose(request, (), 1.0)

    return {
        "state_bytes": held_bytes(lambda: _make_router(size, seed)),
        "choose_cpu_s": cpu_seconds(choose_all) / CHOICES,
    }


MECHANISMS = (
    Mechanism("view of a target", "models loaded", MODELS, _measure_view),
    Mechanism(
        "choice of a target", "targets of a model", ROUTED_TARGETS, _measure_choices
    ),
    Mechanism("targets at rest", "entries of a data centre", ENTRIES, _measure_entries),
    Mechanism("owned targets", "targets owned", TARGETS, _measure_owned),
    Mechanism("permits", "requests a second", RATES_S, _measure_permits),
)
