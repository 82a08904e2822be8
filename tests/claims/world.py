"""A world of callers, entries that die, a service that counts, and people."""

from collections import Counter
from typing import NamedTuple

from tests.claims.builders import LEASE_MS, START_MS, Driver, make_machine, uuid7
from vanillabeam.claims import ClaimMachine

MARGIN_MS = 15_000
KEYS = 2
STEPS = 60


class Call(NamedTuple):
    key: str
    token: str
    send_by_ms: int


class World:
    """Every step of the protocol, each of which may come at any time."""

    machine_kind = ClaimMachine
    obeys_send_by = True

    def __init__(self):
        self.log = Driver(make_machine(self.machine_kind))
        self.granted: list[Call] = []
        self.sent: list[Call] = []
        self.executions: Counter[str] = Counter()
        self.settled: dict[str, bool] = {}
        self.claims = 0

    def claim(self, number, twice):
        self.claims += 1
        key, token = uuid7(START_MS, number), f"t{self.claims}"
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
        if self.obeys_send_by and self.log.now_ms >= call.send_by_ms:
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
            _, key = record.name
            self.settled.setdefault(key, self.executions[key] > 0)

    def restart(self):
        machine = make_machine(self.machine_kind)
        machine.restore(self.log.machine.snapshot())
        self.log.machine = machine


def walk(world, rng):
    """Take random steps; returns once an assertion fails, or at the end."""
    for _ in range(STEPS):
        _step(world, rng)


def _step(world, rng):
    kind = rng.choices(range(8), weights=(30, 15, 8, 5, 3, 12, 8, 3))[0]
    if kind == 0:
        world.claim(rng.randrange(KEYS), rng.random() < 0.2)
    elif kind == 1 and world.granted:
        world.send(rng.randrange(len(world.granted)))
    elif kind == 2 and world.sent:
        world.answer(rng.randrange(len(world.sent)), rng.random() < 0.5)
    elif kind == 3 and world.granted:
        world.withdraw(rng.randrange(len(world.granted)))
    elif kind == 4 and world.granted + world.sent:
        world.die(rng.randrange(len(world.granted + world.sent)))
    elif kind == 5:
        world.pass_time(rng.choice((1000, LEASE_MS - MARGIN_MS, LEASE_MS)))
    elif kind == 6:
        world.settle()
    elif kind == 7:
        world.restart() if rng.random() < 0.8 else world.pass_retention()
