"""Control VMs that are replaced for good, at the spacing that DEPLOY.md allows.

A VM is lost, and a successor with an empty disk starts under another name. The next
loss may come once the successor has run for ``catch_up_s``. The model keeps the
budget: at most :func:`disks_to_lose` VMs are lost at a time, and each of them counts
until ``catch_up_s`` after it is back or its successor has started.
"""

from typing import NamedTuple

from tests.log.cluster import SETTINGS, Broken, Cluster
from tests.log.joiner import Joiner, Knock, deliver
from vanillabeam.fleet.logsettings import REMOVE_FACTOR, REPLACE_SHARE
from vanillabeam.log.events import Resign, Role
from vanillabeam.log.records import Member

__all__ = ["Census", "FleetCluster", "catch_up_s", "disks_to_lose", "fleet_settings"]

#: Age in seconds of the list of control VMs that a new VM's seeds come from.
SEED_LAG_S = 3.0
SEEDS = 3
#: Seconds between the loss of a VM and the start of its successor.
SUCCESSOR_S = 1.0
#: Seconds for which a planned successor runs before the old VM gets SIGTERM.
PLANNED_S = 1.0
#: Seconds from SIGTERM to the end of the old VM's process.
HAND_OVER_S = 0.5
RESTART_S = 0.5
FREEZE_S = 2.0
#: Longest time in seconds that messages of a slow VM take.
SLOW_S = 1.5
SETTLE_S = 40.0


def disks_to_lose(size):
    """Return how many disks a group of this size may lose at once."""
    return 1 if size < 5 else 2


def catch_up_s(size):
    """Return the seconds after which a VM that is back no longer counts as lost."""
    return 4.0 if size < 5 else 6.0


def fleet_settings(size):
    """Return the fleet's settings for a group of this size."""
    return SETTINGS._replace(
        heartbeat_s=0.2,
        election_s=0.7,
        propose_timeout_s=3.0,
        allow_any_vm=True,
        open_requires_all=True,
        losses=disks_to_lose(size),
        replace_after_s=REPLACE_SHARE * catch_up_s(size),
        remove_after_s=REMOVE_FACTOR * catch_up_s(size),
    )


class Timeouts:
    """Random election timeouts; those of the chosen heir are the shortest."""

    def __init__(self, cluster, name, rng):
        self.cluster = cluster
        self.name = name
        self.rng = rng

    def uniform(self, low, high):
        if self.cluster.heir is None:
            return self.rng.uniform(low, high)
        if self.cluster.heir == self.name:
            return low
        return self.rng.uniform(low + (high - low) / 2, high)


class Census(NamedTuple):
    """Voters at the end of a wait.

    :param voters: number of voters in the newest membership.
    :param spare: voters that run and can still fail without loss of the majority;
        negative if the majority is lost.
    """

    voters: int
    spare: int


