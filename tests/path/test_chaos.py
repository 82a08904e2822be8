"""Long runs of a whole fleet under load and faults, over real sockets.

Callers check every answer; the fake services count every execution.
"""

import json
import os
import random
import re
from collections import Counter
from hashlib import blake2b

import httpcore
import pytest
import trio

from tests.path.builders import CALLER_KEY, make_ticket
from tests.path.fleet import Fleet
from vanillabeam.tickets.keys import key_digest

LAYOUT = {"a1": "dc-a", "a2": "dc-a", "a3": "dc-a", "b1": "dc-b", "b2": "dc-b"}
CONTROL = ["a1", "a2", "b1"]
STORES = ["a3", "b2"]
ENGINES = {"e1": "dc-a", "e2": "dc-a", "e3": "dc-b"}
SERVICES = {"s1": "dc-a"}
RUN_S = 25.0
CALM_S = 15.0
SET_UP_LIMIT_S = 30.0
PROMPTERS = 6
CLERKS = 4
REFUND_TRIES = 12
PIECES = 24
SLOW_PREFILL_TOKENS_S = 20_000.0
SMALL_CACHE_TOKENS = 30_000
LONG_EVERY = 4
LONG_PROMPTS = 6
LEDGER = "crate of 24 bottles, " * 2_000
WORKSPACES = {CALLER_KEY: "icupa", "other-key": "pamplemousses"}
PIECE = re.compile(r"(\d+)~([0-9a-f]{4})")


class Ledger:
    """What the callers saw."""

    def __init__(self):
        self.prompts = Counter()
        self.refunds = {}
        self.wrong = []


