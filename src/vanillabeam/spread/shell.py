"""Shell of config dissemination: event queue, disk, peer calls, config in force."""

import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import (
    InvariantBroken,
    NotReady,
    VanillabeamError,
)
from vanillabeam.members import Member, Members, MembershipView, ViewReply
from vanillabeam.members.shell import VIEW_PATH
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.spread.copy import ConfigCopy
from vanillabeam.spread.core import SpreadState, handle
from vanillabeam.spread.events import (
    CopyOffered,
    DigestSeen,
    Effect,
    Event,
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
from vanillabeam.spread.exceptions import CopyBehind, StoreDamaged
from vanillabeam.spread.lookup import WORKSPACE_PATH, WorkspaceLookup
from vanillabeam.spread.messages import (
    PageReply,
    PageRequest,
    Push,
    StepsReply,
    StepsRequest,
    WorkspaceRequest,
)
from vanillabeam.spread.status import FleetStatus, make_fleet_status
from vanillabeam.spread.store import CopyStore, Files
from vanillabeam.tickets import ConfigStep, TicketMachine, TicketService
from vanillabeam.wire import decode, encode

__all__ = ["Spread"]

TICK_S = 0.25
CALL_TIMEOUT_S = 2.0
#: Events beyond this are dropped and logged.
MAX_QUEUED_EVENTS = 256
PUSH_PATH = "/peer/spread/push"
STEPS_PATH = "/peer/spread/steps"
PAGE_PATH = "/peer/spread/page"


class Spread:
    """Keeps the newest configuration in force on this VM.

    Runs the core of :class:`SpreadState` on one queue of events.

    :param address: ``host:port`` of this VM's listener for peers.
    :param control_addresses: addresses of the VMs that have the ticket log.
    :param members: this VM's membership; its heartbeats carry the digests.
    :param call: calls a peer.
    :param rng: chooses peers.
    :param files: storage of the copy; ``None`` on a VM without a disk.
    :param wall_clock: returns Unix time in seconds; used for ``status`` only.

    >>> spread = Spread(address, control, members, call, rng, files=None)
    >>> await nursery.start(spread.run)
    >>> await spread.wait_ready()
    >>> spread.config().index
    12
    """

    def __init__(
        self,
        address: str,
        control_addresses: Iterable[str],
        members: Members,
        call: PeerCall,
        rng: random.Random,
        files: Files | None = None,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._address = address
        self._control_addresses = tuple(control_addresses)
        self._members = members
        self._call = call
        self._rng = rng
        self._wall_clock = wall_clock
        self._store = None if files is None else CopyStore(files)
        self._machine: TicketMachine | None = None
        self._listeners: list[Callable[[Config], None]] = []
        self._config = Config()
        self._is_complete = True
        self._changed = trio.Event()
        self._ready = trio.Event()
        self._lookup = WorkspaceLookup(
            self._in_force, self._complete_peers, self._call_peer
        )
        self._state: SpreadState | None = None
        self._nursery: trio.Nursery | None = None
        self._send, self._receive = trio.open_memory_channel[Event](MAX_QUEUED_EVENTS)
        members.on_state_received(self._on_member_seen)

    def routes(self) -> PeerRoutes:
        """Return the handlers of the listener for peers."""
        return {
            PUSH_PATH: self._on_push,
            STEPS_PATH: self._on_steps,
            PAGE_PATH: self._on_page,
            WORKSPACE_PATH: self._on_workspace,
        }

    def attach_ticket_log(self, service: TicketService, machine: TicketMachine) -> None:
        """Put tickets of this control VM's own ticket log into force."""
        self._machine = machine
        service.listen(self._on_ticket_log_changed)

    def config(self) -> Config:
        """Return the configuration in force on this VM."""
        return self._config

    @property
    def is_ready(self) -> bool:
        """Whether the configuration is recent enough to serve."""
        return self._ready.is_set()

    async def wait_ready(self) -> Config:
        """Wait until the configuration is recent enough to serve, and return it."""
        await self._ready.wait()
        return self._config

    async def config_after(self, index: int) -> Config:
        """Wait for a configuration newer than ``index`` and return the newest."""
        while self._config.index <= index:
            await self._changed.wait()
        return self._config

    def add_listener(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each configuration that comes into force.

        :param listener: for instance ``config_changed`` of a shell; must not block.
        """
        self._listeners.append(listener)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the configuration up to date until cancelled."""
        stored = await self._load()
        started_s = trio.current_time()
        self._state = SpreadState(
            self._address, self._control_addresses, stored, self._rng, started_s
        )
        if stored is not None:
            await self._put_in_force(
                PutInForce(stored.config, stored.hash, stored.is_complete)
            )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._tick)
            nursery.start_soon(self._follow_members)
            task_status.started()
            async for event in self._receive:
                await self._handle(event)

    async def _load(self) -> ConfigCopy | None:
        if self._store is None:
            return None
        try:
            return await trio.to_thread.run_sync(self._store.load)
        except StoreDamaged as exc:
            logger.error(
                "stored copy is damaged, fetching from peers instead: {}", exc.detail
            )
            return None

    async def _tick(self) -> None:
        while True:
            self._offer_ticket_copy()
            self._enqueue(Tick())
            await trio.sleep(TICK_S)

    def _offer_ticket_copy(self) -> None:
        machine = self._machine
        behind = machine is not None and machine.config.index > self._config.index
        if behind or (machine is not None and not self.is_ready):
            self._enqueue(CopyOffered(machine.config, machine.hash))

    async def _follow_members(self) -> None:
        while True:
            view = self._members.view()
            self._enqueue(_make_peers_changed(view))
            await self._members.view_after(view.version)
            await trio.sleep(TICK_S)

    def _on_ticket_log_changed(self, step: ConfigStep | None) -> None:
        if step is not None:
            self._enqueue(StepAccepted(step))
        elif self._machine is not None:
            self._enqueue(CopyOffered(self._machine.config, self._machine.hash))

    def _on_member_seen(self, member: Member) -> None:
        app = member.state
        self._enqueue(DigestSeen(member.address, app.config_index, app.config_hash))

    def _enqueue(self, event: Event) -> None:
        try:
            self._send.send_nowait(event)
        except trio.WouldBlock:
            # A later heartbeat or tick carries the same state.
            logger.warning(
                "event queue of config spread is full: {} dropped", type(event).__name__
            )

    async def _handle(self, event: Event) -> None:
        try:
            for effect in handle(event, self._state, trio.current_time()):
                await self._execute(effect)
        except InvariantBroken as exc:
            logger.critical(
                "invariant of config spread broken by {}: {}",
                type(event).__name__,
                exc.detail,
            )

    async def _execute(self, effect: Effect) -> None:
        match effect:
            case PutInForce():
                await self._put_in_force(effect)
            case StoreSteps() | StoreCopy():
                await self._persist(effect)
            case Ready():
                self._ready.set()
                self._members.update_state(ready=True)
            case SendPush(address, message):
                self._nursery.start_soon(self._call_peer, address, PUSH_PATH, message)
            case FetchSteps(address, message):
                self._nursery.start_soon(
                    self._fetch, address, STEPS_PATH, message, StepsReply, StepsFetched
                )
            case FetchPage(address, message):
                self._nursery.start_soon(
                    self._fetch, address, PAGE_PATH, message, PageReply, PageFetched
                )

    async def _put_in_force(self, effect: PutInForce) -> None:
        config = effect.config
        if config.index < self._config.index:
            raise InvariantBroken(f"index {config.index} after {self._config.index}")
        is_new = config.index > self._config.index
        self._config, self._is_complete = config, effect.is_complete
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        fields: dict[str, Any] = {
            "config_index": config.index,
            "config_hash": effect.hash,
            "full": effect.is_complete,
        }
        if is_new:
            fields["since"] = int(self._wall_clock())
        self._members.update_state(**fields)
        for listener in self._listeners:
            listener(config)

    async def _persist(self, effect: StoreSteps | StoreCopy) -> None:
        if self._store is None:
            return
        store, copy = self._store, self._state.copy
        try:
            if isinstance(effect, StoreCopy):
                await trio.to_thread.run_sync(store.save, *effect)
            else:
                await trio.to_thread.run_sync(store.add, effect.steps)
            if store.needs_compaction:
                await trio.to_thread.run_sync(
                    store.save, copy.config, copy.hash, copy.cursor
                )
        except OSError as exc:
            # The configuration is in force all the same; after a restart the VM fetches
            # it from its peers.
            logger.error("configuration not written to disk: {}", exc)

    async def _call_peer(
        self, address: str, path: str, message: Any
    ) -> Result[bytes, VanillabeamError]:
        with trio.move_on_after(CALL_TIMEOUT_S):
            return await self._call(address, path, encode(message))
        return Failure(CopyBehind(f"{address} is silent"))

    async def _fetch(
        self,
        address: str,
        path: str,
        message: Any,
        kind: type,
        event: Callable[[str, Any], Event],
    ) -> None:
        result = await self._call_peer(address, path, message)
        match result.bind(lambda body: decode(kind, body)):
            case Success(reply):
                await self._send.send(event(address, reply))
            case Failure(exc):
                logger.debug("request to {} at {} failed: {}", path, address, exc.type)
                await self._send.send(FetchFailed(address))

    async def _on_push(self, body: bytes) -> Result[bytes, VanillabeamError]:
        def enqueue(message: Push) -> bytes:
            self._enqueue(PushReceived(message))
            return encode({})

        return decode(Push, body).map(enqueue)

    async def _on_steps(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(StepsRequest, body).bind(
            lambda request: self._answer_from_copy(
                lambda copy: copy.steps_reply(**request)
            )
        )

    async def _on_page(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(PageRequest, body).bind(
            lambda request: self._answer_from_copy(
                lambda copy: copy.page_reply(request)
            )
        )

    def _answer_from_copy(
        self, make: Callable[[ConfigCopy], Any]
    ) -> Result[bytes, VanillabeamError]:
        if self._state is None:
            return Failure(NotReady())
        reply = make(self._state.copy)
        return Failure(CopyBehind()) if reply is None else Success(encode(reply))

    async def workspace_of(self, key_digest: str) -> Result[Workspace, Any]:
        """Return the workspace of a caller key, from a peer if necessary.

        :param key_digest: hex SHA-256 of the key.
        :returns: the workspace; :class:`Unauthenticated` if no workspace has the
            key; :class:`NotReady` if no peer with a complete copy answers.
        """
        return await self._lookup.find(key_digest)

    def _in_force(self) -> tuple[Config, bool]:
        return self._config, self._is_complete

    def _complete_peers(self) -> list[str]:
        peers = [m.address for m in self._members.view().alive if m.state.full]
        peers = [address for address in peers if address != self._address]
        self._rng.shuffle(peers)
        return peers + [a for a in self._control_addresses if a not in peers]

    async def _on_workspace(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(WorkspaceRequest, body).bind(self._lookup.answer)

    async def status(self) -> FleetStatus:
        """Return the status of all VMs, from one VM of each other data centre."""
        view = self._members.view()
        members = list(view.alive)
        unreachable = []
        for summary in view.summaries.values():
            remote = await self._fetch_members(summary.contacts)
            members += remote
            if not remote:
                unreachable.append(summary)
        return make_fleet_status(tuple(members), unreachable)

    async def _fetch_members(self, contacts: Iterable[tuple[str, str]]) -> list[Member]:
        for _, address in contacts:
            result = await self._call_peer(address, VIEW_PATH, {})
            match result.bind(lambda body: decode(ViewReply, body)):
                case Success(reply):
                    return list(reply["alive"])
        return []


def _make_peers_changed(view: MembershipView) -> PeersChanged:
    local_peers = tuple(member.address for member in view.alive)
    remote_peers = {
        name: tuple(address for _, address in summary.contacts)
        for name, summary in view.summaries.items()
    }
    return PeersChanged(local_peers, remote_peers)