class FleetCluster(Cluster):
    """Group of control VMs whose lost VMs are replaced under other names.

    :cvar late_s: bound of the pages for a message between VMs that aren't lost.
    :ivar slow: VMs whose messages take up to :data:`SLOW_S`.
    :ivar heir: name of the VM with the shortest election timeout, if any.
    :ivar losses: ends of the losses that still count, in seconds.
    :ivar lists: times and names of the operator's lists of control VMs.
    :ivar joiners: join requests of each VM's process.
    :ivar dark: names of the VMs that have no power.
    """

    late_s = 0.12

    def __init__(self, seed, size, **options):
        self.size = size
        self.slow = set()
        self.catch_up_s = catch_up_s(size)
        self.budget = disks_to_lose(size)
        self.heir = None
        self.losses = []
        self.lists = [(0.0, [f"vm-{n}" for n in range(1, size + 1)])]
        self.joiners = {}
        self.dark = set()
        options = {"settings": fleet_settings(size), "late_share": 0.0} | options
        super().__init__(seed, size, spares=0, **options)

    # Processes

    def start(self, vm):
        super().start(vm)
        self.dark.discard(vm.name)
        vm.state.rng = Timeouts(self, vm.name, vm.state.rng)
        vm.state.restart_election_timer(self.now_s)
        self.joiners[vm.name] = Joiner(vm, self._seeds(), self.settings)

    def _seeds(self):
        """Return the seeds: lost VMs come first, so that they are as bad as allowed."""
        listed = [names for at_s, names in self.lists if at_s <= self.listed_s()]
        names = sorted(listed[-1], key=lambda name: not self._is_gone(name))
        return names[:SEEDS]

    def listed_s(self):
        """Return the time of the list that a VM's seeds come from."""
        return max(self.now_s - SEED_LAG_S, 0.0)

    def _is_gone(self, name):
        return name in self.vms and self.vms[name].gone

    def _note_list(self):
        self.lists.append((self.now_s, [vm.name for vm in self.present()]))

    def draw_delay_s(self, source, receiver):
        """Return the seconds that a message takes, longer to and from a slow VM."""
        delay_s = super().draw_delay_s(source, receiver)
        if {source.name, receiver.name} & self.slow:
            delay_s += self.rng.uniform(0.0, SLOW_S)
        return delay_s

    def reaches(self, source, receiver):
        """Return whether messages of one VM arrive at another."""
        return (source, receiver) not in self.cut

    def refuses_calls(self, vm):
        """Return whether calls of a VM fail at once, as its process is down."""
        return not vm.up and not vm.gone and vm.name not in self.dark

    def _execute(self, vm, action):
        if isinstance(action, Knock):
            deliver(action, vm, self)
        else:
            super()._execute(vm, action)

    def _request_join(self, vm):
        self.schedule(self.joiners[vm.name].step(self), vm, "join-request")

    def choose_heir(self, name):
        """Let a VM have the shortest election timeout from now on, or none of them."""
        self.heir = name
        for vm in self.present():
            if vm.up and vm.state.role is not Role.LEADER:
                vm.state.restart_election_timer(self.now_s)

    # Losses

    def losses_now(self):
        """Return how many VMs count as lost."""
        self.losses = [until_s for until_s in self.losses if until_s > self.now_s]
        return len(self.losses)

    def may_lose(self, count=1):
        """Return whether so many more VMs may be lost now."""
        return self.losses_now() + count <= self.budget

    def wait_for(self, count=1):
        """Run until so many VMs may be lost."""
        while not self.may_lose(count):
            self.work_for(min(self.losses) - self.now_s)

    def work_for(self, duration_s):
        """Run for a time, with a proposal at its begin and one each second."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            for leader in self.leading():
                self.propose(leader)
            self.run(min(1.0, until_s - self.now_s))

    def replace(self, vms, after_s=SUCCESSOR_S):
        """Lose VMs for good at once; start their successors ``after_s`` later."""
        for vm in vms:
            self.lose_for_good(vm)
            self.losses.append(self.now_s + after_s + self.catch_up_s)
        self._note_list()
        self.work_for(after_s)
        for _ in vms:
            self.add_successor()

    def add_successor(self):
        """Start a VM with an empty disk under a name of its own."""
        vm = self.add_vm(f"vm-{len(self.vms) + 1}")
        self._note_list()
        return vm

    def replace_planned(self, vm, planned_s=PLANNED_S, resigns=False):
        """Start the successor first; then the old VM gets SIGTERM and is gone.

        The old VM stops counting once its successor has run for ``catch_up_s``.

        :param planned_s: seconds for which both run.
        :param resigns: whether the old VM's request to leave the voters arrives.
        """
        self.losses.append(self.now_s + self.catch_up_s)
        self.add_successor()
        self.work_for(planned_s)
        self.hand_over(vm)
        self.work_for(HAND_OVER_S / 2)
        if resigns:
            member = Member(vm.state.member_id, vm.name, vm.name)
            for leader in self.leading():
                self.handle_events(leader, [Resign(0, member)])
        self.work_for(HAND_OVER_S / 2)
        self.lose_for_good(vm)
        self._note_list()

    def _kill(self, vms):
        for vm in vms:
            self.crash(vm)
        self.run(RESTART_S)
        for vm in vms:
            self.start(vm)

    def kill_all(self):
        """Kill all processes, which are back at once, whatever the budget is."""
        self._kill(self.present())
        self._count_all()

    def _count_all(self):
        """Count all VMs as lost until ``catch_up_s`` from now, or longer as before."""
        counted = [self.now_s + self.catch_up_s] * self.budget
        self.losses = sorted([*self.losses, *counted])[-self.budget :]

    def power_off(self, lost=()):
        """All VMs lose power for 1 s, whatever the budget is.

        :param lost: VMs whose disks are lost.
        """
        for vm in self.present():
            self.crash(vm)
            self.dark.add(vm.name)
            if vm in lost:
                self.replace_disk(vm)
        self.run(1.0)
        for vm in self.present():
            self.start(vm)
        self._count_all()

    def lose_disks(self, vms):
        """Lose disks of VMs that restart at their old addresses."""
        for vm in vms:
            self.replace_disk(vm)
            self.losses.append(self.now_s + RESTART_S + self.catch_up_s)
        self.run(RESTART_S)
        for vm in vms:
            self.start(vm)

    def freeze_for(self, vm, duration_s):
        """Freeze a VM; it counts as lost until ``catch_up_s`` after that."""
        self.losses.append(self.now_s + duration_s + self.catch_up_s)
        self.freeze(vm, duration_s)

    def kill_one(self, vm):
        """Kill a VM's process; it counts as lost until ``catch_up_s`` after that."""
        self.losses.append(self.now_s + RESTART_S + self.catch_up_s)
        self._kill([vm])

    def cut_off(self, vm, duration_s, ways):
        """Cut one VM off from all others for a time; it counts as lost.

        :param ways: ``"both"``, or only messages ``"to"`` it or ``"from"`` it.
        """
        others = [name for name in self.vms if name != vm.name]
        to = {(name, vm.name) for name in others} if ways != "from" else set()
        away = {(vm.name, name) for name in others} if ways != "to" else set()
        self.losses.append(self.now_s + duration_s + self.catch_up_s)
        self._cut_for(to | away, duration_s)

    def slow_down(self, vm, duration_s):
        """Delay all messages of one VM for a time; it counts as lost."""
        self.losses.append(self.now_s + duration_s + self.catch_up_s)
        self.slow.add(vm.name)
        self.work_for(duration_s)
        self.slow.discard(vm.name)

    def cut_in_half(self, duration_s):
        """Cut the group into two halves for a time, whatever the budget is."""
        names = [vm.name for vm in self.present()]
        self.rng.shuffle(names)
        half = len(names) // 2
        pairs = {(one, other) for one in names[:half] for other in names[half:]}
        self._cut_for(pairs | {(other, one) for one, other in pairs}, duration_s)
        self._count_all()

    def _cut_for(self, pairs, duration_s):
        self.cut |= pairs
        self.work_for(duration_s)
        self.cut -= pairs

    # Checks

    def newest(self):
        """Return the VM with the newest membership: the leader, if there is one."""
        leaders = sorted(self.leading(), key=lambda vm: vm.state.term)
        running = sorted(
            (vm for vm in self.present() if vm.up),
            key=lambda vm: (vm.state.log.last_term, vm.state.log.last_index),
        )
        return (leaders or running)[-1]

    def census(self):
        """Return the voters now, and how many of them can still fail."""
        membership = self.newest().state.membership
        running = {vm.state.member_id for vm in self.present() if vm.up}
        alive = sum(1 for voter in membership.voters if voter.member_id in running)
        return Census(len(membership.voters), alive - membership.quorum)

    def settle(self, checks_liveness=True):
        """End all faults; check that the group elects, lost nothing and is whole.

        Ends early once all holds.
        """
        self.choose_heir(None)
        self.end_faults()
        end_s = self.now_s + SETTLE_S
        while self.fault() and self.now_s < end_s:
            self.run(1.0)
        self.work_for(1.0)
        self.run(1.0)
        self.collect_answers()
        self.history.check()
        if self.fault():
            raise Broken(self.fault())

    def fault(self):
        """Return what is wrong with the group, empty if nothing is."""
        leaders = self.leading()
        if len(leaders) != 1:
            return f"{len(leaders)} leaders"
        state = leaders[0].state
        if state.applied < max(self.committed):
            return "committed entries were lost"
        running = {vm.state.member_id for vm in self.present() if vm.up}
        voters = {voter.member_id for voter in state.membership.voters}
        if voters != running:
            return f"voters {sorted(voters)}, running {sorted(running)}"
        return self._difference(leaders[0])

    def _difference(self, leader):
        for vm in self.present():
            if vm.machine.commands != leader.machine.commands:
                return f"{vm.name} and {leader.name} applied different commands"
        return ""
