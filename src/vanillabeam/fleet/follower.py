"""Client of the control VMs: polls them for fleet state and targets."""

from collections.abc import Callable

import trio
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.canary.reporting import NoReports, ReportSource
from vanillabeam.decisions import (
    ControlForgotten,
    ControlHeard,
    ControlUnanswered,
    HomeChosen,
    log_record,
)
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.documentfetch import DocumentFetcher
from vanillabeam.fleet.evidence import EvidenceSource, NoEvidence
from vanillabeam.fleet.limitnews import LimitNews
from vanillabeam.fleet.loads import (
    ENTRY_SILENCE_S,
    EntryLoads,
    LoadScope,
    LoadView,
    NoLoad,
    make_load,
)
from vanillabeam.fleet.parts import PartView, RecentFetches
from vanillabeam.fleet.peernews import PeerNews
from vanillabeam.fleet.polling import (
    REPLY_MARGIN_S,
    ControlVm,
    Poll,
    choose_home,
    is_large,
    plan_poll,
    plan_relay,
)
from vanillabeam.fleet.records import Deployment, FleetSettings
from vanillabeam.fleet.sent import SentTargets
from vanillabeam.fleet.statenews import StateNews
from vanillabeam.fleet.targetnews import TargetNews
from vanillabeam.fleet.view import FleetView
from vanillabeam.fleet.watch import WATCH_PATH, WatchReply, WatchRequest, digest_names
from vanillabeam.peercall import PeerCall
from vanillabeam.tasks import keep_running

__all__ = ["Follower"]

REPLY_TIMEOUT_S = 2.5
RETRY_S = 0.25
#: Seconds between a reply and the next request, which batches frequent changes.
MIN_INTERVAL_S = 0.05
#: Seconds without a reply after which a control VM is no longer polled, unless it
#: is a seed or another control VM lists it.
CONTROL_EXPIRY_S = 30.0
#: Number of polled control VMs up to which advertised ones are added.
MAX_WATCHED = 8
#: Heartbeat periods within which every live target has announced itself.
DISCOVERY_HEARTBEATS = 1.3
#: Seconds after the wait within which a leader's reply arrives, as far as its age
#: matters.
LEADER_MARGIN_S = 0.3


