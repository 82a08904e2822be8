"""Typed records of the log lines that a fleet VM writes.

The event of a line is the record's class name in kebab case, and the record's
fields are the line's keys. :func:`log_record` writes a record. Each kind has a
budget of lines per second; lines over the budget are counted and reported in
one ``lines-dropped`` line per kind and second.
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
    "ConnectionFailed",
    "ConnectionStalled",
    "ControlForgotten",
    "ControlHeard",
    "DeploymentRefused",
    "DeploymentUnreadable",
    "HomeChosen",
    "LinesDropped",
    "MemberRemoved",
    "OrderSettled",
    "OrderUnsettled",
    "PartsFreed",
    "PartsRetired",
    "PortFree",
    "PortTaken",
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
    "TargetLeaving",
    "TargetLeft",
    "TargetPaused",
    "TargetRested",
    "TargetSilent",
    "TaskFailed",
    "WeightsOrdered",
    "event_name",
    "log_record",
]


class RequestAdmitted(NamedTuple):
    """A caller's request was matched to a route and admitted.

    :param index: index of the fleet state used for the request.
    :param number: number of the deployment used for the request.
    :param budget_s: seconds within which the final answer is due.
    """

    request_id: str
    route: str
    workspace: str
    rank: int
    index: int
    number: int
    budget_s: float


class TargetChosen(NamedTuple):
    """A target was chosen for a request.

    :param candidates: number of targets that could take the request.
    :param age_s: age of the target's newest announcement in seconds.
    :param loads_age_s: seconds since the load of other entry VMs arrived; ``None``
        before.
    :param failing: by how much more often the target fails than its service does.
    :param work: tokens of work that the request brings to the target.
    :param unread: tokens of shared prompt parts that no store keeps.
    :param wait_s: expected seconds to the first event of the answer.
    :param left_out: targets that asked to be left out, with the reason and the seconds
        since they said so; some of them if there are many.
    """

    request_id: str
    service: str
    target: str
    candidates: int
    age_s: float
    loads_age_s: float | None
    failing: float
    work: int
    unread: int
    wait_s: float
    cold: bool
    attempts: int
    index: int
    left_out: list[str]


class AttemptFailed(NamedTuple):
    """A target gave no valid answer to a request.

    :param run: whether the request may have run at this target.
    :param framing: how the end of the answer was marked; empty without an answer.
    :param partial_bytes: bytes of a stream after its last complete event.
    """

    request_id: str
    service: str
    target: str
    failure: str
    detail: str
    run: str
    age_s: float
    framing: str
    partial_bytes: int


class RequestAnswered(NamedTuple):
    """The caller received a target's complete answer.

    :param framing: how the target marked the end of its answer: ``length``,
        ``chunks``, or ``close`` for the end of the connection.
    :param partial_bytes: bytes of a stream after its last complete event.
    """

    request_id: str
    status: int
    attempts: int
    total_s: float
    framing: str
    partial_bytes: int


class RequestRefused(NamedTuple):
    """The system answered a request with a failure of its own."""

    request_id: str
    failure: str
    detail: str
    status: int
    run: str
    retry_after_s: float | None
    index: int


class AnswerCut(NamedTuple):
    """An answer ended before it was complete."""

    request_id: str
    failure: str
    detail: str
    index: int


class CallerGone(NamedTuple):
    """The caller disconnected before the answer was complete."""

    request_id: str
    total_s: float


class TargetChanged(NamedTuple):
    """A target announced a change of its state.

    :param sequence: number of the announcement, counted from the target's start.
    :param age_s: age of the announcement in seconds.
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
    """An incarnation of a target has ended."""

    target: str
    born_ms: int


class ConnectionFailed(NamedTuple):
    """A connection, or a request on it, ended with an unexpected exception.

    Only this connection is closed.

    :param address: ``host:port`` of the caller.
    :param reason: the first exception.
    """

    address: str
    reason: str


class ConnectionStalled(NamedTuple):
    """A connection was closed because its caller read none of its answer.

    :param address: ``host:port`` of the caller.
    """

    address: str


class TargetLeaving(NamedTuple):
    """A target said in an answer to this VM that it leaves; it gets no more requests.

    :param request_id: the request that it answered; empty for a call of this VM.
    """

    target: str
    born_ms: int
    request_id: str


class TargetPaused(NamedTuple):
    """A target refused a request of this VM and asked for no more for some time.

    :param text: its ``Retry-After`` as received.
    :param is_literal: whether that was a number within bounds.
    :param pause_s: seconds until this VM may send it a request again.
    """

    target: str
    born_ms: int
    request_id: str
    text: str
    is_literal: bool
    pause_s: float


