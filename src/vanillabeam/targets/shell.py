"""Shell of target ownership: permits for requests, calls and timers."""

import random
from collections.abc import Iterable, Mapping
from typing import Any, TypedDict

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.config import Config
from vanillabeam.exceptions import NotReady, VanillabeamError
from vanillabeam.notices import Incarnation, Notice, TargetNotices
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.routing.records import RouteRequest
from vanillabeam.routing.router import Router
from vanillabeam.routing.weights import CostWeights
from vanillabeam.targets import messages
from vanillabeam.targets.acquire import Acquirer
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.dispatcher import OwnerDispatcher
from vanillabeam.targets.events import (
    Announced,
    BlocksChanged,
    ConfigChanged,
    Effect,
    Event,
    FetchCacheSummary,
    HandoverFailed,
    HandoverReceived,
    LoadReported,
    MembersChanged,
    RequestHandover,
    SendHandover,
    Stopping,
    Tick,
    Withdrawn,
)
from vanillabeam.targets.heldpermits import HeldPermit, HeldPermits
from vanillabeam.targets.outbox import Outbox
from vanillabeam.targets.ownerstate import Owner
from vanillabeam.targets.records import (
    EntryVm,
    Outcome,
    OutcomeKind,
    Permit,
    PermitRequest,
)
from vanillabeam.targets.server import OwnerServer
from vanillabeam.targets.settings import TargetsSettings
from vanillabeam.targets.summaries import Summaries
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = ["AnnounceReply", "Targets"]

#: Attempts to send the withdrawal of a permit request.
WITHDRAW_TRIES = 2
#: Characters of a header's value in a log line.
MAX_LOGGED_TEXT = 40


class AnnounceReply(TypedDict):
    """Answer to ``POST /target/announce``.

    :param owner: ``host:port`` of the owner's listener for targets, to which the
        next announcement should go; empty if there is no owner.
    """

    owner: str


