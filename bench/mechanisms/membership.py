"""Costs of membership for one VM by the VMs of its data centre."""

import random
import time
from typing import Any

from bench.cost import held_bytes
from bench.mechanisms.base import Mechanism
from vanillabeam.members.core import (
    AppStateChanged,
    Effect,
    HeartbeatAnswered,
    HeartbeatReceived,
    Reply,
    SendHeartbeat,
    Tick,
    handle,
)
from vanillabeam.members.records import AppState, Heartbeat, Seed
from vanillabeam.members.state import MembersState
from vanillabeam.wire import encode

__all__ = ["MECHANISMS"]

VMS = (10, 20, 40, 68, 100)
DATA_CENTRES = 2
TICK_S = 0.25
SETTLE_S = 40.0
MEASURED_S = 40.0
LOAD_PERIOD_S = 20.0


class _Fleet:
    """Cores of two data centres; a message arrives at once."""

    def __init__(self, vms: int, seed: int):
        self.rng = random.Random(seed)
        self.vms: dict[str, MembersState] = {}
        self.calls = 0
        self.bytes = 0
        self.cpu_s = 0.0
        seeds = [
            Seed(f"10.{place}.0.{number}:7002", f"dc-{place}")
            for place in range(DATA_CENTRES)
            for number in range(3)
        ]
        for place in range(DATA_CENTRES):
            for number in range(vms):
                self._add(place, number, seeds)

    def _add(self, place: int, number: int, seeds: list[Seed]) -> None:
        address = f"10.{place}.0.{number}:7002"
        name = f"entry-{place}-{number:03d}"
        rng = random.Random(self.rng.random())
        state = MembersState(name, address, f"dc-{place}", seeds, rng)
        state.set_own_record(state.own._replace(state=_app_state(number)))
        self.vms[address] = state

    def run(self, begin_s: float, end_s: float) -> None:
        """Let time pass, with a change of load at each VM now and then."""
        now_s = begin_s
        while now_s < end_s:
            for address, state in self.vms.items():
                if self.rng.random() < TICK_S / LOAD_PERIOD_S:
                    load = self.rng.randrange(100)
                    changed = state.own.state._replace(load=load)
                    self._feed(address, AppStateChanged(changed), now_s)
                self._feed(address, Tick(), now_s)
            now_s += TICK_S

    def clear(self) -> None:
        """Begin to count anew."""
        self.calls, self.bytes, self.cpu_s = 0, 0, 0.0

    def _feed(self, address: str, event: Any, now_s: float) -> list[Effect]:
        began_s = time.process_time()
        effects = handle(event, self.vms[address], now_s)
        self.cpu_s += time.process_time() - began_s
        for effect in effects:
            if isinstance(effect, SendHeartbeat):
                self._exchange(address, effect, now_s)
        return effects

    def _exchange(self, source: str, effect: SendHeartbeat, now_s: float) -> None:
        received = HeartbeatReceived(effect.message)
        answers = self._feed(effect.address, received, now_s)
        reply = next(each.message for each in answers if isinstance(each, Reply))
        self._count(effect.message)
        self._count(reply)
        self.calls += 1
        self._feed(source, HeartbeatAnswered(reply), now_s)

    def _count(self, message: Heartbeat) -> None:
        began_s = time.process_time()
        self.bytes += len(encode(message))
        self.cpu_s += time.process_time() - began_s


def _app_state(number: int) -> AppState:
    return AppState(810, "ab" * 16, 1_790_000_000, ("entry",), True, number % 100, True)


def _membership(size: int, seed: int) -> dict[str, float]:
    fleet = _Fleet(size, seed)
    fleet.run(0.0, SETTLE_S)
    fleet.clear()
    fleet.run(SETTLE_S, SETTLE_S + MEASURED_S)
    vm_seconds = len(fleet.vms) * MEASURED_S
    # Each call has two ends: a VM pays for those that it makes and takes.
    return {
        "calls_per_s": 2 * fleet.calls / vm_seconds,
        "body_bytes_per_s": 2 * fleet.bytes / vm_seconds,
        "core_cpu_s_per_s": fleet.cpu_s / vm_seconds,
        "state_bytes": _state_bytes(size, seed),
    }


def _state_bytes(size: int, seed: int) -> float:
    def settled() -> _Fleet:
        fleet = _Fleet(size, seed)
        fleet.run(0.0, 10.0)
        return fleet

    return held_bytes(settled) / (DATA_CENTRES * size)


MECHANISMS = (Mechanism("membership", "VMs of a data centre", VMS, _membership),)
