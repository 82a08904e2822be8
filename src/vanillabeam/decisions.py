"""Every kind of log line of a fleet VM, as a typed record.

``note`` writes one. Each kind has a budget of lines a second; what is over it
is counted and told in one line a second.
"""

import re
import time
from collections import Counter
from typing import NamedTuple

from loguru import logger

__all__ = [
    "KINDS",
    "AnnouncementUnreadable",
    "AnswerCut",
    "AttemptFailed",
    "CallerGone",
    "ControlForgotten",
    "ControlHeard",
    "DeploymentRefused",
    "LinesDropped",
    "MemberRemoved",
    "OrderSettled",
    "OrderUnsettled",
    "PartsFreed",
    "PartsRetired",
    "Ready",
    "RequestAdmitted",
    "RequestAnswered",
    "RequestRefused",
    "SeedsChanged",
    "SettingsUnreadable",
    "Started",
    "StateInForce",
    "Stopped",
    "StoreHeard",
    "StoreLost",
    "TargetChanged",
    "TargetChosen",
    "TargetLeft",
    "TargetRested",
    "TargetSilent",
    "WeightsOrdered",
    "event_name",
    "log_record",
]


class RequestAdmitted(NamedTuple):
    """A caller's request has a route; what was in force decided it.

    :param index: of the fleet state in force.
    :param number: of the deployment in force.
    :param budget_s: time until its final answer.
    """

    request_id: str
    route: str
    workspace: str
    rank: int
    index: int
    number: int
    budget_s: float


class TargetChosen(NamedTuple):
    """A request goes to a target.

    :param candidates: targets that could take it.
    :param age_s: age of the target's newest announcement.
    :param work: tokens that it brings.
    :param unread: tokens of shared parts that no store keeps.
    :param wait_s: expected time to its first event.
    """

    request_id: str
    service: str
    target: str
    candidates: int
    age_s: float
    work: int
    unread: int
    wait_s: float
    cold: bool
    attempts: int
    index: int


class AttemptFailed(NamedTuple):
    """A target gave no sound answer.

    :param run: whether the request may have run there.
    """

    request_id: str
    service: str
    target: str
    failure: str
    detail: str
    run: str
    age_s: float


class RequestAnswered(NamedTuple):
    """The caller has a target's whole answer."""

    request_id: str
    status: int
    attempts: int
    total_s: float


class RequestRefused(NamedTuple):
    """The caller has a failure of the system's own."""

    request_id: str
    failure: str
    detail: str
    status: int
    run: str
    retry_after_s: float | None
    index: int


class AnswerCut(NamedTuple):
    """An answer ended before it was whole."""

    request_id: str
    failure: str
    detail: str
    index: int


class CallerGone(NamedTuple):
    """The caller left before the answer was whole."""

    request_id: str
    total_s: float


class TargetChanged(NamedTuple):
    """A target says something new of itself.

    :param sequence: of the announcement, counted from its start.
    :param age_s: how long ago it said so.
    """

    target: str
    service: str
    address: str
    born_ms: int
    sequence: int
    draining: bool
    cold_ms: float
    age_s: float


class TargetLeft(NamedTuple):
    """A start of a target has ended."""

    target: str
    born_ms: int


class TargetSilent(NamedTuple):
    """Nobody has heard a target for too long."""

    target: str
    born_ms: int


class TargetRested(NamedTuple):
    """A target that gave no sound answer is passed over for a while.

    :param rest_s: how long, in seconds.
    :param cut_off: whether its whole data centre is now used last.
    """

    target: str
    rest_s: float
    cut_off: bool


class AnnouncementUnreadable(NamedTuple):
    """An announcement names no target to use."""

    target: str
    detail: str


class StateInForce(NamedTuple):
    """A newer fleet state is in force on this VM."""

    index: int
    number: int
    evacuated: list[str]
    weights: dict[str, int]


class OrderSettled(NamedTuple):
    """An operator's order is settled for good.

    :param subject: the data centre or model that it is about.
    """

    kind: str
    number: int | None
    subject: str | None
    index: int


class OrderUnsettled(NamedTuple):
    """An operator's order has no clear outcome, or was not taken."""

    kind: str
    number: int | None
    subject: str | None
    failure: str
    run: str


class DeploymentRefused(NamedTuple):
    """An operator's document is invalid."""

    detail: str


class WeightsOrdered(NamedTuple):
    """The leader ordered a target to load weights.

    :param fence: the leader's term.
    """

    target: str
    model: str
    version: int
    fence: int
    reply: str


class StoreHeard(NamedTuple):
    """A store answers; it holds so many parts."""

    store: str
    epoch: int
    count: int


class StoreLost(NamedTuple):
    """A store is silent, has restarted, or lost events."""

    store: str
    epoch: int


class PartsRetired(NamedTuple):
    """Parts of a store are named no longer."""

    store: str
    count: int


class PartsFreed(NamedTuple):
    """A store has freed parts."""

    store: str
    count: int


