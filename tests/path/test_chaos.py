"""Soak test: a complete fleet under load and random faults, over real sockets.

The callers check every answer. The fake services count the executions of each
idempotency key, so that a call which ran twice is detected.
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
RECOVERY_S = 15.0
SET_UP_TIMEOUT_S = 30.0
PROMPT_CALLERS = 6
REFUND_CALLERS = 4
REFUND_ATTEMPTS = 12
CHUNK_COUNT = 24
SLOW_PREFILL_TOKENS_S = 20_000.0
SMALL_CACHE_TOKENS = 30_000
LONG_PROMPT_INTERVAL = 4
LONG_PROMPT_COUNT = 6
LONG_TEXT = "crate of 24 bottles, " * 2_000
WORKSPACES = {CALLER_KEY: "icupa", "other-key": "pamplemousses"}
CHUNK_PATTERN = re.compile(r"(\d+)~([0-9a-f]{4})")


class CallerResults:
    """Results of the callers' requests.

    :ivar prompt_outcomes: number of prompts by outcome.
    :ivar refund_outcomes: outcome by idempotency key.
    :ivar errors: descriptions of wrong answers.
    :ivar unknown: answers that leave open whether a refund ran.
    """

    def __init__(self):
        self.prompt_outcomes = Counter()
        self.refund_outcomes = {}
        self.errors = []
        self.unknown = []


class Chaos:
    """One run: callers' load, random faults and a check of the results.

    :ivar number: number of the last ticket.
    :ivar faults_ended: whether the run is in its last part, which has no faults.
    :ivar imported: bytes of KV cache that all VMs' targets have imported.
    """

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.fleet = fleet
        self.rng = rng
        self.results = CallerResults()
        self.targets = {}
        self.number = 1
        self.faults_ended = False
        self.imported = 0

    async def run(self) -> None:
        await self._set_up()
        async with trio.open_nursery() as nursery:
            self.start_callers(nursery)
            nursery.start_soon(self._inject_faults)
            await trio.sleep(RUN_S)
            self.faults_ended = True
            await trio.sleep(RECOVERY_S)
            nursery.cancel_scope.cancel()
        caches = [r.vm.components.cache.report() for r in self.fleet.running.values()]
        self.imported = sum(report.imported_bytes for report in caches)

    def start_callers(self, nursery: trio.Nursery) -> None:
        for n in range(PROMPT_CALLERS):
            nursery.start_soon(self._send_prompts, n)
        for n in range(REFUND_CALLERS):
            nursery.start_soon(self._send_refunds, n)

    async def _set_up(self) -> None:
        first = self.fleet.running["a1"]
        status = 503
        with trio.fail_after(SET_UP_TIMEOUT_S):
            while status == 503:
                status, answer = await first.apply_ticket(self._make_first_ticket())
        assert status == 200, answer
        for running in self.fleet.running.values():
            await running.wait_until(
                lambda r=running: r.vm.components.config().index >= answer["index"]
            )
        for name, data_centre in ENGINES.items():
            self.targets[name] = await self.fleet.start_target(
                name,
                data_centre,
                prefill_tokens_s=SLOW_PREFILL_TOKENS_S,
                cached_tokens=SMALL_CACHE_TOKENS,
            )
        for name, data_centre in SERVICES.items():
            self.targets[name] = await self.fleet.start_target(
                name, data_centre, service="refunds", dedup_keys=False
            )

    def _make_first_ticket(self) -> bytes:
        workspaces = {
            name: {"key_digests": [key_digest(key)], "cache_secret": key_digest(name)}
            for key, name in WORKSPACES.items()
        }
        return make_ticket(
            models={"m": {"version": "v1"}},
            services={"refunds": {"repeats": "never"}},
            workspaces=workspaces,
        )

    def _choose_entry(self):
        vms = sorted(self.fleet.running)
        return self.fleet.running[self.rng.choice(vms)] if vms else None

    async def _send_prompts(self, n: int) -> None:
        turn = 0
        while True:
            await trio.sleep(self.rng.uniform(0.02, 0.2))
            entry = self._choose_entry()
            if entry is None:
                continue
            turn += 1
            key = self.rng.choice(sorted(WORKSPACES))
            prompt = f"prompt {n} {turn}."
            if turn % LONG_PROMPT_INTERVAL == 0:
                prompt = f"{key} {self.rng.randrange(LONG_PROMPT_COUNT)} {LONG_TEXT}"
            body = {
                "model": "m",
                "messages": [{"role": "user", "content": prompt}],
                "stream": True,
                "max_tokens": CHUNK_COUNT,
            }
            try:
                await self._send_prompt(entry, key, prompt, json.dumps(body).encode())
            except httpcore.ConnectError:
                self.results.prompt_outcomes["not connected"] += 1
            except (httpcore.NetworkError, httpcore.ProtocolError):
                self.results.prompt_outcomes["vm lost"] += 1
            except httpcore.TimeoutException:
                self.results.prompt_outcomes["silent"] += 1

    async def _send_prompt(self, entry, key: str, prompt: str, body: bytes) -> None:
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
            self.results.prompt_outcomes[f"refused {res.status}"] += 1
            if res.status not in (429, 502, 503, 504):
                self.results.errors.append(f"refused {res.status}: {data[:200]}")
            return
        self._check_stream(data.decode(), prompt)

    def _check_stream(self, text: str, prompt: str) -> None:
        chunks = CHUNK_PATTERN.findall(text)
        numbers = [int(number) for number, _ in chunks]
        if numbers != list(range(len(numbers))):
            self.results.errors.append(f"chunks out of order: {numbers}")
        own_mark = blake2b(prompt.encode(), digest_size=2).hexdigest()
        if {mark for _, mark in chunks} - {own_mark}:
            self.results.errors.append(f"chunks of another answer: {text[:300]}")
        if text.endswith("data: [DONE]\n\n"):
            if len(chunks) != CHUNK_COUNT:
                self.results.errors.append(
                    f"answer reported complete after {len(chunks)} chunks"
                )
            self.results.prompt_outcomes["whole"] += 1
        elif '"error"' in text:
            self.results.prompt_outcomes["error event"] += 1
        else:
            self.results.prompt_outcomes["cut"] += 1

    async def _send_refunds(self, n: int) -> None:
        turn = 0
        while True:
            turn += 1
            key = f"refund-{n}-{turn}"
            outcome = await self._send_refund(key)
            self.results.refund_outcomes[key] = outcome
            await trio.sleep(self.rng.uniform(0.02, 0.2))

    async def _send_refund(self, key: str) -> str:
        may_have_run = False
        for _ in range(REFUND_ATTEMPTS):
            entry = self._choose_entry()
            if entry is None:
                await trio.sleep(0.2)
                continue
            try:
                with trio.fail_after(20):
                    res = await entry.call(
                        "POST", "/services/refunds/pay", b"{}", Idempotency_Key=key
                    )
            except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
                may_have_run = True
                continue
            run = dict(res.headers).get(b"vanillabeam-run", b"").decode()
            if res.status == 200:
                return "ran"
            if run == "unknown":
                self.results.unknown.append(f"{key}: {res.status} {res.content!r}")
                return "unknown"
            if run == "not-run" and not may_have_run:
                self._check_not_executed(key)
            await trio.sleep(0.3)
        return "given up, unknown" if may_have_run else "given up, not run"

    def _check_not_executed(self, key: str) -> None:
        if self._count_executions(key):
            self.results.errors.append(f"{key} ran but was reported as not run")

    def _count_executions(self, key: str) -> int:
        services = [self.targets[name] for name in SERVICES]
        return sum(target.executions[f"key:{key}"] for target in services)

    def find_violations(self) -> list[str]:
        errors = list(self.results.errors)
        for key, outcome in self.results.refund_outcomes.items():
            ran = self._count_executions(key)
            if ran > 1:
                errors.append(f"{key} ran {ran} times ({outcome})")
            if outcome == "ran" and ran != 1:
                errors.append(f"{key} was reported as run but ran {ran} times")
            if outcome == "given up, not run" and ran:
                errors.append(f"{key} was given up as not run but ran")
        return errors

    async def _inject_faults(self) -> None:
        while True:
            await trio.sleep(self.rng.uniform(0.5, 2.0))
            if self.faults_ended:
                self._clear_faults()
                return
            fault = self.rng.choice(
                [
                    self._restart_vm,
                    self._restart_vm,
                    self._isolate_vm,
                    self._make_target_cold,
                    self._damage_streams,
                    self._change_ticket,
                ]
            )
            await fault()

    def _clear_faults(self) -> None:
        self.fleet.lost_links.clear()
        for target in self.targets.values():
            target.engine.faults = target.engine.faults._replace(
                duplicate=0.0, reorder=0.0, cut_after=None, silent_after=None
            )

    async def _restart_vm(self) -> None:
        if len(self.fleet.running) < len(LAYOUT):
            return
        vm = self.rng.choice(sorted(self.fleet.running))
        self.fleet.kill(vm)
        await trio.sleep(self.rng.uniform(0.1, 3.0))
        await self.fleet.start(vm)

    async def _isolate_vm(self) -> None:
        vm = self.rng.choice(sorted(LAYOUT))
        pairs = {(vm, other) for other in LAYOUT} | {(other, vm) for other in LAYOUT}
        self.fleet.lost_links.update(pairs)
        await trio.sleep(self.rng.uniform(0.5, 6.0))
        self.fleet.lost_links.difference_update(pairs)

    async def _make_target_cold(self) -> None:
        self.targets[self.rng.choice(sorted(ENGINES))].engine.go_cold()

    async def _damage_streams(self) -> None:
        target = self.targets[self.rng.choice(sorted(ENGINES))]
        target.engine.faults = target.engine.faults._replace(
            duplicate=0.1, reorder=0.1, cut_after=self.rng.randint(3, 20)
        )
        await trio.sleep(1.0)
        target.engine.faults = target.engine.faults._replace(
            duplicate=0.0, reorder=0.0, cut_after=None
        )

    async def _change_ticket(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        self.number += 1
        ticket = make_ticket(self.number, services={"counts": {"repeats": "safe"}})
        await entry.apply_ticket(ticket)


@pytest.mark.soak
def test_no_call_runs_twice_and_no_answer_is_mixed_with_another(tmp_path):
    seed = int(os.environ["SOAK_SEED"])
    runs = max(1, int(os.environ["SOAK_RUNS"]) // 50)
    for run in range(runs):
        chaos = run_chaos(tmp_path / str(run), seed + run)
        assert chaos.find_violations() == [], f"seed {seed + run}"
        assert chaos.results.prompt_outcomes["whole"] > 0


def run_chaos(folder, seed: int) -> Chaos:
    rng = random.Random(seed)

    async def main():
        async with Fleet(folder, LAYOUT, CONTROL, STORES).open() as fleet:
            chaos = Chaos(fleet, rng)
            await chaos.run()
            return chaos

    return trio.run(main)
