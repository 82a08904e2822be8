"""Control VMs that are replaced for good, and what the log's status says of it."""

import json
from functools import partial
from typing import NamedTuple

import httpcore
import trio

from tests.soak.clients import FAILURES
from tests.soak.fleet import BOUNDS, PEER_PORTS
from tests.soak.touch import is_of_core
from vanillabeam import wire
from vanillabeam.log.requests import LogStatus, status_path

CATCH_UP_S = BOUNDS["catch_up_s"]
RECOVER_S = BOUNDS["recover_s"]
LIST_LAG_S = BOUNDS["seed_lag_s"]
#: Losses that the settings of all VMs allow.
LOSSES = 1
STATUS_PATH = status_path("fleet")
POLL_PERIOD_S = 0.1
STATUS_TIMEOUT_S = 0.5
READ_PERIOD_S = 0.2
#: Seconds by which the next loss comes later than the rules allow at the earliest.
GAPS_S = (0.0, 0.0, 1.0, 3.0)
DELAYS_S = (0.0, 0.5, 1.5, 3.0)
#: Seconds from the start of a planned successor to the SIGTERM.
PLANNED_DELAYS_S = (1.0, 4.0, 6.0)
ORDERS = ("drawn", "leader-first", "leader-last")
CLOSINGS = ("none", "kill-all", "lose-disk", "kill-all-lose-disk")


class Replacement(NamedTuple):
    """A control VM that was replaced.

    :param lost_s: start of the change: the kill, or the start of a planned successor.
    :param started_s: start of the successor's process.
    :param gone_s: end of the old VM's process.
    """

    vm: str
    successor: str
    planned: bool
    lost_s: float
    started_s: float
    gone_s: float


class View(NamedTuple):
    """Status of the log at its leader; ``at_s`` is when it was asked."""

    at_s: float
    vm: str
    term: int
    voters: tuple[str, ...]
    members: tuple[str, ...]
    losses_left: int


class Series(NamedTuple):
    """How the control VMs of a run are replaced.

    :param order: one of :data:`ORDERS`, or the data centres in order.
    :param closing: fault after the last replacement.
    :param is_tight: whether each loss comes as early as the rules allow.
    """

    order: str | tuple[str, ...]
    planned: bool
    closing: str
    is_tight: bool = False


class MemberWatch:
    """Reads the status of the log at all control VMs.

    :ivar views: what leaders said, in order.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.views: list[View] = []
        self._http = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)

    async def run(self):
        """Read until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for vm in self.fleet.controls:
                    nursery.start_soon(self._look, vm)
            await trio.sleep(POLL_PERIOD_S)

    async def _look(self, vm):
        at_s = self.fleet.now_s()
        status = await self._status(vm)
        if status is None or status["role"] != "leader":
            return
        members = [(self._name(m["vm"]), m["votes"]) for m in status["members"]]
        view = View(
            at_s,
            vm.name,
            status["term"],
            tuple(name for name, votes in members if votes),
            tuple(name for name, _ in members),
            status["losses_left"] or 0,
        )
        self.views.append(view)

    def _name(self, host):
        """Return the name of a VM that the log knows by its host."""
        vms = (*self.fleet.vms.values(), *self.fleet.replaced)
        return next((vm.name for vm in vms if vm.host == host), host)

    async def _status(self, vm):
        url = f"http://{vm.host}:{PEER_PORTS[0]}{STATUS_PATH}"
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                res = await self._http.request("POST", url, content=b"{}")
            except FAILURES:
                return None
            return wire.decode(LogStatus, res.content).value_or(None)
        return None

    def leader(self, since_s):
        """Return the name of the VM that has led last since a moment, if any has."""
        view = last_view(self.views, since_s, float("inf"))
        return view.vm if view else ""

    def voters(self, since_s):
        """Return the voters that a leader has told last since a moment."""
        view = last_view(self.views, since_s, float("inf"))
        return view.voters if view else ()


def last_view(views, since_s, until_s):
    """Return the last view in a span, of the newest term among the last ones."""
    inside = [view for view in views if since_s <= view.at_s <= until_s]
    if not inside:
        return None
    latest_s = inside[-1].at_s - POLL_PERIOD_S
    latest = [view for view in inside if view.at_s >= latest_s]
    return max(latest, key=lambda view: (view.term, view.at_s))


