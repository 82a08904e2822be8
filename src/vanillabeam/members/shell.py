"""Shell of membership: its timer, its calls to peers and the current view."""

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
from vanillabeam.members.state import MembersSettings, MembersState
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.wire import decode, encode

__all__ = ["Members", "MembershipView", "ViewReply"]

TICKS_PER_PERIOD = 4
HEARTBEAT_PATH = "/peer/members/heartbeat"
PROBE_PATH = "/peer/members/probe"
VIEW_PATH = "/peer/members/view"


class MembershipView(NamedTuple):
    """Current membership as seen by this VM.

    :param version: incremented at each change.
    :param alive: records of the live VMs of this data centre, sorted by name,
        including this VM.
    :param summaries: summaries of the other data centres by name.
    """

    version: int
    data_centre: str
    alive: tuple[Member, ...]
    summaries: dict[str, DataCentreSummary]


class ViewReply(TypedDict):
    """Answer of ``/peer/members/view``: all live VMs of a data centre."""

    data_centre: str
    alive: tuple[Member, ...]


class Members:
    """Runs the membership protocol and provides the current view.

    :param name: this VM's name.
    :param address: ``host:port`` of this VM's listener for peers.
    :param seeds: VMs from the settings.
    :param call: sends a request to another VM.
    :param rng: selects peers.

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
        cfg: MembersSettings | None = None,
    ):
        self._state = MembersState(name, address, data_centre, seeds, rng, cfg)
        self._call = call
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()
        self._state_listeners: list[Callable[[Member], None]] = []

    def routes(self) -> PeerRoutes:
        """Return the handlers for the listener for peers."""
        return {
            HEARTBEAT_PATH: self._handle_heartbeat,
            PROBE_PATH: self._handle_probe,
            VIEW_PATH: self._handle_view,
        }

    def view(self) -> MembershipView:
        """Return the current view."""
        state = self._state
        summaries = state.summaries(trio.current_time())
        version, own = state.view_version, state.own
        return MembershipView(version, own.data_centre, state.alive(), summaries)

    async def view_after(self, version: int) -> MembershipView:
        """Wait until the view is newer than ``version`` and return it."""
        while self._state.view_version <= version:
            await self._changed.wait()
        return self.view()

    def on_state_received(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` with each record that a VM sends about itself.

        :param listener: must not block.
        """
        self._state_listeners.append(listener)

    def update_state(self, **fields: Any) -> None:
        """Change the application state that this VM reports.

        :param fields: new values of :class:`AppState` fields; others are kept.
        """
        self._apply(AppStateChanged(self._state.own.state._replace(**fields)))

    def leave(self) -> None:
        """Announce to the other VMs that this VM leaves as planned."""
        self._apply(Leave())

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._apply(Tick())
                await trio.sleep(self._state.cfg.period_s / TICKS_PER_PERIOD)

    def _apply(self, event: Event) -> Heartbeat | None:
        version = self._state.view_version
        reply = None
        for effect in handle(event, self._state, trio.current_time()):
            if isinstance(effect, Reply):
                reply = effect.message
            else:
                self._perform(effect)
        if self._state.view_version != version:
            changed, self._changed = self._changed, trio.Event()
            changed.set()
        return reply

    def _perform(self, effect: Effect) -> None:
        if isinstance(effect, StateReceived):
            for listener in self._state_listeners:
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
                self._apply(HeartbeatAnswered(message))
            case Failure(exc):
                logger.debug("heartbeat to {} failed: {}", effect.address, exc.type)
                self._apply(HeartbeatFailed(effect.name))

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
            reply = result.bind(lambda data: decode(ProbeReply, data))
            answered = reply.map(lambda answer: answer["answered"]).value_or(False)
        self._apply(ProbeEnded(effect.name, answered))

    async def _handle_heartbeat(self, body: bytes) -> Result[bytes, VanillabeamError]:
        match decode(Heartbeat, body):
            case Success(message):
                reply = self._apply(HeartbeatReceived(message))
                return Success(encode(reply))
            case malformed:
                return malformed

    async def _handle_probe(self, body: bytes) -> Result[bytes, VanillabeamError]:
        match decode(Probe, body):
            case Success(probe):
                state = self._state
                now_s = trio.current_time()
                message = state.message(probe["name"], now_s, is_local=True, join=False)
                result = await self._exchange(probe["address"], message)
                # Compare names, since another VM may now use the address.
                name = result.map(lambda reply: reply["sender"].name)
                answered = name.value_or("") == probe["name"]
                return Success(encode(ProbeReply(answered=answered)))
            case malformed:
                return malformed

    async def _handle_view(self, body: bytes) -> Result[bytes, VanillabeamError]:
        state = self._state
        reply = ViewReply(data_centre=state.own.data_centre, alive=state.alive())
        return Success(encode(reply))
