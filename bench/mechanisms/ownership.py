"""Costs of targets and permits for one entry of a data centre."""

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
KNOWN_TARGETS = (50, 154, 400, 770)
CHOICES = 200
#: Targets for one entry at the size that is asked for.
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
    """Entries of one data centre and the targets that announce to them."""

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
        """Start the shells and the targets' messages."""
        for shell in self.shells.values():
            await nursery.start(shell.run)
            shell.members_changed(self.entries)
        nursery.start_soon(self._announce)

    async def _announce(self) -> None:
        owners = dict.fromkeys(self.targets, self.entries[0].targets_address)
        for name in self.targets:
            result = await self._shell(owners[name]).announce(_announcement(name))
            owners[name] = result.unwrap()["owner"]
        while True:
            self.sequence += 1
            for name in self.targets:
                await self._report(name, owners)
            await trio.sleep(LOAD_S)

    async def _report(self, name: str, owners: dict[str, str]) -> None:
        shell = self._shell(owners[name])
        load = _load(name, self.sequence)
        self._count(load)
        await shell.load(load)
        if self.sequence % round(ANNOUNCE_S / LOAD_S) == 0:
            announcement = _announcement(name)
            self._count(announcement)
            owners[name] = (await shell.announce(announcement)).unwrap()["owner"]

    def _shell(self, address: str) -> Targets:
        return self.shells[address]

    def _count(self, message: Any) -> None:
        self.announced += 1
        self.announced_bytes += len(encode(message))

    def clear(self) -> None:
        """Begin to count anew."""
        self.traffic.clear()
        self.announced = self.announced_bytes = 0


def _announcement(name: str) -> Announcement:
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


def _load(name: str, sequence: int) -> LoadReport:
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


async def _at_rest(entries: int, targets: int, seed: int) -> dict[str, float]:
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


def _entries(size: int, seed: int) -> dict[str, float]:
    targets = round(size * TARGETS_PER_ENTRY)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_at_rest, size, targets, seed, clock=clock)


def _owned(size: int, seed: int) -> dict[str, float]:
    async def settle() -> _DataCentre:
        centre = _DataCentre(1, size, seed)
        async with trio.open_nursery() as nursery:
            await centre.start(nursery)
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        return centre

    def build() -> _DataCentre:
        return trio.run(settle, clock=MockClock(autojump_threshold=0))

    rest = trio.run(_at_rest, 1, size, seed, clock=MockClock(autojump_threshold=0))
    return {
        "state_bytes": held_bytes(build),
        "core_cpu_s_per_s": rest["core_cpu_s_per_s"],
    }


async def _requests(rate_s: int, seed: int) -> dict[str, float]:
    centre = _DataCentre(PERMIT_ENTRIES, 2 * PERMIT_ENTRIES, seed)
    shells = list(centre.shells.values())
    async with trio.open_nursery() as nursery:
        await centre.start(nursery)
        await trio.sleep(SETTLE_S)
        # Windows open with completions: warm them before measuring.
        await _load_for(shells, rate_s, LOADED_S)
        idle = await _measure(centre, shells, 0)
        busy = await _measure(centre, shells, rate_s)
        nursery.cancel_scope.cancel()
    requests = busy["granted"] or 1
    each = {
        name: (busy[name] - idle[name]) / requests * rate_s
        for name in ("calls", "body_bytes", "cpu_s")
    }
    return {
        "calls_per_s": each["calls"],
        "body_bytes_per_s": each["body_bytes"],
        "core_cpu_s_per_s": each["cpu_s"],
        "granted_share": busy["granted"] / (rate_s * LOADED_S * len(shells)),
    }


async def _measure(
    centre: _DataCentre, shells: list[Targets], rate_s: int
) -> dict[str, float]:
    centre.clear()
    began_s = time.process_time()
    granted = await _load_for(shells, rate_s, LOADED_S)
    return {
        "granted": granted,
        "cpu_s": time.process_time() - began_s,
        "calls": sum(centre.traffic.calls.values()),
        "body_bytes": sum(centre.traffic.body_bytes.values()),
    }


async def _load_for(shells: list[Targets], rate_s: int, span_s: float) -> int:
    granted = 0

    async def run_one(shell: Targets, number: int) -> None:
        nonlocal granted
        result = await shell.acquire(_request(number))
        permit = result.value_or(None)
        if permit is None:
            return
        granted += 1
        await trio.sleep(RUN_S)
        kind = OutcomeKind.COMPLETED
        shell.release(permit, Outcome(kind, first_token_s=0.2, prompt_tokens=9_000))

    if not rate_s:
        await trio.sleep(span_s + RUN_S)
        return 0
    async with trio.open_nursery() as nursery:
        for number in range(int(rate_s * span_s)):
            for place, shell in enumerate(shells):
                nursery.start_soon(run_one, shell, number * len(shells) + place)
            await trio.sleep(1.0 / rate_s)
    return granted


def _request(number: int) -> RouteRequest:
    return RouteRequest(
        request_id=f"request-{number}",
        workspace=f"workspace-{number % 500:05d}",
        model=f"model-{number % MODELS_LOADED:02d}",
        version="2026-11-01",
        prompt_tokens=9_000,
        conversation_root=f"root-{number % 1000}",
        blocks=(f"{number % 1000:056x}", f"{number % 1000 + 1:056x}"),
    )


def _permits(size: int, seed: int) -> dict[str, float]:
    clock = MockClock(autojump_threshold=0)
    return trio.run(_requests, size, seed, clock=clock)


def _view(target: str, models: int) -> TargetView:
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


def _view_by_models(size: int, seed: int) -> dict[str, float]:
    view = _view("engine-0001", size)
    return {
        "view_bytes": len(encode(pack_view(view))),
        "state_bytes": held_bytes(lambda: _view("engine-0001", size)),
    }


def _router(size: int, seed: int) -> Router:
    router = Router(DATA_CENTRE, CostWeights(), random.Random(seed))
    for number in range(size):
        router.update(_view(f"engine-{number:04d}", MODELS_LOADED))
    return router


def _choices(size: int, seed: int) -> dict[str, float]:
    router = _router(size, seed)
    requests = [_request(number) for number in range(CHOICES)]

    def choose_all() -> None:
        for request in requests:
            assert router.choose(request, (), 1.0)

    return {
        "state_bytes": held_bytes(lambda: _router(size, seed)),
        "choose_cpu_s": cpu_seconds(choose_all) / CHOICES,
    }


MECHANISMS = (
    Mechanism("view of a target", "models loaded", MODELS, _view_by_models),
    Mechanism("choice of a target", "targets of a model", KNOWN_TARGETS, _choices),
    Mechanism("targets at rest", "entries of a data centre", ENTRIES, _entries),
    Mechanism("owned targets", "targets owned", TARGETS, _owned),
    Mechanism("permits", "requests a second", RATES_S, _permits),
)
