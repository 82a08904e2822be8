"""Processor time of an entry VM's requests and background, and of a control VM's polls.

The real code runs on an event loop whose thread is measured; callers and targets are
threads beside it. BENCH_PROFILE=FILE writes a profile of it, for ``python -m pstats``.
"""

import cProfile
import os
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger
from returns.result import Success
from starlette.applications import Starlette

from bench.processor_fakes import (
    CONTROL_VMS,
    ENTRY_VMS,
    TARGETS,
    Callers,
    FakeTargets,
    make_document,
    make_entry_load,
    make_settings,
    make_targets,
)
from vanillabeam import logs
from vanillabeam.counters import Counters
from vanillabeam.fleet import Follower
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.loads import LoadScope
from vanillabeam.fleet.polling import ControlVm, Poll, plan_poll, plan_relay
from vanillabeam.fleet.view import FleetView
from vanillabeam.fleet.watch import WATCH_PATH
from vanillabeam.fleetvm import PEER_ANSWER_BYTES, _listener
from vanillabeam.forwarding import ForwardingApp
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.listeners import ListenerTask
from vanillabeam.output import LineWriter
from vanillabeam.peerhttp import PeerClient, peer_routes
from vanillabeam.platform.headers import PlatformDialect
from vanillabeam.readiness import Readiness

__all__ = ["run"]

REQUESTS = 600
WARM_REQUESTS = 100
POLLS = 300
MS = 1000


def _profiled(name: str) -> cProfile.Profile | None:
    wanted = os.environ.get("BENCH_PROFILE", "")
    return cProfile.Profile() if wanted and name in wanted else None


async def _measure(name: str, work: Callable[[], Awaitable[None]]) -> float:
    """Return the milliseconds of processor time of this thread for ``work()``."""
    profile = _profiled(name)
    if profile is not None:
        profile.enable()
    began_s = time.thread_time()
    await work()
    used_s = time.thread_time() - began_s
    if profile is not None:
        profile.disable()
        profile.dump_stats(f"/tmp/processor-{name}.prof")
    return used_s * MS


class _Entry:
    """One entry VM that knows the state of a fleet."""

    def __init__(self, targets, call=None):
        cfg = make_settings("entry-0", entry_address="127.0.0.1:1")
        dialect = PlatformDialect()
        now_s = trio.current_time()
        self.follower = Follower(cfg, call, dialect.read_deployment)
        follower = self.follower
        follower.view = FleetView(3, dialect.read_deployment(make_document()))
        follower.is_current = True
        follower.entry_vms = tuple(f"entry-{n}" for n in range(ENTRY_VMS))
        follower._first_reply_s = now_s - 60
        for target in targets:
            follower.directory.update(target, now_s)
        self.chooser = Chooser(
            cfg.vm,
            cfg.data_centre,
            follower.directory,
            cfg.bounds,
            random.Random(1),
            follower.limits.limits,
        )
        self.app = ForwardingApp(
            dialect,
            follower,
            self.chooser,
            Lifecycle(Readiness(1.0, 1.0), lambda: None),
            Counters(),
            random.Random(1),
            vm=cfg.vm,
        )

    async def refresh(self, targets) -> None:
        """Keep the targets announced and the others' load recent, until cancelled."""
        while True:
            now_s = trio.current_time()
            for target in targets:
                self.follower.directory.refresh(target.name, now_s)
            self.follower.load.update_others(make_entry_load(ENTRY_VMS - 1), now_s)
            await trio.sleep(1.0)


async def _requests(kind: str) -> float:
    """Return the milliseconds for a request of a kind, without background."""
    with FakeTargets() as fake:
        targets = make_targets(fake.port)
        entry = _Entry(targets)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.refresh, targets)
            listener = ListenerTask(
                "entry", entry.app, _listener("127.0.0.1:0", 2**22), 1.0
            )
            await nursery.start(listener.run)
            port = int(listener.address.rpartition(":")[2])
            callers = Callers(port, kind)
            await callers.run(WARM_REQUESTS)
            used_ms = await _measure(kind, lambda: callers.run(REQUESTS))
            nursery.cancel_scope.cancel()
        callers.close()
        return used_ms / REQUESTS


