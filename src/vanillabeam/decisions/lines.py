"""Log lines of records: their levels, and budgets of lines per second."""

import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

from vanillabeam.decisions import (
    control,
    exposure,
    process,
    quarantine,
    requests,
    rollouts,
    targets,
)

__all__ = [
    "KINDS",
    "LINE_BUDGETS",
    "LineBudgets",
    "event_name",
    "log_record",
    "write_to",
]

#: Writes a line of a level, an event and fields.
WriteLine = Callable[[str, str, dict[str, Any]], None]


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
    requests.RequestAdmitted: Kind("INFO", _FREQUENT_LINES_S),
    requests.TargetChosen: Kind("INFO", _FREQUENT_LINES_S),
    requests.RequestAnswered: Kind("INFO", _FREQUENT_LINES_S),
    requests.AttemptFailed: Kind("WARNING", _FAILURE_LINES_S),
    requests.RequestRefused: Kind("WARNING", _FAILURE_LINES_S),
    requests.AnswerCut: Kind("WARNING", _FAILURE_LINES_S),
    requests.CallerGone: Kind("INFO", _RARE_LINES_S),
    requests.ConnectionFailed: Kind("ERROR", _RARE_LINES_S),
    requests.ConnectionStalled: Kind("INFO", _RARE_LINES_S),
    requests.ConnectionUnowned: Kind("WARNING", _RARE_LINES_S),
    targets.TargetCapacityChanged: Kind("INFO", _FREQUENT_LINES_S),
    targets.TargetChanged: Kind("INFO", _RARE_LINES_S),
    targets.TargetLeft: Kind("INFO", _RARE_LINES_S),
    targets.TargetSilent: Kind("WARNING", _RARE_LINES_S),
    targets.TargetUnlisted: Kind("WARNING", _RARE_LINES_S),
    targets.TargetRested: Kind("WARNING", _RARE_LINES_S),
    targets.TargetStays: Kind("INFO", _RARE_LINES_S),
    targets.LeavingReported: Kind("INFO", _RARE_LINES_S),
    targets.TargetLeaving: Kind("INFO", _RARE_LINES_S),
    targets.TargetPaused: Kind("INFO", _RARE_LINES_S),
    targets.TargetLimited: Kind("INFO", _RARE_LINES_S),
    targets.TargetUnlimited: Kind("INFO", _RARE_LINES_S),
    targets.LimitUnreadable: Kind("WARNING", _FREQUENT_LINES_S),
    requests.PermitDenied: Kind("INFO", _FREQUENT_LINES_S),
    requests.RequestWaits: Kind("INFO", _FREQUENT_LINES_S),
    requests.WaitEnded: Kind("INFO", _FREQUENT_LINES_S),
    requests.WaitRefused: Kind("WARNING", _RARE_LINES_S),
    quarantine.TargetEnded: Kind("WARNING", _RARE_LINES_S),
    quarantine.RequestAccused: Kind("WARNING", _RARE_LINES_S),
    quarantine.PartConvicted: Kind("ERROR", _RARE_LINES_S),
    quarantine.QuarantineChanged: Kind("WARNING", _RARE_LINES_S),
    exposure.ExposureChanged: Kind("INFO", _RARE_LINES_S),
    exposure.RolloutInForce: Kind("WARNING", _RARE_LINES_S),
    exposure.VersionHeld: Kind("WARNING", _RARE_LINES_S),
    exposure.VersionsBarred: Kind("WARNING", _FREQUENT_LINES_S),
    rollouts.RolloutOrdered: Kind("WARNING", _RARE_LINES_S),
    rollouts.RolloutStepped: Kind("WARNING", _RARE_LINES_S),
    rollouts.RolloutSuspected: Kind("WARNING", _RARE_LINES_S),
    targets.AnnouncementUnreadable: Kind("WARNING", _FREQUENT_LINES_S),
    control.StateInForce: Kind("INFO", _RARE_LINES_S),
    control.OrderRead: Kind("INFO", _RARE_LINES_S),
    control.OrderSettled: Kind("INFO", _RARE_LINES_S),
    control.OrderUnsettled: Kind("WARNING", _RARE_LINES_S),
    control.DeploymentApplied: Kind("INFO", _RARE_LINES_S),
    control.DeploymentRefused: Kind("WARNING", _RARE_LINES_S),
    control.DeploymentUnreadable: Kind("ERROR", _RARE_LINES_S),
    control.DocumentFetched: Kind("INFO", _RARE_LINES_S),
    control.DocumentDelayed: Kind("WARNING", _RARE_LINES_S),
    targets.FenceRaised: Kind("WARNING", _RARE_LINES_S),
    targets.WeightsHeld: Kind("INFO", _RARE_LINES_S),
    targets.WeightsOrdered: Kind("INFO", _RARE_LINES_S),
    targets.StoreHeard: Kind("INFO", _RARE_LINES_S),
    targets.StoreLost: Kind("WARNING", _RARE_LINES_S),
    targets.PartsRetired: Kind("INFO", _RARE_LINES_S),
    targets.PartsFreed: Kind("INFO", _RARE_LINES_S),
    control.ControlHeard: Kind("INFO", _RARE_LINES_S),
    control.ControlUnanswered: Kind("WARNING", _RARE_LINES_S),
    control.ControlForgotten: Kind("WARNING", _RARE_LINES_S),
    control.HomeChosen: Kind("INFO", _RARE_LINES_S),
    control.LoadsExchanged: Kind("INFO", _RARE_LINES_S),
    control.MembershipChanged: Kind("WARNING", _RARE_LINES_S),
    control.QuorumLost: Kind("ERROR", _RARE_LINES_S),
    control.LeaderMissing: Kind("ERROR", _RARE_LINES_S),
    control.LeaderKnown: Kind("WARNING", _RARE_LINES_S),
    process.TaskFailed: Kind("ERROR", _RARE_LINES_S),
    process.OverloadChanged: Kind("WARNING", _RARE_LINES_S),
    process.Started: Kind("INFO", _RARE_LINES_S),
    process.PortTaken: Kind("ERROR", _RARE_LINES_S),
    process.PortFree: Kind("WARNING", _RARE_LINES_S),
    process.Ready: Kind("INFO", _RARE_LINES_S),
    process.Stopped: Kind("INFO", _RARE_LINES_S),
    process.SeedsChanged: Kind("INFO", _RARE_LINES_S),
    process.SettingsUnreadable: Kind("ERROR", _RARE_LINES_S),
    process.LibraryWarned: Kind("WARNING", _FREQUENT_LINES_S),
    process.LinesDropped: Kind("WARNING", _RARE_LINES_S),
}

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")
_EVENTS = {kind: _WORD_START.sub("-", kind.__name__).lower() for kind in KINDS}


class LineBudgets:
    """Counts log lines per kind and second against their budgets.

    :ivar dropped: number of lines that this process has dropped.

    >>> budgets = LineBudgets()
    >>> budgets.consume(process.Ready, now_s=1.0)
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

    def pop_dropped(self) -> list[process.LinesDropped]:
        """Return the lines dropped since the last call, counted by kind."""
        lines = [
            process.LinesDropped(_EVENTS[k], n)
            for k, n in self._dropped_by_kind.items()
        ]
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


def write_to(write: WriteLine | None) -> None:
    """Have all records written by a function; ``None`` restores the logger.

    The logger inspects the caller's frame, thread and process for each line, which
    costs more than the line.

    :param write: takes the level, the event and the fields of a line.
    """
    global _write_line
    _write_line = write or _log


def _log(level: str, event: str, fields: dict[str, Any]) -> None:
    logger.bind(**fields).log(level, event)


_write_line: WriteLine = _log


def _write(record: NamedTuple) -> None:
    kind = type(record)
    _write_line(KINDS[kind].level, _EVENTS[kind], record._asdict())
