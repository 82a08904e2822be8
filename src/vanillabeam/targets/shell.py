"""The shell: permits for this entry's requests, ownership of its targets."""

import random
from collections.abc import Iterable, Mapping
from typing import Any, TypedDict

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.config import Config
from vanillabeam.exceptions import NotReady, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.routing.records import RouteRequest
from vanillabeam.routing.router import Router
from vanillabeam.routing.weights import CostWeights
from vanillabeam.targets import messages
from vanillabeam.targets.acquire import Acquirer
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.desk import OwnerDesk
from vanillabeam.targets.events import (
    Announced,
    AskHandover,
    AskSummary,
    BlocksChanged,
    ConfigChanged,
    Effect,
    Event,
    HandoverFailed,
    HandoverReceived,
    LoadReported,
    MembersChanged,
    SendHandover,
    Stopping,
    Tick,
    Withdrawn,
)
from vanillabeam.targets.exceptions import PermitUnknown
from vanillabeam.targets.holdings import Held, Holdings
from vanillabeam.targets.outbox import Outbox
from vanillabeam.targets.owner import Owner
from vanillabeam.targets.records import Ask, Entry, Outcome, OutcomeKind, Permit
from vanillabeam.targets.server import OwnerServer
from vanillabeam.targets.settings import TargetsSettings
from vanillabeam.targets.summaries import Summaries
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = ["AnnounceReply", "Targets"]

WITHDRAW_TRIES = 2


class AnnounceReply(TypedDict):
    """Answer to ``POST /target/announce``.

    :param owner: ``host:port`` of the targets' listener to announce to next.
    """

    owner: str