class Targets:
    """Owner of targets and source of permits for one entry VM.

    :param vm: this VM's name.
    :param call: sends a request to another entry.
    :param rng: seeded source of all random choices.
    :param address: ``host:port`` of this VM's listener for other VMs.
    :param targets_address: ``host:port`` of this VM's listener for targets.
    :param weights: prices of the deployment.
    :param first_epoch: number that grows with each start of the VM, such as the
        wall clock in seconds.
    :param target_call: sends a request to a target, to fetch the summary of its
        cache; ``None`` fetches no summaries.

    Usage::

        targets = Targets("e1", "dc1", call, TargetsSettings(), random.Random(1))
        await nursery.start(targets.run)
        targets.members_changed([EntryVm("e1", "dc1", "10.0.0.1:7003")])
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
        me = EntryVm(vm, data_centre, address, targets_address)
        self._owner = Owner(me, settings, rng, first_epoch)
        self._dispatcher = OwnerDispatcher(self._owner, self._send_effect)
        self.router = Router(data_centre, weights or CostWeights(), rng)
        self._notices = TargetNotices(rng)
        self._outbox = Outbox()
        self._server = OwnerServer(
            self._dispatcher, lambda m: self._summaries.receive(m)
        )
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
            self._notices,
        )
        self._held_permits = HeldPermits(
            self._owner.ownership,
            self._dispatcher,
            self._client,
            self._outbox,
            settings,
        )
        self._target_call = target_call

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run timers and calls until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outbox.run)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._held_permits.run)
            task_status.started()

    def routes(self) -> PeerRoutes:
        """Return the handlers that other entries call."""
        return self._server.routes()

    def config_changed(self, config: Config) -> None:
        """Apply the configuration that is in force now."""
        self.config = config
        self._acquirer.update_config(config)
        self._dispatcher.post(ConfigChanged(config))
        # Whether targets take work may have changed: other data centres in service.
        self._summaries.tick()

    def members_changed(
        self, live: Mapping[str, Iterable[EntryVm]] | Iterable[EntryVm]
    ) -> None:
        """Replace the view of the live entries.

        The first call must be made with a complete view; before it, this VM owns
        no targets.

        :param live: the live entries, in one collection or by data centre.
        """
        if isinstance(live, Mapping):
            live = [entry for entries in live.values() for entry in entries]
        self._dispatcher.post(MembersChanged(tuple(live)))

    async def announce(
        self, announcement: Announcement
    ) -> Result[AnnounceReply, VanillabeamError]:
        """Pass a target's announcement to its owner; the answer names the owner."""
        return await self._send_to_owner(
            announcement["target"],
            announcement["data_centre"],
            Announced(announcement),
            "/peer/targets/announce",
        )

    async def load(self, report: LoadReport) -> Result[None, VanillabeamError]:
        """Pass a target's load report to its owner."""
        event = LoadReported(report)
        return await self._send_to_known_owner(
            report["target"], event, "/peer/targets/load"
        )

    async def events(self, events: CacheEvents) -> Result[None, VanillabeamError]:
        """Pass a target's cache events to its owner."""
        event = BlocksChanged(events)
        return await self._send_to_known_owner(
            events["target"], event, "/peer/targets/events"
        )

    async def acquire(self, request: RouteRequest) -> Result[Permit, VanillabeamError]:
        """Wait for a permit for at most ``request.deadline_s`` seconds."""
        result = await self._acquirer.acquire(request)
        if isinstance(result, Failure):
            return result
        held = result.unwrap()
        self._held_permits.add(held)
        return Success(held.permit)

    def record_notice(self, permit: Permit, notice: Notice) -> None:
        """Record what the target of a permit said of itself in an answer."""
        applied = self._notices.apply(_incarnation(permit), notice, trio.current_time())
        if applied.is_leaving:
            logger.info("target {} says that it leaves", permit.target)
        if applied.reading is not None:
            logger.info(
                "target {} asks for no requests for {:.2f} s ({!r})",
                permit.target,
                applied.pause_s,
                notice.pause[:MAX_LOGGED_TEXT],
            )

    def may_send(self, permit: Permit) -> bool:
        """Return whether the target of a permit still takes a request."""
        return self._notices.may_send(_incarnation(permit), trio.current_time())

    async def renew(self, permit: Permit) -> Result[Permit, VanillabeamError]:
        """Renew a permit now; :meth:`run` renews held permits periodically.

        :returns: the renewed permit, ``PermitUnknown`` if it is not held, or why its
            owner was not reached.
        """
        return await self._held_permits.renew_one(permit)

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Release a permit after its run; a repeated call has no effect."""
        held = self._held_permits.release(permit, outcome)
        if held is None:
            return
        if held.is_counted:
            is_answered = outcome.kind is OutcomeKind.COMPLETED
            self._notices.record_end(_incarnation(permit), is_answered)
        self._record_blocks(held, outcome)

    async def drain(self) -> None:
        """Hand over all targets of this VM before it stops."""
        effects = self._dispatcher.post(Stopping())
        logger.info("handed over {} targets", len(effects))

    def owned(self) -> dict[str, tuple[Announcement, int]]:
        """Return the announcement and the epoch of each owned target."""
        return {
            name: (target.announcement, target.epoch)
            for name, target in self._owner.owned.items()
        }

    def in_use(self, target: str) -> int:
        """Return how many permits of a target are in use, 0 if it is not owned."""
        owned = self._owner.owned.get(target)
        if owned is None:
            return 0
        return self._owner.view(owned, trio.current_time()).in_use

    def status(self) -> dict[str, Any]:
        """Return the state of targets, permits and queues for operators."""
        now_s = trio.current_time()
        return {
            "owned": [view._asdict() for view in self._owner.views(now_s)],
            "known_targets": len(self.router.views),
            "permits_held": len(self._held_permits.held),
            "waiting": {str(k): n for k, n in self._acquirer.waiting.items()},
            "asks_made": self._acquirer.permit_requests_made,
            "dropped_calls": self._outbox.dropped,
            "left_out": self._describe_left_out(now_s),
        }

    def _describe_left_out(self, now_s: float) -> dict[str, str]:
        """Return why targets that asked for it get no requests of this VM."""
        found = {
            view.target: self._notices.left_out((view.target, view.boot_id), now_s)
            for view in self.router.views.values()
        }
        return {name: str(why.reason) for name, why in found.items() if why is not None}

    async def _send_to_owner(
        self, target: str, data_centre: str, event: Event, path: str
    ) -> Result[AnnounceReply, VanillabeamError]:
        if not self._owner.ownership.has_view:
            return Failure(NotReady("no view of the entries yet"))
        owner = self._owner.ownership.owner_of(target, data_centre)
        if owner is None or owner.vm == self._owner.me.vm:
            self._dispatcher.post(event)
            self._summaries.refresh(target)
        else:
            sent = await self._client.send(owner, path, wire.encode(event[0]))
            if isinstance(sent, Failure):
                return sent
        reply = AnnounceReply(owner=owner.targets_address if owner else "")
        return Success(reply)

    async def _send_to_known_owner(
        self, target: str, event: Event, path: str
    ) -> Result[None, VanillabeamError]:
        view = self.router.views.get(target)
        if target in self._owner.owned or view is None:
            self._dispatcher.post(event)
            return Success(None)
        result = await self._send_to_owner(target, view.data_centre, event, path)
        return result.map(lambda reply: None)

    def _record_blocks(self, held: HeldPermit, outcome: Outcome) -> None:
        blocks = held.request.blocks
        if outcome.kind is OutcomeKind.COMPLETED:
            self.router.placements.record(held.permit.target, blocks)
        elif outcome.kind is OutcomeKind.FAILED:
            self.router.placements.forget(held.permit.target, blocks)

    def _withdraw(self, permit_request: PermitRequest, owner_vm: str) -> None:
        if owner_vm == self._owner.me.vm:
            self._dispatcher.post(
                Withdrawn(permit_request.permit_id, permit_request.target)
            )
            return
        owner = self._owner.ownership.live.get(owner_vm)
        if owner is None:
            return
        message = messages.WithdrawMessage(
            permit_id=permit_request.permit_id, target=permit_request.target
        )
        path = "/peer/targets/withdraw"
        self._outbox.put(self._client.make_job(owner, path, message, WITHDRAW_TRIES))

    def _send_effect(self, effect: Effect) -> None:
        if isinstance(effect, RequestHandover):
            self._outbox.put(lambda: self._request_handover(effect))
        elif isinstance(effect, SendHandover) and effect.leaving:
            me = self._owner.me.vm
            now_s = trio.current_time()
            message = messages.pack_handover(effect.handover, me, True, now_s)
            path = "/peer/targets/handover"
            self._outbox.put(self._client.make_job(effect.entry, path, message))
        elif isinstance(effect, FetchCacheSummary):
            self._outbox.put(lambda: self._fetch_cache_summary(effect))

    async def _request_handover(self, effect: RequestHandover) -> None:
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
            self._dispatcher.post(HandoverFailed(effect.target))
            return
        handover = messages.unpack_handover(result.unwrap(), trio.current_time())
        self._dispatcher.post(HandoverReceived(handover, effect.entry.vm))
        self._summaries.refresh(effect.target)

    async def _fetch_cache_summary(self, effect: FetchCacheSummary) -> None:
        if self._target_call is None:
            return
        with trio.move_on_after(self.settings.call_s):
            reply = await self._target_call(effect.address, "/blocks/summary", b"{}")
            summary = reply.bind(lambda body: wire.decode(CacheEvents, body))
            if isinstance(summary, Success):
                self._dispatcher.post(BlocksChanged(summary.unwrap()))

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self.settings.tick_s)
            views = self.router.views.values()
            self._owner.known_target_count = len(views)
            known = {(view.target, view.boot_id) for view in views}
            self._notices.keep_only(known, trio.current_time())
            self._dispatcher.post(Tick())
            self._summaries.tick()


def _incarnation(permit: Permit) -> Incarnation:
    return (permit.target, permit.boot_id)
