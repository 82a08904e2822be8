"""Load leases: limits on targets that load weights or are out of service at once."""

from collections.abc import Iterable
from typing import NamedTuple, NotRequired, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.orders.exceptions import FloorReached, LoadsLimited, NotLeaseKeeper

__all__ = [
    "ENDED_LEASE_REPORTED_S",
    "LEASE_S",
    "LeaseReply",
    "LeaseRequest",
    "LeaseTable",
    "ReadyReport",
]

#: Targets that may load from one weight store at once, in the whole fleet.
LOADS_PER_STORE = 2
#: The same limit within a data centre that does not reach the control VMs.
LOADS_PER_STORE_ISOLATED = 1
LEASE_S = 30.0
#: The keeper holds a lease longer than its owner, because their clocks differ.
LEASE_MARGIN_S = 1.0
#: Age up to which a ready report counts.
REPORT_KEPT_S = 12.0
#: Time for which a refused request counts as waiting: owners ask again each second.
WAITING_KEPT_S = 3.0
#: Time for which an ended lease is kept: reports that do not list it are too old
#: to count by then.
ENDED_LEASE_KEPT_S = 35.0
#: Time by which reports name an ended lease longer than its keeper keeps it: a
#: lease that is kept but not named lowers the count of ready targets.
ENDED_LEASE_MARGIN_S = 10.0
#: Time for which ready reports still name a lease that has ended.
ENDED_LEASE_REPORTED_S = ENDED_LEASE_KEPT_S + ENDED_LEASE_MARGIN_S


class LeaseRequest(TypedDict):
    """``POST /peer/orders/lease``: request for a load lease or its renewal.

    :param lease: the lease to renew; empty for a new one.
    :param owner: name of the VM that owns the target.
    :param reporter: the reporter whose ready count includes the target.
    :param stores: weight stores from which the target loads.
    :param models: models with a ``min_ready`` that the target stops serving
        during the lease.
    :param failures: number of failed orders to the target; those with fewer go first.
    """

    lease: str
    owner: str
    reporter: str
    target: str
    stores: list[str]
    models: list[str]
    failures: NotRequired[int]


class LeaseReply(TypedDict):
    """A granted lease.

    :param lasts_s: duration in seconds, counted from when the request was sent.
    """

    lease: str
    lasts_s: float


class ReadyReport(TypedDict):
    """``POST /peer/orders/ready``: number of ready targets by model.

    :param reporter: name of an owner VM, or of a data centre for its total.
    :param sequence: number of this report among the reporter's reports.
    :param leases: leases that ``ready`` takes into account, held or ended.
    """

    reporter: str
    sequence: int
    ready: dict[str, int]
    leases: list[str]


class _Lease(NamedTuple):
    name: str
    request: LeaseRequest
    ends_s: float


class _Waiting(NamedTuple):
    """A request for a new lease that was refused, and when."""

    request: LeaseRequest
    refused_s: float


class _Report(NamedTuple):
    report: ReadyReport
    received_s: float


