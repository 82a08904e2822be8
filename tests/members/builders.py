"""Simulation of membership cores in virtual time with loss, delay and partitions."""

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from vanillabeam.members import (
    AppState,
    MembersSettings,
    Seed,
    Status,
    core as members_core,
)
from vanillabeam.members.core import (
    AppStateChanged,
    HeartbeatAnswered,
    HeartbeatFailed,
    HeartbeatReceived,
    ProbeEnded,
    Reply,
    SendHeartbeat,
    SendProbe,
    StateReceived,
    Tick,
)
from vanillabeam.members.state import MembersState
from vanillabeam.wire import encode

HTTP_BYTES = 250
TICK_S = 0.25


class Network:
    """Simulated calls between VMs; each message is delayed and may be lost."""

    def __init__(self, seed: int, loss: float = 0.0, delay_s: float = 0.002):
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay_s = delay_s
        self.now_s = 0.0
        self.vms: dict[str, Any] = {}
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.bytes_of: dict[str, int] = {}
        self.counts_bytes = False
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._scheduled, (when_s, self._number, action))

    def run_until(self, end_s: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= end_s:
            self.now_s, _, action = heappop(self._scheduled)
            action()
        self.now_s = end_s

    def _deliver(self, sender: str, receiver: str, message: Any, action) -> None:
        if self.counts_bytes:
            size = len(encode(message)) + HTTP_BYTES
            for end in (sender, receiver):
                self.bytes_of[end] = self.bytes_of.get(end, 0) + size
        if self.rng.random() < self.loss or self.cut(sender, receiver):
            return
        self.at(self.now_s + self.delay_s * self.rng.uniform(0.5, 3), action)

    def call(self, sender, receiver, path, message, timeout_s, done) -> None:
        """Send a call, then ``done(reply)``, or ``done(None)`` after the timeout."""
        open_call = [True]

        def end(reply: Any) -> None:
            if open_call:
                open_call.clear()
                done(reply)

        def arrive() -> None:
            vm = self.vms.get(receiver)
            if vm is not None:
                vm.answer(path, message, answered)

        def answered(reply: Any) -> None:
            self._deliver(receiver, sender, reply, lambda: end(reply))

        self.at(self.now_s + timeout_s, lambda: end(None))
        self._deliver(sender, receiver, message, arrive)


class MemberVm:
    """The membership core of one VM in a :class:`Network`."""

    state_class = MembersState

    def __init__(self, net, name, data_centre, seeds, cfg=None, **app):
        self.net, self.name, self.data_centre = net, name, data_centre
        self.alive = True
        rng = random.Random(net.rng.random())
        self.members = self.state_class(name, name, data_centre, seeds, rng, cfg)
        net.vms[name] = self
        self.feed(AppStateChanged(AppState(roles=("entry",), ready=True, **app)))
        net.at(net.now_s + net.rng.uniform(0, TICK_S), self.tick)

    def stop(self) -> None:
        self.alive = False
        if self.net.vms.get(self.name) is self:
            del self.net.vms[self.name]

    def tick(self) -> None:
        if self.alive:
            self.feed(Tick())
            self.net.at(self.net.now_s + TICK_S, self.tick)

    def feed(self, event: Any) -> Any:
        reply = None
        for effect in members_core.handle(event, self.members, self.net.now_s):
            if isinstance(effect, Reply):
                reply = effect.message
            elif self.alive:
                self.carry_out(effect)
        return reply

    def carry_out(self, effect: Any) -> None:
        timeout_s = self.members.cfg.timeout_s
        match effect:
            case SendHeartbeat(name, address, message):

                def done(answer):
                    failed = HeartbeatFailed(name)
                    self.feed(HeartbeatAnswered(answer) if answer else failed)

                self.call(address, "heartbeat", message, timeout_s, done)
            case SendProbe(via, name, address):

                def probe_answered(answer):
                    self.feed(ProbeEnded(name, bool(answer)))

                self.call(via, "probe", address, 2 * timeout_s, probe_answered)
            case StateReceived(member):
                self.on_state_received(member)

    def call(self, address, path, message, timeout_s, done) -> None:
        def if_alive(answer):
            if self.alive:
                done(answer)

        self.net.call(self.name, address, path, message, timeout_s, if_alive)

    def on_state_received(self, member: Any) -> None:
        pass

    def answer(self, path: str, message: Any, answered: Callable) -> None:
        if path == "heartbeat":
            answered(self.feed(HeartbeatReceived(message)))
        elif path == "probe":
            heartbeat = self.members.message(
                message, self.net.now_s, is_local=True, join=False
            )
            self.call(message, "heartbeat", heartbeat, 0.6, answered)

    def alive_names(self) -> list[str]:
        return [member.name for member in self.members.alive()]

    def status_of(self, name: str) -> Status | None:
        member = self.members.members.get(name)
        return None if member is None else member.status


def make_fleet(net, sizes: dict[str, int], vm_class=MemberVm, **arguments) -> list:
    """Make VMs named ``DATA_CENTRE-NUMBER``; three per data centre are seeds."""
    seeds = make_seeds(sizes)
    return [
        vm_class(net, f"{data_centre}-{number}", data_centre, seeds, **arguments)
        for data_centre, count in sizes.items()
        for number in range(count)
    ]


def make_seeds(sizes: dict[str, int]) -> list[Seed]:
    return [
        Seed(f"{data_centre}-{number}", data_centre)
        for data_centre, count in sizes.items()
        for number in range(min(3, count))
    ]


def make_config(**fields: Any) -> MembersSettings:
    return MembersSettings(**fields)