def _make_control(folder: str, number: int) -> FleetControl:
    cfg = make_settings(
        f"control-{number}",
        host=f"127.0.0.{number + 1}",
        control_address=f"127.0.0.{number + 1}:1",
        data_folder=f"{folder}/{number}",
    )
    control = FleetControl(
        cfg, None, random.Random(number), PlatformDialect().read_deployment, None
    )
    now_s = trio.current_time()
    for index, target in enumerate(make_targets(80)):
        control.follower.directory.update(target, now_s)
        if index % CONTROL_VMS == number:
            control.directory.update(target, now_s)
    control.follower.is_current = True
    return control


class _Polls:
    """An entry VM and the control VMs that it polls."""

    def __init__(self, folder: str):
        self.controls = [_make_control(folder, n) for n in range(CONTROL_VMS)]
        self.entry = _Entry(make_targets(80), self._call)
        self.follower = self.entry.follower
        self.watched = [ControlVm(c.cfg.peer_address) for c in self.controls]
        for vm in self.watched:
            self.follower.control_vms[vm.address] = vm
        self._home = self.watched[0].address
        self.bodies: list[bytes] = []
        self.replies: list[bytes] = []
        self._is_recording = True

    async def _call(self, address, path, body):
        number = int(address.split(":")[0].rpartition(".")[2]) - 1
        if not self._is_recording:
            return Success(self.replies[number])
        self.bodies.append(body)
        answer = await self.controls[number]._handle_watch(body)
        self.replies.append(answer.unwrap())
        return answer

    def fill(self) -> None:
        """Let every entry VM report its load to its home."""
        now_s = trio.current_time()
        for number in range(1, ENTRY_VMS):
            home = self.controls[number % CONTROL_VMS]
            request = self._request(f"entry-{number}", number)
            home._load_news.record(request, now_s)
            for other in self.controls:
                if other is not home:
                    other._load_news.loads.update(
                        request["vm"], {"work": {}, "room": {}}, now_s
                    )
        for control in self.controls:
            for other in self.controls:
                if other is not control:
                    load = other._load_news.home_loads.total_except("", now_s)
                    control.follower.relayed.update(other.epoch, load, now_s)

    def _request(self, vm: str, seed: int) -> dict[str, Any]:
        return {
            "vm": vm,
            "sends": True,
            "scope": LoadScope.HOME,
            "load": make_entry_load(1, seed),
        }

    async def poll(self, number: int) -> None:
        """Poll a control VM as the follower does."""
        vm = self.watched[number]
        poll = Poll(LoadScope.HOME if number == 0 else LoadScope.NONE, 0.0)
        self.follower._plan = lambda control_vm: poll
        await self.follower._poll(vm)

    async def apply(self) -> float:
        """Return the milliseconds in which the entry VM makes and applies one poll."""
        self.fill()
        for number in range(CONTROL_VMS):
            await self.poll(number)
        self.replies.clear()
        for number in range(CONTROL_VMS):
            await self.poll(number)
        self._is_recording = False

        async def work() -> None:
            for count in range(POLLS):
                await self.poll(count % CONTROL_VMS)

        return await _measure("apply", work) / POLLS

    async def answer(self) -> float:
        """Return the milliseconds in which a control VM answers one home poll."""
        control, body = self.controls[0], self.bodies[CONTROL_VMS]

        async def work() -> None:
            for _ in range(POLLS):
                await control._handle_watch(body)

        self.fill()
        return await _measure("answer", work) / POLLS

    async def relay(self) -> tuple[float, float]:
        """Return the milliseconds to answer and to apply a poll between control VMs."""
        control, other = self.controls[0], self.controls[1]
        self.fill()
        follower = other.follower
        vm = ControlVm(control.cfg.peer_address)
        bodies, replies = [], []

        async def call(address, path, body):
            bodies.append(body)
            if len(replies) < 2:
                replies.append(await control._handle_watch(body))
            return replies[-1]

        follower._call = call
        follower._plan = lambda control_vm: Poll(LoadScope.NONE, 0.0)
        for _ in range(2):
            await follower._poll(vm)

        async def answer() -> None:
            for _ in range(POLLS):
                await control._handle_watch(bodies[-1])

        async def apply() -> None:
            for _ in range(POLLS):
                await follower._poll(vm)

        answered_ms = await _measure("relay-answer", answer) / POLLS
        return answered_ms, await _measure("relay-apply", apply) / POLLS

    def sizes(self) -> dict[str, int]:
        """Return the bytes of a home poll and of its answer."""
        return {"request": len(self.bodies[CONTROL_VMS]), "reply": len(self.replies[0])}