class ControlHeard(NamedTuple):
    """A control VM's process answers for the first time."""

    address: str
    epoch: str
    index: int


class ControlForgotten(NamedTuple):
    """A control VM is watched no longer."""

    address: str


class MemberRemoved(NamedTuple):
    """A voter that stayed away was taken out, or could not be.

    :param failure: empty if it was.
    """

    peer: str
    failure: str


class Started(NamedTuple):
    """The process has begun.

    :param digest: of its settings.
    """

    version: str
    role: str
    digest: str


class Ready(NamedTuple):
    """The VM takes requests."""

    index: int


class Stopped(NamedTuple):
    """The process ends; the code is 0 if nothing was cut off."""

    code: int


class SeedsChanged(NamedTuple):
    """The settings name other seeds."""

    seeds: list[str]


class SettingsUnreadable(NamedTuple):
    """The settings file could not be read again; the old ones stay."""

    detail: str


class LinesDropped(NamedTuple):
    """So many lines of a kind were over its budget in the last second."""

    dropped: str
    count: int


class Kind(NamedTuple):
    """How lines of a kind are written.

    :param lines_s: most lines a second.
    """

    level: str
    lines_s: int


_OFTEN = 40
_SELDOM = 100
_FAILURES = 200

#: Kinds by record; failures have the largest budgets.
KINDS: dict[type, Kind] = {
    RequestAdmitted: Kind("INFO", _OFTEN),
    TargetChosen: Kind("INFO", _OFTEN),
    RequestAnswered: Kind("INFO", _OFTEN),
    AttemptFailed: Kind("WARNING", _FAILURES),
    RequestRefused: Kind("WARNING", _FAILURES),
    AnswerCut: Kind("WARNING", _FAILURES),
    CallerGone: Kind("INFO", _SELDOM),
    TargetChanged: Kind("INFO", _SELDOM),
    TargetLeft: Kind("INFO", _SELDOM),
    TargetSilent: Kind("WARNING", _SELDOM),
    TargetRested: Kind("WARNING", _SELDOM),
    AnnouncementUnreadable: Kind("WARNING", _OFTEN),
    StateInForce: Kind("INFO", _SELDOM),
    OrderSettled: Kind("INFO", _SELDOM),
    OrderUnsettled: Kind("WARNING", _SELDOM),
    DeploymentRefused: Kind("WARNING", _SELDOM),
    WeightsOrdered: Kind("INFO", _SELDOM),
    StoreHeard: Kind("INFO", _SELDOM),
    StoreLost: Kind("WARNING", _SELDOM),
    PartsRetired: Kind("INFO", _SELDOM),
    PartsFreed: Kind("INFO", _SELDOM),
    ControlHeard: Kind("INFO", _SELDOM),
    ControlForgotten: Kind("WARNING", _SELDOM),
    MemberRemoved: Kind("WARNING", _SELDOM),
    Started: Kind("INFO", _SELDOM),
    Ready: Kind("INFO", _SELDOM),
    Stopped: Kind("INFO", _SELDOM),
    SeedsChanged: Kind("INFO", _SELDOM),
    SettingsUnreadable: Kind("ERROR", _SELDOM),
    LinesDropped: Kind("WARNING", _SELDOM),
}

_WORDS = re.compile(r"(?<!^)(?=[A-Z])")
_EVENTS = {kind: _WORDS.sub("-", kind.__name__).lower() for kind in KINDS}


class LineBudgets:
    """Counts lines by kind and second.

    :ivar dropped: lines of this process that were left out.

    >>> budgets = Budgets()
    >>> budgets.take(Ready, now_s=1.0)
    True
    """

    def __init__(self):
        self.dropped = 0
        self._second = 0
        self._written: Counter[type] = Counter()
        self._left_out: Counter[type] = Counter()

    def consume(self, kind: type, now_s: float) -> bool:
        """Return whether one more line of a kind is within its budget."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] <= KINDS[kind].lines_s:
            return True
        self.dropped += 1
        self._left_out[kind] += 1
        return False

    def pop_dropped(self) -> list[LinesDropped]:
        """Return what was left out since the last call."""
        found = [LinesDropped(_EVENTS[k], n) for k, n in self._left_out.items()]
        self._left_out.clear()
        return found


LINE_BUDGETS = LineBudgets()


def event_name(kind: type) -> str:
    """Return the name that lines of a kind have as their event."""
    return _EVENTS[kind]


def log_record(record: NamedTuple) -> None:
    """Write one record as a log line, within its kind's budget.

    :param record: one of :data:`KINDS`.
    """
    kind = type(record)
    second = LINE_BUDGETS._second
    if not LINE_BUDGETS.consume(kind, time.monotonic()):
        return
    if LINE_BUDGETS._second != second:
        for dropped in LINE_BUDGETS.pop_dropped():
            _write(dropped)
    _write(record)


def _write(record: NamedTuple) -> None:
    kind = type(record)
    logger.bind(**record._asdict()).log(KINDS[kind].level, _EVENTS[kind])