def was_unscheduled(history, since_s, until_s):
    """Return whether processes weren't scheduled: the bounds don't hold for them."""
    lags = [outage for outage in history.outages if outage.kind == "lag"]
    return any(lag.overlaps(since_s, until_s) for lag in lags)


def check_replacement(history, views, step, until_s):
    """Report a successor without a vote, or a group that can't lose a VM by then.

    The VM that was replaced doesn't count as lost any more by then: the next may be.
    """
    what = f"{step.successor} after {step.vm}, started at {step.started_s:.2f}"
    view = last_view(views, step.started_s, until_s)
    if view is None:
        history.report("JOIN", until_s, step.successor, f"{what}: no VM leads")
        return
    text = f"{view.voters} vote, {view.losses_left} may be lost: {view.vm} leads"
    if step.successor not in view.voters:
        history.report("JOIN", until_s, step.successor, f"{what}, has no vote: {text}")
    elif view.losses_left < LOSSES:
        history.report("JOIN", until_s, step.successor, f"{what}: {text}")


def check_last_members(history, views, controls):
    """Report members at the end that don't run, and control VMs that don't vote."""
    now_s = history.now_s()
    view = last_view(views, now_s - CATCH_UP_S, now_s)
    if view is None:
        history.report("MEMBERS", now_s, "core", "no VM leads at the end")
        return
    names = sorted(controls)
    if sorted(view.voters) != names or sorted(view.members) != names:
        text = f"voters {view.voters}, members {view.members}; {names} run"
        history.report("MEMBERS", now_s, view.vm, text)


async def replace(run, name, delay_s, planned=False):
    """Replace a control VM; return what was done once the next may be lost."""
    history, fleet = run.history, run.fleet
    old = fleet.vms[name]
    lost_s = history.now_s()
    with history.outage("stopped" if planned else "down", [name]):
        successor = await fleet.replace(name, delay_s, planned)
        gone_s = max(end.at_s for end in await _wait_for_end(fleet, old))
        history.origins[successor.name] = history.origins.get(name, name)
        run.nursery.start_soon(_renew_lists, run, old.host, successor.host)
        while not successor.starts:
            await trio.sleep(POLL_PERIOD_S)
        left_s = successor.started_s + CATCH_UP_S - fleet.now_s()
        await trio.sleep(max(left_s, 0.0))
    return Replacement(
        name, successor.name, planned, lost_s, successor.started_s, gone_s
    )


async def _wait_for_end(fleet, old):
    """Return the recorded ends of a VM that was replaced."""
    while old.process is not None:
        await trio.sleep(POLL_PERIOD_S)
    return [end for end in fleet.ends if end.vm == old.name]


async def _renew_lists(run, old_host, new_host):
    """Give targets the new control VM in time, and all VMs new seeds.

    Without a signal, as SIGHUP ends a process whose interpreter only starts.
    """
    await trio.sleep(run.rng.uniform(0.0, LIST_LAG_S))
    hosts = run.targets.hosts
    hosts[hosts.index(old_host)] = new_host
    run.fleet.exchange_seeds(by_signal=False)


async def replace_control(run):
    """Replace a control VM, with no other loss beside it.

    It is played alone: no other fault begins until the successor has caught up.
    """
    ends_s = [o.end_s for o in run.history.outages if is_of_core(run.history, o)]
    left_s = max(ends_s, default=0.0) + CATCH_UP_S - run.fleet.now_s()
    await trio.sleep(max(left_s, 0.0))
    if run.may_lose_disk():
        planned = run.rng.random() < 0.3
        delays_s = PLANNED_DELAYS_S if planned else DELAYS_S
        (name,) = run.some(run.fleet.controls)
        await replace(run, name, run.rng.choice(delays_s), planned)