async def _http() -> float:
    """Return the milliseconds of a call to another VM, both ends together."""
    calls = CONTROL_VMS

    async def handle(body: bytes):
        return Success(body)

    app = Starlette(routes=peer_routes({WATCH_PATH: handle}))
    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(calls):
            listener = ListenerTask("peers", app, _listener("127.0.0.1:0", 2**22), 1.0)
            addresses.append(await nursery.start(listener.run))
        client = PeerClient(None, None, 2.5, 0.4, PEER_ANSWER_BYTES)

        async def work(count: int) -> None:
            for number in range(count):
                await client(addresses[number % calls], WATCH_PATH, b"{}" * 500)

        await work(2 * calls)
        used_ms = await _measure("http", lambda: work(POLLS)) / POLLS
        nursery.cancel_scope.cancel()
    return used_ms


def _cadence() -> dict[str, float]:
    """Return the polls a second of an entry VM, and those that a control VM gets."""
    interval_s = 0.05
    home = plan_poll(ENTRY_VMS, CONTROL_VMS, is_home=True, is_leader=False)
    leader = plan_poll(ENTRY_VMS, CONTROL_VMS, is_home=False, is_leader=True)
    other = plan_poll(ENTRY_VMS, CONTROL_VMS, is_home=False, is_leader=False)
    home_s, leader_s, other_s = (
        1 / (poll.wait_s + interval_s) for poll in (home, leader, other)
    )
    relay_s = 1 / (plan_relay(ENTRY_VMS).wait_s + interval_s)
    return {
        "entry": home_s + leader_s + (CONTROL_VMS - 2) * other_s,
        "control_home": ENTRY_VMS / CONTROL_VMS * home_s,
        "control_other": ENTRY_VMS * (1 - 1 / CONTROL_VMS) * other_s,
        "control_relay": (CONTROL_VMS - 1) * relay_s,
    }


async def _background(folder: str) -> dict[str, float]:
    polls = _Polls(folder)
    apply_ms = await polls.apply()
    answer_ms = await polls.answer()
    sizes = polls.sizes()
    relay_answer_ms, relay_apply_ms = await polls.relay()
    http_ms = await _http()
    rates = _cadence()
    in_s = rates["control_home"] + rates["control_other"]
    return {
        "entry: ms a poll, without HTTP": apply_ms,
        "control: ms an answer, without HTTP": answer_ms,
        "control: ms an answer to a control VM": relay_answer_ms,
        "control: ms a poll of a control VM": relay_apply_ms,
        "ms a call by HTTP, both ends": http_ms,
        "bytes of a home poll": sizes["request"],
        "bytes of its reply": sizes["reply"],
        "entry: polls a second": rates["entry"],
        "entry: background, ms a second": rates["entry"] * (apply_ms + http_ms / 2),
        "control: polls a second": in_s + 2 * rates["control_relay"],
        "control: ms a second": in_s * (answer_ms + http_ms / 2)
        + rates["control_relay"] * (relay_answer_ms + relay_apply_ms + http_ms),
    }


def run(seed: int) -> dict[str, Any]:
    """Measure once; the figures are processor time, in milliseconds."""
    with tempfile.TemporaryDirectory() as folder, open(os.devnull, "wb") as null:
        output = LineWriter(null.fileno())
        settings = {"format": "json", "level": "INFO", "file": None}
        logs.configure(settings, "entry-0", "a", output)
        try:
            plain_ms = trio.run(_requests, "plain")
            stream_ms = trio.run(_requests, "stream")
            background = trio.run(_background, folder)
        finally:
            logger.remove()
    return {
        "targets": TARGETS,
        "entry_vms": ENTRY_VMS,
        "control_vms": CONTROL_VMS,
        "ms a plain request": plain_ms,
        "ms a streamed prompt of 20 events": stream_ms,
        **background,
    }
