"""Service through which operators apply and read tickets on a control VM."""

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
    """Result of a command that the log has applied.

    :param index: log index of the command.
    :param reply: reply of the state machine.
    """

    index: int
    reply: str


#: ``await propose(command)`` appends a command to the log and returns its result.
Propose = Callable[[str], Awaitable[Result[AppliedCommand, VanillabeamError]]]


class Accepted(NamedTuple):
    """Answer to an accepted ticket, also if an earlier send was accepted.

    :param number: number of the ticket.
    :param index: log index at which it was accepted.
    """

    number: int
    index: int


class TicketSummary(NamedTuple):
    """Summary of an accepted ticket, without its document and its secrets."""

    number: int
    author: str
    index: int
    digest: str


class TicketService:
    """Front end of :class:`TicketMachine` on a control VM.

    :param machine: the state machine to which the log applies its commands.
    :param propose: appends a command to the log and waits for its reply.

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
        """Call ``on_step`` at each change, in order and before the ticket's answer.

        :param on_step: receives the step, or ``None`` after a restored snapshot;
            must not block.
        """
        self._on_step.append(on_step)

    def _notify_listeners(self, step: ConfigStep | None) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        for on_step in self._on_step:
            on_step(step)

    async def apply(self, body: bytes) -> Result[Accepted, VanillabeamError]:
        """Apply an operator's ticket and return the answer.

        :param body: the document as JSON.
        :returns: :class:`Accepted`; a subclass of :class:`TicketRefused`; the
            failure of the log if the ticket was certainly not proposed; otherwise
            :class:`TicketOutcomeUnknown`.
        """
        match parse(body):
            case Success(ticket):
                return await self._apply(ticket)
            case refused:
                return refused

    async def _apply(self, ticket: Ticket) -> Result[Accepted, VanillabeamError]:
        final_answer = self._answer_without_log(ticket)
        if final_answer is not None:
            return final_answer
        match await self._propose(ticket.canonical):
            case Success(applied):
                return _answer(ticket, applied)
            case Failure(exc):
                return Failure(_outcome_failure(ticket, exc))

    def _answer_without_log(
        self, ticket: Ticket
    ) -> Result[Accepted, VanillabeamError] | None:
        # This VM may be behind the log. Answer without the log only what no later
        # entry can change; references are checked when the log applies the ticket.
        accepted = self._machine.tickets.get(ticket.number)
        if accepted is not None and accepted.digest == ticket.digest:
            return Success(Accepted(ticket.number, accepted.index))
        refusal = self._machine.check_number(ticket)
        return None if refusal is None else Failure(refusal)

    def show(self, number: int) -> Result[TicketSummary, VanillabeamError]:
        """Return the accepted ticket of this number, as applied on this VM."""
        accepted = self._machine.tickets.get(number)
        if accepted is None:
            return Failure(UnknownTicket(f"ticket {number}"))
        summary = TicketSummary(
            number, accepted.author, accepted.index, accepted.digest
        )
        return Success(summary)

    def config(self) -> Config:
        """Return the configuration that this VM has applied."""
        return self._machine.config

    async def config_after(self, index: int) -> Config:
        """Wait for a configuration with an index above ``index`` and return it."""
        while self._machine.config.index <= index:
            await self._changed.wait()
        return self._machine.config


def _answer(
    ticket: Ticket, applied: AppliedCommand
) -> Result[Accepted, VanillabeamError]:
    reply = msgspec.json.decode(applied.reply, type=MachineReply)
    if reply["status"] == "accepted":
        return Success(Accepted(ticket.number, reply["index"]))
    failure_class = REFUSALS.get(reply.get("type", ""), TicketRefused)
    if reply["status"] != "refused":
        raise InvariantBroken(f"reply {reply['status']} to ticket {ticket.number}")
    return Failure(failure_class(faults=tuple(reply.get("faults", ()))))


def _outcome_failure(ticket: Ticket, exc: VanillabeamError) -> VanillabeamError:
    if exc.run is Run.NOT_RUN:
        return exc
    return TicketOutcomeUnknown(f"ticket {ticket.number}: {exc.type}")
