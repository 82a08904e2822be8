"""Load leases: how many targets load, or are out, at once."""

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.orders.exceptions import FloorReached, LoadsLimited, NotKeeper

__all__ = ["LEASE_S", "LeaseRequest", "LeaseReply", "LeaseTable", "ReadyReport"]

LOADS_A_STORE = 2
LOADS_A_STORE_CUT_OFF = 1
LEASE_S = 30.0
#: A lease holds here longer than at its holder, for clocks that differ.
LEASE_MARGIN_S = 1.0
REPORT_KEPT_S = 12.0
#: By then every report that does not know of the lease is no longer counted.
ENDED_KEPT_S = 35.0


class LeaseRequest(TypedDict):
    """``POST /peer/orders/lease``.

    :param lease: the lease to prolong; empty for a new one.
    :param reporter: whose ready count holds the target.
    :param stores: weight stores that are loaded from.
    :param models: models with a floor that are put out meanwhile.
    """

    lease: str
    owner: str
    reporter: str
    target: str
    stores: list[str]
    models: list[str]


class LeaseReply(TypedDict):
    """A lease and for how long it holds from the moment of asking."""

    lease: str
    lasts_s: float


class ReadyReport(TypedDict):
    """``POST /peer/orders/ready``: how many targets are ready by model.

    :param reporter: an owner, or a data centre as a whole.
    :param sequence: counts the reporter's reports.
    :param leases: leases that ``ready`` takes into account, held or ended.
    """

    reporter: str
    sequence: int
    ready: dict[str, int]
    leases: list[str]


class _Lease(NamedTuple):
    name: str
    ask: LeaseRequest
    ends_s: float


class _Report(NamedTuple):
    report: ReadyReport
    received_s: float


class LeaseTable:
    """Leases that one keeper has given, and the counts that bound them.

    :param keeper: name that makes lease names unique.
    :param loads: targets that load from one weight store at once.
    :param began_s: monotonic time at which this keeper began; leases of the
        keeper before it have ended one lease time later.

    >>> table = LeaseTable("vm-1", LOADS_A_STORE, began_s=-60.0)
    """

    def __init__(self, keeper: str, loads: int, began_s: float):
        self.keeper = keeper
        self.loads = loads
        self.began_s = began_s
        self.config = Config()
        self._leases: dict[str, _Lease] = {}
        self._ended: list[_Lease] = []
        self._reports: dict[str, _Report] = {}
        self._given = 0

    def ask(
        self, ask: LeaseRequest, now_s: float
    ) -> Result[LeaseReply, VanillabeamError]:
        """Give a lease, or prolong the one that the owner holds.

        :returns: :class:`LoadsLimited`, :class:`FloorReached`, or
            :class:`NotKeeper` while leases given before may still hold.
        """
        if now_s < self.began_s + LEASE_S + LEASE_MARGIN_S:
            return Failure(NotKeeper("leases of the keeper before may still hold"))
        self._drop_ended(now_s)
        held = self._leases.get(ask["target"])
        if ask["lease"]:
            return self._prolong(ask, held, now_s)
        if held is not None and held.ask["owner"] == ask["owner"]:
            # Given up while cut off. A new one has a name of its own, so that
            # it shows which reports know of it.
            self._end(held, now_s)
            held = None
        refusal = self._refusal(ask, held, now_s)
        if refusal is not None:
            return Failure(refusal)
        self._given += 1
        name = f"{self.keeper}-{self.began_s:.0f}-{self._given}"
        reply = self._give(ask, name, now_s)
        self._check(ask["stores"])
        return Success(reply)

    def _prolong(
        self, ask: LeaseRequest, held: _Lease | None, now_s: float
    ) -> Result[LeaseReply, VanillabeamError]:
        if held is None or held.name != ask["lease"]:
            return Failure(LoadsLimited(f"{ask['lease']} has ended"))
        return Success(self._give(ask, held.name, now_s))

    def _give(self, ask: LeaseRequest, name: str, now_s: float) -> LeaseReply:
        # A renewal that loads less still counts as what it began as.
        held = self._leases.get(ask["target"])
        kept = ask if held is None else held.ask
        ends_s = now_s + LEASE_S + LEASE_MARGIN_S
        self._leases[ask["target"]] = _Lease(name, kept, ends_s)
        return {"lease": name, "lasts_s": LEASE_S}

    def _refusal(
        self, ask: LeaseRequest, held: _Lease | None, now_s: float
    ) -> VanillabeamError | None:
        if held is not None:
            return LoadsLimited(f"{ask['target']} has a lease of {held.ask['owner']}")
        for store in ask["stores"]:
            if self._loading(store) >= self.loads:
                return LoadsLimited(f"{self.loads} targets load from {store}")
        for model in ask["models"]:
            record = self.config.models.get(model)
            floor = 0 if record is None else record.min_ready
            ready = self._ready(model, now_s)
            if floor and ready - 1 < floor:
                return FloorReached(f"{model}: {ready} ready, floor {floor}")
        return None

    def _loading(self, store: str) -> int:
        return sum(store in lease.ask["stores"] for lease in self._leases.values())

    def _ready(self, model: str, now_s: float) -> int:
        fresh = {
            name: kept.report
            for name, kept in self._reports.items()
            if now_s - kept.received_s < REPORT_KEPT_S
        }
        ready = sum(report["ready"].get(model, 0) for report in fresh.values())
        # A report that doesn't know of a lease still counts its target.
        unknown = sum(
            model in lease.ask["models"]
            and lease.ask["reporter"] in fresh
            and lease.name not in fresh[lease.ask["reporter"]]["leases"]
            for lease in [*self._leases.values(), *self._ended]
        )
        return ready - unknown

    def _check(self, stores: Iterable[str]) -> None:
        for store in stores:
            if self._loading(store) > self.loads:
                raise InvariantBroken(f"{self._loading(store)} loads from {store}")

    def release(self, name: str, now_s: float) -> None:
        """Take a lease back; one that is not known has ended already."""
        self._drop_ended(now_s)
        for lease in list(self._leases.values()):
            if lease.name == name:
                self._end(lease, now_s)

    def _drop_ended(self, now_s: float) -> None:
        for lease in list(self._leases.values()):
            if now_s >= lease.ends_s:
                self._end(lease, now_s)
        self._ended = [
            lease for lease in self._ended if now_s < lease.ends_s + ENDED_KEPT_S
        ]

    def _end(self, lease: _Lease, now_s: float) -> None:
        del self._leases[lease.ask["target"]]
        self._ended.append(lease._replace(ends_s=now_s))

    def report(self, report: ReadyReport, now_s: float) -> None:
        """Take in a reporter's counts; late ones are dropped."""
        held = self._reports.get(report["reporter"])
        stale = held is not None and report["sequence"] <= held.report["sequence"]
        if stale and now_s - held.received_s < REPORT_KEPT_S:
            return
        self._reports[report["reporter"]] = _Report(report, now_s)

    def total(self, reporter: str, sequence: int, now_s: float) -> ReadyReport:
        """Return all fresh counts as one report, for the keeper above."""
        ready: dict[str, int] = {}
        leases: list[str] = []
        for kept in self._reports.values():
            if now_s - kept.received_s >= REPORT_KEPT_S:
                continue
            leases += kept.report["leases"]
            for model, count in kept.report["ready"].items():
                ready[model] = ready.get(model, 0) + count
        return {
            "reporter": reporter,
            "sequence": sequence,
            "ready": ready,
            "leases": leases,
        }
