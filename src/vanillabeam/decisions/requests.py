"""Records of the log lines about requests and the connections they come over."""

from typing import NamedTuple

__all__ = [
    "AnswerCut",
    "AttemptFailed",
    "CallerGone",
    "ConnectionFailed",
    "ConnectionStalled",
    "ConnectionUnowned",
    "PermitDenied",
    "RequestAdmitted",
    "RequestAnswered",
    "RequestRefused",
    "RequestWaits",
    "TargetChosen",
    "WaitEnded",
    "WaitRefused",
]


class RequestAdmitted(NamedTuple):
    """A caller's request was matched to a route and admitted.

    :param index: index of the fleet state used for the request.
    :param number: number of the deployment used for the request.
    :param budget_s: seconds within which the final answer is due.
    :param objective_s: seconds within which the route's first event is due; 0 without
        an objective.
    """

    request_id: str
    route: str
    workspace: str
    rank: int
    index: int
    number: int
    budget_s: float
    objective_s: float


class TargetChosen(NamedTuple):
    """A target was chosen for a request.

    :param candidates: number of targets that could take the request.
    :param age_s: age of the target's newest announcement in seconds.
    :param loads_age_s: seconds since the load of other entry VMs arrived; ``None``
        before.
    :param failing: by how much more often the target fails than its service does.
    :param work: tokens of work that the request brings to the target.
    :param unread: tokens of shared prompt parts that no store keeps.
    :param fetched: tokens of the work that stand for fetches of stored parts.
    :param queued: tokens of work at the target before the request's own.
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
    fetched: int
    queued: int
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
    :param open_s: seconds for which the request was open at the target.
    :param parts: parts of the prompt that other requests may share; the last ones if
        there are many.
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
    open_s: float
    parts: list[str]


class RequestAnswered(NamedTuple):
    """The caller received a target's complete answer.

    :param framing: how the target marked the end of its answer: ``length``,
        ``chunks``, or ``close`` for the end of the connection.
    :param partial_bytes: bytes of a stream after its last complete event.
    :param first_s: seconds from the request's head to the first part of the target's
        answer, or to all of a short one that is no stream.
    :param gap_s: longest time between two parts of a stream.
    """

    request_id: str
    status: int
    attempts: int
    total_s: float
    framing: str
    partial_bytes: int
    first_s: float | None
    gap_s: float


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


class ConnectionFailed(NamedTuple):
    """A connection, or a request on it, ended with an unexpected exception.

    Only this connection is closed.

    :param address: ``host:port`` of the caller.
    :param reason: the first exception.
    """

    address: str
    reason: str


class ConnectionUnowned(NamedTuple):
    """A connection of this VM is dropped whose request was given up as it got it.

    :param connection: its state, with its origin if it has been opened.
    """

    connection: str


class ConnectionStalled(NamedTuple):
    """A connection was closed because its caller read none of its answer.

    :param address: ``host:port`` of the caller.
    """

    address: str


class PermitDenied(NamedTuple):
    """A target takes no further request now, by the limit that it names.

    Its requests go to other targets meanwhile, wait, or are refused.

    :param request_id: the request that asked.
    :param rate_s: requests a second that the target takes from all VMs together.
    :param wait_s: seconds until the turn of a request of this VM.
    :param queued: whether this VM has a place until then, as its request waits.
    :param rivals: other VMs that wait for it.
    :param granter: address of the control VM that counts; empty if none answers, and
        this VM keeps to its share.
    """

    request_id: str
    target: str
    born_ms: int
    rate_s: float
    wait_s: float
    queued: bool
    rivals: int
    granter: str


class RequestWaits(NamedTuple):
    """A request waits in line for a place at the targets of its service.

    :param place: requests before it.
    :param length: requests in the line, this one included.
    :param expected_s: expected seconds until it gets a place.
    :param left_s: seconds until a place is of no use to it.
    :param returning: whether its caller seems to have been refused before.
    """

    request_id: str
    service: str
    workspace: str
    rank: int
    place: int
    length: int
    expected_s: float
    left_s: float
    returning: bool


class WaitEnded(NamedTuple):
    """A request left the line of its service.

    :param outcome: ``sent`` to a target, or ``left`` as its caller has gone or its time
        has passed.
    :param waited_s: seconds in the line.
    :param length: requests that still wait.
    """

    request_id: str
    service: str
    outcome: str
    waited_s: float
    length: int


class WaitRefused(NamedTuple):
    """A request was refused, as it can't get a place in time.

    :param place: requests before it when it last looked.
    :param length: requests in the line then, this one included.
    :param expected_s: expected seconds until it would have got a place.
    :param left_s: seconds until a place would have been of no use to it.
    :param waited_s: seconds in the line.
    """

    request_id: str
    service: str
    workspace: str
    rank: int
    place: int
    length: int
    expected_s: float
    left_s: float
    waited_s: float
    retry_after_s: float
