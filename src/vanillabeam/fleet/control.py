"""Control VM of a fleet: log replica, target directory and watch requests."""

import random
import secrets
from collections.abc import Callable
from pathlib import Path

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.canary.messages import ROLLOUT_PATH
from vanillabeam.decisions import DeploymentApplied, TargetLeft, log_record
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.fleet.absence import drop_silent
from vanillabeam.fleet.ages import add_merged_ages
from vanillabeam.fleet.cachescopes import is_ended_scope, make_scopes
from vanillabeam.fleet.departing import DepartingTask
from vanillabeam.fleet.directory import Directory, Incarnation
from vanillabeam.fleet.documents import (
    DOCUMENT_PATH,
    DocumentRequest,
    DocumentSource,
)
from vanillabeam.fleet.follower import Follower
from vanillabeam.fleet.holders import WeightHolders
from vanillabeam.fleet.leavingtask import LeavingTask
from vanillabeam.fleet.loadnews import LoadNews
from vanillabeam.fleet.logsettings import log_settings
from vanillabeam.fleet.machine import (
    Command,
    FleetMachine,
    FleetState,
    departures,
    make_epoch_change,
    store_epochs,
)
from vanillabeam.fleet.observed import ObservedVersions
from vanillabeam.fleet.orderguard import OrderGuard
from vanillabeam.fleet.parts import FETCH_LIMIT_S
from vanillabeam.fleet.permits import PERMIT_PATH
from vanillabeam.fleet.permitting import PermitTask
from vanillabeam.fleet.quarantine import QUARANTINE_PATH
from vanillabeam.fleet.quarantining import QuarantineTask
from vanillabeam.fleet.reclaimer import is_outdated
from vanillabeam.fleet.records import Deployment, FleetSettings, Target
from vanillabeam.fleet.stores import StoreCalls, StoreTracker
from vanillabeam.fleet.targetlog import log_target
from vanillabeam.fleet.versionrollouts import make_rollouts
from vanillabeam.fleet.versiontimes import VersionTimes
from vanillabeam.fleet.view import read_or_keep
from vanillabeam.fleet.watch import WATCH_PATH, WatchReply, WatchRequest, make_reply
from vanillabeam.log import Address, Applied, LogNode
from vanillabeam.log.exceptions import LogError
from vanillabeam.pauses import PauseDetector
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.tasks import keep_running

__all__ = ["FLEET_GROUP", "FleetControl"]

FLEET_GROUP = "fleet"
EPOCH_BYTES = 6
MAX_WAIT_S = 2.0
STORE_CHECK_PERIOD_S = 0.3


