"""Simulation of callers, crashing entry VMs, a service and operators."""

from collections import Counter
from typing import NamedTuple

from tests.claims.builders import LEASE_MS, START_MS, Driver, make_machine, make_uuid7
from vanillabeam.claims import ClaimMachine

MARGIN_MS = 15_000
KEYS = 2
STEPS = 60


class Call(NamedTuple):
    key: str
    token: str
    send_by_ms: int


class World:
    """Steps of the claims protocol; asserts that the service runs no call twice."""

    machine_class = ClaimMachine
    respects_send_by = True

    def __init__(self):
        self.log = Driver(make_machine(self.machine_class))
        self.granted: list[Call] = []
        self.sent: list[Call] = []
        self.executions: Counter[str] = Counter()
        self.settled: dict[str, bool] = {}
        self.claims = 0

    def claim(self, number, twice):
        self.claims += 1
        key, token = make_uuid7(START_MS, number), f"t{self.claims}"
        for _ in range(1 + twice):
            status = self.log.claim(
                key,
                token=token,
                digest=str(number),
                settled=self.settled.get(key),
                entry=f"e{self.claims % 3}",
            )
        if status == "granted":
            send_by_ms = self.log.now_ms + LEASE_MS - MARGIN_MS
            self.granted.append(Call(key, token, send_by_ms))
        if status == "done":
            assert self.executions[key] == 1

    def send(self, i):
        call = self.granted.pop(i)
        if self.respects_send_by and self.log.now_ms >= call.send_by_ms:
            return
        self.sent.append(call)
        self.executions[call.key] += 1
        assert self.executions[call.key] == 1

    def answer(self, i, lost):
        call = self.sent.pop(i)
        if lost:
            self.log.abandon(call.key, call.token)
        else:
            self.log.finish(call.key, call.token)

    def withdraw(self, i):
        call = self.granted.pop(i)
        self.log.withdraw(call.key, call.token)

    def die(self, i):
        if i < len(self.granted):
            self.granted.pop(i)
        else:
            self.sent.pop(i - len(self.granted))

    def pass_time(self, ms):
        self.log.now_ms += ms

    def pass_retention(self):
        self.log.now_ms += self.log.machine._retention_ms() + 10 * LEASE_MS

    def settle(self):
        for record in self.log.machine.records.values():
            running = record.token and record.lease_until_ms > self.log.now_ms
            if record.done or running:
                continue
            _, key = record.workspace_key
            self.settled.setdefault(key, self.executions[key] > 0)

    def restart(self):
        machine = make_machine(self.machine_class)
        machine.restore(self.log.machine.snapshot())
        self.log.machine = machine


def run_random_walk(world, rng):
    """Take random steps until an assertion fails or all steps are done."""
    for _ in range(STEPS):
        _run_random_step(world, rng)


def _run_random_step(world, rng):
    step = rng.choices(range(8), weights=(30, 15, 8, 5, 3, 12, 8, 3))[0]
    if step == 0:
        world.claim(rng.randrange(KEYS), rng.random() < 0.2)
    elif step == 1 and world.granted:
        world.send(rng.randrange(len(world.granted)))
    elif step == 2 and world.sent:
        world.answer(rng.randrange(len(world.sent)), rng.random() < 0.5)
    elif step == 3 and world.granted:
        world.withdraw(rng.randrange(len(world.granted)))
    elif step == 4 and world.granted + world.sent:
        world.die(rng.randrange(len(world.granted + world.sent)))
    elif step == 5:
        world.pass_time(rng.choice((1000, LEASE_MS - MARGIN_MS, LEASE_MS)))
    elif step == 6:
        world.settle()
    elif step == 7:
        world.restart() if rng.random() < 0.8 else world.pass_retention()
