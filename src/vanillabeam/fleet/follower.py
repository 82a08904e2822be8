"""How an entry VM learns of the fleet: it watches every control VM it knows."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.decisions import (
    ControlForgotten,
    ControlHeard,
    StateInForce,
    TargetSilent,
    note,
)
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.loads import EntryLoad, make_load
from vanillabeam.fleet.parts import PartView
from vanillabeam.fleet.records import Deployment, FleetSettings
from vanillabeam.fleet.targetlog import log_target
from vanillabeam.fleet.watch import WATCH_PATH, WatchReply, WatchRequest
from vanillabeam.peercall import PeerCall

__all__ = ["Follower", "FleetView"]

#: How long an answer may wait for news: short, as it also carries the work
#: of others, and longer where so many ask that a control VM would be busy.
MIN_WAIT_S = 0.2
MAX_REQUESTS_PER_S = 150.0
MAX_WAIT_S = 0.6
REPLY_TIMEOUT_S = 2.5
RETRY_S = 0.25
#: News comes no more often than this, in one answer.
MIN_INTERVAL_S = 0.05
#: A control VM that has not answered for so long is asked no more, unless it
#: is a seed or named by another.
CONTROL_EXPIRY_S = 30.0
#: Control VMs that one entry VM watches at most.
MAX_WATCHED = 8
#: Without any answer for so long, silence of targets says nothing.
CONTROL_SILENCE_S = 2.0
#: Announcement periods after which every live target has been heard.
DISCOVERY_HEARTBEATS = 1.3
#: Weight versions of a model whose time is remembered.
MAX_VERSIONS_KEPT = 16
#: A target counts as paused for so long after the leader last said so.
PAUSE_S = 1.0
#: Fetched parts that are told, the latest ones.
MAX_FETCHES_KEPT = 32


class FleetView(NamedTuple):
    """The settled state as this VM has it in force.

    :param index: of the fleet state; 0 while nothing is known.
    :param weights: newest version of each model.
    :param version_times: versions of each model with the monotonic time at which
        each was named, the newest last.
    """

    index: int = 0
    deployment: Deployment = Deployment()
    evacuated: frozenset[str] = frozenset()
    weights: dict[str, int] = {}
    version_times: dict[str, tuple[tuple[int, float], ...]] = {}

    @property
    def is_known(self) -> bool:
        """Whether a deployment is in force."""
        return self.deployment.number > 0

    def version_named_before(self, model: str, before_s: float) -> int:
        """Return the newest version that was named before ``before_s``."""
        versions = self.version_times.get(model, ())
        return max((each for each, at in versions if at <= before_s), default=0)


class _ControlVm:
    """What has been heard from one control VM."""

    def __init__(self, address: str):
        self.address = address
        self.epoch = ""
        self.version = 0
        self.last_seen_s = float("-inf")
        self.named_s = float("-inf")


class LoadView(Protocol):
    """What an entry VM has open at targets, and what the others have."""

    def own(self) -> EntryLoad:
        """Return what this VM has open."""

    def update_others(self, load: EntryLoad) -> None:
        """Take what all other entry VMs have open."""


class _NoLoad:
    """Of a VM that sends nothing to targets."""

    def own(self) -> EntryLoad:
        return make_load()

    def update_others(self, load: EntryLoad) -> None:
        pass


class Follower:
    """Keeps the newest state and the directory of targets of one entry VM.

    :ivar load: tells what this VM has open at targets, and is told of others.
    :param call: reaches the control VMs.
    :param read: turns an operator's document into a deployment.

    >>> follower = Follower(cfg, call, dialect.read_deployment)
    >>> nursery.start_soon(follower.run)
    >>> follower.view.deployment.number
    7
    """

    def __init__(
        self,
        cfg: FleetSettings,
        call: PeerCall,
        read: Callable[[str], Deployment],
    ):
        self.view = FleetView()
        self.directory = Directory()
        self.parts = PartView()
        self.entry_vms: tuple[str, ...] = (cfg.vm,)
        self.load: LoadView = _NoLoad()
        self._cfg = cfg
        self._call = call
        self._read = read
        self._control_vms: dict[str, _ControlVm] = {}
        self._seeds = cfg.seed_addresses
        self._named: set[str] = set()
        self._fetched: dict[tuple[str, str], float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._started_s = 0.0
        self._first_reply_s: float | None = None
        self._known = trio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether a deployment is in force that no wide majority outdates."""
        if not self.view.is_known:
            return False
        heard = [each for each in self._control_vms.values() if each.epoch]
        waited = trio.current_time() - self._started_s > REPLY_TIMEOUT_S
        return waited or len(heard) > len(self._control_vms) // 2

    def is_discovering(self, now_s: float) -> bool:
        """Return whether targets may still be there that nobody has told of.

        After a restart of all VMs, targets are known once they have announced
        themselves again.
        """
        if self._first_reply_s is None:
            return True
        period_s = DISCOVERY_HEARTBEATS * self._cfg.bounds.heartbeat_s
        return now_s - self._first_reply_s < period_s

    def deployment_number(self) -> int:
        """Return the number of the deployment in force."""
        return self.view.deployment.number

    def target_count(self) -> int:
        """Return how many targets are known."""
        return len(self.directory.records)

    def age_s(self) -> float:
        """Return how long ago a control VM was heard."""
        heard = [each.last_seen_s for each in self._control_vms.values()]
        return trio.current_time() - max(heard, default=self._started_s)

    async def wait_for_deployment(self) -> None:
        """Return once a deployment is in force."""
        await self._known.wait()

    async def wait_ready(self) -> None:
        """Return once :attr:`is_ready` holds."""
        while True:
            if self.is_ready:
                return
            await trio.sleep(MIN_INTERVAL_S)

    def update_seeds(self, cfg: FleetSettings) -> None:
        """Take the seeds that the settings name now."""
        self._seeds = cfg.seed_addresses

    async def run(self) -> None:
        """Watch until cancelled."""
        self._started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                for address in self._addresses_to_add():
                    if address not in self._control_vms:
                        self._control_vms[address] = _ControlVm(address)
                        nursery.start_soon(self._follow, address)
                self._drop_silent_targets()
                await trio.sleep(RETRY_S)

    def _addresses_to_add(self) -> list[str]:
        room = max(0, MAX_WATCHED - len(self._control_vms))
        seeds = [seed for seed in self._seeds if seed not in self._control_vms]
        named = self._named - set(self._seeds) - set(self._control_vms)
        self._named.clear()
        return [*seeds, *sorted(named)[:room]]

    async def _follow(self, address: str) -> None:
        source = self._control_vms[address]
        source.named_s = trio.current_time()
        while not self._is_forgotten(address, source):
            asked_s = trio.current_time()
            reply = await self._ask(address, source)
            if reply is None:
                await trio.sleep(RETRY_S)
                continue
            self._take(reply, source)
            self.load.update_others(reply["others"])
            if "parts" in reply:
                self.parts.apply(reply["parts"], asked_s, trio.current_time())
            await trio.sleep(MIN_INTERVAL_S)
        del self._control_vms[address]
        note(ControlForgotten(address))

    def _is_forgotten(self, address: str, source: _ControlVm) -> bool:
        last_s = max(source.last_seen_s, source.named_s)
        silent = trio.current_time() - last_s > CONTROL_EXPIRY_S
        return silent and address not in self._seeds

    async def _ask(self, address: str, source: _ControlVm) -> WatchReply | None:
        request = WatchRequest(
            vm=self._cfg.vm,
            sends=bool(self._cfg.entry_address),
            epoch=source.epoch,
            version=source.version,
            index=self.view.index,
            wait_s=self._wait_s(),
            parts=self.parts.request(),
            load=self.load.own(),
            fetched=self._recent_fetches(),
        )
        with trio.move_on_after(REPLY_TIMEOUT_S):
            answer = await self._call(address, WATCH_PATH, wire.encode(request))
            if isinstance(answer, Failure):
                return None
            return wire.decode(WatchReply, answer.unwrap()).value_or(None)
        return None

    def _wait_s(self) -> float:
        if not self._cfg.entry_address:
            return MAX_WAIT_S
        fair_s = len(self.entry_vms) / MAX_REQUESTS_PER_S
        return min(max(MIN_WAIT_S, fair_s), MAX_WAIT_S)

    def _take(self, reply: WatchReply, source: _ControlVm) -> None:
        now_s = trio.current_time()
        if source.epoch != reply["epoch"]:
            note(ControlHeard(source.address, reply["epoch"], reply["index"]))
        source.epoch, source.version = reply["epoch"], reply["version"]
        source.last_seen_s = now_s
        if self._first_reply_s is None:
            self._first_reply_s = now_s
        if "state" in reply:
            self._take_state(reply)
        self._take_targets(reply, now_s)
        self._take_names(reply, now_s)

    def _take_state(self, reply: WatchReply) -> None:
        view, state = self.view, reply["state"]
        if state["index"] <= view.index:
            return
        deployment = view.deployment
        if state["number"] > deployment.number:
            deployment = self._read(state["document"])
        self.view = FleetView(
            state["index"],
            deployment,
            frozenset(state["evacuated"]),
            state["weights"],
            _named(view, reply, trio.current_time()),
        )
        if self.view.is_known:
            self._known.set()
        note(
            StateInForce(
                state["index"],
                deployment.number,
                state["evacuated"],
                state["weights"],
            )
        )

    def _take_targets(self, reply: WatchReply, now_s: float) -> None:
        for incarnation in reply["ended"]:
            self.directory.mark_ended(tuple(incarnation))
        for seen in reply["targets"]:
            target = seen["target"]
            if self.directory.update(target, now_s - seen["age_s"]):
                log_target(target, seen["age_s"])
        for name, age_s in reply["ages_s"].items():
            self.directory.refresh(name, now_s - age_s)
        for name, born_ms, model, version in reply.get("seen", ()):
            self.directory.update_weight_version((name, born_ms), model, version)
        for name in reply.get("paused", ()):
            self._paused_until_s[name] = now_s + PAUSE_S

    def mark_fetched(self, salt: str, part: str) -> None:
        """Note that a kept part is of use now."""
        self._fetched.pop((salt, part), None)
        self._fetched[(salt, part)] = trio.current_time()
        if len(self._fetched) > MAX_FETCHES_KEPT:
            del self._fetched[next(iter(self._fetched))]

    def _recent_fetches(self) -> list[tuple[str, str, float]]:
        now_s = trio.current_time()
        return [(*key, round(now_s - at_s, 3)) for key, at_s in self._fetched.items()]

    def is_paused(self, target: str, now_s: float) -> bool:
        """Return whether a target is about to load weights."""
        return now_s < self._paused_until_s.get(target, 0.0)

    def _take_names(self, reply: WatchReply, now_s: float) -> None:
        if reply["entries"]:
            self.entry_vms = tuple(sorted({*reply["entries"], self._cfg.vm}))
        for address in reply["control"]:
            if address in self._control_vms:
                self._control_vms[address].named_s = now_s
            else:
                self._named.add(address)

    def _drop_silent_targets(self) -> None:
        """Drop targets that no control VM has heard, unless none is heard."""
        now_s = trio.current_time()
        if all(
            now_s - each.last_seen_s > CONTROL_SILENCE_S
            for each in self._control_vms.values()
        ):
            return
        limit_s = now_s - self._cfg.bounds.silence_s
        for incarnation in self.directory.silent_since(limit_s):
            note(TargetSilent(*incarnation))
            self.directory.forget(incarnation[0])


def _named(
    view: FleetView, reply: WatchReply, now_s: float
) -> dict[str, tuple[tuple[int, float], ...]]:
    """Return when each weight version was named: the earliest that is known."""
    found: dict[str, dict[int, float]] = {
        model: dict(versions) for model, versions in view.version_times.items()
    }
    for model, versions in reply.get("named", {}).items():
        for version, age_s in versions:
            times = found.setdefault(model, {})
            times[version] = min(times.get(version, now_s), now_s - age_s)
    return {
        model: tuple(sorted(times.items())[-MAX_VERSIONS_KEPT:])
        for model, times in found.items()
    }