class Chaos:
    """One run: load, faults, and the verdict."""

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.fleet = fleet
        self.rng = rng
        self.ledger = Ledger()
        self.targets = {}
        self.number = 1
        self.calm = False
        self.imported = 0

    async def run(self) -> None:
        await self._set_up()
        async with trio.open_nursery() as nursery:
            self.start_callers(nursery)
            nursery.start_soon(self._break)
            await trio.sleep(RUN_S)
            self.calm = True
            await trio.sleep(CALM_S)
            nursery.cancel_scope.cancel()
        caches = [r.vm.components.cache.report() for r in self.fleet.running.values()]
        self.imported = sum(report.imported_bytes for report in caches)

    def start_callers(self, nursery: trio.Nursery) -> None:
        for n in range(PROMPTERS):
            nursery.start_soon(self._prompt, n)
        for n in range(CLERKS):
            nursery.start_soon(self._refund, n)

    async def _set_up(self) -> None:
        first = self.fleet.running["a1"]
        status = 503
        with trio.fail_after(SET_UP_LIMIT_S):
            while status == 503:
                status, answer = await first.apply(self._first_ticket())
        assert status == 200, answer
        for running in self.fleet.running.values():
            await running.wait_until(
                lambda r=running: r.vm.components.config().index >= answer["index"]
            )
        for name, data_centre in ENGINES.items():
            self.targets[name] = await self.fleet.announce(
                name,
                data_centre,
                prefill_tokens_s=SLOW_PREFILL_TOKENS_S,
                cached_tokens=SMALL_CACHE_TOKENS,
            )
        for name, data_centre in SERVICES.items():
            self.targets[name] = await self.fleet.announce(
                name, data_centre, service="refunds", dedup_keys=False
            )

    def _first_ticket(self) -> bytes:
        workspaces = {
            name: {"key_digests": [key_digest(key)], "cache_secret": key_digest(name)}
            for key, name in WORKSPACES.items()
        }
        return make_ticket(
            models={"m": {"version": "v1"}},
            services={"refunds": {"repeats": "never"}},
            workspaces=workspaces,
        )

    def _entry(self):
        vms = sorted(self.fleet.running)
        return self.fleet.running[self.rng.choice(vms)] if vms else None

    async def _prompt(self, n: int) -> None:
        turn = 0
        while True:
            await trio.sleep(self.rng.uniform(0.02, 0.2))
            entry = self._entry()
            if entry is None:
                continue
            turn += 1
            key = self.rng.choice(sorted(WORKSPACES))
            prompt = f"prompt {n} {turn}."
            if turn % LONG_EVERY == 0:
                prompt = f"{key} {self.rng.randrange(LONG_PROMPTS)} {LEDGER}"
            body = {
                "model": "m",
                "messages": [{"role": "user", "content": prompt}],
                "stream": True,
                "max_tokens": PIECES,
            }
            try:
                await self._stream(entry, key, prompt, json.dumps(body).encode())
            except httpcore.ConnectError:
                self.ledger.prompts["not connected"] += 1
            except (httpcore.NetworkError, httpcore.ProtocolError):
                self.ledger.prompts["vm lost"] += 1
            except httpcore.TimeoutException:
                self.ledger.prompts["silent"] += 1

    async def _stream(self, entry, key: str, prompt: str, body: bytes) -> None:
        address = entry.vm.address("callers")
        headers = [("Authorization", f"Bearer {key}")]
        timeout = {"read": 30.0, "connect": 2.0, "write": 5.0, "pool": 5.0}
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                "POST",
                f"http://{address}/v1/chat/completions",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            ) as res:
                data = await res.aread()
        if res.status != 200:
            self.ledger.prompts[f"refused {res.status}"] += 1
            if res.status not in (429, 502, 503, 504):
                self.ledger.wrong.append(f"refused {res.status}: {data[:200]}")
            return
        self._check_stream(data.decode(), prompt)

    def _check_stream(self, text: str, prompt: str) -> None:
        pieces = PIECE.findall(text)
        numbers = [int(number) for number, _ in pieces]
        if numbers != list(range(len(numbers))):
            self.ledger.wrong.append(f"pieces out of order: {numbers}")
        own = blake2b(prompt.encode(), digest_size=2).hexdigest()
        if {mark for _, mark in pieces} - {own}:
            self.ledger.wrong.append(f"pieces of another answer: {text[:300]}")
        if text.endswith("data: [DONE]\n\n"):
            if len(pieces) != PIECES:
                self.ledger.wrong.append(f"{len(pieces)} pieces called whole")
            self.ledger.prompts["whole"] += 1
        elif '"error"' in text:
            self.ledger.prompts["error event"] += 1
        else:
            self.ledger.prompts["cut"] += 1

    async def _refund(self, n: int) -> None:
        turn = 0
        while True:
            turn += 1
            key = f"refund-{n}-{turn}"
            outcome = await self._refund_once(key)
            self.ledger.refunds[key] = outcome
            await trio.sleep(self.rng.uniform(0.02, 0.2))

    async def _refund_once(self, key: str) -> str:
        doubtful = False
        for _ in range(REFUND_TRIES):
            entry = self._entry()
            if entry is None:
                await trio.sleep(0.2)
                continue
            try:
                with trio.fail_after(20):
                    res = await entry.call(
                        "POST", "/services/refunds/pay", b"{}", Idempotency_Key=key
                    )
            except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
                doubtful = True
                continue
            run = dict(res.headers).get(b"vanillabeam-run", b"").decode()
            if res.status == 200:
                return "ran"
            if run == "unknown":
                return "unknown"
            if run == "not-run" and not doubtful:
                self._check_not_run(key)
            await trio.sleep(0.3)
        return "given up, unknown" if doubtful else "given up, not run"

    def _check_not_run(self, key: str) -> None:
        if self._executions(key):
            self.ledger.wrong.append(f"{key} ran and was told as not run")

    def _executions(self, key: str) -> int:
        services = [self.targets[name] for name in SERVICES]
        return sum(target.executions[f"key:{key}"] for target in services)

    def verdict(self) -> list[str]:
        wrong = list(self.ledger.wrong)
        for key, outcome in self.ledger.refunds.items():
            ran = self._executions(key)
            if ran > 1:
                wrong.append(f"{key} ran {ran} times ({outcome})")
            if outcome == "ran" and ran != 1:
                wrong.append(f"{key} was told as run and ran {ran} times")
            if outcome == "given up, not run" and ran:
                wrong.append(f"{key} was told as not run and ran")
        return wrong

    async def _break(self) -> None:
        while True:
            await trio.sleep(self.rng.uniform(0.5, 2.0))
            if self.calm:
                self._mend()
                return
            fault = self.rng.choice(
                [self._kill, self._kill, self._cut, self._cold, self._tear, self._swap]
            )
            await fault()

    def _mend(self) -> None:
        self.fleet.cut.clear()
        for target in self.targets.values():
            target.engine.faults = target.engine.faults._replace(
                duplicate=0.0, reorder=0.0, cut_after=None, silent_after=None
            )

    async def _kill(self) -> None:
        if len(self.fleet.running) < len(LAYOUT):
            return
        vm = self.rng.choice(sorted(self.fleet.running))
        self.fleet.kill(vm)
        await trio.sleep(self.rng.uniform(0.1, 3.0))
        await self.fleet.start(vm)

    async def _cut(self) -> None:
        vm = self.rng.choice(sorted(LAYOUT))
        pairs = {(vm, other) for other in LAYOUT} | {(other, vm) for other in LAYOUT}
        self.fleet.cut.update(pairs)
        await trio.sleep(self.rng.uniform(0.5, 6.0))
        self.fleet.cut.difference_update(pairs)

    async def _cold(self) -> None:
        self.targets[self.rng.choice(sorted(ENGINES))].engine.go_cold()

    async def _tear(self) -> None:
        target = self.targets[self.rng.choice(sorted(ENGINES))]
        target.engine.faults = target.engine.faults._replace(
            duplicate=0.1, reorder=0.1, cut_after=self.rng.randint(3, 20)
        )
        await trio.sleep(1.0)
        target.engine.faults = target.engine.faults._replace(
            duplicate=0.0, reorder=0.0, cut_after=None
        )

    async def _swap(self) -> None:
        entry = self._entry()
        if entry is None:
            return
        self.number += 1
        ticket = make_ticket(self.number, services={"counts": {"repeats": "safe"}})
        await entry.apply(ticket)


@pytest.mark.soak
def test_nothing_runs_twice_and_no_answer_is_mixed(tmp_path):
    seed = int(os.environ["SOAK_SEED"])
    runs = max(1, int(os.environ["SOAK_RUNS"]) // 50)
    for run in range(runs):
        chaos = run_chaos(tmp_path / str(run), seed + run)
        assert chaos.verdict() == [], f"seed {seed + run}"
        assert chaos.ledger.prompts["whole"] > 0


def run_chaos(folder, seed: int) -> Chaos:
    rng = random.Random(seed)

    async def main():
        async with Fleet(folder, LAYOUT, CONTROL, STORES).open() as fleet:
            chaos = Chaos(fleet, rng)
            await chaos.run()
            return chaos

    return trio.run(main)
