"""The ticket log's state machine: ticket numbers, configuration and snapshots."""

import json
from collections.abc import Callable
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.tickets.changes import (
    EMPTY_HASH,
    apply_ticket,
    check_references,
    config_hash,
    rehash,
)
from vanillabeam.tickets.document import Ticket, parse
from vanillabeam.tickets.exceptions import (
    SnapshotInvalid,
    TicketExpired,
    TicketNumberTaken,
    TicketRefused,
    TicketStale,
)

__all__ = ["ConfigStep", "AcceptedTicket", "MachineReply", "TicketMachine"]

#: Number of accepted tickets that are kept to answer resends.
KEPT_TICKETS = 65_536
SNAPSHOT_FORMAT = 1


class AcceptedTicket(NamedTuple):
    """Record of an accepted ticket, kept to answer resends.

    :param index: log index at which the ticket was accepted.
    :param digest: digest of its canonical document.
    :param author: name of the operator.
    """

    index: int
    digest: str
    author: str


class ConfigStep(NamedTuple):
    """One accepted ticket, in the form in which other VMs apply it.

    :param previous: index of the configuration to which the ticket applies.
    :param index: index of the resulting configuration.
    :param hash: hash of the resulting configuration.
    :param command: the ticket's canonical document.
    """

    previous: int
    index: int
    hash: str
    command: str


class MachineReply(TypedDict):
    """JSON reply of :meth:`TicketMachine.apply`.

    :param status: ``accepted`` or ``refused``.
    :param index: index at which the ticket was accepted.
    :param type: ``type`` of the refusal.
    :param faults: faults of the refusal.
    """

    status: str
    index: NotRequired[int]
    type: NotRequired[str]
    faults: NotRequired[list[str]]


class _Snapshot(NamedTuple):
    format: int
    config: Config
    hash: str
    floor: int
    tickets: dict[int, AcceptedTicket]
    touched: dict[str, dict[str, int]]


