"""Simulation of several owners on virtual time with random faults.

The faults are partitions, stopped VMs, restarts, and late, repeated or lost
messages.
"""

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
from vanillabeam.targets import EntryVm, Outcome, OutcomeKind, TargetsSettings
from vanillabeam.targets.events import (
    Announced,
    ConfigChanged,
    HandoverFailed,
    HandoverReceived,
    HandoverRequested,
    LoadReported,
    MembersChanged,
    PermitAnswer,
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
COLD_CAPACITY = 2
HOLDER_TIMEOUT_S = 3.0
RUN_ABORT_S = 1.0
TARGET = "engine-1"


class Run:
    """A permit from its grant until its run can no longer load the target."""

    def __init__(self, boot, holder, core, granted_s):
        self.boot = boot
        self.holder = holder
        self.core = core
        self.granted_s = granted_s
        self.started = False


class Simulation:
    """One target and several entries.

    With ``announce_to_all`` the target reaches every entry, also across a
    partition; otherwise it announces itself to one entry.
    """

    def __init__(self, seed, cls=Owner, vms=3, announce_to_all=False):
        self.rng = random.Random(seed)
        self.settings = TargetsSettings(
            entries_expected=vms, share_reclaim_s=1000.0 if announce_to_all else 30.0
        )
        self.cls = cls
        self.announce_to_all = announce_to_all
        self.now_s = 0.0
        self.events = []
        self.order = count()
        self.entries = {
            f"e{n}": EntryVm(f"e{n}", "dc1", f"e{n}:1") for n in range(1, vms + 1)
        }
        self.cores = {}
        self.incarnations = count(1)
        self.side = dict.fromkeys(self.entries, 0)
        self.boot = 1
        self.announce_to = None
        self.sequence = 0
        self.runs = {}
        self.completed = {1: 0}
        self.peak_runs = 0
        self.granted = 0
        self.data_centre_out_s = None
        self.index = 1
        for vm in self.entries:
            self.start(vm)
        self.last_start_s = 0.0
        self.schedule_views()
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

    def send(self, source, to, event, failure_event=None):
        """Deliver ``event`` late, twice or not at all.

        :param failure_event: event for the sender if the message is lost.
        """
        if self.rng.random() < 0.03 or not self.connected(source, to):
            if failure_event is not None:
                self.after(2.0, self.dispatch, source, failure_event)
            return
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            self.after(self.delay_s(), self.deliver, source, to, event)

    def deliver(self, source, to, event):
        if self.connected(source, to) or source == "target":
            self.dispatch(to, event, source)

    def connected(self, one, other):
        if one not in self.cores or other not in self.cores:
            return one == "target" and other in self.cores
        return self.side[one] == self.side[other]

    def dispatch(self, vm, event, source=None):
        core = self.cores.get(vm)
        if core is None:
            return
        for effect in handle(event, core, self.now_s):
            self.carry_out(vm, core, effect, source)

    def carry_out(self, vm, core, effect, source):
        if isinstance(effect, PermitAnswer):
            self.handle_answer(vm, effect)
        elif isinstance(effect, RequestHandover):
            request = HandoverRequested(effect.target, self.entries[vm])
            self.send(vm, effect.entry.vm, request, HandoverFailed(effect.target))
            self.after(2.5, self.check_handover, vm, effect.target)
        elif isinstance(effect, SendHandover):
            received = HandoverReceived(effect.handover, vm, effect.leaving)
            self.send(vm, effect.entry.vm, received)

    def check_handover(self, vm, target):
        core = self.cores.get(vm)
        if core is not None and target in core.awaiting_handover:
            self.dispatch(vm, HandoverFailed(target))

    # The target.

    def announce(self):
        self.after(2.0, self.announce)
        announcement = make_announcement(
            boot_id=f"b{self.boot}", capacity=CAPACITY, cold_capacity=COLD_CAPACITY
        )
        for vm in self.announcement_receivers():
            owner = self.cores[vm].ownership.owner_of(TARGET, "dc1")
            to = owner.vm if owner is not None else vm
            self.announce_to = to
            if to == vm:
                self.dispatch(vm, Announced(announcement))
            else:
                self.send(vm, to, Announced(announcement))

    def announcement_receivers(self):
        live = sorted(self.cores)
        if not live:
            return []
        if self.announce_to_all:
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
        for vm in self.announcement_receivers():
            self.after(lag_s, self.dispatch, vm, LoadReported(load_report))

    def restart_target(self):
        self.boot += 1
        self.completed[self.boot] = 0
        self.sequence = 0
        self.runs.clear()

    # Entries.

    def start(self, vm):
        epoch = next(self.incarnations) * 1000
        self.cores[vm] = self.cls(
            self.entries[vm], self.settings, random.Random(1), epoch
        )
        self.dispatch(vm, ConfigChanged(self.config()))
        self.update_view(vm)
        self.last_start_s = self.now_s

    def kill(self, vm):
        self.cores.pop(vm, None)
        for permit_id, run in list(self.runs.items()):
            if run.holder == vm:
                self.after(RUN_ABORT_S, self.runs.pop, permit_id, None)
        self.schedule_views()

    def leave(self, vm):
        self.dispatch(vm, Stopping())
        self.after(1.0, self.kill, vm)

    def schedule_views(self):
        """Update the view of each entry after a random lag below ``view_lag_s``."""
        for vm in self.cores:
            lag_s = self.rng.uniform(0.0, self.settings.view_lag_s * 0.9)
            self.after(lag_s if self.now_s else 0.0, self.update_view, vm)

    def update_view(self, vm):
        seen = tuple(
            self.entries[o] for o in sorted(self.cores) if self.connected(vm, o)
        )
        self.dispatch(vm, MembersChanged(seen))

    def split(self):
        for vm in self.side:
            self.side[vm] = self.rng.randrange(2)
        self.schedule_views()

    def heal(self):
        self.side = dict.fromkeys(self.side, 0)
        self.schedule_views()

    def config(self):
        out = [] if self.data_centre_out_s is None else ["dc1"]
        return make_config(data_centres_out=out)._replace(index=self.index)

    def all_connected(self):
        return len(set(self.side.values())) == 1

    def views_are_current(self):
        """Return whether every entry has had time to see the last started VM."""
        return self.now_s - self.last_start_s > self.settings.view_lag_s

    def tick(self):
        self.after(0.25, self.tick)
        for vm in list(self.cores):
            self.dispatch(vm, Tick())

    def data_centre_out(self, out):
        self.data_centre_out_s = self.now_s + 3.0 if out else None
        self.index += 1
        for vm in self.cores:
            event = ConfigChanged(self.config())
            self.after(self.rng.uniform(0.0, 3.0), self.dispatch, vm, event)

    # Holders.

    def request_permit(self, permit_number):
        if not self.cores:
            return
        holder = self.rng.choice(sorted(self.cores))
        owner = self.cores[holder].ownership.owner_of(TARGET, "dc1")
        if owner is None:
            return
        request = make_permit_request(
            f"p{permit_number}", TARGET, holder=holder, deadline_s=5.0
        )
        if owner.vm == holder:
            self.dispatch(holder, PermitRequested(request))
        else:
            self.send(holder, owner.vm, PermitRequested(request))

    def handle_answer(self, vm, answer):
        if not isinstance(answer.result, Success):
            return
        permit = answer.result.unwrap()
        grant = permit.grant
        if grant.adopted or grant.granted_s != self.now_s:
            return
        boot = int(permit.boot_id[1:])
        run = Run(boot, grant.holder, self.cores.get(grant.holder), self.now_s)
        self.runs[grant.permit_id] = run
        self.granted += 1
        self.check_grant(boot)
        delay_s = 0.0 if vm == grant.holder else self.delay_s()
        if delay_s and (
            self.rng.random() < 0.03 or not self.connected(vm, grant.holder)
        ):
            delay_s = HOLDER_TIMEOUT_S + 1.0
        self.after(delay_s, self.begin, grant.permit_id, permit)

    def check_grant(self, boot):
        live = sum(run.boot == boot for run in self.runs.values())
        limit = min(CAPACITY, COLD_CAPACITY + self.completed.get(boot, 0))
        assert live <= limit, f"{live} runs on boot {boot}, limit is {limit}"
        assert self.data_centre_out_s is None or self.now_s < self.data_centre_out_s, (
            "data centre is out of service"
        )
        self.peak_runs = max(self.peak_runs, live)

    def holder_is_alive(self, run):
        return run.core is not None and run.core is self.cores.get(run.holder)

    def begin(self, permit_id, permit):
        run = self.runs.get(permit_id)
        if run is None:
            return
        if not self.holder_is_alive(run):
            del self.runs[permit_id]
            return
        if run.boot != self.boot or self.now_s - run.granted_s > HOLDER_TIMEOUT_S:
            del self.runs[permit_id]
            self.to_owner(run.holder, Withdrawn(permit_id, TARGET))
            return
        run.started = True
        length_s = self.rng.choice([0.5, 2.0, 5.0, 30.0])
        self.after(length_s, self.end, permit_id, run, length_s)
        self.after(2.5, self.renew, permit_id, run, permit)

    def end(self, permit_id, run, length_s):
        if self.runs.pop(permit_id, None) is None or not self.holder_is_alive(run):
            return
        self.completed[run.boot] += 1
        outcome = Outcome(OutcomeKind.COMPLETED, 0.2, 1000, 0)
        self.to_owner(run.holder, Released(permit_id, TARGET, outcome))

    def renew(self, permit_id, run, permit):
        if permit_id not in self.runs or not self.holder_is_alive(run):
            return
        self.after(2.5, self.renew, permit_id, run, permit)
        renewal = Renewal(TARGET, permit.boot_id, permit.grant)
        self.to_owner(run.holder, Renewed(renewal))

    def to_owner(self, holder, event):
        owner = self.cores[holder].ownership.owner_of(TARGET, "dc1")
        if owner is None:
            return
        if owner.vm == holder:
            self.dispatch(holder, event)
        else:
            self.send(holder, owner.vm, event)


def play(seed, cls=Owner, steps=300, **options):
    """Run a simulation with random load and faults and return it."""
    simulation = Simulation(seed, cls, **options)
    number = count()
    for _ in range(steps):
        for _ in range(simulation.rng.choice([0, 1, 2, 8])):
            simulation.request_permit(next(number))
        inject_fault(simulation)
        simulation.run_until(simulation.now_s + simulation.rng.choice([0.1, 0.5, 2.0]))
    return simulation


def inject_fault(simulation):
    drawn = simulation.rng.random()
    vm = simulation.rng.choice(sorted(simulation.entries))
    if drawn < 0.02 and simulation.views_are_current():
        simulation.split()
    elif drawn < 0.05:
        simulation.heal()
    elif drawn < 0.06 and vm in simulation.cores:
        simulation.kill(vm)
    elif drawn < 0.065 and vm in simulation.cores:
        simulation.leave(vm)
    elif drawn < 0.10 and vm not in simulation.cores and simulation.all_connected():
        simulation.start(vm)
        simulation.schedule_views()
    elif drawn < 0.11:
        simulation.restart_target()
    elif drawn < 0.115:
        simulation.data_centre_out(simulation.data_centre_out_s is None)