class FleetControl:
    """Replica of the fleet log and directory of the targets that announce here.

    :param call: sends requests to other VMs.
    :param rng: seeded source of the random election timeouts.
    :param read: parses an operator's document into a deployment.
    :param store_calls: client of the KV cache stores.
    :ivar read: parses an operator's document into a deployment.
    :ivar directory: targets that announced themselves to this VM.
    :ivar follower: merged view over the directories of all control VMs.
    :ivar observed: weight versions that were read from targets.
    :ivar leaving: targets that have told this VM that they leave.
    :ivar departing: commits what targets say of their end.
    :ivar documents: pieces of the newest deployment's document.
    :ivar pauses: pauses of this process.
    :ivar orders: puts orders into the log that undo each other.
    :ivar permits: grants permits of targets that name a limit.
    :ivar rollouts: takes orders of rollouts to other software versions.
    :ivar epoch: random id of this process, sent in each watch reply.

    >>> control = FleetControl(cfg, call, random.Random(), read, store_calls)
    >>> await nursery.start(control.run)
    >>> await control.propose({"kind": "evacuate", "data_centre": "kgl-a"})
    """

    def __init__(
        self,
        cfg: FleetSettings,
        call: PeerCall,
        rng: random.Random,
        read: Callable[[str], Deployment],
        store_calls: StoreCalls,
    ):
        self.cfg = cfg
        self.read = read
        self.directory = Directory(self._is_named)
        self.machine = FleetMachine(self._state_changed)
        self._is_running = False
        self.epoch = secrets.token_hex(EPOCH_BYTES)
        self.node = LogNode(
            FLEET_GROUP,
            cfg.host,
            cfg.peer_address,
            Path(cfg.data_folder),
            self.machine,
            _addresses(cfg),
            call,
            rng,
            log_settings(cfg.bounds),
            # Without seeds each VM would found a log of its own.
            bootstrap=cfg.bootstrap and bool(cfg.seeds),
        )
        self.stores = StoreTracker(store_calls, self.epoch, self._recorded_epochs)
        self.documents = DocumentSource()
        self._deployment = Deployment()
        #: Document that was read last.
        self._document = ""
        self.follower = Follower(cfg, call, read)
        self.follower.directory.is_named = self._is_named
        #: Names of targets that are about to load weights.
        self.paused: set[str] = set()
        self._holders = WeightHolders()
        self.leaving = LeavingTask(
            self.directory, self.follower, self._notify, cfg.bounds.heartbeat_s
        )
        self.pauses = PauseDetector()
        self.departing = DepartingTask(self.propose, self.machine)
        self.orders = OrderGuard(self, self.pauses)
        self.permits = PermitTask(cfg.peer_address, self.follower.limits)
        self.follower.limits.on_change = self._limits_changed
        self.observed = ObservedVersions(self.follower.directory)
        self._version_times = VersionTimes()
        self._changed = trio.Event()
        self._load_news = LoadNews(self.epoch, self.follower.relayed)
        self._quarantine = QuarantineTask(
            self.node, self.machine, self.propose, self._load_news.loads.active_vms
        )
        self.rollouts = make_rollouts(self, self._load_news.loads.active_vms)

    def routes(self) -> PeerRoutes:
        """Return the handlers of requests from other VMs."""
        return {
            **self.node.routes(),
            WATCH_PATH: self._handle_watch,
            DOCUMENT_PATH: self._handle_document,
            QUARANTINE_PATH: self._quarantine.handle,
            PERMIT_PATH: self.permits.handle,
            ROLLOUT_PATH: self.rollouts.handle,
        }

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the replica and the maintenance tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.node.run)
            for task, *args in (
                (drop_silent, self.directory, self.observed, self.cfg.bounds.silence_s),
                (self.rollouts.run,),
                (self.leaving.run,),
                (self.permits.run,),
                (self._track_stores, nursery),
                (self._record_store_epochs,),
                (self._quarantine.run,),
                (self.follower.run,),
                (self.pauses.run,),
                (self.departing.run,),
            ):
                nursery.start_soon(keep_running, task.__name__, task, *args)
            self._is_running = True
            task_status.started()

    def update_seeds(self, cfg: FleetSettings) -> None:
        """Use the seeds of changed settings from now on."""
        self.follower.update_seeds(cfg)
        self.node.set_seeds(_addresses(cfg))

    async def propose(
        self, command: Command, after: int | None = None
    ) -> Result[Applied, LogError]:
        """Append a command to the fleet log and wait until it is committed.

        :param after: index after which another order about the same data centre has
            this one refused.
        :returns: after a failure whose ``run`` is ``NOT_RUN`` the command never
            takes effect; after any other failure the outcome is unknown.
        """
        return await self.node.propose(wire.encode(command).decode(), after)

    @property
    def applied(self) -> int:
        """Index up to which the log has been applied here."""
        return self.node.applied

    async def catch_up(self) -> Result[int, LogError]:
        """Wait until every command committed before the call is applied here."""
        return await self.node.read()

    async def read_state(self) -> Result[FleetState, LogError]:
        """Return a state that includes every command committed before the call."""
        confirmed = await self.catch_up()
        return confirmed.map(lambda _: self.machine.state)

    def receive_announcement(self, target: Target) -> None:
        """Record a target's announcement and notify watchers if it changed.

        A delayed one of an incarnation that another control VM has heard the end of
        changes nothing, as this VM may have been started since. Nor does one that
        contradicts what another control VM has heard.
        """
        heard = self.follower.directory
        if heard.has_ended(target.incarnation) or heard.contradicts(target):
            return
        if not self.directory.update(target, trio.current_time()):
            return
        log_target(target, 0.0)
        self._notify()

    async def commit_draining(self, target: Target) -> Result[None, VanillabeamError]:
        """Wait until it is committed that the target of an announcement drains.

        An announcement that names no target to use changes nothing: its service isn't
        named by the newest deployment, or it contradicts the target on record.
        """
        if not self._is_usable(target):
            # This VM may not have applied the newest deployment yet.
            caught_up = await self.catch_up()
            if isinstance(caught_up, Failure):
                return caught_up
            if not self._is_usable(target):
                return Success(None)
        return await self.departing.commit_draining(target.incarnation)

    def _is_usable(self, target: Target) -> bool:
        if not self._is_named(target.service):
            return False
        directories = (self.directory, self.follower.directory)
        return not any(directory.contradicts(target) for directory in directories)

    def receive_leave(self, name: str, born_ms: int | None) -> Incarnation | None:
        """Record that a target is leaving; return the start that has ended.

        :param born_ms: start time of the leaving incarnation in Unix
            milliseconds; ``None`` stands for the last one that any control VM listed.
        """
        if born_ms is None:
            born_ms = self._last_start(name)
        if born_ms is None:
            return None
        self.directory.mark_ended((name, born_ms))
        log_record(TargetLeft(name, born_ms))
        self._notify()
        return (name, born_ms)

    def _last_start(self, name: str) -> int | None:
        """Return the start that a control VM listed last, named services first."""
        starts = []
        for directory in (self.directory, self.follower.directory):
            start = directory.last_start(name)
            if start is not None:
                starts.append((not directory.is_of_unnamed(name), start))
        return max(starts)[1] if starts else None

    def pause(self, target: str) -> None:
        """Ask entry VMs to send no new work to a target."""
        self.paused.add(target)
        self._notify()

    def report_weights(self, target: Target, model: str, version: int) -> None:
        """Record a target's weight version before its next announcement."""
        self.observed.record(target.incarnation, model, version)
        self._notify()

    def _state_changed(self) -> None:
        """Record when each weight version was named, and notify watchers.

        Versions restored from disk before this process runs count as old.
        """
        self._read_deployment()
        at_s = trio.current_time() if self._is_running else float("-inf")
        self._version_times.record(self.machine.state["weights"], at_s)
        self.directory.apply_departures(departures(self.machine.state))
        self.rollouts.observe()
        self._notify()

    def _is_named(self, service: str) -> bool:
        """Return whether a service is named, by this replica or what others sent."""
        deployments = (self._deployment, self.follower.view.deployment)
        return any(service in deployment.services for deployment in deployments)

    def _read_deployment(self) -> None:
        state = self.machine.state
        if state["document"] == self._document:
            return
        self._document = state["document"]
        began_s = trio.current_time()
        self._deployment = read_or_keep(self.read, state, self._deployment)
        read_s = round(trio.current_time() - began_s, 3)
        log_record(
            DeploymentApplied(
                state["index"], state["number"], len(self._document), read_s
            )
        )

    @property
    def deployment(self) -> Deployment:
        """The deployment in force, as far as this VM can read it."""
        return self._deployment

    def weight_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the age in seconds of each model's newest version."""
        return self._version_times.newest_ages_s(now_s)

    def _limits_changed(self) -> None:
        self.directory.mark_changed()
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _handle_watch(self, body: bytes) -> Result[bytes, VanillabeamError]:
        decoded = wire.decode(WatchRequest, body)
        if isinstance(decoded, Failure):
            return decoded
        request = decoded.unwrap()
        now_s = trio.current_time()
        if request["sends"]:
            self._load_news.record(request, now_s)
        if "evidence" in request:
            self._quarantine.update(request["vm"], request["evidence"], now_s)
        self.follower.limits.apply(request.get("limits", []), request["vm"], now_s)
        for report in request.get("rollouts", ()):
            self.rollouts.update(request["vm"], report, now_s, request["index"])
        for salt, part, age_s in request["fetched"]:
            self.stores.index.mark_used((salt, part), now_s - age_s)
        with trio.move_on_after(min(request["wait_s"], MAX_WAIT_S)):
            while not self._has_changes(request):
                await self._changed.wait()
        return Success(wire.encode(self._reply(request)))

    async def _handle_document(self, body: bytes) -> Result[bytes, VanillabeamError]:
        request = wire.decode(DocumentRequest, body)
        if isinstance(request, Failure):
            return request
        document = self.machine.state["document"]
        return Success(wire.encode(self.documents.reply(document, request.unwrap())))

    def _has_changes(self, request: WatchRequest) -> bool:
        if request["epoch"] != self.epoch:
            return True
        has_newer_state = self.machine.news_index > request["index"]
        return has_newer_state or self.directory.version > request["version"]

    def _reply(self, request: WatchRequest) -> WatchReply:
        now_s = trio.current_time()
        reply = make_reply(
            request,
            self.epoch,
            self.directory,
            self.machine.state,
            self.control_addresses(),
            self._load_news.loads.active_vms(now_s),
            self._load_news.others(request, now_s),
            now_s,
            self.machine.news_index,
        )
        reply["data_centre"] = self.cfg.data_centre
        self.follower.limits.add_to(reply, now_s)
        self._load_news.add_peers(reply, request, now_s)
        if request["sends"]:
            add_merged_ages(reply, self.directory, self.follower.directory, now_s)
        else:
            self._load_news.add_reported(reply, now_s)
        if "state" in reply:
            reply["named"] = self._version_times.ages_s(now_s)
        if self.node.is_leader:
            self._add_leader_fields(reply, request, now_s)
        return reply

    def _add_leader_fields(
        self, reply: WatchReply, request: WatchRequest, now_s: float
    ) -> None:
        reply["paused"] = sorted(self.paused)
        reply["accused"] = self._quarantine.accused(now_s)
        reply["seen"] = [
            (*incarnation, *observed)
            for incarnation, observed in self.observed.versions.items()
        ]
        if self.stores.has_clock:
            reply["parts"] = self.stores.changes_since(
                request["parts"], self.node.term, now_s
            )

    def control_addresses(self) -> list[str]:
        """Return the peer addresses of the known control VMs, this one included."""
        members = {member["address"] for member in self.node.status()["members"]}
        return sorted(members | {self.cfg.peer_address})

    async def _track_stores(self, nursery: trio.Nursery) -> None:
        """Track the deployment's stores while this VM leads the fleet log."""
        while True:
            leads = self.node.is_leader
            await self.stores.track(self._deployment.stores if leads else (), nursery)
            # Until then targets may be missing that use older weights.
            is_complete = not self.follower.is_discovering(trio.current_time())
            outdated = self._outdated() if is_complete else lambda salt: False
            await self.stores.free(outdated, FETCH_LIMIT_S, self._confirm_leadership)
            await trio.sleep(STORE_CHECK_PERIOD_S)

    def _recorded_epochs(self) -> dict[str, int]:
        return store_epochs(self.machine.state)

    async def _record_store_epochs(self) -> None:
        """Record the epochs in which parts may be saved while this VM leads."""
        while True:
            changes = self.stores.epoch_changes(trio.current_time())
            if changes and self.node.is_leader:
                await self.propose(make_epoch_change(changes))
            await trio.sleep(STORE_CHECK_PERIOD_S)

    async def _confirm_leadership(self) -> bool:
        """Return whether a quorum has confirmed that this VM leads the fleet log."""
        term = self.node.term
        confirmed = await self.node.read()
        leads = self.node.is_leader and self.node.term == term
        return leads and not isinstance(confirmed, Failure)

    def _outdated(self) -> Callable[[str], bool]:
        """Return a predicate: whether no request uses a salt any more.

        No known target has its weights, or its workspaces share another scope.
        """
        self._holders.update(self.follower.directory, trio.current_time())
        versions = self._holders.lowest_versions()
        scopes = make_scopes(self.machine.state, self._deployment)

        def is_unused(salt: str) -> bool:
            return is_outdated(salt, versions) or is_ended_scope(salt, scopes)

        return is_unused


def _addresses(cfg: FleetSettings) -> list[Address]:
    seeds = zip(cfg.seeds, cfg.seed_addresses, strict=True)
    return [Address(*seed) for seed in seeds]
