"""Replicas with their storage on virtual time, and what must hold of them."""

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
from vanillabeam.log.loop import (
    BootstrapGroup,
    bootstrap_contents,
    load_replica,
    make_chunk,
    persist_effects,
    store_bootstrap,
    take_snapshot,
)
from vanillabeam.log.members import losses_left
from vanillabeam.log.messages import (
    Envelope,
    VoteReply,
    decode_message_batch,
    encode_message_batch,
)
from vanillabeam.log.records import LogSettings, Member, Membership
from vanillabeam.log.replica import Replica
from vanillabeam.log.snapshots import is_sending_snapshot
from vanillabeam.log.storage import open_storage
from vanillabeam.log.waiters import Waiters

SETTINGS = LogSettings(
    snapshot_entries=20, kept_entries=3, batch_entries=8, chunk_bytes=200
)
KNOCK_S = 0.5
SETTLE_S = 40.0


class Crashed(Exception):
    """The process died in the middle of its work on the disk."""


class CrashingFolder(MemoryFolder):
    """Dies at the write that ``writes_left`` counts down to."""

    writes_left = None

    def _check(self):
        super()._check()
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left < 0:
                self.writes_left = None
                raise Crashed


class Broken(AssertionError):
    """Something that must always hold does not."""


class Vm:
    """One VM: a disk that may be replaced, and a process that may die."""

    def __init__(self, name, cluster):
        self.name = name
        self.cluster = cluster
        self.disks = 0
        self.new_disk()
        self.state = None
        self.lives = 0

    def new_disk(self):
        self.disks += 1
        self.folder = self.cluster.folder_type()

    @property
    def up(self):
        return self.state is not None

    def make_id(self):
        return f"{self.name}#{self.disks}"

    def start(self, now_s):
        self.lives += 1
        opened = open_storage(self.folder, "tickets", self.make_id).unwrap()
        self.storage, contents = opened
        rng = random.Random(self.cluster.rng.random())
        kind = self.cluster.replica_type
        self.state = load_replica(
            self.storage, contents, self.cluster.settings, rng, now_s, kind
        )
        self.cluster.homes[self.state.member_id] = self.name
        self.machine = ListMachine()
        self.waiters = Waiters(self.machine)
        self.reads = []
        if not self.state.group_id:
            return
        if contents.snapshot.index:
            self.machine.restore(contents.snapshot.data)
        self.react(self.state.advance_commit(self.state.commit))

    def found(self, vms):
        member = Member(self.state.member_id, self.name, self.name)
        membership = Membership(1, (member,), (), tuple(vms), len(vms), len(vms) == 1)
        work = BootstrapGroup("group", membership)
        contents = bootstrap_contents(self.storage.identity, work)
        store_bootstrap(self.storage, contents).unwrap()

    def take(self, events, now_s):
        """Handle events as the shell's loop does."""
        effects = []
        if now_s >= next_tick_s(self.state):
            effects += handle(Tick(), self.state, now_s)
        for event in events:
            effects += handle(event, self.state, now_s)
        effects += handle(Flush(), self.state, now_s)
        self.cluster.observe(self)
        persist_effects(self.storage, effects, self.state)
        if self.storage.failure:
            self.cluster.crash(self)
            return
        self.react(effects)
        self.snapshot_when_due(now_s)

    def react(self, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.cluster.post(self, effect.envelope)
            elif isinstance(effect, SendChunk):
                self.send_chunk(effect)
            elif isinstance(effect, Apply):
                self.cluster.check_committed(self, effect.entries)
                self.waiters.apply(effect)
            elif isinstance(effect, Restore):
                self.waiters.restore(effect)
            elif isinstance(effect, ReadConfirmed):
                self.reads.append(effect)
            elif isinstance(effect, Proposed | Refused):
                self.waiters.answer(effect)
        self.answer_reads()
        self.cluster.collect()

    def answer_reads(self):
        for read in [r for r in self.reads if r.index <= self.state.applied]:
            self.reads.remove(read)
            self.cluster.read_done(self, read.request_id)

    def send_chunk(self, effect):
        size = self.state.settings.chunk_bytes
        data = self.storage.read_chunk(effect.offset, size).unwrap()
        chunk = make_chunk(self.state.term, self.storage, effect, data)
        way = (self.state.group_id, self.state.member_id, effect.to)
        self.cluster.post(self, Envelope(*way, chunk))

    def snapshot_when_due(self, now_s):
        state = self.state
        new = state.applied - self.storage.snapshot.index
        if new < state.settings.snapshot_entries or is_sending_snapshot(state, now_s):
            return
        take_snapshot(self.storage, state, self.machine.snapshot())
        if self.storage.failure:
            self.cluster.crash(self)
            return
        handle(SnapshotSaved(state.applied), state, now_s)


class Cluster:
    """VMs and the network between them.

    :param seed: drives delays, losses, repeats and torn tails.
    :param replica_type: a subclass of ``Replica`` that breaks a rule.
    :param late: share of messages that may take up to 3 s.
    """

    def __init__(
        self,
        seed,
        size=3,
        spares=1,
        replica_type=Replica,
        folder_type=CrashingFolder,
        vm_type=Vm,
        late=0.02,
        settings=SETTINGS,
    ):
        self.rng = random.Random(seed)
        self.settings = settings
        self.replica_type = replica_type
        self.folder_type = folder_type
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.homes = {}
        self.cut = set()
        self.loss = 0.0
        self.late = late
        self.lost_s = []
        self.frozen_until_s = {}
        self.committed = {}
        self.leaders = {}
        self.votes = {}
        self.history = History()
        self.pending = {}
        names = [f"vm-{n}" for n in range(1, size + spares + 1)]
        self.vms = {name: vm_type(name, self) for name in names}
        first = self.vms[names[0]]
        first.start(0.0)
        first.found(names[:size])
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
        self.at(0.0, vm, "tick")
        self.at(0.0, vm, "knock")

    def crash(self, vm):
        if vm.up:
            vm.state = None
            vm.folder.crash(self.rng)
            vm.folder.fail_writes = vm.folder.fail_syncs = False
            vm.folder.writes_left = None

    def replace_disk(self, vm):
        self.crash(vm)
        vm.new_disk()
        self.lost_s.append(self.now_s)

    def at(self, delay_s, vm, what):
        self.sequence += 1
        item = (self.now_s + delay_s, self.sequence, vm.name, vm.state, what)
        heapq.heappush(self.queue, item)

    def freeze(self, vm, duration_s):
        """Let a VM stand still; what it is sent waits until it wakes."""
        self.frozen_until_s[vm.name] = self.now_s + duration_s

    def power_off(self):
        """Crash all VMs at one moment and start them again."""
        for vm in self.vms.values():
            self.crash(vm)
        self.run(1.0)
        for vm in self.vms.values():
            self.start(vm)

    def _again_at(self, at_s, name, state, what):
        self.sequence += 1
        heapq.heappush(self.queue, (at_s, self.sequence, name, state, what))

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, name, state, what = heapq.heappop(self.queue)
            vm = self.vms[name]
            thaws_s = self.frozen_until_s.get(name, 0.0)
            if self.now_s < thaws_s:
                self._again_at(thaws_s, name, state, what)
            elif vm.up and (vm.state is state or isinstance(what, bytes)):
                self._step(vm, what)
        self.now_s = until_s

    def _step(self, vm, what):
        if what == "knock":
            self._knock(vm)
        elif what == "tick":
            self.take(vm, [])
            if vm.up:
                due_s = max(next_tick_s(vm.state) - self.now_s, 0.01)
                self.at(min(due_s, 0.2), vm, "tick")
        else:
            envelopes = decode_message_batch(what).unwrap()
            self.take(vm, [Received(envelope) for envelope in envelopes])

    def _knock(self, vm):
        self.at(KNOCK_S, vm, "knock")
        if vm.state.leader:
            return
        member = Member(vm.state.member_id, vm.name, vm.name)
        for leader in self.leading():
            if (vm.name, leader.name) not in self.cut:
                self.take(leader, [JoinRequest(0, member)])

    def take(self, vm, events):
        try:
            vm.take(events, self.now_s)
        except Crashed:
            self.crash(vm)

    def post(self, source, envelope):
        target = self.vms.get(self.homes.get(envelope.to))
        self._watch_vote(envelope)
        if target is None or (source.name, target.name) in self.cut:
            return
        copies = 1 + (self.rng.random() < 0.03)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            late = self.rng.random() < self.late
            delay_s = self.rng.uniform(0.0005, 3.0 if late else 0.01)
            self.at(delay_s, target, encode_message_batch([envelope]))

    def leading(self):
        running = [vm for vm in self.vms.values() if vm.up]
        return [vm for vm in running if vm.state.role is Role.LEADER]

    def work(self, requests, pause_s):
        """Propose to whoever takes itself for the leader, and read."""
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
        self.pending[vm.name, vm.lives, request_id] = (operation, answers)
        self.take(vm, [Propose(request_id, operation.value)])
        self.collect()

    def read(self, vm):
        if not vm.up:
            return
        request_id, answers = vm.waiters.add()
        operation = self.history.invoke(self.now_s, "read", None)
        self.pending[vm.name, vm.lives, request_id] = (operation, answers)
        self.take(vm, [Read(request_id)])
        self.collect()

    def change(self, vm, event):
        if vm.up:
            self.take(vm, [event])

    def allow(self, vm, name):
        self.change(vm, AllowVm(0, name))

    def remove(self, vm, name):
        self.change(vm, RemoveVm(0, name))

    def hand_over(self, vm):
        self.change(vm, TransferLeadership())

    def read_done(self, vm, request_id):
        key = (vm.name, vm.lives, request_id)
        operation, _ = self.pending.pop(key, (None, None))
        if operation is not None:
            length = len(vm.machine.commands)
            self.history.answer(operation, self.now_s, length)

    def collect(self):
        """Note the answers that have arrived."""
        for key, (operation, answers) in list(self.pending.items()):
            try:
                outcome = answers.receive_nowait()
            except (trio.WouldBlock, trio.EndOfChannel):
                continue
            del self.pending[key]
            if not outcome["failure"]:
                self.history.answer(operation, self.now_s, int(outcome["reply"]))
            elif outcome["failure"] != "log-outcome-unknown":
                self.history.forget(operation)

    def observe(self, vm):
        """Check that a term has one leader."""
        state = vm.state
        if state.role is Role.LEADER:
            leader = self.leaders.setdefault(state.term, state.member_id)
            if leader != state.member_id:
                raise Broken(f"two leaders in term {state.term}")

    def _watch_vote(self, envelope):
        """Check that a disk's vote in a term goes to one candidate."""
        reply = envelope.message
        if not isinstance(reply, VoteReply) or reply.pre or not reply.granted:
            return
        key = (envelope.sender, reply.for_term)
        if self.votes.setdefault(key, envelope.to) != envelope.to:
            raise Broken(f"{key} voted twice")

    def check_committed(self, vm, entries):
        """Check that what was committed once is what is applied everywhere."""
        for entry in entries:
            if self.committed.setdefault(entry.index, entry) != entry:
                known = self.committed[entry.index]
                raise Broken(f"{vm.name} applies {entry}, committed was {known}")

    def losses_left(self):
        """Return what the newest leader says, less what it can't know of yet."""
        leaders = sorted(self.leading(), key=lambda vm: vm.state.term)
        if not leaders:
            return 0
        unnoticed_s = 2 * self.settings.election_s
        unnoticed = sum(1 for s in self.lost_s if self.now_s - s < unnoticed_s)
        return losses_left(leaders[-1].state, self.now_s) - unnoticed

    def settle(self, checks_liveness=True):
        """End all faults and check that the group agrees and kept everything."""
        self.cut, self.loss, self.late = set(), 0.0, 0.0
        self.frozen_until_s = {}
        for vm in self.vms.values():
            vm.folder.fail_writes = vm.folder.fail_syncs = False
            vm.folder.writes_left = None
            if not vm.up:
                self.start(vm)
        self.run(SETTLE_S)
        self.collect()
        self.history.check()
        if checks_liveness:
            self._check_settled()

    def _check_settled(self):
        leaders = self.leading()
        if len(leaders) != 1:
            raise Broken(f"{len(leaders)} leaders after all faults ended")
        state = leaders[0].state
        if state.applied < max(self.committed):
            raise Broken("committed entries were lost")
        if {m.vm for m in state.membership.voters} != set(state.membership.allowed):
            raise Broken(f"not all allowed VMs vote: {state.membership}")
        for voter in state.membership.voters:
            vm = self.vms[voter.vm]
            if vm.state.member_id == voter.member_id:
                self._check_same(vm, leaders[0])

    def _check_same(self, vm, leader):
        if vm.machine.commands != leader.machine.commands:
            raise Broken(f"{vm.name} and {leader.name} differ")


FAILURES = (Broken, VanillabeamError)