class TargetSilent(NamedTuple):
    """No announcement of a target has arrived for too long."""

    target: str
    born_ms: int


class TargetRested(NamedTuple):
    """A target that gave no valid answer gets no requests for a backoff time.

    :param rest_s: backoff time in seconds.
    :param cut_off: whether the target's data centre is now used only if no
        other can take the request.
    """

    target: str
    rest_s: float
    cut_off: bool


class AnnouncementUnreadable(NamedTuple):
    """An announcement is invalid and names no usable target."""

    target: str
    detail: str


class StateInForce(NamedTuple):
    """A newer fleet state came into force on this VM."""

    index: int
    number: int
    evacuated: list[str]
    weights: dict[str, int]


class OrderSettled(NamedTuple):
    """An operator's order is settled for good.

    :param subject: data centre or model that the order concerns.
    """

    kind: str
    number: int | None
    subject: str | None
    index: int


class OrderUnsettled(NamedTuple):
    """An operator's order was refused, or its outcome is unknown."""

    kind: str
    number: int | None
    subject: str | None
    failure: str
    run: str


class DeploymentRefused(NamedTuple):
    """A deployment document sent by an operator is invalid."""

    detail: str


class DeploymentUnreadable(NamedTuple):
    """A committed deployment can't be read here; the one in force stays."""

    number: int
    detail: str


class WeightsOrdered(NamedTuple):
    """The leader ordered a target to load weights.

    :param fence: term of the leader, by which the target rejects older leaders.
    """

    target: str
    model: str
    version: int
    fence: int
    reply: str


class StoreHeard(NamedTuple):
    """A store has listed the prompt parts that it holds."""

    store: str
    epoch: int
    count: int


class StoreLost(NamedTuple):
    """A store stopped answering, restarted or lost events."""

    store: str
    epoch: int


class PartsRetired(NamedTuple):
    """Prompt parts of a store were removed from the index of stored parts."""

    store: str
    count: int


class PartsFreed(NamedTuple):
    """A store has freed the memory of retired prompt parts."""

    store: str
    count: int


class ControlHeard(NamedTuple):
    """A control VM's process answered for the first time."""

    address: str
    epoch: str
    index: int


class ControlForgotten(NamedTuple):
    """A control VM is no longer watched."""

    address: str


class HomeChosen(NamedTuple):
    """An entry VM reports its load to another control VM from now on.

    :param previous: address of the one before; empty at first.
    """

    address: str
    previous: str


class MemberRemoved(NamedTuple):
    """An absent voter was removed from the log's group, or could not be.

    :param failure: type of the failure, empty if the voter was removed.
    """

    peer: str
    failure: str


class TaskFailed(NamedTuple):
    """A task beside the requests failed; it runs again, or its piece of work stops.

    :param task: name of the task.
    """

    task: str
    failure: str
    detail: str


class Started(NamedTuple):
    """The process has started.

    :param digest: digest of its settings.
    """

    version: str
    role: str
    digest: str


class PortTaken(NamedTuple):
    """A listener waits for its port; the rest of the VM goes on meanwhile.

    :param listener: name of the listener.
    """

    listener: str
    address: str
    failure: str
    detail: str


class PortFree(NamedTuple):
    """A listener has the port that it waited for.

    :param listener: name of the listener.
    :param waited_s: seconds that it waited.
    """

    listener: str
    address: str
    waited_s: float


class Ready(NamedTuple):
    """The VM is ready to take requests."""

    index: int


class Stopped(NamedTuple):
    """The process exits; the code is 0 if no request was cut off."""

    code: int


class SeedsChanged(NamedTuple):
    """The list of seeds in the settings has changed."""

    seeds: list[str]


class SettingsUnreadable(NamedTuple):
    """The settings file could not be reloaded; the old settings stay in force."""

    detail: str


class LinesDropped(NamedTuple):
    """Lines of a kind were dropped because they were over its budget."""

    dropped: str
    count: int


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
    TargetRested: Kind("WARNING", _RARE_LINES_S),
    TargetLeaving: Kind("INFO", _RARE_LINES_S),
    TargetPaused: Kind("INFO", _RARE_LINES_S),
    AnnouncementUnreadable: Kind("WARNING", _FREQUENT_LINES_S),
    StateInForce: Kind("INFO", _RARE_LINES_S),
    OrderSettled: Kind("INFO", _RARE_LINES_S),
    OrderUnsettled: Kind("WARNING", _RARE_LINES_S),
    DeploymentRefused: Kind("WARNING", _RARE_LINES_S),
    DeploymentUnreadable: Kind("ERROR", _RARE_LINES_S),
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
