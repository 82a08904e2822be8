"""Service that takes operators' tickets and answers each by its outcome."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import msgspec
import trio
from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError
from vanillabeam.tickets.document import Ticket, parse
from vanillabeam.tickets.exceptions import (
    REFUSALS,
    TicketOutcomeUnknown,
    TicketRefused,
    UnknownTicket,
)
from vanillabeam.tickets.machine import ConfigStep, MachineReply, TicketMachine

__all__ = ["Accepted", "AppliedCommand", "Propose", "TicketService", "TicketSummary"]


class AppliedCommand(Protocol):
    """What the log says of a command that it has applied.

    :param index: the command's index.
    :param reply: what the state machine answered.
    """

    index: int
    reply: str


Propose = Callable[[str], Awaitable[Result[AppliedCommand, VanillabeamError]]]


class Accepted(NamedTuple):
    """The ticket is accepted, now or by an earlier send of the same.

    :param index: the index that it has.
    """

    number: int
    index: int


class TicketSummary(NamedTuple):
    """An accepted ticket, without secrets."""

    number: int
    author: str
    index: int
    digest: str


class TicketService:
    """Shell round :class:`TicketMachine` on a control VM.

    :param machine: the same one that the log applies to.
    :param propose: puts a command into the log and waits for its reply.

    >>> service = TicketService(machine, log.propose)
    >>> await service.apply(body)
    <Success: Accepted(number=7, index=12)>
    """

    def __init__(self, machine: TicketMachine, propose: Propose):
        self._machine = machine
        self._propose = propose
        self._changed = trio.Event()
        self._on_step: list[Callable[[ConfigStep | None], None]] = []
        machine.on_change = self._notify_listeners

    def listen(self, on_step: Callable[[ConfigStep | None], None]) -> None:
        """Call ``on_step`` at each change, in order and before any answer.

        :param on_step: gets the step, or ``None`` after a restored snapshot;
            it must not block.
        """
        self._on_step.append(on_step)

    def _notify_listeners(self, step: ConfigStep | None) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        for on_step in self._on_step:
            on_step(step)

    async def apply(self, body: bytes) -> Result[Accepted, VanillabeamError]:
        """Return the answer to an operator's ticket.

        :param body: the document.
        :returns: :class:`Accepted`; a :class:`TicketRefused` of its type; the
            log's own failure where the ticket was certainly not proposed; or
            :class:`TicketOutcomeUnknown`.
        """
        match parse(body):
            case Success(ticket):
                return await self._apply(ticket)
            case refused:
                return refused

    async def _apply(self, ticket: Ticket) -> Result[Accepted, VanillabeamError]:
        known = self._answer_without_log(ticket)
        if known is not None:
            return known
        match await self._propose(ticket.canonical):
            case Success(applied):
                return _answer(ticket, applied)
            case Failure(exc):
                return Failure(_outcome_failure(ticket, exc))

    def _answer_without_log(
        self, ticket: Ticket
    ) -> Result[Accepted, VanillabeamError] | None:
        # Only what can never change is answered without the log: this VM may
        # be behind, so references are left to the log's order.
        accepted = self._machine.tickets.get(ticket.number)
        if accepted is not None and accepted.digest == ticket.digest:
            return Success(Accepted(ticket.number, accepted.index))
        refusal = self._machine.check_number(ticket)
        return None if refusal is None else Failure(refusal)

    def show(self, number: int) -> Result[TicketSummary, VanillabeamError]:
        """Return the accepted ticket of this number, as this VM knows it."""
        accepted = self._machine.tickets.get(number)
        if accepted is None:
            return Failure(UnknownTicket(f"ticket {number}"))
        summary = TicketSummary(
            number, accepted.author, accepted.index, accepted.digest
        )
        return Success(summary)

    def config(self) -> Config:
        """Return the configuration as this VM has applied it."""
        return self._machine.config

    async def config_after(self, index: int) -> Config:
        """Wait for a configuration above ``index`` and return the newest."""
        while self._machine.config.index <= index:
            await self._changed.wait()
        return self._machine.config


def _answer(
    ticket: Ticket, applied: AppliedCommand
) -> Result[Accepted, VanillabeamError]:
    reply = msgspec.json.decode(applied.reply, type=MachineReply)
    if reply["status"] == "accepted":
        return Success(Accepted(ticket.number, reply["index"]))
    kind = REFUSALS.get(reply.get("type", ""), TicketRefused)
    if reply["status"] != "refused":
        raise InvariantBroken(f"reply {reply['status']} to ticket {ticket.number}")
    return Failure(kind(faults=tuple(reply.get("faults", ()))))


def _outcome_failure(ticket: Ticket, exc: VanillabeamError) -> VanillabeamError:
    if exc.run is Run.NOT_RUN:
        return exc
    return TicketOutcomeUnknown(f"ticket {ticket.number}: {exc.type}")