class Targets:
    """Everything that an entry has to do with targets.

    :param vm: this VM's name.
    :param call: reaches other entries.
    :param rng: seeded source of all random choices.
    :param address: this VM's peers' listener, ``host:port``.
    :param targets_address: its targets' listener.
    :param weights: prices of the deployment.
    :param first_epoch: larger at each start of the VM, such as the wall
        clock's seconds.
    :param target_call: reaches targets, to ask for summaries of their caches.

    Usage::

        targets = Targets("e1", "dc1", call, TargetsSettings(), random.Random(1))
        await nursery.start(targets.run)
        targets.members_changed([Entry("e1", "dc1", "10.0.0.1:7003")])
        permit = (await targets.acquire(request)).unwrap()
        targets.release(permit, Outcome(OutcomeKind.COMPLETED))
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        call: PeerCall,
        settings: TargetsSettings,
        rng: random.Random,
        *,
        address: str = "",
        targets_address: str = "",
        weights: CostWeights | None = None,
        first_epoch: int = 0,
        target_call: PeerCall | None = None,
    ):
        self.settings = settings
        self.config = Config()
        me = Entry(vm, data_centre, address, targets_address)
        self._owner = Owner(me, settings, rng, first_epoch)
        self._desk = OwnerDesk(self._owner, self._send_effect)
        self.router = Router(data_centre, weights or CostWeights(), rng)
        self._outbox = Outbox()
        self._server = OwnerServer(self._desk, lambda m: self._summaries.take(m))
        self._client = OwnerClient(me, call, settings, self._server.answer)
        self._summaries = Summaries(
            self._owner, self.router, self._client, self._outbox, settings
        )
        self._acquirer = Acquirer(
            vm,
            self.router,
            self._owner.ownership,
            self._client,
            settings,
            self._withdraw,
            first_epoch,
        )
        self._holdings = Holdings(
            self._owner.ownership, self._desk, self._client, self._outbox, settings
        )
        self._target_call = target_call

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run timers and calls until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outbox.run)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._holdings.run)
            task_status.started()

    def routes(self) -> PeerRoutes:
        """Return the handlers that other entries call."""
        return self._server.routes()

    def config_changed(self, config: Config) -> None:
        """Take the configuration that is in force now."""
        self.config = config
        self._acquirer.config = config
        self._desk.post(ConfigChanged(config))

    def members_changed(
        self, live: Mapping[str, Iterable[Entry]] | Iterable[Entry]
    ) -> None:
        """Take the live entries, all of them or by data centre.

        Call it first once the view is complete: until then nothing is owned.
        """
        if isinstance(live, Mapping):
            live = [entry for entries in live.values() for entry in entries]
        self._desk.post(MembersChanged(tuple(live)))

    async def announce(
        self, announcement: Announcement
    ) -> Result[AnnounceReply, VanillabeamError]:
        """Take a target's announcement; the answer names the next place."""
        return await self._pass_on(
            announcement["target"],
            announcement["data_centre"],
            Announced(announcement),
            "/peer/targets/announce",
        )

    async def load(self, report: LoadReport) -> Result[None, VanillabeamError]:
        """Take a target's load report."""
        event = LoadReported(report)
        return await self._pass_on_known(report["target"], event, "/peer/targets/load")

    async def events(self, events: CacheEvents) -> Result[None, VanillabeamError]:
        """Take a target's cache events."""
        event = BlocksChanged(events)
        return await self._pass_on_known(
            events["target"], event, "/peer/targets/events"
        )

    async def acquire(self, request: RouteRequest) -> Result[Permit, VanillabeamError]:
        """Wait for a permit, no longer than ``request.deadline_s``."""
        result = await self._acquirer.acquire(request)
        if isinstance(result, Failure):
            return result
        held = result.unwrap()
        self._holdings.add(held)
        return Success(held.permit)

    async def renew(self, permit: Permit) -> Result[Permit, VanillabeamError]:
        """Prolong a permit now; ``run`` does so by itself while it is held."""
        renewed = await self._holdings.renew_one(permit)
        if renewed is None:
            return Failure(PermitUnknown(permit.id))
        return Success(renewed)

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Give a permit back, at most once, and say how its run ended."""
        held = self._holdings.release(permit, outcome)
        if held is not None:
            self._note_blocks(held, outcome)

    async def drain(self) -> None:
        """Hand over what this VM owns, before it leaves."""
        effects = self._desk.post(Stopping())
        logger.info("handed over {} targets", len(effects))

    def owned(self) -> dict[str, tuple[Announcement, int]]:
        """Return announcement and epoch of each target owned here."""
        return {
            name: (target.announcement, target.epoch)
            for name, target in self._owner.owned.items()
        }

    def in_use(self, target: str) -> int:
        """Return how many permits of a target owned here are out."""
        owned = self._owner.owned.get(target)
        if owned is None:
            return 0
        return self._owner.view(owned, trio.current_time()).in_use

    def status(self) -> dict[str, Any]:
        """Return what operators see of targets, permits and queues."""
        now_s = trio.current_time()
        return {
            "owned": [view._asdict() for view in self._owner.views(now_s)],
            "known_targets": len(self.router.views),
            "permits_held": len(self._holdings.held),
            "waiting": {str(k): n for k, n in self._acquirer.waiting.items()},
            "asks_made": self._acquirer.asks_made,
            "dropped_calls": self._outbox.dropped,
        }

    async def _pass_on(
        self, target: str, data_centre: str, event: Event, path: str
    ) -> Result[AnnounceReply, VanillabeamError]:
        if not self._owner.ownership.known:
            return Failure(NotReady("no view of the entries yet"))
        owner = self._owner.ownership.owner_of(target, data_centre)
        if owner is None or owner.vm == self._owner.me.vm:
            self._desk.post(event)
            self._summaries.refresh(target)
        else:
            await self._client.send(owner, path, wire.encode(event[0]))
        reply = AnnounceReply(owner=owner.targets_address if owner else "")
        return Success(reply)

    async def _pass_on_known(
        self, target: str, event: Event, path: str
    ) -> Result[None, VanillabeamError]:
        view = self.router.views.get(target)
        if target in self._owner.owned or view is None:
            self._desk.post(event)
            return Success(None)
        result = await self._pass_on(target, view.data_centre, event, path)
        return result.map(lambda reply: None)

    def _note_blocks(self, held: Held, outcome: Outcome) -> None:
        blocks = held.request.blocks
        if outcome.kind is OutcomeKind.COMPLETED:
            self.router.placements.record(held.permit.target, blocks)
        elif outcome.kind is OutcomeKind.FAILED:
            self.router.placements.forget(held.permit.target, blocks)

    def _withdraw(self, ask: Ask, owner_vm: str) -> None:
        if owner_vm == self._owner.me.vm:
            self._desk.post(Withdrawn(ask.permit_id, ask.target))
            return
        owner = self._owner.ownership.live.get(owner_vm)
        if owner is None:
            return
        message = messages.WithdrawMessage(permit_id=ask.permit_id, target=ask.target)
        path = "/peer/targets/withdraw"
        self._outbox.put(self._client.job(owner, path, message, WITHDRAW_TRIES))

    def _send_effect(self, effect: Effect) -> None:
        if isinstance(effect, AskHandover):
            self._outbox.put(lambda: self._ask_handover(effect))
        elif isinstance(effect, SendHandover) and effect.leaving:
            me = self._owner.me.vm
            now_s = trio.current_time()
            message = messages.pack_handover(effect.handover, me, True, now_s)
            path = "/peer/targets/handover"
            self._outbox.put(self._client.job(effect.entry, path, message))
        elif isinstance(effect, AskSummary):
            self._outbox.put(lambda: self._ask_summary(effect))

    async def _ask_handover(self, effect: AskHandover) -> None:
        me = self._owner.me
        query = messages.HandoverQuery(
            target=effect.target,
            entry=me.vm,
            data_centre=me.data_centre,
            address=me.address,
        )
        result = await self._client.send(
            effect.entry,
            "/peer/targets/handover/ask",
            wire.encode(query),
            messages.HandoverMessage,
        )
        if isinstance(result, Failure):
            self._desk.post(HandoverFailed(effect.target))
            return
        handover = messages.unpack_handover(result.unwrap(), trio.current_time())
        self._desk.post(HandoverReceived(handover, effect.entry.vm))
        self._summaries.refresh(effect.target)

    async def _ask_summary(self, effect: AskSummary) -> None:
        if self._target_call is None:
            return
        with trio.move_on_after(self.settings.call_s):
            reply = await self._target_call(effect.address, "/blocks/summary", b"{}")
            summary = reply.bind(lambda body: wire.decode(CacheEvents, body))
            if isinstance(summary, Success):
                self._desk.post(BlocksChanged(summary.unwrap()))

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self.settings.tick_s)
            self._owner.targets_known = len(self.router.views)
            self._desk.post(Tick())
            self._summaries.tick()
