"""Commits the departures of targets before they are acknowledged."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import DepartureUncommitted
from vanillabeam.fleet.departures import make_departures
from vanillabeam.fleet.directory import Incarnation
from vanillabeam.fleet.machine import (
    Command,
    FleetMachine,
    departures,
    make_departure_change,
)
from vanillabeam.log import Applied
from vanillabeam.log.exceptions import LogError

__all__ = ["DepartingTask"]

#: Seconds in which departures are gathered for one command.
GATHER_S = 0.02
#: Seconds that a target's call waits for the commit. Targets wait for a second.
ANSWER_S = 0.8
#: Seconds after a failure until the command is proposed again.
RETRY_S = 0.5


class _Batch:
    """Departures of one command.

    :ivar settled: set once it has been proposed.
    :ivar is_committed: whether that has succeeded.
    """

    def __init__(self):
        self.ended: set[Incarnation] = set()
        self.draining: set[Incarnation] = set()
        self.settled = trio.Event()
        self.is_committed = False


class DepartingTask:
    """Puts departures into the log, many in one command.

    :param propose: appends a command to the log.
    :param machine: state with the departures that are committed.

    >>> departing = DepartingTask(control.propose, machine)
    >>> nursery.start_soon(departing.run)
    >>> await departing.commit_end(("t-1", 1_000))
    """

    def __init__(
        self,
        propose: Callable[[Command], Awaitable[Result[Applied, LogError]]],
        machine: FleetMachine,
    ):
        self._propose = propose
        self._machine = machine
        self._batch = _Batch()
        self._asked = trio.Event()

    async def commit_end(
        self, incarnation: Incarnation
    ) -> Result[None, DepartureUncommitted]:
        """Wait until it is committed that a target's start has ended.

        :returns: a failure if that takes too long; it is tried again then.
        """
        if incarnation in departures(self._machine.state)["ended"]:
            return Success(None)
        self._batch.ended.add(incarnation)
        return await self._commit(incarnation[0])

    async def commit_draining(
        self, incarnation: Incarnation
    ) -> Result[None, DepartureUncommitted]:
        """Wait until it is committed that a target drains, or has ended.

        :returns: as :meth:`commit_end`.
        """
        known = departures(self._machine.state)
        if incarnation in known["draining"] or incarnation in known["ended"]:
            return Success(None)
        self._batch.draining.add(incarnation)
        return await self._commit(incarnation[0])

    async def run(self) -> None:
        """Propose what was asked for until cancelled."""
        while True:
            await self._asked.wait()
            await trio.sleep(GATHER_S)
            batch, self._batch, self._asked = self._batch, _Batch(), trio.Event()
            change = make_departures(sorted(batch.ended), sorted(batch.draining))
            proposed = await self._propose(make_departure_change(change))
            batch.is_committed = isinstance(proposed, Success)
            batch.settled.set()
            if not batch.is_committed:
                self._batch.ended |= batch.ended
                self._batch.draining |= batch.draining
                self._asked.set()
                await trio.sleep(RETRY_S)

    async def _commit(self, name: str) -> Result[None, DepartureUncommitted]:
        batch = self._batch
        self._asked.set()
        with trio.move_on_after(ANSWER_S):
            await batch.settled.wait()
        if batch.is_committed:
            return Success(None)
        return Failure(DepartureUncommitted(name))
