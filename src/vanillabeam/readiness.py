"""Functional core of a VM's lifecycle: starting, ready, draining, stopped.

The shell in :mod:`vanillabeam.lifecycle` passes events to it and executes the
effects that it returns.
"""

from enum import StrEnum
from functools import singledispatch
from typing import NamedTuple

from vanillabeam.exceptions import InvariantBroken

__all__ = [
    "SETTLE_S",
    "CloseListeners",
    "ConfigReady",
    "DrainRequested",
    "Effect",
    "Exit",
    "Phase",
    "Readiness",
    "ReportCutRequests",
    "RequestEnded",
    "RequestStarted",
    "Tick",
    "handle",
]


#: Time from the closing of the listeners to the exit, for requests that had been
#: accepted before; longer than a listener waits for them to arrive.
SETTLE_S = 0.6


class Phase(StrEnum):
    """Phases of a VM's lifecycle, in order."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class ConfigReady(NamedTuple):
    """The VM has a configuration that is fresh enough to serve requests.

    :param index: ticket index of the configuration.
    """

    index: int


class DrainRequested(NamedTuple):
    """A planned stop was requested; a second request stops the VM at once."""


class RequestStarted(NamedTuple):
    """A caller's request was accepted."""

    request_id: str


class RequestEnded(NamedTuple):
    """A caller's request was answered completely or has failed."""

    request_id: str


class Tick(NamedTuple):
    """Time has passed."""


class CloseListeners(NamedTuple):
    """Close the callers' listeners: the balancer has had time to notice."""


class ReportCutRequests(NamedTuple):
    """Report the requests that the stop cuts off.

    :param request_ids: sorted ids of the requests.
    """

    request_ids: tuple[str, ...]


class Exit(NamedTuple):
    """Exit the process.

    :param code: exit code; 0 if no request was cut off.
    """

    code: int


Event = ConfigReady | DrainRequested | RequestStarted | RequestEnded | Tick
Effect = CloseListeners | ReportCutRequests | Exit

EXIT_OK = 0
EXIT_CUT = 3


class Readiness:
    """State of a VM's lifecycle.

    :param notice_s: seconds between the start of a drain and the closing of the
        listeners, in which the balancer notices that the VM is not ready.
    :param deadline_s: seconds after which a drain cuts off open requests.
    :param settle_s: seconds between the closing of the listeners and the exit, in
        which requests that had been accepted still start.

    >>> state = Readiness(notice_s=5.0, deadline_s=60.0)
    >>> handle(ConfigReady(index=1), state, now_s=0.0)
    []
    >>> state.phase
    <Phase.READY: 'ready'>
    """

    def __init__(self, notice_s: float, deadline_s: float, settle_s: float = 0.0):
        self.notice_s = notice_s
        self.deadline_s = deadline_s
        self.settle_s = settle_s
        self.phase = Phase.STARTING
        self.open_requests: set[str] = set()
        self.drain_began_s: float | None = None
        self.listeners_closed = False


@singledispatch
def handle(event: Event, state: Readiness, now_s: float) -> list[Effect]:
    """Apply an event to ``state`` and return the effects to execute.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the event's type is not one of ``Event``, or a
        request starts twice.
    """
    raise InvariantBroken(f"readiness does not take {type(event).__name__}")


@handle.register
def _(event: ConfigReady, state: Readiness, now_s: float) -> list[Effect]:
    if state.phase is Phase.STARTING:
        state.phase = Phase.READY
    return []


@handle.register
def _(event: RequestStarted, state: Readiness, now_s: float) -> list[Effect]:
    if event.request_id in state.open_requests:
        raise InvariantBroken(f"request {event.request_id} started twice")
    state.open_requests.add(event.request_id)
    return []


@handle.register
def _(event: RequestEnded, state: Readiness, now_s: float) -> list[Effect]:
    state.open_requests.discard(event.request_id)
    return _progress_drain(state, now_s)


@handle.register
def _(event: DrainRequested, state: Readiness, now_s: float) -> list[Effect]:
    if state.phase is Phase.DRAINING:
        return _stop(state)
    if state.phase is Phase.STOPPED:
        return []
    state.phase = Phase.DRAINING
    state.drain_began_s = now_s
    return _progress_drain(state, now_s)


@handle.register
def _(event: Tick, state: Readiness, now_s: float) -> list[Effect]:
    return _progress_drain(state, now_s)


def _progress_drain(state: Readiness, now_s: float) -> list[Effect]:
    if state.phase is not Phase.DRAINING:
        return []
    effects: list[Effect] = []
    drained_s = now_s - state.drain_began_s
    if drained_s >= state.notice_s and not state.listeners_closed:
        state.listeners_closed = True
        effects.append(CloseListeners())
    is_settled = drained_s >= state.notice_s + state.settle_s
    is_drained = is_settled and not state.open_requests
    if is_drained or drained_s >= state.deadline_s:
        effects.extend(_stop(state))
    return effects


def _stop(state: Readiness) -> list[Effect]:
    state.phase = Phase.STOPPED
    if not state.open_requests:
        return [Exit(EXIT_OK)]
    return [ReportCutRequests(tuple(sorted(state.open_requests))), Exit(EXIT_CUT)]
