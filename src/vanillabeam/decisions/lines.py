"""Log lines of records: their levels, and budgets of lines per second."""

import re
import time
from collections import Counter
from typing import NamedTuple

from loguru import logger

from vanillabeam.decisions.control import (
    ControlForgotten,
    ControlHeard,
    DeploymentRefused,
    DeploymentUnreadable,
    HomeChosen,
    MemberRemoved,
    OrderSettled,
    OrderUnsettled,
    StateInForce,
)
from vanillabeam.decisions.process import (
    LibraryWarned,
    LinesDropped,
    PortFree,
    PortTaken,
    Ready,
    SeedsChanged,
    SettingsUnreadable,
    Started,
    Stopped,
    TaskFailed,
)
from vanillabeam.decisions.quarantine import (
    PartConvicted,
    QuarantineChanged,
    RequestAccused,
    TargetEnded,
)
from vanillabeam.decisions.requests import (
    AnswerCut,
    AttemptFailed,
    CallerGone,
    ConnectionFailed,
    ConnectionStalled,
    PermitDenied,
    RequestAdmitted,
    RequestAnswered,
    RequestRefused,
    TargetChosen,
)
from vanillabeam.decisions.targets import (
    AnnouncementUnreadable,
    FenceRaised,
    LeavingReported,
    LimitUnreadable,
    PartsFreed,
    PartsRetired,
    StoreHeard,
    StoreLost,
    TargetChanged,
    TargetLeaving,
    TargetLeft,
    TargetLimited,
    TargetPaused,
    TargetRested,
    TargetSilent,
    TargetStays,
    TargetUnlimited,
    TargetUnlisted,
    WeightsHeld,
    WeightsOrdered,
)

__all__ = ["KINDS", "LINE_BUDGETS", "LineBudgets", "event_name", "log_record"]


class Kind(NamedTuple):
    """Log level and budget of one kind of line.

    :param lines_s: maximum number of lines per second.
    """

    level: str
    lines_s: int


_FREQUENT_LINES_S = 40
_RARE_LINES_S = 100
_FAILURE_LINES_S = 200

#: Level and budget by record class; failures have the largest budgets.
KINDS: dict[type, Kind] = {
    RequestAdmitted: Kind("INFO", _FREQUENT_LINES_S),
    TargetChosen: Kind("INFO", _FREQUENT_LINES_S),
    RequestAnswered: Kind("INFO", _FREQUENT_LINES_S),
    AttemptFailed: Kind("WARNING", _FAILURE_LINES_S),
    RequestRefused: Kind("WARNING", _FAILURE_LINES_S),
    AnswerCut: Kind("WARNING", _FAILURE_LINES_S),
    CallerGone: Kind("INFO", _RARE_LINES_S),
    ConnectionFailed: Kind("ERROR", _RARE_LINES_S),
    ConnectionStalled: Kind("INFO", _RARE_LINES_S),
    TargetChanged: Kind("INFO", _RARE_LINES_S),
    TargetLeft: Kind("INFO", _RARE_LINES_S),
    TargetSilent: Kind("WARNING", _RARE_LINES_S),
    TargetUnlisted: Kind("WARNING", _RARE_LINES_S),
    TargetRested: Kind("WARNING", _RARE_LINES_S),
    TargetStays: Kind("INFO", _RARE_LINES_S),
    LeavingReported: Kind("INFO", _RARE_LINES_S),
    TargetLeaving: Kind("INFO", _RARE_LINES_S),
    TargetPaused: Kind("INFO", _RARE_LINES_S),
    TargetLimited: Kind("INFO", _RARE_LINES_S),
    TargetUnlimited: Kind("INFO", _RARE_LINES_S),
    LimitUnreadable: Kind("WARNING", _FREQUENT_LINES_S),
    PermitDenied: Kind("INFO", _FREQUENT_LINES_S),
    TargetEnded: Kind("WARNING", _RARE_LINES_S),
    RequestAccused: Kind("WARNING", _RARE_LINES_S),
    PartConvicted: Kind("ERROR", _RARE_LINES_S),
    QuarantineChanged: Kind("WARNING", _RARE_LINES_S),
    AnnouncementUnreadable: Kind("WARNING", _FREQUENT_LINES_S),
    StateInForce: Kind("INFO", _RARE_LINES_S),
    OrderSettled: Kind("INFO", _RARE_LINES_S),
    OrderUnsettled: Kind("WARNING", _RARE_LINES_S),
    DeploymentRefused: Kind("WARNING", _RARE_LINES_S),
    DeploymentUnreadable: Kind("ERROR", _RARE_LINES_S),
    FenceRaised: Kind("WARNING", _RARE_LINES_S),
    WeightsHeld: Kind("INFO", _RARE_LINES_S),
    WeightsOrdered: Kind("INFO", _RARE_LINES_S),
    StoreHeard: Kind("INFO", _RARE_LINES_S),
    StoreLost: Kind("WARNING", _RARE_LINES_S),
    PartsRetired: Kind("INFO", _RARE_LINES_S),
    PartsFreed: Kind("INFO", _RARE_LINES_S),
    ControlHeard: Kind("INFO", _RARE_LINES_S),
    ControlForgotten: Kind("WARNING", _RARE_LINES_S),
    HomeChosen: Kind("INFO", _RARE_LINES_S),
    MemberRemoved: Kind("WARNING", _RARE_LINES_S),
    TaskFailed: Kind("ERROR", _RARE_LINES_S),
    Started: Kind("INFO", _RARE_LINES_S),
    PortTaken: Kind("ERROR", _RARE_LINES_S),
    PortFree: Kind("WARNING", _RARE_LINES_S),
    Ready: Kind("INFO", _RARE_LINES_S),
    Stopped: Kind("INFO", _RARE_LINES_S),
    SeedsChanged: Kind("INFO", _RARE_LINES_S),
    SettingsUnreadable: Kind("ERROR", _RARE_LINES_S),
    LibraryWarned: Kind("WARNING", _FREQUENT_LINES_S),
    LinesDropped: Kind("WARNING", _RARE_LINES_S),
}

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")
_EVENTS = {kind: _WORD_START.sub("-", kind.__name__).lower() for kind in KINDS}


class LineBudgets:
    """Counts log lines per kind and second against their budgets.

    :ivar dropped: number of lines that this process has dropped.

    >>> budgets = LineBudgets()
    >>> budgets.consume(Ready, now_s=1.0)
    True
    """

    def __init__(self):
        self.dropped = 0
        self._second = 0
        self._written: Counter[type] = Counter()
        self._dropped_by_kind: Counter[type] = Counter()

    def consume(self, kind: type, now_s: float) -> bool:
        """Count a line of ``kind`` and return whether it is within the budget.

        :param now_s: monotonic time in seconds.
        """
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] <= KINDS[kind].lines_s:
            return True
        self.dropped += 1
        self._dropped_by_kind[kind] += 1
        return False

    def pop_dropped(self) -> list[LinesDropped]:
        """Return the lines dropped since the last call, counted by kind."""
        lines = [LinesDropped(_EVENTS[k], n) for k, n in self._dropped_by_kind.items()]
        self._dropped_by_kind.clear()
        return lines


LINE_BUDGETS = LineBudgets()


def event_name(kind: type) -> str:
    """Return the event name of lines of a kind."""
    return _EVENTS[kind]


def log_record(record: NamedTuple) -> None:
    """Write a record as a log line if its kind's budget allows.

    :param record: instance of a class in :data:`KINDS`.
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
