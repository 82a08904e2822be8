"""The spread task: one queue of events, files, calls and the config in force."""

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
from vanillabeam.spread.status import FleetStatus, make_status
from vanillabeam.spread.store import CopyStore, Files
from vanillabeam.tickets import ConfigStep, TicketMachine, TicketService
from vanillabeam.wire import decode, encode

__all__ = ["Spread"]

TICK_S = 0.25
CALL_TIMEOUT_S = 2.0
QUEUE_EVENTS = 256
PUSH_PATH = "/peer/spread/push"
STEPS_PATH = "/peer/spread/steps"
PAGE_PATH = "/peer/spread/page"


class Spread:
    """Shell round :class:`SpreadState`: the configuration in force here.

    :param address: ``host:port`` of this VM's peers' listener.
    :param control: addresses of the VMs that have the ticket log.
    :param members: this VM's membership, which carries the digests.
    :param files: where the copy is kept, ``None`` on a VM without a disk.
    :param wall_clock: Unix time in seconds, for ``status`` only.

    >>> spread = Spread(address, control, members, call, rng, files=None)
    >>> await nursery.start(spread.run)
    >>> await spread.wait_ready()
    >>> spread.config().index
    12
    """

    def __init__(
        self,
        address: str,
        control: Iterable[str],
        members: Members,
        call: PeerCall,
        rng: random.Random,
        files: Files | None = None,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._address = address
        self._control = tuple(control)
        self._members = members
        self._call = call
        self._rng = rng
        self._wall_clock = wall_clock
        self._store = None if files is None else CopyStore(files)
        self._machine: TicketMachine | None = None
        self._listeners: list[Callable[[Config], None]] = []
        self._config = Config()
        self._whole = True
        self._changed = trio.Event()
        self._ready = trio.Event()
        self._lookup = WorkspaceLookup(self._in_force, self._whole_copies, self._ask)
        self._state: SpreadState | None = None
        self._nursery: trio.Nursery | None = None
        self._send, self._receive = trio.open_memory_channel[Event](QUEUE_EVENTS)
        members.on_state_received(self._seen)

    def routes(self) -> PeerRoutes:
        """Return the handlers for the peers' listener."""
        return {
            PUSH_PATH: self._pushed,
            STEPS_PATH: self._steps,
            PAGE_PATH: self._page,
            WORKSPACE_PATH: self._workspace,
        }

    def attach(self, ticket_service: TicketService, machine: TicketMachine) -> None:
        """Take new configurations from this control VM's own ticket log."""
        self._machine = machine
        ticket_service.listen(self._log_changed)

    def config(self) -> Config:
        """Return the configuration in force on this VM."""
        return self._config

    @property
    def is_ready(self) -> bool:
        """Whether the configuration is fresh enough to serve by."""
        return self._ready.is_set()

    async def wait_ready(self) -> Config:
        """Wait until the configuration is fresh enough to serve by."""
        await self._ready.wait()
        return self._config

    async def config_after(self, index: int) -> Config:
        """Wait for a configuration above ``index`` and return the newest."""
        while self._config.index <= index:
            await self._changed.wait()
        return self._config

    def listen(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each configuration that comes in force.

        :param listener: such as a shell's ``config_changed``; must not block.
        """
        self._listeners.append(listener)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the configuration fresh until cancelled."""
        stored = await self._load()
        began_s = trio.current_time()
        self._state = SpreadState(
            self._address, self._control, stored, self._rng, began_s
        )
        if stored is not None:
            await self._put_in_force(
                PutInForce(stored.config, stored.hash, stored.whole)
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
            logger.error("copy on disk not used, others are asked: {}", exc.detail)
            return None

    async def _tick(self) -> None:
        while True:
            self._offer_machine()
            self._post(Tick())
            await trio.sleep(TICK_S)

    def _offer_machine(self) -> None:
        machine = self._machine
        behind = machine is not None and machine.config.index > self._config.index
        if behind or (machine is not None and not self.is_ready):
            self._post(CopyOffered(machine.config, machine.hash))

    async def _follow_members(self) -> None:
        while True:
            view = self._members.view()
            self._post(_peers_of(view))
            await self._members.view_after(view.version)
            await trio.sleep(TICK_S)

    def _log_changed(self, step: ConfigStep | None) -> None:
        if step is not None:
            self._post(StepAccepted(step))
        elif self._machine is not None:
            self._post(CopyOffered(self._machine.config, self._machine.hash))

    def _seen(self, member: Member) -> None:
        app = member.state
        self._post(DigestSeen(member.address, app.config_index, app.config_hash))

    def _post(self, event: Event) -> None:
        try:
            self._send.send_nowait(event)
        except trio.WouldBlock:
            # The next heartbeat or tick says it again.
            logger.warning("spread is busy: {} dropped", type(event).__name__)

    async def _handle(self, event: Event) -> None:
        try:
            for effect in handle(event, self._state, trio.current_time()):
                await self._carry_out(effect)
        except InvariantBroken as exc:
            logger.critical("config spread, {}: {}", type(event).__name__, exc.detail)

    async def _carry_out(self, effect: Effect) -> None:
        match effect:
            case PutInForce():
                await self._put_in_force(effect)
            case StoreSteps() | StoreCopy():
                await self._store_effect(effect)
            case Ready():
                self._ready.set()
                self._members.update_state(ready=True)
            case SendPush(address, message):
                self._nursery.start_soon(self._ask, address, PUSH_PATH, message)
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
        self._config, self._whole = config, effect.whole
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        fields: dict[str, Any] = {
            "config_index": config.index,
            "config_hash": effect.hash,
            "full": effect.whole,
        }
        if is_new:
            fields["since"] = int(self._wall_clock())
        self._members.update_state(**fields)
        for listener in self._listeners:
            listener(config)

    async def _store_effect(self, effect: StoreSteps | StoreCopy) -> None:
        if self._store is None:
            return
        store, copy = self._store, self._state.copy
        try:
            if isinstance(effect, StoreCopy):
                await trio.to_thread.run_sync(store.save, *effect)
            else:
                await trio.to_thread.run_sync(store.add, effect.steps)
            if store.wants_copy:
                await trio.to_thread.run_sync(
                    store.save, copy.config, copy.hash, copy.after
                )
        except OSError as exc:
            # In force without a disk's word: a restart asks the others.
            logger.error("copy not stored: {}", exc)

    async def _ask(
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
        result = await self._ask(address, path, message)
        match result.bind(lambda body: decode(kind, body)):
            case Success(reply):
                await self._send.send(event(address, reply))
            case Failure(exc):
                logger.debug("{} at {}: {}", path, address, exc.type)
                await self._send.send(FetchFailed(address))

    async def _pushed(self, body: bytes) -> Result[bytes, VanillabeamError]:
        def post(message: Push) -> bytes:
            self._post(PushReceived(message))
            return encode({})

        return decode(Push, body).map(post)

    async def _steps(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(StepsRequest, body).bind(
            lambda request: self._answer(lambda copy: copy.steps_reply(**request))
        )

    async def _page(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(PageRequest, body).bind(
            lambda request: self._answer(lambda copy: copy.page_reply(request))
        )

    def _answer(
        self, make: Callable[[ConfigCopy], Any]
    ) -> Result[bytes, VanillabeamError]:
        if self._state is None:
            return Failure(NotReady())
        reply = make(self._state.copy)
        return Failure(CopyBehind()) if reply is None else Success(encode(reply))

    async def workspace_of(self, key_digest: str) -> Result[Workspace, Any]:
        """Return the workspace of a caller key, from a peer if need be.

        :param key_digest: hex SHA-256 of the key.
        :returns: the workspace; :class:`Unauthenticated` if no workspace has
            the key; :class:`NotReady` if that can't be known now.
        """
        return await self._lookup.find(key_digest)

    def _in_force(self) -> tuple[Config, bool]:
        return self._config, self._whole

    def _whole_copies(self) -> list[str]:
        near = [m.address for m in self._members.view().alive if m.state.full]
        near = [address for address in near if address != self._address]
        self._rng.shuffle(near)
        return near + [a for a in self._control if a not in near]

    async def _workspace(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return decode(WorkspaceRequest, body).bind(self._lookup.answer)

    async def status(self) -> FleetStatus:
        """Ask one VM of each data centre, and say what could not be asked."""
        view = self._members.view()
        found = list(view.alive)
        unseen = []
        for summary in view.summaries.values():
            members = await self._members_at(summary.contacts)
            found += members
            if not members:
                unseen.append(summary)
        return make_status(tuple(found), unseen)

    async def _members_at(self, contacts: Iterable[tuple[str, str]]) -> list[Member]:
        for _, address in contacts:
            result = await self._ask(address, VIEW_PATH, {})
            match result.bind(lambda body: decode(ViewReply, body)):
                case Success(reply):
                    return list(reply["alive"])
        return []


def _peers_of(view: MembershipView) -> PeersChanged:
    near = tuple(member.address for member in view.alive)
    far = {
        name: tuple(address for _, address in summary.contacts)
        for name, summary in view.summaries.items()
    }
    return PeersChanged(near, far)
