"""Requests that end at their time limit use up an entry VM's channels for good."""

import asyncio
import random
import sys
import time
from itertools import count, cycle, islice
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from harness import (  # noqa: E402
    BROKEN,
    FRONT,
    HELD,
    HOST,
    KEY,
    TROUBLE,
    UNABLE,
    Fleet,
    Worker,
    call,
    make_config,
    make_route,
    make_service,
    order,
    run,
    wait_ready,
    wait_workers,
)

NUMBERS = count(1)
#: Time limit of the clients, and latency objective of the route.
LIMIT_MS, OBJECTIVE_MS = 200, 150
WORKERS, SPELLS, SLOTS, CHANNELS = 3, 12, 6, 6
#: Dose of `srv_grey` with `hang`: 1 worker of 3, share of its requests, seconds.
HANGS, SPELL_S = 0.45, 6.5
#: Requests a second of each kind, over both entry VMs.
LOOKS_S, PAYS_S = 80, 40
APPLY_S, AFTER_S = 2.0, 10.0
#: Longest tick of a timer; the rest of a wait is polled.
TICK_S = 0.003


async def wait_until(at_s):
    """Wait until a time, not less and hardly more."""
    await asyncio.sleep(max(0.0, at_s - time.monotonic() - TICK_S))
    left_s = at_s - time.monotonic()
    while left_s > 0:
        await asyncio.sleep(0)
        left_s = at_s - time.monotonic()


class AppWorker(Worker):
    """Runs a few requests at once; while it is faulty, some hang to their limit."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.is_faulty = False
        self.late = 0
        self._places = asyncio.Semaphore(SLOTS)

    async def serve(self, request, reader, writer):
        """Run a request; answer 503 or 504 at its time limit, as the pages say."""
        end_s = time.monotonic() + int(request.get("x-vanillabeam-deadline-ms")) / 1000
        try:
            async with asyncio.timeout(end_s - time.monotonic()):
                await self._places.acquire()
        except TimeoutError:
            extra = {"X-Vanillabeam-Not-Executed": "1"}
            await self.answer(writer, request, 503, b"", extra=extra)
            return
        try:
            if self.is_faulty and random.random() < HANGS:
                await wait_until(end_s)
                self.late += 1
                await self.answer(writer, request, 504, b"time limit")
                return
            await asyncio.sleep(0.02)
        finally:
            self._places.release()
        await self.answer(writer, request, 200, b"done")


async def send(fleet, front, method, path, results):
    """Send a request of a client once; append its status to ``results``."""
    request_id = path.strip("/").replace("/", "-")
    headers = {
        "Host": HOST,
        "X-Vanillabeam-Request-Id": request_id,
        "X-Vanillabeam-Deadline-Ms": str(LIMIT_MS),
        "X-Vanillabeam-Key": KEY,
    }
    host, limit_s = fleet.hosts[front], LIMIT_MS / 1000 + 0.7
    answer = await call(host, FRONT, method, path, None, headers, limit_s)
    status = answer.status if answer else None
    fleet.record.write(f"client {request_id} at {front} -> {status}")
    results.append(status)


async def press(fleet, method, prefix, rate, duration_s):
    """Send requests at a steady rate; return their statuses."""
    results, began_s = [], time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(duration_s * rate)):
            await asyncio.sleep(began_s + number / rate - time.monotonic())
            front = fleet.fronts[number % len(fleet.fronts)]
            path = f"{prefix}{next(NUMBERS)}"
            group.create_task(send(fleet, front, method, path, results))
    return results


def served(results):
    """Return the share of requests that were served."""
    return results.count(200) / len(results)


async def set_up(fleet, routes, services):
    """Start all; return the workers, or ``None`` if the system doesn't come up."""
    fleet.start_all()
    workers = [
        await AppWorker(fleet, f"i-{n}", "app", "ab"[n % 2], SLOTS).start()
        for n in range(WORKERS)
    ]
    payers = [
        await Worker(fleet, f"p-{n}", "pay", zone).start()
        for n, zone in enumerate("ab")
    ]
    config = make_config(1, routes, services)
    if await order(fleet, "POST", "/api/Config.Put", config) is None:
        return None
    if not (await wait_ready(fleet) and await wait_workers(workers + payers)):
        return None
    return workers


async def trouble(fleet, workers):
    """Have one worker after the other hang; return the statuses of all requests."""
    length_s = SPELLS * SPELL_S
    async with asyncio.TaskGroup() as group:
        looks = group.create_task(press(fleet, "GET", "/look/", LOOKS_S, length_s))
        pays = group.create_task(press(fleet, "POST", "/pay/", PAYS_S, length_s))
        for worker in islice(cycle(workers), SPELLS):
            worker.is_faulty = TROUBLE
            await asyncio.sleep(SPELL_S)
            worker.is_faulty = False
            fleet.record.write(f"{worker.name}: {worker.late} answers at the limit")
    return looks.result() + pays.result()


async def main(record):
    """Play the case; return its exit code."""
    fleet = Fleet(record, entries=("a", "b"))
    look = {"attempts": 2, "slo_ms": OBJECTIVE_MS, "timeout_ms": 1500}
    routes = [
        make_route("r-look", "/look/", "app", **look),
        make_route("r-pay", "/pay/", "pay", "unsafe"),
    ]
    services = [make_service("app", max_conns=CHANNELS), make_service("pay")]
    try:
        workers = await set_up(fleet, routes, services)
        if workers is None:
            return UNABLE
        first = await press(fleet, "GET", "/look/", LOOKS_S, 3)
        if served(first) < 0.9:
            return UNABLE
        first += await trouble(fleet, workers)
        routes.append(make_route("r-new", "/new/", "app", **look))
        config = make_config(2, routes, services)
        if await order(fleet, "POST", "/api/Config.Put", config) is None:
            return UNABLE
        await asyncio.sleep(APPLY_S + 1)
        for worker in workers:
            record.write(f"{worker.name}: {len(worker.open)} channels open, idle")
        async with asyncio.TaskGroup() as group:
            pays = group.create_task(press(fleet, "POST", "/pay/", PAYS_S, AFTER_S))
            looks = group.create_task(press(fleet, "GET", "/look/", PAYS_S, AFTER_S))
            new = group.create_task(press(fleet, "GET", "/new/", PAYS_S, AFTER_S))
        last = pays.result() + looks.result()
        first += last
    finally:
        fleet.close()
    named = {"first routes": first, "the same at last": last, "new": new.result()}
    for name, results in named.items():
        counts = {status: results.count(status) for status in set(results)}
        record.write(f"{name}: {counts}, served {served(results):.3f}")
    is_broken = served(new.result()) < 0.25 * min(served(first), served(last))
    return BROKEN if is_broken else HELD


run(main, FOLDER)
