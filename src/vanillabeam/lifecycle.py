"""The shell round :mod:`vanillabeam.readiness`: one task, one inbox."""

from collections.abc import Callable

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

TICK_S = 0.1


class Lifecycle:
    """A VM's life, from unready to its exit code.

    :param state: the core.
    :param close_listeners: called once, when no new connection is to be taken.
    :ivar exit_code: set when :meth:`run` has ended.
    :ivar cut_requests: how many requests the stop cut off.
    :ivar drained_s: how long the drain took.

    >>> lifecycle = Lifecycle(Readiness(5.0, 60.0), close_listeners)
    >>> nursery.start_soon(lifecycle.run)
    >>> lifecycle.drain()
    """

    def __init__(self, state: Readiness, close_listeners: Callable[[], None]):
        self._state = state
        self._close_listeners = close_listeners
        self._stopped = trio.Event()
        self.draining = trio.Event()
        self.exit_code: int | None = None
        self.cut_requests = 0
        self.drained_s = 0.0

    @property
    def phase(self) -> Phase:
        """The phase that the VM is in."""
        return self._state.phase

    @property
    def is_ready(self) -> bool:
        """Whether the balancer is to send requests here."""
        return self._state.phase is Phase.READY

    @property
    def open_requests(self) -> int:
        """Callers' requests that have no whole answer yet."""
        return len(self._state.open_requests)

    def config_ready(self, index: int) -> None:
        """Say that the configuration at ``index`` is good to serve by."""
        self._feed(ConfigReady(index))

    def request_started(self, request_id: str) -> None:
        """Count a caller's request in."""
        self._feed(RequestStarted(request_id))

    def request_ended(self, request_id: str) -> None:
        """Count a caller's request out."""
        self._feed(RequestEnded(request_id))

    def drain(self) -> None:
        """Begin a planned stop; the second time, end it at once."""
        logger.info("drain requested")
        self.draining.set()
        self._feed(DrainRequested())

    async def run(self) -> int:
        """Drive time until the VM is to exit; return the exit code."""
        while not self._stopped.is_set():
            with trio.move_on_after(TICK_S):
                await self._stopped.wait()
            if not self._stopped.is_set():
                self._feed(Tick())
        return self.exit_code

    def _feed(self, event: Event) -> None:
        for effect in handle(event, self._state, trio.current_time()):
            self._carry_out(effect)

    def _carry_out(self, effect) -> None:
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