class SeriesPlay:
    """Replaces all control VMs of a run, one after the other.

    :ivar steps: the replacements so far.
    :ivar is_lost: whether a configuration wasn't confirmed or didn't come.
    """

    def __init__(self, run, series):
        self.run = run
        self.series = series
        self.watch = MemberWatch(run.fleet)
        self.steps: list[Replacement] = []
        self.is_lost = False

    async def play(self):
        """Replace all, then cause the closing fault, unless the log is lost before."""
        run = self.run
        run.nursery.start_soon(self.watch.run)
        await self._confirm()
        while not self.watch.views and not self.is_lost:
            await trio.sleep(POLL_PERIOD_S)
        left = [vm.name for vm in run.fleet.controls]
        while left and not self.is_lost:
            name = self._choose(left)
            left.remove(name)
            await self._step(name)
        if not self.is_lost:
            await self._close()

    async def finish(self):
        """Check the members, and what each control VM answers, after the settling."""
        await self.read_back()
        controls = [vm.name for vm in self.run.fleet.controls]
        check_last_members(self.run.history, self.watch.views, controls)
        self._print()

    def _choose(self, left):
        """Return the name of the next VM to be replaced."""
        order = self.series.order
        if order == "drawn":
            return self.run.rng.choice(left)
        if not isinstance(order, str):
            return min(left, key=lambda name: order.index(self._zone(name)))
        leader = self.watch.leader(self.run.fleet.now_s() - 1.0)
        if order == "leader-first":
            return leader if leader in left else self.run.rng.choice(left)
        return self.run.rng.choice([n for n in left if n != leader] or left)

    def _zone(self, name):
        return self.run.fleet.vms[name].data_centre

    async def _step(self, name):
        run, series = self.run, self.series
        delay_s = run.rng.choice(PLANNED_DELAYS_S if series.planned else DELAYS_S)
        leader = self.watch.leader(run.fleet.now_s() - 1.0)
        print(f"  {run.fleet.now_s():.2f} s: {name} is replaced, {leader} leads")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._confirm)
            step = await replace(run, name, delay_s, series.planned)
        self.steps.append(step)
        until_s = max(step.started_s + CATCH_UP_S, step.gone_s)
        if was_unscheduled(run.history, step.lost_s, until_s):
            await self._wait_for_vote(step)
        else:
            check_replacement(run.history, self.watch.views, step, until_s)
        if not series.is_tight:
            await self.read_back()
            await trio.sleep(run.rng.choice(GAPS_S))

    async def _wait_for_vote(self, step):
        """Wait for a successor's vote, for which there was too little time.

        It doesn't wait for more, so that a lost VM that still counts isn't hidden.
        """
        with trio.move_on_after(RECOVER_S):
            while step.successor not in self.watch.voters(step.started_s):
                await trio.sleep(POLL_PERIOD_S)
            return
        text = f"{step.successor} has no vote {RECOVER_S} s later"
        self.run.history.report("JOIN", step.started_s, step.successor, text)

    async def _confirm(self):
        """Send a configuration; it must be confirmed beside a loss that is allowed."""
        operator = self.run.operator
        change = operator.next_change()
        with trio.move_on_after(RECOVER_S):
            await operator.deliver(change)
        if change.confirmed_s is None:
            text = f"{change.number} wasn't confirmed within {RECOVER_S} s"
            self._report("ACK", change.sent_s, "core", text)

    async def read_back(self):
        """Read the configuration at each control VM."""
        async with trio.open_nursery() as nursery:
            for vm in self.run.fleet.controls:
                nursery.start_soon(self._read_at, vm)

    async def _read_at(self, vm):
        with trio.move_on_after(RECOVER_S):
            while not await self.run.operator.read_at(vm):
                await trio.sleep(READ_PERIOD_S)
            return
        text = f"no configuration within {RECOVER_S} s"
        self._report("CONFIG", self.run.fleet.now_s(), vm.name, text)

    def _report(self, rule, at_s, vm, text):
        self.is_lost = True
        self.run.history.report(rule, at_s, vm, text)

    async def _close(self):
        """Cause the closing fault, right after a confirmation."""
        run, closing = self.run, self.series.closing
        names = [vm.name for vm in run.fleet.controls]
        await self._confirm()
        loses = run.rng.choice(names) if "lose-disk" in closing else ""
        killed = names if "kill-all" in closing else [loses] if loses else []
        async with trio.open_nursery() as nursery:
            for name in killed:
                kill = partial(run.kill, [name], loses_disk=name == loses)
                nursery.start_soon(kill)

    def _print(self):
        """Print the steps and each change of the members that a leader told."""
        for step in self.steps:
            print(f"  {json.dumps(step._asdict())}")
        voters = ()
        for view in self.watch.views:
            if view.voters != voters:
                print(f"  {view}")
                voters = view.voters
