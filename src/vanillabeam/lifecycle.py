"""Shell around the core in :mod:`vanillabeam.readiness`: timer and effects."""

from collections.abc import Callable
from math import inf

import trio
from loguru import logger

from vanillabeam.readiness import (
    CloseListeners,
    ConfigReady,
    DrainRequested,
    Event,
    Exit,
    Phase,
    Readiness,
    ReportCutRequests,
    RequestEnded,
    RequestStarted,
    Tick,
    handle,
)

__all__ = ["Lifecycle"]

#: Seconds between two time events to the core.
TICK_S = 0.1
#: Seconds before the end of a planned stop in which final answers are sent.
ANSWER_S = 0.4


class Lifecycle:
    """Lifecycle of a VM, from its start to its exit code.

    :param state: state of the core.
    :param close_listeners: called once during a drain, to stop new connections.
    :ivar draining: set when a planned stop begins.
    :ivar is_withdrawn: whether other VMs are to take the requests for a time.
    :ivar exit_code: exit code; ``None`` until :meth:`run` has returned.
    :ivar cut_requests: number of requests that the stop cut off.
    :ivar drained_s: duration of the drain in seconds.

    >>> lifecycle = Lifecycle(Readiness(5.0, 60.0), close_listeners)
    >>> nursery.start_soon(lifecycle.run)
    >>> lifecycle.drain()
    """

    def __init__(self, state: Readiness, close_listeners: Callable[[], None]):
        self._state = state
        self._close_listeners = close_listeners
        self._stopped = trio.Event()
        self.draining = trio.Event()
        self.is_withdrawn = False
        self.exit_code: int | None = None
        self.cut_requests = 0
        self.drained_s = 0.0

    @property
    def phase(self) -> Phase:
        """The current phase of the VM."""
        return self._state.phase

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests to this VM."""
        return self._state.phase is Phase.READY and not self.is_withdrawn

    @property
    def open_requests(self) -> int:
        """The number of callers' requests that are not completely answered."""
        return len(self._state.open_requests)

    @property
    def answers_until_s(self) -> float:
        """Monotonic time by which a planned stop needs each final answer, else inf."""
        if not self.draining.is_set():
            return inf
        return self._state.drain_began_s + self._state.deadline_s - ANSWER_S

    def config_ready(self, index: int) -> None:
        """Report a configuration that is fresh enough to serve requests.

        :param index: ticket index of the configuration.
        """
        self._handle(ConfigReady(index))

    def request_started(self, request_id: str) -> None:
        """Report that a caller's request has started."""
        self._handle(RequestStarted(request_id))

    def request_ended(self, request_id: str) -> None:
        """Report that a caller's request has ended."""
        self._handle(RequestEnded(request_id))

    def drain(self) -> None:
        """Begin a planned stop; a second call stops the VM at once."""
        logger.info("drain requested")
        self.draining.set()
        self._handle(DrainRequested())

    async def run(self) -> int:
        """Send time events to the core until it stops; return the exit code."""
        while not self._stopped.is_set():
            with trio.move_on_after(TICK_S):
                await self._stopped.wait()
            if not self._stopped.is_set():
                self._handle(Tick())
        return self.exit_code

    def _handle(self, event: Event) -> None:
        for effect in handle(event, self._state, trio.current_time()):
            self._execute(effect)

    def _execute(self, effect) -> None:
        match effect:
            case CloseListeners():
                self._close_listeners()
            case ReportCutRequests(request_ids):
                self.cut_requests = len(request_ids)
                logger.bind(request_ids=list(request_ids)).error("requests cut off")
            case Exit(code):
                self.exit_code = code
                self.drained_s = trio.current_time() - self._state.drain_began_s
                self._stopped.set()