class TicketMachine:
    """State machine that every control VM builds from the same log.

    :param on_change: called after each accepted ticket with its step, and with
        ``None`` after a snapshot was restored.
    :param kept_tickets: number of accepted tickets that are kept, those with the
        highest numbers.
    :ivar hash: hash of ``config``.
    :ivar floor: highest number that was dropped; new numbers must be above it.
    :ivar tickets: the accepted tickets that are kept, by number.

    >>> machine = TicketMachine()
    >>> set_m = '{"number":7,"author":"a","set":{"models":{"m":{"version":"1"}}}}'
    >>> machine.apply(1, set_m)
    '{"status":"accepted","index":1}'
    >>> machine.config.models["m"].version
    '1'
    """

    def __init__(
        self,
        on_change: Callable[[ConfigStep | None], None] | None = None,
        kept_tickets: int = KEPT_TICKETS,
    ):
        self.on_change = on_change
        self.kept_tickets = kept_tickets
        self.config = Config()
        self.hash = EMPTY_HASH
        self.floor = 0
        self.tickets: dict[int, AcceptedTicket] = {}
        self._touched: dict[str, dict[str, int]] = {}

    def apply(self, index: int, command: str) -> str:
        """Apply the command at ``index`` and return the reply as JSON.

        :param command: a ticket's document; anything else is refused.
        :raises InvariantBroken: if ``index`` is not above that of the last change.
        """
        if index <= self.config.index:
            raise InvariantBroken(f"index {index} after {self.config.index}")
        result = parse(command).bind(lambda ticket: self._apply(index, ticket))
        match result:
            case Success(accepted_index):
                return _reply({"status": "accepted", "index": accepted_index})
            case Failure(exc):
                return _reply(_refusal(exc))

    def _apply(self, index: int, ticket: Ticket) -> Result[int, TicketRefused]:
        accepted = self.tickets.get(ticket.number)
        if accepted is not None and accepted.digest == ticket.digest:
            return Success(accepted.index)
        refusal = self.check_number(ticket)
        if refusal is not None:
            return Failure(refusal)
        after = apply_ticket(self.config, ticket, index)
        refusal = check_references(self.config, after, ticket)
        if refusal is not None:
            return Failure(refusal)
        self._accept(index, ticket, after)
        return Success(index)

    def check_number(self, ticket: Ticket) -> TicketRefused | None:
        """Return the refusal of a ticket by its number, ``None`` if it is valid.

        A refusal is final: no later state of the log accepts the ticket.
        """
        accepted = self.tickets.get(ticket.number)
        if accepted is not None and accepted.digest != ticket.digest:
            fault = f"number: {ticket.number} is held by a ticket of {accepted.author}"
            return TicketNumberTaken(faults=(f"{fault}, index {accepted.index}",))
        if accepted is None and ticket.number <= self.floor:
            fault = f"number: only numbers above {self.floor} are taken"
            return TicketExpired(faults=(fault,))
        faults = tuple(
            f"{section}.{name}: changed by ticket {last}"
            for section, name in ticket.touched()
            if (last := self._touched.get(section, {}).get(name, 0)) > ticket.number
        )
        return TicketStale(faults=faults) if faults and accepted is None else None

    def _accept(self, index: int, ticket: Ticket, after: Config) -> None:
        if ticket.number in self.tickets:
            raise InvariantBroken(f"ticket {ticket.number} accepted twice")
        before, old_hash = self.config, self.hash
        self.config = after
        self.hash = rehash(old_hash, before, after, ticket)
        self.tickets[ticket.number] = AcceptedTicket(
            index, ticket.digest, ticket.author
        )
        for section, name in ticket.touched():
            self._touched.setdefault(section, {})[name] = ticket.number
        self._drop_lowest_numbers()
        step = ConfigStep(before.index, index, self.hash, ticket.canonical)
        self._notify(step)

    def _drop_lowest_numbers(self) -> None:
        if len(self.tickets) <= self.kept_tickets + self.kept_tickets // 8:
            return
        dropped = sorted(self.tickets)[: len(self.tickets) - self.kept_tickets]
        for number in dropped:
            del self.tickets[number]
        self.floor = dropped[-1]
        # The floor alone refuses lower numbers for records that no longer exist.
        for section, names in self._touched.items():
            records = getattr(self.config, section)
            below_floor = [
                n for n, last_number in names.items() if last_number <= self.floor
            ]
            for name in below_floor:
                if name not in records:
                    del names[name]

    def _notify(self, step: ConfigStep | None) -> None:
        if self.on_change is not None:
            self.on_change(step)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes, identical on every control VM."""
        state = _Snapshot(
            SNAPSHOT_FORMAT,
            self.config,
            self.hash,
            self.floor,
            {str(number): accepted for number, accepted in self.tickets.items()},
            self._touched,
        )
        return msgspec.json.encode(state, order="sorted")

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of ``snapshot``.

        :raises SnapshotInvalid: if :meth:`snapshot` did not make it.
        :raises InvariantBroken: if it is older than the current state.
        """
        try:
            state = msgspec.json.decode(snapshot, type=_Snapshot)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise SnapshotInvalid(str(exc)) from exc
        if state.format != SNAPSHOT_FORMAT:
            raise SnapshotInvalid(f"format {state.format} is not known here")
        if config_hash(state.config) != state.hash:
            raise SnapshotInvalid("the hash does not fit the records")
        if state.config.index < self.config.index:
            raise InvariantBroken(
                f"snapshot of {state.config.index} after {self.config.index}"
            )
        self.config = state.config
        self.hash = state.hash
        self.floor = state.floor
        self.tickets = state.tickets
        self._touched = state.touched
        self._notify(None)


def _reply(reply: MachineReply) -> str:
    return json.dumps(reply, separators=(",", ":"))


def _refusal(exc: TicketRefused) -> MachineReply:
    return {"status": "refused", "type": exc.type, "faults": list(exc.faults)}
