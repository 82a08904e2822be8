"""Simulated cluster of replicas on virtual time, with checks of Raft's invariants.

The replicas use the core and the storage of the log; the network, disks and clock
are simulated.
"""

import heapq
import random

import trio

from tests.log.builders import ListMachine, MemoryFolder
from tests.log.history import History
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.log.core import handle, next_tick_s
from vanillabeam.log.events import (
    AllowVm,
    Apply,
    Flush,
    JoinRequest,
    NoChangeNeeded,
    Propose,
    Proposed,
    Read,
    ReadConfirmed,
    Received,
    Refused,
    RemoveVm,
    Restore,
    Role,
    Send,
    SendChunk,
    SnapshotSaved,
    Tick,
    TransferLeadership,
)
from vanillabeam.log.founding import BootstrapGroup, bootstrap_contents, store_bootstrap
from vanillabeam.log.members import losses_left
from vanillabeam.log.messages import (
    Envelope,
    VoteReply,
    decode_message_batch,
    encode_message_batch,
)
from vanillabeam.log.persistence import (
    load_replica,
    make_chunk,
    persist_effects,
    take_snapshot,
)
from vanillabeam.log.records import LogSettings, Member, Membership
from vanillabeam.log.replica import Replica
from vanillabeam.log.snapshots import is_sending_snapshot
from vanillabeam.log.storage import open_storage
from vanillabeam.log.waiters import Waiters

SETTINGS = LogSettings(
    snapshot_entries=20, kept_entries=3, batch_entries=8, chunk_bytes=200
)
JOIN_RETRY_S = 0.5
SETTLE_S = 40.0


class Crashed(Exception):
    """The simulated process died during a write to its disk."""


class CrashingFolder(MemoryFolder):
    """Folder whose process dies at a chosen write.

    :ivar writes_left: number of writes that still succeed before the crash,
        ``None`` if no crash is planned.
    """

    writes_left = None

    def _check(self):
        super()._check()
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left < 0:
                self.writes_left = None
                raise Crashed


class Broken(AssertionError):
    """An invariant of the group does not hold."""


