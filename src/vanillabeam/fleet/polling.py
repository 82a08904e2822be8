"""Cadence at which a VM polls the control VMs, and the scope of its load reports.

In a small fleet an entry VM reports its load to every control VM, and each of them
sums up all reports. In a large one these polls would overload the control VMs, or
come so rarely that the sums are old. An entry VM then reports often to one control
VM, its home; the control VMs exchange what is reported to them; and it polls the
others only for the fleet state and the targets, which they send as soon as they
change.
"""

from collections.abc import Mapping
from typing import NamedTuple

import trio

from vanillabeam.fleet.directory import Incarnation
from vanillabeam.fleet.loads import LoadScope
from vanillabeam.fleet.sent import SentTargets
from vanillabeam.rendezvous import rank

__all__ = [
    "REPLY_MARGIN_S",
    "ControlVm",
    "Poll",
    "choose_home",
    "is_large",
    "plan_poll",
    "plan_relay",
    "rank_replying",
]

#: Seconds that a control VM may hold a request until there is a change: short
#: where its reply also carries the load of other entry VMs.
MIN_WAIT_S = 0.2
MAX_WAIT_S = 0.6
#: The same where only the fleet state and the targets are of interest.
BACKGROUND_WAIT_S = 1.9
#: The same for a control VM that polls another one in a large fleet.
RELAY_WAIT_S = 0.15
#: Requests per second that a control VM should receive at most.
MAX_REQUESTS_PER_S = 150.0
#: Seconds after the wait within which a reply is due.
REPLY_MARGIN_S = 0.8


class Poll(NamedTuple):
    """Scope and wait of the next poll of a control VM.

    :param wait_s: seconds for which it may hold the request.
    """

    scope: LoadScope
    wait_s: float


class ControlVm:
    """State of the polling of one control VM.

    :ivar epoch: process id in its last reply; empty before the first.
    :ivar data_centre: its data centre, by its last reply; empty if unknown.
    :ivar version: directory version in its last reply.
    :ivar document: digest of the last document that it has named; empty for a release
        that sends documents with the state only.
    :ivar entries: entry VMs that it knew at its last reply.
    :ivar asked_entries: entry VMs that this VM knew at its last request.
    :ivar is_leader: whether its last reply came from the fleet log's leader.
    :ivar last_seen_s: monotonic time of its last reply.
    :ivar last_advertised_s: monotonic time at which a reply last listed it.
    :ivar due_s: monotonic time by which a reply is due, since the last one.
    :ivar scope: cancels the request that is under way; ``None`` before the first.
    :ivar sent: targets that its process has sent.
    :ivar leaving: targets that have told it that they leave, by its last reply.
    :ivar peers: addresses of the entry VMs of this VM's group, by its last reply.
    :ivar nearby: entry VMs of this VM's data centre that exchange loads.
    :ivar unlisted_since_s: targets that its last reply names and that this VM doesn't
        list, with the monotonic time of the first such reply.
    """

    def __init__(self, address: str):
        self.address = address
        self.epoch = ""
        self.data_centre = ""
        self.version = 0
        self.document = ""
        self.entries: frozenset[str] = frozenset()
        self.asked_entries: frozenset[str] = frozenset()
        self.is_leader = False
        self.last_seen_s = float("-inf")
        self.last_advertised_s = float("-inf")
        self.due_s = float("inf")
        self.scope: trio.CancelScope | None = None
        self.sent = SentTargets()
        self.leaving: frozenset[Incarnation] = frozenset()
        self.peers: dict[str, str] = {}
        self.nearby = 0
        self.unlisted_since_s: dict[str, float] = {}

    def is_silent(self, now_s: float) -> bool:
        """Return whether it has never replied, or its reply is overdue."""
        return not self.epoch or now_s > self.due_s


def is_large(entries: int) -> bool:
    """Return whether a fleet has too many entry VMs to report to each control VM."""
    return entries > MAX_REQUESTS_PER_S * MIN_WAIT_S


def choose_home(
    vm: str, data_centre: str, control_vms: Mapping[str, ControlVm], now_s: float
) -> ControlVm | None:
    """Return the control VM that an entry VM reports its load to.

    Control VMs of its own data centre come first, as reports are frequent. Rendezvous
    hashing spreads the entry VMs over those that reply.

    :returns: ``None`` while none replies.
    """
    address = next(iter(rank_replying(vm, data_centre, control_vms, now_s)), None)
    return control_vms[address] if address else None


def rank_replying(
    key: str, data_centre: str, control_vms: Mapping[str, ControlVm], now_s: float
) -> list[str]:
    """Return the addresses of the control VMs that reply, by rendezvous hashing.

    :param data_centre: data centre whose control VMs come first.
    """
    replying = [
        address
        for address in rank(key, control_vms)
        if not control_vms[address].is_silent(now_s)
    ]
    return sorted(
        replying, key=lambda address: control_vms[address].data_centre != data_centre
    )


def plan_poll(
    entries: int, control_vms: int, *, is_home: bool, is_leader: bool
) -> Poll:
    """Return how an entry VM polls a control VM.

    :param entries: number of entry VMs.
    :param control_vms: number of control VMs that it polls.
    """
    if not is_large(entries):
        return Poll(LoadScope.ALL, MIN_WAIT_S)
    if is_home:
        fair_s = entries / control_vms / MAX_REQUESTS_PER_S
        return Poll(LoadScope.HOME, min(max(MIN_WAIT_S, fair_s), MAX_WAIT_S))
    # The leader also sends the index of stored parts.
    return Poll(LoadScope.NONE, MAX_WAIT_S if is_leader else BACKGROUND_WAIT_S)


def plan_relay(entries: int) -> Poll:
    """Return how a control VM polls another one.

    :param entries: number of entry VMs.
    """
    return Poll(LoadScope.NONE, RELAY_WAIT_S if is_large(entries) else MAX_WAIT_S)
