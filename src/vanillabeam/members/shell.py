"""The membership task: its timer, its calls and the live view."""

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import PeerSilent, VanillabeamError
from vanillabeam.members.core import (
    AppStateChanged,
    Effect,
    Event,
    HeartbeatAnswered,
    HeartbeatFailed,
    HeartbeatReceived,
    Leave,
    ProbeEnded,
    Reply,
    SendHeartbeat,
    SendProbe,
    StateReceived,
    Tick,
    handle,
)
from vanillabeam.members.records import (
    DataCentreSummary,
    Heartbeat,
    Member,
    Probe,
    ProbeReply,
    Seed,
)
from vanillabeam.members.state import MembersConfig, MembersState
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.wire import decode, encode

__all__ = ["Members", "MembershipView", "ViewReply"]

TICKS_A_PERIOD = 4
HEARTBEAT_PATH = "/peer/members/heartbeat"
PROBE_PATH = "/peer/members/probe"
VIEW_PATH = "/peer/members/view"


class MembershipView(NamedTuple):
    """What this VM knows of the others now.

    :param version: higher after each change.
    :param alive: VMs of this data centre that are not dead, by name, this
        one included.
    :param summaries: the other data centres.
    """

    version: int
    data_centre: str
    alive: tuple[Member, ...]
    summaries: dict[str, DataCentreSummary]


class ViewReply(TypedDict):
    """Answer of ``/peer/members/view``: one data centre in full detail."""

    data_centre: str
    alive: tuple[Member, ...]


class Members:
    """Shell round :class:`MembersState`.

    :param name: this VM's name.
    :param address: ``host:port`` of its peers' listener.
    :param seeds: VMs from the settings.
    :param call: calls another VM.
    :param rng: seeded, picks the peers.

    >>> members = Members("vm-1", "10.0.0.1:7002", "kgl-1", seeds, call, rng)
    >>> await nursery.start(members.run)
    >>> members.update_state(roles=("entry",), ready=True)
    >>> [member.name for member in members.view().alive]
    ['vm-1', 'vm-2']
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        seeds: Iterable[Seed],
        call: PeerCall,
        rng: random.Random,
        cfg: MembersConfig | None = None,
    ):
        self._state = MembersState(name, address, data_centre, seeds, rng, cfg)
        self._call = call
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()
        self._on_seen: list[Callable[[Member], None]] = []

    def routes(self) -> PeerRoutes:
        """Return the handlers for the peers' listener."""
        return {
            HEARTBEAT_PATH: self._heartbeat,
            PROBE_PATH: self._probe,
            VIEW_PATH: self._view,
        }

    def view(self) -> MembershipView:
        """Return what this VM knows now."""
        state = self._state
        summaries = state.summaries(trio.current_time())
        version, own = state.view_version, state.own
        return MembershipView(version, own.data_centre, state.alive(), summaries)

    async def view_after(self, version: int) -> MembershipView:
        """Wait for a view above ``version`` and return the newest."""
        while self._state.view_version <= version:
            await self._changed.wait()
        return self.view()

    def on_state_received(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` with each record that a VM sends of itself.

        :param listener: must not block.
        """
        self._on_seen.append(listener)

    def update_state(self, **fields: Any) -> None:
        """Change what this VM tells of itself.

        :param fields: of :class:`AppState`; the others stay.
        """
        self._feed(AppStateChanged(self._state.own.state._replace(**fields)))

    def leave(self) -> None:
        """Tell the others that this VM stops as planned."""
        self._feed(Leave())

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._feed(Tick())
                await trio.sleep(self._state.cfg.period_s / TICKS_A_PERIOD)

    def _feed(self, event: Event) -> Heartbeat | None:
        version = self._state.view_version
        reply = None
        for effect in handle(event, self._state, trio.current_time()):
            if isinstance(effect, Reply):
                reply = effect.message
            else:
                self._carry_out(effect)
        if self._state.view_version != version:
            changed, self._changed = self._changed, trio.Event()
            changed.set()
        return reply

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StateReceived):
            for listener in self._on_seen:
                listener(effect.member)
        elif self._nursery is None:
            return
        elif isinstance(effect, SendHeartbeat):
            self._nursery.start_soon(self._send_heartbeat, effect)
        elif isinstance(effect, SendProbe):
            self._nursery.start_soon(self._send_probe, effect)

    async def _send_heartbeat(self, effect: SendHeartbeat) -> None:
        match await self._exchange(effect.address, effect.message):
            case Success(message):
                self._feed(HeartbeatAnswered(message))
            case Failure(exc):
                logger.debug("heartbeat to {}: {}", effect.address, exc.type)
                self._feed(HeartbeatFailed(effect.name))

    async def _exchange(
        self, address: str, message: Heartbeat
    ) -> Result[Heartbeat, VanillabeamError]:
        with trio.move_on_after(self._state.cfg.timeout_s):
            result = await self._call(address, HEARTBEAT_PATH, encode(message))
            return result.bind(lambda body: decode(Heartbeat, body))
        return Failure(PeerSilent(address))

    async def _send_probe(self, effect: SendProbe) -> None:
        body = encode(Probe(name=effect.name, address=effect.address))
        answered = False
        with trio.move_on_after(2 * self._state.cfg.timeout_s):
            result = await self._call(effect.via, PROBE_PATH, body)
            reply = result.bind(lambda found: decode(ProbeReply, found))
            answered = reply.map(lambda found: found["answered"]).value_or(False)
        self._feed(ProbeEnded(effect.name, answered))

    async def _heartbeat(self, body: bytes) -> Result[bytes, VanillabeamError]:
        match decode(Heartbeat, body):
            case Success(message):
                reply = self._feed(HeartbeatReceived(message))
                return Success(encode(reply))
            case malformed:
                return malformed

    async def _probe(self, body: bytes) -> Result[bytes, VanillabeamError]:
        match decode(Probe, body):
            case Success(probe):
                state = self._state
                now_s = trio.current_time()
                message = state.message(probe["name"], now_s, is_local=True, join=False)
                result = await self._exchange(probe["address"], message)
                # Its name counts: another VM may have taken the address.
                named = result.map(lambda found: found["sender"].name)
                answered = named.value_or("") == probe["name"]
                return Success(encode(ProbeReply(answered=answered)))
            case malformed:
                return malformed

    async def _view(self, body: bytes) -> Result[bytes, VanillabeamError]:
        state = self._state
        reply = ViewReply(data_centre=state.own.data_centre, alive=state.alive())
        return Success(encode(reply))
