"""Operators' orders that undo each other: none takes effect after a later one.

Evacuations and their ends carry no number. Callers that get no answer for a second send
an order again to another VM, so a copy of it may be read long after, when a later order
has been confirmed. Three things tell such a copy: its caller has closed the connection,
this process was paused, or the log has another order about the data centre that this VM
did not know when it read the copy.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import trio
from returns.result import Failure, Result, Success

from vanillabeam.decisions import OrderRead, log_record
from vanillabeam.exceptions import OrderAbandoned, ProcessPaused, VanillabeamError
from vanillabeam.fleet.machine import Command
from vanillabeam.log import Applied
from vanillabeam.log.exceptions import LogError, Overtaken
from vanillabeam.pauses import PauseDetector

__all__ = ["Caller", "GuardedLog", "OrderGuard"]

#: Seconds in which the end of a connection is seen that its caller closed long ago: it
#: may arrive a round trip after a request that the network has delayed.
LOOK_S = 0.05
#: Age of a connection in seconds up to which its caller waits for the answer for sure.
YOUNG_S = 0.5


class Caller(NamedTuple):
    """The sender of an order, which may wait for its answer.

    :param connected_s: monotonic time at which its connection was accepted.
    :param wait_gone: returns once it has closed the connection.
    """

    connected_s: float
    wait_gone: Callable[[], Awaitable[None]]


class GuardedLog(Protocol):
    """The log, as far as orders need it.

    :ivar applied: index up to which the log has been applied here.
    """

    applied: int

    async def propose(
        self, command: Command, after: int | None = None
    ) -> Result[Applied, LogError]:
        """Append a command, unless its subject has another one after ``after``."""

    async def catch_up(self) -> Result[int, LogError]:
        """Wait until all that is committed has been applied here."""


class OrderGuard:
    """Puts operators' orders into the log, but no outdated copy of one.

    :param pauses: pauses of this process.

    >>> guard = OrderGuard(control, pauses)
    >>> await guard.settle({"kind": "evacuate", "data_centre": "kgl-a"}, caller)
    """

    def __init__(self, log: GuardedLog, pauses: PauseDetector):
        self._log = log
        self._pauses = pauses

    async def settle(
        self, command: Command, caller: Caller
    ) -> Result[Applied, VanillabeamError]:
        """Propose an order as long as its caller waits for the answer.

        :returns: :class:`OrderAbandoned`, :class:`ProcessPaused` or
            :class:`~vanillabeam.log.exceptions.Overtaken` for what may be an outdated
            copy; another failure as of the log.
        """
        now_s, index = trio.current_time(), self._log.applied
        age_s = now_s - caller.connected_s
        log_record(
            OrderRead(
                command["kind"],
                command["data_centre"],
                index,
                round(age_s, 3),
                round(self._pauses.pause_s, 3),
            )
        )
        settled: Result[Applied, VanillabeamError] = Failure(OrderAbandoned())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_gone, caller, nursery.cancel_scope)
            # A caller that has left by now is seen before anything is proposed.
            await trio.sleep(LOOK_S)
            settled = await self._propose(command, index, age_s < YOUNG_S)
            nursery.cancel_scope.cancel()
        return settled

    async def check(
        self, caller: Caller
    ) -> Result[None, OrderAbandoned | ProcessPaused]:
        """Return whether a call that was just read is no outdated copy.

        It may be one if its caller has left, or this process was paused.
        """
        with trio.move_on_after(LOOK_S):
            await caller.wait_gone()
            return Failure(OrderAbandoned())
        if self._pauses.has_just_ended(trio.current_time()):
            return Failure(ProcessPaused(f"for {self._pauses.pause_s:.1f} s"))
        return Success(None)

    async def _propose(
        self, command: Command, index: int, is_young: bool
    ) -> Result[Applied, VanillabeamError]:
        """Propose an order after the entries up to ``index``.

        Where this VM was only a little behind, it catches up and proposes the order
        once more: a caller that connected just now has sent no later one.
        """
        proposed = await self._propose_once(command, index)
        if not is_young or not _is_overtaken(proposed):
            return proposed
        caught_up = await self._log.catch_up()
        if isinstance(caught_up, Failure):
            return proposed
        return await self._propose_once(command, self._log.applied)

    async def _propose_once(
        self, command: Command, index: int
    ) -> Result[Applied, VanillabeamError]:
        if self._pauses.has_just_ended(trio.current_time()):
            return Failure(ProcessPaused(f"for {self._pauses.pause_s:.1f} s"))
        return await self._log.propose(command, index)


def _is_overtaken(proposed: Result[Applied, VanillabeamError]) -> bool:
    return isinstance(proposed, Failure) and isinstance(proposed.failure(), Overtaken)


async def _cancel_when_gone(caller: Caller, scope: trio.CancelScope) -> None:
    await caller.wait_gone()
    scope.cancel()
