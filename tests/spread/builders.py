"""Membership and spread cores of many VMs on virtual time, with a ticket log."""

import random
from typing import Any

from tests.members.builders import MemberVm, Network, make_fleet
from tests.tickets.builders import make_body
from vanillabeam.members.core import AppStateChanged
from vanillabeam.spread import core as spread_core
from vanillabeam.spread.copy import ConfigCopy
from vanillabeam.spread.core import SpreadState
from vanillabeam.spread.events import (
    CopyOffered,
    DigestSeen,
    FetchFailed,
    FetchPage,
    FetchSteps,
    PageFetched,
    PeersChanged,
    PushReceived,
    PutInForce,
    Ready,
    SendPush,
    StepAccepted,
    StepsFetched,
    StoreCopy,
    StoreSteps,
    Tick,
)
from vanillabeam.spread.store import CopyStore
from vanillabeam.tickets import TicketMachine

CALL_TIMEOUT_S = 2.0


class MemoryFiles:
    """Files in memory that survive the restart of a VM."""

    def __init__(self):
        self.files: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        return self.files.get(name)

    def replace(self, name: str, content: bytes) -> None:
        self.files[name] = content

    def append(self, name: str, content: bytes) -> None:
        self.files[name] = self.files.get(name, b"") + content


class SpreadVm(MemberVm):
    """A VM with both cores that records when each index came into force."""

    spread_class = SpreadState

    def __init__(
        self, net, name, data_centre, seeds, control=(), disks=None, log=None, **app
    ):
        self.spread = None
        super().__init__(net, name, data_centre, seeds, **app)
        self.control = name in control
        self.log = log
        self.machine = TicketMachine(on_change=None)
        self.in_force: list[tuple[float, int]] = []
        self.ready_s: float | None = None
        files = (disks or {}).get(name)
        self.store = None if files is None else CopyStore(files)
        stored = self.store.load() if self.store else None
        rng = random.Random(net.rng.random())
        self.spread = self.spread_class(name, control, stored, rng, net.now_s)
        self.peers_version = -1

    def tick(self) -> None:
        if self.alive and self.spread is not None:
            if self.control:
                self.follow_log()
            if self.members.view_version != self.peers_version:
                self.peers_version = self.members.view_version
                summaries = self.members.summaries(self.net.now_s)
                remote_peers = {
                    p: tuple(a for _, a in s.contacts) for p, s in summaries.items()
                }
                local_peers = tuple(member.address for member in self.members.alive())
                self.feed_spread(PeersChanged(local_peers, remote_peers))
            self.feed_spread(Tick())
        super().tick()

    def follow_log(self) -> None:
        """Apply the entries of the shared log that this control VM can see."""
        self.machine.on_change = lambda step: self.feed_spread(StepAccepted(step))
        for index, body in self.log.visible_to(self.name):
            if index > self.machine.config.index:
                self.machine.apply(index, body)
        if self.ready_s is None:
            self.feed_spread(CopyOffered(self.machine.config, self.machine.hash))

    def on_state_received(self, member: Any) -> None:
        if self.spread is not None:
            app = member.state
            digest = DigestSeen(member.address, app.config_index, app.config_hash)
            self.feed_spread(digest)

    def feed_spread(self, event: Any) -> None:
        for effect in spread_core.handle(event, self.spread, self.net.now_s):
            self.execute_spread(effect)

    def execute_spread(self, effect: Any) -> None:
        match effect:
            case PutInForce(config, hash, is_complete):
                self.in_force.append((self.net.now_s, config.index))
                app = self.members.own.state
                fields = {"config_index": config.index, "config_hash": hash}
                self.feed(AppStateChanged(app._replace(full=is_complete, **fields)))
            case Ready():
                self.ready_s = self.net.now_s
            case StoreCopy(config, hash, cursor) if self.store:
                self.store.save(config, hash, cursor)
            case StoreSteps(steps) if self.store:
                self.store.add(steps)
            case SendPush(address, message):
                self.call(address, "push", message, CALL_TIMEOUT_S, lambda _: None)
            case FetchSteps(address, message):
                self.fetch(address, "steps", message, StepsFetched)
            case FetchPage(address, message):
                self.fetch(address, "page", message, PageFetched)

    def fetch(self, address, path, message, event) -> None:
        def on_reply(reply):
            self.feed_spread(event(address, reply) if reply else FetchFailed(address))

        self.call(address, path, message, CALL_TIMEOUT_S, on_reply)

    def answer(self, path, message, answered) -> None:
        match path:
            case "push":
                answered({})
                self.feed_spread(PushReceived(message))
            case "steps":
                answered(self.spread.copy.steps_reply(**message))
            case "page":
                answered(self.spread.copy.page_reply(message))
            case _:
                super().answer(path, message, answered)


class SharedLog:
    """Ticket log of the control VMs; an isolated one sees no new entries."""

    def __init__(self):
        self.entries: list[tuple[int, str]] = []
        self.cut_off: dict[str, int] = {}

    def accept(self, body: bytes) -> int:
        index = len(self.entries) + 1
        self.entries.append((index, body.decode()))
        return index

    def visible_to(self, name: str) -> list[tuple[int, str]]:
        return self.entries[: self.cut_off.get(name, len(self.entries))]


def make_spread_fleet(net: Network, sizes, control, disks=None, vm_class=SpreadVm):
    log = SharedLog()
    arguments = {"control": control, "disks": disks or {}, "log": log}
    return make_fleet(net, sizes, vm_class, **arguments), log


def make_model_body(number: int) -> bytes:
    return make_body(number, models={f"m{number % 7}": {"version": str(number)}})


def make_copy(tickets: int) -> ConfigCopy:
    machine, copy = TicketMachine(), ConfigCopy()
    machine.on_change = copy.apply
    for number in range(1, tickets + 1):
        machine.apply(number, make_model_body(number).decode())
    return copy