class Follower:
    """Keeps this VM's copy of the fleet state and of the target directory.

    :param call: sends requests to the control VMs.
    :param read: parses an operator's document into a deployment.
    :ivar is_current: whether :attr:`is_ready` was true once: the state never goes back
        from then on.
    :ivar directory: targets that announced themselves to any control VM.
    :ivar targets: what control VMs say of them.
    :ivar fetches: parts that targets fetched lately at this VM's word.
    :ivar parts: copy of the leader's index of stored parts.
    :ivar entry_vms: names of the live entry VMs, this one included.
    :ivar control_vms: the polled control VMs by address.
    :ivar load: open work that requests report and replies update.
    :ivar evidence: what this VM has seen of targets that ended.
    :ivar rollouts: what this VM has seen of rollouts that run.
    :ivar accused: parts that the leader asks about, with the number of targets that
        ended under them one after the other.
    :ivar limits: requests a second that targets take from all VMs together.
    :ivar reply_bytes: bytes of whole replies to watch requests.
    :ivar unanswered: watch requests without a whole reply in time.
    :ivar peers: entry VMs that this one exchanges loads with.
    :ivar relayed: on a control VM, the load that entry VMs report to each other
        control VM only, by the process id of that one.

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
        self.directory = Directory(
            lambda service: service in self.view.deployment.services
        )
        self.parts = PartView()
        self.fetches = RecentFetches()
        self.entry_vms: tuple[str, ...] = (cfg.vm,)
        self.load: LoadView = NoLoad()
        self.evidence: EvidenceSource = NoEvidence()
        self.rollouts: ReportSource = NoReports()
        self.accused: dict[str, int] = {}
        self.relayed = EntryLoads()
        self.limits = LimitNews()
        self.reply_bytes = 0
        self.unanswered = 0
        self._cfg = cfg
        self._call = call
        self.control_vms: dict[str, ControlVm] = {}
        silence_s = cfg.bounds.silence_s
        self.targets = TargetNews(self.directory, self.control_vms, silence_s)
        self.peers = PeerNews(cfg, self.control_vms)
        self._state = StateNews(cfg, call, self.control_vms, read, self._update_current)
        self._home = ""
        self._seeds = cfg.seed_addresses
        self._advertised: set[str] = set()
        self._started_s = 0.0
        self._first_reply_s: float | None = None
        self._leader_s = float("-inf")
        self.is_current = False
        self._current = trio.Event()

    @property
    def view(self) -> FleetView:
        """Newest fleet state that a control VM has sent."""
        return self._state.view

    @property
    def documents(self) -> DocumentFetcher:
        """Client that fetches deployments."""
        return self._state.documents

    @property
    def is_ready(self) -> bool:
        """Whether a deployment is in force and is likely to be the newest.

        Most control VMs must have replied, and no newer deployment be on its way, or
        there was the time for both.
        """
        if not self.view.is_known:
            return False
        replied = [vm for vm in self.control_vms.values() if vm.epoch]
        waited = trio.current_time() - self._started_s > REPLY_TIMEOUT_S
        if self.documents.wanted is not None:
            return waited
        return waited or len(replied) > len(self.control_vms) // 2

    def is_discovering(self, now_s: float) -> bool:
        """Return whether live targets may still be missing from the directory.

        After a restart of all VMs, a target is known only once it has announced
        itself again.
        """
        if self._first_reply_s is None:
            return True
        period_s = DISCOVERY_HEARTBEATS * self._cfg.bounds.heartbeat_s
        return now_s - self._first_reply_s < period_s

    def age_s(self) -> float:
        """Return the seconds since the last reply of any control VM."""
        last_seen = [vm.last_seen_s for vm in self.control_vms.values()]
        return trio.current_time() - max(last_seen, default=self._started_s)

    def leader_age_s(self) -> float:
        """Return the age of the leader's last reply; other VMs may be behind."""
        return trio.current_time() - self._leader_s

    async def wait_for_deployment(self) -> None:
        """Wait until a deployment is in force that is likely to be the newest."""
        await self._current.wait()

    async def wait_ready(self) -> None:
        """Wait until :attr:`is_ready` is true."""
        while True:
            if self.is_ready:
                return
            await trio.sleep(MIN_INTERVAL_S)

    def report_limits(self) -> None:
        """Tell the control VMs at once of a limit that a target has named.

        The requests that wait there are given up and sent anew.
        """
        for control_vm in self.control_vms.values():
            is_read = control_vm.address == self._home or not is_large(
                len(self.entry_vms)
            )
            if is_read and control_vm.scope is not None:
                control_vm.scope.cancel()

    def update_seeds(self, cfg: FleetSettings) -> None:
        """Poll the seeds of changed settings from now on."""
        self._seeds = cfg.seed_addresses

    async def run(self) -> None:
        """Poll the control VMs until cancelled, also again after a failure."""
        self._started_s = trio.current_time()
        self.control_vms.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "documents", self.documents.run)
            while True:
                for address in self._addresses_to_add():
                    if address not in self.control_vms:
                        self.control_vms[address] = ControlVm(address)
                        nursery.start_soon(
                            keep_running, "follow", self._follow, address
                        )
                self._update_current()
                self.targets.drop_silent()
                self.targets.update_leaving()
                self._update_home()
                await trio.sleep(RETRY_S)

    def _addresses_to_add(self) -> list[str]:
        available = max(0, MAX_WATCHED - len(self.control_vms))
        seeds = [seed for seed in self._seeds if seed not in self.control_vms]
        advertised = self._advertised - set(self._seeds) - set(self.control_vms)
        self._advertised.clear()
        return [*seeds, *sorted(advertised)[:available]]

    async def _follow(self, address: str) -> None:
        control_vm = self.control_vms[address]
        control_vm.last_advertised_s = trio.current_time()
        while not self._is_forgotten(address, control_vm):
            pause_s = await self._poll(control_vm)
            await trio.sleep(pause_s)
        del self.control_vms[address]
        log_record(ControlForgotten(address))

    def _is_forgotten(self, address: str, control_vm: ControlVm) -> bool:
        last_s = max(control_vm.last_seen_s, control_vm.last_advertised_s)
        is_silent = trio.current_time() - last_s > CONTROL_EXPIRY_S
        return is_silent and address not in self._seeds

    async def _poll(self, control_vm: ControlVm) -> float:
        """Poll a control VM once; return the pause before the next time in seconds."""
        requested_s = trio.current_time()
        poll = self._plan(control_vm)
        with trio.CancelScope() as control_vm.scope:
            reply = await self._ask(control_vm, poll, requested_s)
        if control_vm.scope.cancelled_caught:
            return 0.0
        if reply is None:
            return RETRY_S
        self._apply(reply, control_vm)
        if control_vm.is_leader:
            # A process that was paused reads a reply long after it was made.
            made_s = requested_s + poll.wait_s + LEADER_MARGIN_S
            self._leader_s = min(trio.current_time(), made_s)
        if poll.scope is not LoadScope.NONE:
            self.load.update_others(reply["others"], trio.current_time())
        if "parts" in reply:
            self.parts.apply(reply["parts"], requested_s, trio.current_time())
        if "accused" in reply:
            self.accused = reply["accused"]
        return MIN_INTERVAL_S

    def _plan(self, control_vm: ControlVm) -> Poll:
        if not self._cfg.entry_address:
            return plan_relay(len(self.entry_vms))
        return plan_poll(
            len(self.entry_vms),
            len(self.control_vms),
            is_home=control_vm.address == self._home,
            is_leader=control_vm.is_leader,
        )

    def _update_home(self) -> None:
        """Report the load to another control VM if the present one is silent.

        The request that waits at the new one is given up, so that it hears of the
        load at once.
        """
        if not self._cfg.entry_address or not is_large(len(self.entry_vms)):
            return
        cfg, now_s = self._cfg, trio.current_time()
        home = choose_home(cfg.vm, cfg.data_centre, self.control_vms, now_s)
        if home is None or home.address == self._home:
            return
        log_record(HomeChosen(home.address, self._home))
        self._home = home.address
        if home.scope is not None:
            home.scope.cancel()

    async def _ask(
        self, control_vm: ControlVm, poll: Poll, requested_s: float
    ) -> WatchReply | None:
        tells_load = poll.scope is not LoadScope.NONE
        request = WatchRequest(
            vm=self._cfg.vm,
            sends=bool(self._cfg.entry_address),
            epoch=control_vm.epoch,
            version=control_vm.version,
            index=self._state.index_for(control_vm),
            wait_s=poll.wait_s,
            parts=self.parts.request(),
            load=self.load.own(requested_s) if tells_load else make_load(),
            fetched=self.fetches.ages_s(requested_s),
            scope=poll.scope,
            entries_digest=digest_names(self.entry_vms),
            document=self._state.known,
        )
        self.peers.add_to(request)
        if self._may_lead(control_vm):
            evidence = self.evidence.evidence(self.accused, requested_s)
            if evidence is not None:
                request["evidence"] = evidence
            reports = self.rollouts.reports()
            if reports:
                request["rollouts"] = reports
        self.limits.add_to(request, requested_s)
        control_vm.asked_entries = frozenset(self.entry_vms)
        due_s = requested_s + poll.wait_s + REPLY_MARGIN_S
        control_vm.due_s = min(control_vm.due_s, due_s)
        reason = "timeout"
        with trio.move_on_after(REPLY_TIMEOUT_S):
            answer = await self._call(
                control_vm.address, WATCH_PATH, wire.encode(request)
            )
            if not isinstance(answer, Failure):
                self.reply_bytes += len(answer.unwrap())
                answer = wire.decode(WatchReply, answer.unwrap())
            if not isinstance(answer, Failure):
                return answer.unwrap()
            reason = type(answer.failure()).__name__
        self._record_unanswered(control_vm, trio.current_time() - requested_s, reason)
        return None

    def _record_unanswered(
        self, control_vm: ControlVm, waited_s: float, reason: str
    ) -> None:
        self.unanswered += 1
        log_record(ControlUnanswered(control_vm.address, round(waited_s, 3), reason))

    def _may_lead(self, control_vm: ControlVm) -> bool:
        """Return whether a control VM led at its last reply, or none is known to."""
        known = any(other.is_leader for other in self.control_vms.values())
        return control_vm.is_leader or not known

    def _apply(self, reply: WatchReply, control_vm: ControlVm) -> None:
        now_s = trio.current_time()
        if control_vm.epoch != reply["epoch"]:
            log_record(ControlHeard(control_vm.address, reply["epoch"], reply["index"]))
            control_vm.sent, control_vm.document = SentTargets(), ""
        control_vm.is_leader = "accused" in reply or "parts" in reply
        control_vm.data_centre = reply.get("data_centre", "")
        if "reported" in reply:
            groups = reply.get("reported_groups")
            self.relayed.update(reply["epoch"], reply["reported"], now_s, groups)
        if self._first_reply_s is None:
            self._first_reply_s = now_s
        self._state.apply(reply, control_vm)
        self.targets.apply(reply, control_vm, now_s)
        self.limits.apply(reply.get("limits", []), control_vm.address, now_s)
        control_vm.last_seen_s, control_vm.due_s = now_s, float("inf")
        self.targets.update_leaving()
        self._apply_entries(reply, control_vm, now_s)
        self.peers.apply(reply, control_vm, now_s)
        self._apply_addresses(reply, now_s)
        # Only now: a reply that could not be applied is asked for again.
        control_vm.epoch, control_vm.version = reply["epoch"], reply["version"]
        self._update_current()

    def _update_current(self) -> None:
        """Record the first time that the state is likely to be the newest.

        A control VM that is behind may be the first that answers.
        """
        if self.is_ready:
            self.is_current = True
            self._current.set()

    def _apply_entries(
        self, reply: WatchReply, control_vm: ControlVm, now_s: float
    ) -> None:
        """Combine the entry VMs that each control VM has heard of lately.

        A control VM that has just started knows only a few, and limits are divided
        by their number.
        """
        # An empty list says that the control VM knows those that this VM knew when it
        # asked, unless it says otherwise.
        is_same = not reply["entries"] and reply.get("entries_same", True)
        named = control_vm.asked_entries if is_same else reply["entries"]
        control_vm.entries = frozenset(named)
        known = {self._cfg.vm} if self._cfg.entry_address else set()
        for other in self.control_vms.values():
            if now_s - other.last_seen_s < ENTRY_SILENCE_S:
                known |= other.entries
        if known != set(self.entry_vms):
            self.entry_vms = tuple(sorted(known))

    def _apply_addresses(self, reply: WatchReply, now_s: float) -> None:
        for address in reply["control"]:
            if address in self.control_vms:
                self.control_vms[address].last_advertised_s = now_s
            else:
                self._advertised.add(address)
