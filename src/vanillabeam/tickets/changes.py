"""Applying a ticket to the configuration, and hashing the configuration."""

from hashlib import blake2b
from typing import Any

import msgspec

from vanillabeam.config import Config, ControlMember, Workspace
from vanillabeam.tickets.document import SECTIONS, Ticket
from vanillabeam.tickets.exceptions import TicketUnresolved

__all__ = ["EMPTY_HASH", "apply_ticket", "check_references", "config_hash", "rehash"]

HASH_BYTES = 16
HASH_MODULUS = 1 << (8 * HASH_BYTES)
EMPTY_HASH = "0" * (2 * HASH_BYTES)


def apply_ticket(config: Config, ticket: Ticket, index: int) -> Config:
    """Return the configuration that results from applying ``ticket``.

    :param config: the configuration before; it is not changed in place.
    :param index: log index of the ticket, which the result gets.
    """
    changed: dict[str, Any] = {"index": index}
    for section in SECTIONS:
        records, removed = ticket.set[section], ticket.remove[section]
        if not records and not removed:
            continue
        merged = {**getattr(config, section), **records}
        for name in removed:
            merged.pop(name, None)
        changed[section] = merged
    return config._replace(**changed)


def config_hash(config: Config) -> str:
    """Return a hash of all records of ``config``, independent of their order.

    The hash is the sum of the records' hashes, so that :func:`rehash` only has to
    hash the records that a ticket changes.

    :returns: 16 bytes as hex.
    """
    total = 0
    for section in SECTIONS:
        for name, record in getattr(config, section).items():
            total += _record_hash(section, name, record)
    return _to_hex(total)


def rehash(old_hash: str, before: Config, after: Config, ticket: Ticket) -> str:
    """Return the hash of ``after``, updated from that of ``before``.

    :param old_hash: hash of ``before``.
    :param ticket: the ticket that changed ``before`` into ``after``.
    """
    total = int(old_hash, 16)
    for section, name in ticket.touched():
        old = getattr(before, section).get(name)
        new = getattr(after, section).get(name)
        total -= _record_hash(section, name, old) if old is not None else 0
        total += _record_hash(section, name, new) if new is not None else 0
    return _to_hex(total)


def _to_hex(total: int) -> str:
    return f"{total % HASH_MODULUS:0{2 * HASH_BYTES}x}"


def _record_hash(section: str, name: str, record: Any) -> int:
    fields = list(record)
    defaults = type(record)._field_defaults
    # Leave out trailing fields with default values, so that a record has the same
    # hash in a release that adds a field.
    for field in reversed(type(record)._fields):
        if field not in defaults or fields[-1] != defaults[field]:
            break
        fields.pop()
    text = msgspec.json.encode([section, name, fields])
    return int.from_bytes(blake2b(text, digest_size=HASH_BYTES).digest(), "big")


def check_references(
    before: Config, after: Config, ticket: Ticket
) -> TicketUnresolved | None:
    """Check the references between the records that ``ticket`` changes and others.

    :param before: configuration before the ticket.
    :param after: configuration after the ticket.
    :returns: a failure with every unresolved reference, or ``None``.
    """
    faults = _removal_faults(before, ticket)
    to_check = ticket.set
    # A removal can break references of records that the ticket does not change.
    if any(ticket.remove.values()):
        to_check = {section: getattr(after, section) for section in SECTIONS}
    faults += _adapter_faults(after, to_check["adapters"])
    faults += _workspace_faults(after, to_check["workspaces"])
    faults += _role_faults(after, to_check["target_roles"])
    faults += _key_faults(after, ticket.set["workspaces"])
    faults += _settlement_faults(after, ticket.set["settlements"])
    faults += _control_faults(before, after, ticket)
    return TicketUnresolved(faults=tuple(faults)) if faults else None


def _removal_faults(before: Config, ticket: Ticket) -> list[str]:
    return [
        f"remove.{section}.{name}: not there"
        for section, removed in ticket.remove.items()
        for name in removed
        if name not in getattr(before, section)
    ]


def _adapter_faults(after: Config, adapters: dict[str, Any]) -> list[str]:
    return [
        f"adapters.{name}: no model {adapter.model}"
        for name, adapter in adapters.items()
        if adapter.model not in after.models
    ]


def _workspace_faults(after: Config, workspaces: dict[str, Workspace]) -> list[str]:
    faults = []
    for name, workspace in workspaces.items():
        for model in workspace.models:
            if model not in after.models and model not in after.adapters:
                faults.append(f"workspaces.{name}.models: no model {model}")
        for service in workspace.services:
            if service not in after.services:
                faults.append(f"workspaces.{name}.services: no service {service}")
    return faults


def _role_faults(after: Config, roles: dict[str, Any]) -> list[str]:
    faults = []
    for name, role in roles.items():
        path = f"target_roles.{name}"
        for model in role.models:
            if model not in after.models:
                faults.append(f"{path}.models: no model {model}")
        for adapter in role.adapters:
            if adapter not in after.adapters:
                faults.append(f"{path}.adapters: no adapter {adapter}")
    return faults


def _key_faults(after: Config, workspaces: dict[str, Workspace]) -> list[str]:
    workspace_of = {d: name for name, w in workspaces.items() for d in w.key_digests}
    if not workspace_of:
        return []
    return [
        f"workspaces.{workspace_of[digest]}.key_digests: also a key of {other.name}"
        for other in after.workspaces.values()
        for digest in other.key_digests
        if workspace_of.get(digest, other.name) != other.name
    ]


def _settlement_faults(after: Config, settlements: dict[str, Any]) -> list[str]:
    return [
        f"settlements.{name}: no workspace {settlement.workspace}"
        for name, settlement in settlements.items()
        if settlement.workspace not in after.workspaces
    ]


def _control_faults(before: Config, after: Config, ticket: Ticket) -> list[str]:
    touched = [name for section, name in ticket.touched() if section == "control"]
    if not touched or not before.control:
        return []
    faults = []
    if not after.control:
        faults.append("remove.control: the last member stays")
    if len(touched) > 1:
        faults.append("control: one member a ticket")
    members: list[ControlMember] = list(after.control.values())
    if len({member.member_id for member in members}) < len(members):
        faults.append("control: two members with one member_id")
    return faults
