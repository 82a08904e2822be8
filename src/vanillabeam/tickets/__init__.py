"""Tickets: numbered configuration changes, their rules and their state machine."""

from vanillabeam.tickets.changes import apply_ticket, config_hash
from vanillabeam.tickets.document import Ticket, parse
from vanillabeam.tickets.exceptions import (
    SnapshotInvalid,
    TicketExpired,
    TicketInvalid,
    TicketNumberTaken,
    TicketOutcomeUnknown,
    TicketRefused,
    TicketStale,
    TicketUnresolved,
    UnknownTicket,
)
from vanillabeam.tickets.freshness import FreshIndex, FreshReply
from vanillabeam.tickets.keys import WorkspaceKey, key_digest, make_workspace_key
from vanillabeam.tickets.machine import ConfigStep, TicketMachine
from vanillabeam.tickets.service import Accepted, Propose, TicketService, TicketSummary

__all__ = [
    "Accepted",
    "ConfigStep",
    "FreshIndex",
    "FreshReply",
    "Propose",
    "SnapshotInvalid",
    "Ticket",
    "TicketService",
    "TicketExpired",
    "TicketInvalid",
    "TicketMachine",
    "TicketNumberTaken",
    "TicketOutcomeUnknown",
    "TicketRefused",
    "TicketSummary",
    "TicketStale",
    "TicketUnresolved",
    "UnknownTicket",
    "WorkspaceKey",
    "apply_ticket",
    "config_hash",
    "key_digest",
    "make_workspace_key",
    "parse",
]