class Vm:
    """One VM, whose disk may be replaced and whose process may crash.

    :ivar disk_number: number of disks so far; a new disk gives a new member id.
    :ivar state: state of the running replica, ``None`` while the process is down.
    :ivar gone: whether the VM is lost for good.
    :ivar incarnation: number of starts so far.
    """

    def __init__(self, name, cluster):
        self.name = name
        self.cluster = cluster
        self.disk_number = 0
        self.new_disk()
        self.state = None
        self.gone = False
        self.incarnation = 0

    def new_disk(self):
        self.disk_number += 1
        self.folder = self.cluster.folder_type()

    @property
    def up(self):
        return self.state is not None

    def make_id(self):
        return f"{self.name}#{self.disk_number}"

    def start(self, now_s):
        self.incarnation += 1
        opened = open_storage(self.folder, "tickets", self.make_id).unwrap()
        self.storage, contents = opened
        rng = random.Random(self.cluster.rng.random())
        kind = self.cluster.replica_type
        self.state = load_replica(
            self.storage, contents, self.cluster.settings, rng, now_s, kind
        )
        self.cluster.vm_names[self.state.member_id] = self.name
        self.machine = ListMachine()
        self.waiters = Waiters(self.machine)
        self.reads = []
        if not self.state.group_id:
            return
        if contents.snapshot.index:
            self.machine.restore(contents.snapshot.data)
        self.execute_effects(self.state.advance_commit(self.state.commit))

    def bootstrap(self, vms):
        """Store a new group on the disk, with this VM as its only voter."""
        member = Member(self.state.member_id, self.name, self.name)
        membership = Membership(1, (member,), (), tuple(vms), len(vms), len(vms) == 1)
        request = BootstrapGroup("group", membership)
        contents = bootstrap_contents(self.storage.identity, request)
        store_bootstrap(self.storage, contents).unwrap()

    def handle_events(self, events, now_s):
        """Handle a batch of events and execute the effects, as ``ReplicaLoop`` does."""
        effects = []
        if now_s >= next_tick_s(self.state):
            effects += handle(Tick(), self.state, now_s)
        for event in events:
            effects += handle(event, self.state, now_s)
        effects += handle(Flush(), self.state, now_s)
        self.cluster.check_single_leader(self)
        persist_effects(self.storage, effects, self.state)
        if self.storage.failure:
            self.cluster.crash(self)
            return
        self.execute_effects(effects)
        self.take_snapshot_if_due(now_s)

    def execute_effects(self, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.cluster.send(self, effect.envelope)
            elif isinstance(effect, SendChunk):
                self.send_chunk(effect)
            elif isinstance(effect, Apply):
                self.cluster.check_committed(self, effect.entries)
                self.waiters.apply(effect)
            elif isinstance(effect, Restore):
                self.waiters.restore(effect)
            elif isinstance(effect, ReadConfirmed):
                self.reads.append(effect)
            elif isinstance(effect, Proposed | NoChangeNeeded | Refused):
                self.waiters.answer(effect)
        self.complete_reads()
        self.cluster.collect_answers()

    def complete_reads(self):
        for read in [r for r in self.reads if r.index <= self.state.applied]:
            self.reads.remove(read)
            self.cluster.complete_read(self, read.request_id)

    def send_chunk(self, effect):
        size = self.state.settings.chunk_bytes
        data = self.storage.read_chunk(effect.offset, size).unwrap()
        chunk = make_chunk(self.state.term, self.storage, effect, data)
        header = (self.state.group_id, self.state.member_id, effect.to)
        self.cluster.send(self, Envelope(*header, chunk))

    def take_snapshot_if_due(self, now_s):
        state = self.state
        count = state.applied - self.storage.snapshot.index
        if count < state.settings.snapshot_entries or is_sending_snapshot(state, now_s):
            return
        take_snapshot(self.storage, state, self.machine.snapshot())
        if self.storage.failure:
            self.cluster.crash(self)
            return
        handle(SnapshotSaved(state.applied), state, now_s)


class Cluster:
    """VMs and the network between them.

    :param seed: seed of message delays, losses and duplicates, of torn writes and
        of the replicas' election timeouts.
    :param size: number of the group's initial VMs.
    :param spares: number of further VMs, which are not started at first.
    :param replica_type: ``Replica`` or a subclass that breaks a rule.
    :param late_share: share of messages that may take up to ``late_s``; the others
        take at most 10 ms.
    :cvar late_s: longest time in seconds that a late message takes.
    :ivar queue: heap of timers and messages: time, sequence number, VM, state of
        its replica when the item was scheduled, and action.
    :ivar vm_names: name of the VM by member id.
    :ivar cut: pairs of source and destination VM whose messages are lost.
    :ivar loss: share of messages that are lost.
    :ivar disk_losses_s: times at which disks were replaced.
    :ivar committed: first entry applied at each index.
    :ivar leader_by_term: member id of each term's leader.
    :ivar votes: member id that received the vote, by voter and term.
    :ivar pending: operations without an answer, by VM, incarnation and request id.
    """

    late_s = 3.0

    def __init__(
        self,
        seed,
        size=3,
        spares=1,
        replica_type=Replica,
        folder_type=CrashingFolder,
        vm_type=Vm,
        late_share=0.02,
        settings=SETTINGS,
    ):
        self.rng = random.Random(seed)
        self.settings = settings
        self.replica_type = replica_type
        self.folder_type = folder_type
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.vm_names = {}
        self.cut = set()
        self.loss = 0.0
        self.late_share = late_share
        self.disk_losses_s = []
        self.frozen_until_s = {}
        self.committed = {}
        self.leader_by_term = {}
        self.votes = {}
        self.history = History()
        self.pending = {}
        self.vm_type = vm_type
        names = [f"vm-{n}" for n in range(1, size + spares + 1)]
        self.vms = {name: vm_type(name, self) for name in names}
        first = self.vms[names[0]]
        first.start(0.0)
        first.bootstrap(names[:size])
        for vm in list(self.vms.values())[:size]:
            self.start(vm)
        self.run(20.0)

    def start(self, vm):
        vm.folder.fail_writes = vm.folder.fail_syncs = False
        try:
            vm.start(self.now_s)
        except Crashed:
            vm.folder.crash(self.rng)
            vm.start(self.now_s)
        self.schedule(0.0, vm, "tick")
        self.schedule(0.0, vm, "join-request")

    def crash(self, vm):
        if vm.up:
            vm.state = None
            vm.folder.crash(self.rng)
            vm.folder.fail_writes = vm.folder.fail_syncs = False
            vm.folder.writes_left = None

    def add_vm(self, name):
        """Add and start a VM with an empty disk under a name of its own."""
        vm = self.vms[name] = self.vm_type(name, self)
        self.start(vm)
        return vm

    def lose_for_good(self, vm):
        """Crash a VM that never returns."""
        self.crash(vm)
        vm.gone = True

    def present(self):
        """Return the VMs that are not lost for good."""
        return [vm for vm in self.vms.values() if not vm.gone]

    def replace_disk(self, vm):
        self.crash(vm)
        vm.new_disk()
        self.disk_losses_s.append(self.now_s)

    def schedule(self, delay_s, vm, action):
        """Schedule a timer by its name, or the delivery of an encoded batch."""
        self.sequence += 1
        item = (self.now_s + delay_s, self.sequence, vm.name, vm.state, action)
        heapq.heappush(self.queue, item)

    def freeze(self, vm, duration_s):
        """Pause a VM; its timers and messages are delivered when it resumes."""
        self.frozen_until_s[vm.name] = self.now_s + duration_s

    def power_off(self):
        """Crash all VMs at once and restart them after 1 s."""
        for vm in self.present():
            self.crash(vm)
        self.run(1.0)
        for vm in self.present():
            self.start(vm)

    def _schedule_at(self, at_s, name, state, action):
        self.sequence += 1
        heapq.heappush(self.queue, (at_s, self.sequence, name, state, action))

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, name, state, action = heapq.heappop(self.queue)
            vm = self.vms[name]
            resume_s = self.frozen_until_s.get(name, 0.0)
            if self.now_s < resume_s:
                self._schedule_at(resume_s, name, state, action)
            elif vm.up and (vm.state is state or isinstance(action, bytes)):
                self._execute(vm, action)
        self.now_s = until_s

    def _execute(self, vm, action):
        if action == "join-request":
            self._request_join(vm)
        elif action == "tick":
            self.handle_events(vm, [])
            if vm.up:
                due_s = max(next_tick_s(vm.state) - self.now_s, 0.01)
                self.schedule(min(due_s, 0.2), vm, "tick")
        else:
            envelopes = decode_message_batch(action).unwrap()
            self.handle_events(vm, [Received(envelope) for envelope in envelopes])

    def _request_join(self, vm):
        self.schedule(JOIN_RETRY_S, vm, "join-request")
        if vm.state.leader:
            return
        member = Member(vm.state.member_id, vm.name, vm.name)
        for leader in self.leading():
            if (vm.name, leader.name) not in self.cut:
                self.handle_events(leader, [JoinRequest(0, member)])

    def handle_events(self, vm, events):
        try:
            vm.handle_events(events, self.now_s)
        except Crashed:
            self.crash(vm)

    def send(self, source, envelope):
        receiver = self.vms.get(self.vm_names.get(envelope.to))
        self._check_vote(envelope)
        if receiver is None or (source.name, receiver.name) in self.cut:
            return
        copies = 1 + (self.rng.random() < 0.03)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay_s = self.draw_delay_s(source, receiver)
            self.schedule(delay_s, receiver, encode_message_batch([envelope]))

    def draw_delay_s(self, source, receiver):
        """Return the seconds that a message takes from one VM to another."""
        late = self.rng.random() < self.late_share
        return self.rng.uniform(0.0005, self.late_s if late else 0.01)

    def leading(self):
        running = [vm for vm in self.vms.values() if vm.up]
        return [vm for vm in running if vm.state.role is Role.LEADER]

    def work(self, requests, pause_s):
        """Send proposals and reads to every VM that considers itself the leader."""
        for _ in range(requests):
            self.run(self.rng.uniform(0, pause_s))
            for leader in self.leading():
                self.propose(leader)
                if self.rng.random() < 0.5:
                    self.read(leader)

    def propose(self, vm):
        if not vm.up:
            return
        request_id, answers = vm.waiters.add()
        operation = self.history.invoke(self.now_s, "propose", f"c{len(self.history)}")
        self.pending[vm.name, vm.incarnation, request_id] = (operation, answers)
        self.handle_events(vm, [Propose(request_id, operation.value)])
        self.collect_answers()

    def read(self, vm):
        if not vm.up:
            return
        request_id, answers = vm.waiters.add()
        operation = self.history.invoke(self.now_s, "read", None)
        self.pending[vm.name, vm.incarnation, request_id] = (operation, answers)
        self.handle_events(vm, [Read(request_id)])
        self.collect_answers()

    def submit(self, vm, event):
        if vm.up:
            self.handle_events(vm, [event])

    def allow(self, vm, name):
        self.submit(vm, AllowVm(0, name))

    def remove(self, vm, name):
        self.submit(vm, RemoveVm(0, name))

    def hand_over(self, vm):
        self.submit(vm, TransferLeadership())

    def complete_read(self, vm, request_id):
        key = (vm.name, vm.incarnation, request_id)
        operation, _ = self.pending.pop(key, (None, None))
        if operation is not None:
            length = len(vm.machine.commands)
            self.history.answer(operation, self.now_s, length)

    def collect_answers(self):
        """Record the answers of completed requests in the history."""
        for key, (operation, answers) in list(self.pending.items()):
            try:
                outcome = answers.receive_nowait()
            except (trio.WouldBlock, trio.EndOfChannel):
                continue
            del self.pending[key]
            if not outcome["failure"]:
                self.history.answer(operation, self.now_s, int(outcome["reply"]))
            elif outcome["failure"] != "log-outcome-unknown":
                self.history.discard(operation)

    def check_single_leader(self, vm):
        """Check that each term has at most one leader."""
        state = vm.state
        if state.role is Role.LEADER:
            leader = self.leader_by_term.setdefault(state.term, state.member_id)
            if leader != state.member_id:
                raise Broken(f"two leaders in term {state.term}")

    def _check_vote(self, envelope):
        """Check that each member votes for at most one candidate in a term."""
        reply = envelope.message
        if not isinstance(reply, VoteReply) or reply.pre or not reply.granted:
            return
        key = (envelope.sender, reply.for_term)
        if self.votes.setdefault(key, envelope.to) != envelope.to:
            raise Broken(f"{key} voted twice")

    def check_committed(self, vm, entries):
        """Check that all VMs apply the same entry at each index."""
        for entry in entries:
            if self.committed.setdefault(entry.index, entry) != entry:
                expected = self.committed[entry.index]
                raise Broken(f"{vm.name} applies {entry}, committed was {expected}")

    def losses_left(self):
        """Return how many more voters the group can lose.

        This is the newest leader's figure less the recent disk losses that the
        leader may not have noticed yet.
        """
        leaders = sorted(self.leading(), key=lambda vm: vm.state.term)
        if not leaders:
            return 0
        unnoticed_s = 2 * self.settings.election_s
        unnoticed = sum(1 for s in self.disk_losses_s if self.now_s - s < unnoticed_s)
        return losses_left(leaders[-1].state, self.now_s) - unnoticed

    def settle(self, checks_liveness=True):
        """End all faults and check that the group agrees and lost nothing.

        :param checks_liveness: whether the group must also have one leader, all
            committed entries and all allowed VMs as voters.
        """
        self.end_faults()
        self.run(SETTLE_S)
        self.collect_answers()
        self.history.check()
        if checks_liveness:
            self._check_settled()

    def end_faults(self):
        """End all faults of the network, the disks and the processes."""
        self.cut, self.loss, self.late_share = set(), 0.0, 0.0
        self.frozen_until_s = {}
        for vm in self.present():
            vm.folder.fail_writes = vm.folder.fail_syncs = False
            vm.folder.writes_left = None
            if not vm.up:
                self.start(vm)

    def _check_settled(self):
        leaders = self.leading()
        if len(leaders) != 1:
            raise Broken(f"{len(leaders)} leaders after all faults ended")
        state = leaders[0].state
        if state.applied < max(self.committed):
            raise Broken("committed entries were lost")
        if {m.vm for m in state.membership.voters} != set(state.membership.allowed):
            raise Broken(f"not all allowed VMs are voters: {state.membership}")
        for voter in state.membership.voters:
            vm = self.vms[voter.vm]
            if vm.state.member_id == voter.member_id:
                self._check_same(vm, leaders[0])

    def _check_same(self, vm, leader):
        if vm.machine.commands != leader.machine.commands:
            raise Broken(f"{vm.name} and {leader.name} applied different commands")


FAILURES = (Broken, VanillabeamError)
