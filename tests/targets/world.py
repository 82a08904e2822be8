"""Several owner cores on virtual time: partitions, deaths, late messages."""

import heapq
import random
from itertools import count

from returns.result import Success

from tests.targets.builders import (
    make_announcement,
    make_config,
    make_permit_request,
    make_report,
)
from vanillabeam.targets import Entry, Outcome, OutcomeKind, TargetsSettings
from vanillabeam.targets.events import (
    Announced,
    Answer,
    ConfigChanged,
    HandoverFailed,
    HandoverReceived,
    HandoverRequested,
    LoadReported,
    MembersChanged,
    PermitRequested,
    Released,
    Renewal,
    Renewed,
    RequestHandover,
    SendHandover,
    Stopping,
    Tick,
    Withdrawn,
)
from vanillabeam.targets.owner import Owner, handle

CAPACITY = 8
COLD = 2
GIVE_UP_S = 3.0
RUN_DIES_S = 1.0
TARGET = "engine-1"


class Run:
    """A permit from its grant until nothing of it can reach the target."""

    def __init__(self, boot, holder, core, granted_s):
        self.boot = boot
        self.holder = holder
        self.core = core
        self.granted_s = granted_s
        self.started = False


class World:
    """One target, several entries; ``everyone`` hears it when cut in two."""

    def __init__(self, seed, cls=Owner, vms=3, everyone=False):
        self.rng = random.Random(seed)
        self.settings = TargetsSettings(
            entries_expected=vms, share_reclaim_s=1000.0 if everyone else 30.0
        )
        self.cls = cls
        self.everyone = everyone
        self.now_s = 0.0
        self.events = []
        self.order = count()
        self.entries = {
            f"e{n}": Entry(f"e{n}", "dc1", f"e{n}:1") for n in range(1, vms + 1)
        }
        self.cores = {}
        self.lives = count(1)
        self.side = dict.fromkeys(self.entries, 0)
        self.boot = 1
        self.announce_to = None
        self.sequence = 0
        self.runs = {}
        self.completed = {1: 0}
        self.peak = 0
        self.granted = 0
        self.out_s = None
        self.index = 1
        for vm in self.entries:
            self.start(vm)
        self.started_s = 0.0
        self.views_change()
        self.after(0.1, self.announce)
        self.after(0.5, self.report)
        self.after(0.25, self.tick)

    # Time and messages.

    def after(self, delay_s, action, *args):
        item = (self.now_s + delay_s, next(self.order), action, args)
        heapq.heappush(self.events, item)

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now_s = end_s

    def delay_s(self):
        if self.rng.random() < 0.03:
            return self.rng.uniform(1.0, 4.0)
        return self.rng.uniform(0.001, 0.05)

    def send(self, source, to, event, lost=None):
        """Deliver ``event``, late, twice or not at all."""
        if self.rng.random() < 0.03 or not self.sees(source, to):
            if lost is not None:
                self.after(2.0, self.give, source, lost)
            return
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            self.after(self.delay_s(), self.arrive, source, to, event)

    def arrive(self, source, to, event):
        if self.sees(source, to) or source == "target":
            self.give(to, event, source)

    def sees(self, one, other):
        if one not in self.cores or other not in self.cores:
            return one == "target" and other in self.cores
        return self.side[one] == self.side[other]

    def give(self, vm, event, source=None):
        core = self.cores.get(vm)
        if core is None:
            return
        for effect in handle(event, core, self.now_s):
            self.carry_out(vm, core, effect, source)

    def carry_out(self, vm, core, effect, source):
        if isinstance(effect, Answer):
            self.answered(vm, effect)
        elif isinstance(effect, RequestHandover):
            asked = HandoverRequested(effect.target, self.entries[vm])
            self.send(vm, effect.entry.vm, asked, HandoverFailed(effect.target))
            self.after(2.5, self.check_handover, vm, effect.target)
        elif isinstance(effect, SendHandover):
            received = HandoverReceived(effect.handover, vm, effect.leaving)
            self.send(vm, effect.entry.vm, received)

    def check_handover(self, vm, target):
        core = self.cores.get(vm)
        if core is not None and target in core.awaiting_handover:
            self.give(vm, HandoverFailed(target))

    # The target.

    def announce(self):
        self.after(2.0, self.announce)
        announcement = make_announcement(
            boot_id=f"b{self.boot}", capacity=CAPACITY, cold_capacity=COLD
        )
        for vm in self.heard_by():
            owner = self.cores[vm].ownership.owner_of(TARGET, "dc1")
            to = owner.vm if owner is not None else vm
            self.announce_to = to
            if to == vm:
                self.give(vm, Announced(announcement))
            else:
                self.send(vm, to, Announced(announcement))

    def heard_by(self):
        live = sorted(self.cores)
        if not live:
            return []
        if self.everyone:
            return live
        if self.announce_to in self.cores:
            return [self.announce_to]
        return [self.rng.choice(live)]

    def report(self):
        self.after(1.0, self.report)
        running = sum(
            run.started and run.boot == self.boot for run in self.runs.values()
        )
        lag_s = self.rng.uniform(0.05, 0.8)
        load_report = make_report(
            boot_id=f"b{self.boot}",
            sequence=self.sequence,
            running=running,
            cached_tokens=10,
            age_s=lag_s,
        )
        self.sequence += 1
        for vm in self.heard_by():
            self.after(lag_s, self.give, vm, LoadReported(load_report))

    def restart_target(self):
        self.boot += 1
        self.completed[self.boot] = 0
        self.sequence = 0
        self.runs.clear()

    # Entries.

    def start(self, vm):
        epoch = next(self.lives) * 1000
        self.cores[vm] = self.cls(
            self.entries[vm], self.settings, random.Random(1), epoch
        )
        self.give(vm, ConfigChanged(self.config()))
        self.view(vm)
        self.started_s = self.now_s

    def kill(self, vm):
        self.cores.pop(vm, None)
        for permit_id, run in list(self.runs.items()):
            if run.holder == vm:
                self.after(RUN_DIES_S, self.runs.pop, permit_id, None)
        self.views_change()

    def leave(self, vm):
        self.give(vm, Stopping())
        self.after(1.0, self.kill, vm)

    def views_change(self):
        """Let each entry notice by itself, within the stated bound."""
        for vm in self.cores:
            lag_s = self.rng.uniform(0.0, self.settings.view_lag_s * 0.9)
            self.after(lag_s if self.now_s else 0.0, self.view, vm)

    def view(self, vm):
        seen = tuple(self.entries[o] for o in sorted(self.cores) if self.sees(vm, o))
        self.give(vm, MembersChanged(seen))

    def split(self):
        for vm in self.side:
            self.side[vm] = self.rng.randrange(2)
        self.views_change()

    def heal(self):
        self.side = dict.fromkeys(self.side, 0)
        self.views_change()

    def config(self):
        out = [] if self.out_s is None else ["dc1"]
        return make_config(out=out)._replace(index=self.index)

    def whole(self):
        return len(set(self.side.values())) == 1

    def settled(self):
        """Return whether every entry has had time to see the last start."""
        return self.now_s - self.started_s > self.settings.view_lag_s

    def tick(self):
        self.after(0.25, self.tick)
        for vm in list(self.cores):
            self.give(vm, Tick())

    def data_centre_out(self, out):
        self.out_s = self.now_s + 3.0 if out else None
        self.index += 1
        for vm in self.cores:
            event = ConfigChanged(self.config())
            self.after(self.rng.uniform(0.0, 3.0), self.give, vm, event)

    # Holders.

    def request_permit(self, number):
        if not self.cores:
            return
        holder = self.rng.choice(sorted(self.cores))
        owner = self.cores[holder].ownership.owner_of(TARGET, "dc1")
        if owner is None:
            return
        request = make_permit_request(
            f"p{number}", TARGET, holder=holder, deadline_s=5.0
        )
        if owner.vm == holder:
            self.give(holder, PermitRequested(request))
        else:
            self.send(holder, owner.vm, PermitRequested(request))

    def answered(self, vm, answer):
        if not isinstance(answer.result, Success):
            return
        decision = answer.result.unwrap()
        grant = decision.grant
        if grant.adopted or grant.granted_s != self.now_s:
            return
        boot = int(decision.boot_id[1:])
        run = Run(boot, grant.holder, self.cores.get(grant.holder), self.now_s)
        self.runs[grant.permit_id] = run
        self.granted += 1
        self.check_grant(boot)
        delay_s = 0.0 if vm == grant.holder else self.delay_s()
        if delay_s and (self.rng.random() < 0.03 or not self.sees(vm, grant.holder)):
            delay_s = GIVE_UP_S + 1.0
        self.after(delay_s, self.begin, grant.permit_id, decision)

    def check_grant(self, boot):
        live = sum(run.boot == boot for run in self.runs.values())
        room = min(CAPACITY, COLD + self.completed.get(boot, 0))
        assert live <= room, f"{live} runs on boot {boot}, room for {room}"
        assert self.out_s is None or self.now_s < self.out_s, "data centre is out"
        self.peak = max(self.peak, live)

    def holds(self, run):
        return run.core is not None and run.core is self.cores.get(run.holder)

    def begin(self, permit_id, decision):
        run = self.runs.get(permit_id)
        if run is None:
            return
        if not self.holds(run):
            del self.runs[permit_id]
            return
        if run.boot != self.boot or self.now_s - run.granted_s > GIVE_UP_S:
            del self.runs[permit_id]
            self.to_owner(run.holder, Withdrawn(permit_id, TARGET))
            return
        run.started = True
        length_s = self.rng.choice([0.5, 2.0, 5.0, 30.0])
        self.after(length_s, self.end, permit_id, run, length_s)
        self.after(2.5, self.renew, permit_id, run, decision)

    def end(self, permit_id, run, length_s):
        if self.runs.pop(permit_id, None) is None or not self.holds(run):
            return
        self.completed[run.boot] += 1
        outcome = Outcome(OutcomeKind.COMPLETED, 0.2, 1000, 0)
        self.to_owner(run.holder, Released(permit_id, TARGET, outcome))

    def renew(self, permit_id, run, decision):
        if permit_id not in self.runs or not self.holds(run):
            return
        self.after(2.5, self.renew, permit_id, run, decision)
        renewal = Renewal(TARGET, decision.boot_id, decision.grant)
        self.to_owner(run.holder, Renewed(renewal))

    def to_owner(self, holder, event):
        owner = self.cores[holder].ownership.owner_of(TARGET, "dc1")
        if owner is None:
            return
        if owner.vm == holder:
            self.give(holder, event)
        else:
            self.send(holder, owner.vm, event)


def play(seed, cls=Owner, steps=300, **options):
    """Run a world through random faults under load and return it."""
    world = World(seed, cls, **options)
    number = count()
    for _ in range(steps):
        for _ in range(world.rng.choice([0, 1, 2, 8])):
            world.request_permit(next(number))
        disturb(world)
        world.run_until(world.now_s + world.rng.choice([0.1, 0.5, 2.0]))
    return world


def disturb(world):
    drawn = world.rng.random()
    vm = world.rng.choice(sorted(world.entries))
    if drawn < 0.02 and world.settled():
        world.split()
    elif drawn < 0.05:
        world.heal()
    elif drawn < 0.06 and vm in world.cores:
        world.kill(vm)
    elif drawn < 0.065 and vm in world.cores:
        world.leave(vm)
    elif drawn < 0.10 and vm not in world.cores and world.whole():
        world.start(vm)
        world.views_change()
    elif drawn < 0.11:
        world.restart_target()
    elif drawn < 0.115:
        world.data_centre_out(world.out_s is None)
