"""Records of a run: what callers, targets and the operator saw, and the faults."""

import json
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from tests.soak.canaries import VersionOrder
    from tests.soak.limits import Arrival, NamedLimit
    from tests.soak.weights import Life, Order
    from tests.soak.words import Word

MAX_NAMES = 6


class Change:
    """A configuration that an operator sent.

    :ivar added: numbers of the changes whose own routes it has.
    :ivar sent_s: first time it was sent.
    :ivar confirmed_s: time of its first confirmation; ``None`` without one.
    :ivar refused: each status with which it was refused, and when.
    """

    def __init__(self, body, sent_s, *, is_valid=True, number=0, added=()):
        self.body = body
        self.sent_s = sent_s
        self.is_valid = is_valid
        self.document = json.loads(body) if is_valid else {}
        self.added = tuple(added)
        self.number = self.document.get("version", number)
        self.confirmed_s: float | None = None
        self.refused: list[tuple[float, int]] = []


class Naming:
    """A version of weights that an operator named.

    :ivar sent_s: first time it was sent.
    :ivar confirmed_s: time of its first confirmation; ``None`` without one.
    :ivar refused: each status with which it was refused, and when.
    """

    def __init__(self, number, sent_s):
        self.number = number
        self.sent_s = sent_s
        self.confirmed_s: float | None = None
        self.refused: list[tuple[float, int]] = []


class Read(NamedTuple):
    """A read of the configuration that was answered with 200."""

    vm: str
    sent_s: float
    number: int
    body: str


class Attempt(NamedTuple):
    """One request of a caller.

    :param kind: ``safe``, ``unsafe``, ``stream`` or ``resumable``.
    :param group: ``first`` for routes of the first configuration, ``probe`` else.
    :param starts: number of the VM's start; 0 if it changed until the end.
    :param status: 0 if there was no answer.
    :param service: service that ran it, by its answer; empty if none did.
    :param fault: description of an answer that is wrong or cut; empty if none.
    """

    id: str
    kind: str
    group: str
    vm: str
    starts: int
    path: str
    key: str
    sent_s: float
    end_s: float
    limit_s: float
    status: int
    service: str = ""
    fault: str = ""


class Run(NamedTuple):
    """A request that a target ran.

    :param version: weights that it began on; 0 without a model.
    :param salt: cache salt that it came with.
    :param tenant: workspace that it came from.
    """

    id: str
    target: str
    at_s: float
    version: int = 0
    salt: str = ""
    tenant: str = ""


class Outage:
    """A fault: VMs that don't run, or links that don't work.

    :ivar kind: ``down``, ``stopped`` or ``frozen`` for VMs; ``cut``, ``slow`` or
        ``reset`` for the links between ``vms`` and ``others``; ``target`` or
        ``orders`` for targets that don't work or don't obey.
    """

    def __init__(self, kind, vms, others, start_s):
        self.kind = kind
        self.vms = frozenset(vms)
        self.others = frozenset(others)
        self.start_s = start_s
        self.end_s = float("inf")

    def __str__(self):
        sides = [_names(side) for side in (self.vms, self.others) if side]
        span = f"{self.start_s:.2f} to {self.end_s:.2f}"
        return f"{self.kind} {' from '.join(sides)} {span}"

    def overlaps(self, since_s, until_s):
        return self.start_s <= until_s and self.end_s >= since_s

    def touches(self, vm):
        return vm in self.vms or vm in self.others

    def is_between(self, a, b):
        return (a in self.vms and b in self.others) or (
            b in self.vms and a in self.others
        )


def _names(vms):
    names = sorted(vms)
    return ",".join(names) if len(names) < MAX_NAMES else f"{len(names)} of all"


class History:
    """All records of a run; times are seconds since its start."""

    def __init__(self, now_s, entries, controls):
        self.now_s = now_s
        self.entries = list(entries)
        self.controls = list(controls)
        self.changes: list[Change] = []
        self.namings: list[Naming] = []
        self.orders: list[Order] = []
        self.lives: list[Life] = []
        self.reads: list[Read] = []
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.limits: list[NamedLimit] = []
        self.outages: list[Outage] = []
        self.drained: dict[str, float] = {}
        self.words: list[Word] = []
        #: For each successor the VM that started first of those that it follows.
        self.origins: dict[str, str] = {}
        self.version_orders: list[VersionOrder] = []
        #: Data centre of each target that ever was, and the names of those that run.
        self.zones: dict[str, str] = {}
        self.running: set[str] = set()
        #: Times at which a target began an answer to a poisoned prompt.
        self.poisoned: list[float] = []
        self.findings: list[str] = []

    def newest_named(self):
        """Return the newest version of weights that was ever sent."""
        return max((naming.number for naming in self.namings), default=1)

    def staffed(self):
        """Return the data centres that have targets."""
        return {self.zones[name] for name in self.running}

    @contextmanager
    def outage(self, kind, vms, others=()):
        """Record a fault that lasts as long as the context.

        Successors are recorded as the VMs that they follow, so that the core of a run
        always has the same names.
        """
        origins = [[self.origins.get(vm, vm) for vm in side] for side in (vms, others)]
        outage = Outage(kind, *origins, self.now_s())
        self.outages.append(outage)
        try:
            yield outage
        finally:
            outage.end_s = self.now_s()

    def report(self, rule, at_s, vm, text):
        """Add a finding, with its second and VM."""
        self.findings.append(f"{rule} at {at_s:.2f} s, {vm}: {text}")