class LeaseTable:
    """Leases that one keeper has granted, and the ready counts that limit them.

    :param keeper: name that makes lease names unique.
    :param max_loads: number of targets that may load from one weight store at once.
    :param started_s: monotonic time at which this keeper started. It grants no
        lease until those of the previous keeper have expired, one lease time later.
    :ivar config: configuration whose ``min_ready`` values are enforced.

    >>> table = LeaseTable("vm-1", LOADS_PER_STORE, started_s=-60.0)
    """

    def __init__(self, keeper: str, max_loads: int, started_s: float):
        self.keeper = keeper
        self.max_loads = max_loads
        self.started_s = started_s
        self.config = Config()
        self._leases: dict[str, _Lease] = {}
        self._ended: list[_Lease] = []
        self._reports: dict[str, _Report] = {}
        self._granted_count = 0
        self._waiting: dict[str, _Waiting] = {}

    def grant(
        self, request: LeaseRequest, now_s: float
    ) -> Result[LeaseReply, VanillabeamError]:
        """Grant a lease, or renew the one that the owner holds.

        :returns: the lease; or :class:`LoadsLimited`, :class:`FloorReached`, or
            :class:`NotLeaseKeeper` while leases of the previous keeper may still
            hold.
        :raises InvariantBroken: if more targets load from a store than allowed.
        """
        if now_s < self.started_s + LEASE_S + LEASE_MARGIN_S:
            return Failure(NotLeaseKeeper("leases of the keeper before may still hold"))
        self._expire(now_s)
        held = self._leases.get(request["target"])
        if request["lease"]:
            return self._renew(request, held, now_s)
        if held is not None and held.request["owner"] == request["owner"]:
            # The owner gave up this lease while it could not reach the keeper. The
            # new lease gets a new name, so that it shows which reports include it.
            self._end(held, now_s)
            held = None
        refusal = self._check_limits(request, held, now_s)
        refusal = refusal or self._check_turn(request, now_s)
        if refusal is not None:
            self._waiting[request["target"]] = _Waiting(request, now_s)
            return Failure(refusal)
        self._waiting.pop(request["target"], None)
        self._granted_count += 1
        name = f"{self.keeper}-{self.started_s:.0f}-{self._granted_count}"
        reply = self._record_lease(request, name, now_s)
        self._check_loads(request["stores"])
        return Success(reply)

    def _renew(
        self, request: LeaseRequest, held: _Lease | None, now_s: float
    ) -> Result[LeaseReply, VanillabeamError]:
        if held is None or held.name != request["lease"]:
            return Failure(LoadsLimited(f"{request['lease']} has ended"))
        return Success(self._record_lease(request, held.name, now_s))

    def _record_lease(
        self, request: LeaseRequest, name: str, now_s: float
    ) -> LeaseReply:
        # A renewal that loads from fewer stores still counts as the first request.
        held = self._leases.get(request["target"])
        stored = request if held is None else held.request
        ends_s = now_s + LEASE_S + LEASE_MARGIN_S
        self._leases[request["target"]] = _Lease(name, stored, ends_s)
        return {"lease": name, "lasts_s": LEASE_S}

    def _check_limits(
        self, request: LeaseRequest, held: _Lease | None, now_s: float
    ) -> VanillabeamError | None:
        if held is not None:
            return LoadsLimited(
                f"{request['target']} has a lease of {held.request['owner']}"
            )
        for store in request["stores"]:
            if self._load_count(store) >= self.max_loads:
                return LoadsLimited(f"{self.max_loads} targets load from {store}")
        for model in request["models"]:
            record = self.config.models.get(model)
            floor = 0 if record is None else record.min_ready
            ready = self._ready_count(model, now_s)
            if floor and ready - 1 < floor:
                return FloorReached(f"{model}: {ready} ready, floor {floor}")
        return None

    def _check_turn(self, request: LeaseRequest, now_s: float) -> LoadsLimited | None:
        """Return a refusal if a target with fewer failures could have the lease now.

        Targets that fail again and again would otherwise keep the others waiting.
        """
        self._waiting = {
            name: waiting
            for name, waiting in self._waiting.items()
            if now_s - waiting.refused_s < WAITING_KEPT_S
        }
        for name, waiting in self._waiting.items():
            other = waiting.request
            if _failures(other) >= _failures(request) or not _compete(other, request):
                continue
            if self._check_limits(other, self._leases.get(name), now_s) is None:
                return LoadsLimited(f"{name} goes first, it has failed less often")
        return None

    def _load_count(self, store: str) -> int:
        return sum(store in lease.request["stores"] for lease in self._leases.values())

    def _ready_count(self, model: str, now_s: float) -> int:
        fresh = {
            name: stored.report
            for name, stored in self._reports.items()
            if now_s - stored.received_s < REPORT_KEPT_S
        }
        ready = sum(report["ready"].get(model, 0) for report in fresh.values())
        # A report that does not list a lease still counts its target as ready.
        unlisted = sum(
            model in lease.request["models"]
            and lease.request["reporter"] in fresh
            and lease.name not in fresh[lease.request["reporter"]]["leases"]
            for lease in [*self._leases.values(), *self._ended]
        )
        return ready - unlisted

    def _check_loads(self, stores: Iterable[str]) -> None:
        for store in stores:
            if self._load_count(store) > self.max_loads:
                raise InvariantBroken(f"{self._load_count(store)} loads from {store}")

    def release(self, name: str, now_s: float) -> None:
        """End the lease of this name; do nothing if it is unknown."""
        self._expire(now_s)
        for lease in list(self._leases.values()):
            if lease.name == name:
                self._end(lease, now_s)

    def _expire(self, now_s: float) -> None:
        for lease in list(self._leases.values()):
            if now_s >= lease.ends_s:
                self._end(lease, now_s)
        self._ended = [
            lease for lease in self._ended if now_s < lease.ends_s + ENDED_LEASE_KEPT_S
        ]

    def _end(self, lease: _Lease, now_s: float) -> None:
        del self._leases[lease.request["target"]]
        self._ended.append(lease._replace(ends_s=now_s))

    def report(self, report: ReadyReport, now_s: float) -> None:
        """Store a reporter's counts; ignore a report that arrives out of order."""
        held = self._reports.get(report["reporter"])
        stale = held is not None and report["sequence"] <= held.report["sequence"]
        if stale and now_s - held.received_s < REPORT_KEPT_S:
            return
        self._reports[report["reporter"]] = _Report(report, now_s)

    def total(self, reporter: str, sequence: int, now_s: float) -> ReadyReport:
        """Return the sum of all fresh counts as one report.

        A data centre's keeper sends it to the fleet's keeper.

        :param reporter: name of the data centre.
        :param sequence: number of the report that is returned.
        """
        ready: dict[str, int] = {}
        leases: list[str] = []
        for stored in self._reports.values():
            if now_s - stored.received_s >= REPORT_KEPT_S:
                continue
            leases += stored.report["leases"]
            for model, count in stored.report["ready"].items():
                ready[model] = ready.get(model, 0) + count
        return {
            "reporter": reporter,
            "sequence": sequence,
            "ready": ready,
            "leases": leases,
        }


def _failures(request: LeaseRequest) -> int:
    return request.get("failures", 0)


def _compete(one: LeaseRequest, other: LeaseRequest) -> bool:
    """Return whether two requests are limited by the same store or floor."""
    shares_store = not set(one["stores"]).isdisjoint(other["stores"])
    return shares_store or not set(one["models"]).isdisjoint(other["models"])
