"""The ticket document that an operator sends, and its strict validation."""

import json
from hashlib import blake2b
from typing import Annotated, Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from returns.result import Failure, Result, Success

from vanillabeam.config import (
    Adapter,
    ClaimSettlement,
    ControlMember,
    DataCentre,
    Model,
    Priority,
    Repeats,
    Service,
    TargetRole,
    TargetRoleKind,
    Workspace,
    adapter_key,
)
from vanillabeam.tickets.exceptions import TicketInvalid

__all__ = ["MAX_TICKET_BYTES", "SECTIONS", "Ticket", "parse"]

MAX_TICKET_BYTES = 128 * 1024
#: Largest integer that a JSON reader with double precision represents exactly.
MAX_NUMBER = 2**53 - 1
MAX_NAME_CHARS = 128
MAX_KEY_CHARS = 255
MAX_LIST_ITEMS = 1024
DIGEST_BYTES = 16

_PLAIN_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*$"
_MODEL_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._/-]*$"
_ADAPTER_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._/-]*:[A-Za-z0-9][A-Za-z0-9._-]*$"
_MODEL_OR_ADAPTER_PATTERN = (
    r"^[A-Za-z0-9][A-Za-z0-9._/-]*(:[A-Za-z0-9][A-Za-z0-9._-]*)?$"
)
_TARGET_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]*$"
_CLAIM_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*/[!-~]+$"
_ADDRESS_PATTERN = r"^[^\s/:]+:[0-9]{1,5}$|^\[[0-9A-Fa-f:]+\]:[0-9]{1,5}$"
_TEXT_PATTERN = r"^[^\x00-\x1f\x7f]*$"
_HEX_32_BYTES_PATTERN = r"^[0-9a-f]{64}$"


def _string(pattern: str, min_length: int = 1, max_length: int = MAX_NAME_CHARS) -> Any:
    constraints = StringConstraints(
        pattern=pattern, min_length=min_length, max_length=max_length
    )
    return Annotated[str, constraints]


_PlainName = _string(_PLAIN_PATTERN)
_ModelName = _string(_MODEL_PATTERN)
_AdapterName = _string(_ADAPTER_PATTERN, max_length=2 * MAX_NAME_CHARS)
_ModelOrAdapterName = _string(_MODEL_OR_ADAPTER_PATTERN, max_length=2 * MAX_NAME_CHARS)
_TargetName = _string(_TARGET_PATTERN)
_ClaimName = _string(_CLAIM_PATTERN, max_length=MAX_NAME_CHARS + MAX_KEY_CHARS)
_Location = _string(_TEXT_PATTERN, min_length=0, max_length=1024)
_Secret = _string(_HEX_32_BYTES_PATTERN)


def _list_of(kind: Any) -> Any:
    return Annotated[tuple[kind, ...], Field(max_length=MAX_LIST_ITEMS)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class _Model(_StrictModel):
    version: _string(_TEXT_PATTERN)
    weights: _Location = ""
    min_ready: Annotated[int, Field(ge=0, le=100_000)] = 0


class _Adapter(_StrictModel):
    version: _string(_TEXT_PATTERN)
    weights: _Location = ""


class _Workspace(_StrictModel):
    key_digests: Annotated[tuple[_Secret, ...], Field(min_length=1, max_length=64)]
    cache_secret: _Secret
    weight: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    reservation_tokens_s: Annotated[float, Field(ge=0, le=1e9)] = 0.0
    priority: Priority = Priority.INTERACTIVE
    quota_bytes: Annotated[int, Field(ge=0, le=2**60)] = 0
    models: _list_of(_ModelOrAdapterName) = ()
    services: _list_of(_PlainName) = ()


class _Service(_StrictModel):
    repeats: Repeats = Repeats.NEVER


class _TargetRole(_StrictModel):
    kind: TargetRoleKind = TargetRoleKind.SERVING
    models: _list_of(_ModelName) = ()
    adapters: _list_of(_AdapterName) = ()


class _DataCentre(_StrictModel):
    in_service: bool = True
    region: _string(_TEXT_PATTERN, min_length=0) = ""


class _ControlMember(_StrictModel):
    address: _string(_ADDRESS_PATTERN)
    member_id: _string(_PLAIN_PATTERN)


class _Settlement(_StrictModel):
    ran: bool


class _Set(_StrictModel):
    models: dict[_ModelName, _Model] = {}
    adapters: dict[_AdapterName, _Adapter] = {}
    workspaces: dict[_PlainName, _Workspace] = {}
    services: dict[_PlainName, _Service] = {}
    target_roles: dict[_TargetName, _TargetRole] = {}
    data_centres: dict[_PlainName, _DataCentre] = {}
    control: dict[_PlainName, _ControlMember] = {}
    settlements: dict[_ClaimName, _Settlement] = {}


class _Remove(_StrictModel):
    models: _list_of(_ModelName) = ()
    adapters: _list_of(_AdapterName) = ()
    workspaces: _list_of(_PlainName) = ()
    services: _list_of(_PlainName) = ()
    target_roles: _list_of(_TargetName) = ()
    data_centres: _list_of(_PlainName) = ()
    control: _list_of(_PlainName) = ()
    settlements: _list_of(_ClaimName) = ()


class _Document(_StrictModel):
    number: Annotated[int, Field(ge=1, le=MAX_NUMBER)]
    author: _string(_TEXT_PATTERN)
    note: _string(_TEXT_PATTERN, min_length=0, max_length=2000) = ""
    set: _Set = _Set()
    remove: _Remove = _Remove()


#: Names of the sections of a ticket and of the configuration, in a fixed order.
SECTIONS = tuple(_Set.model_fields)


class Ticket(NamedTuple):
    """Ticket whose document is valid by itself.

    :param number: the number that the operator gave it.
    :param author: name of the operator.
    :param set: records to add or replace, by section and name.
    :param remove: names of the records to remove, by section.
    :param canonical: canonical JSON of the document, which goes into the log.
    :param digest: BLAKE2b digest of ``canonical``, 16 bytes as hex.
    """

    number: int
    author: str
    note: str
    set: dict[str, dict[str, Any]]
    remove: dict[str, tuple[str, ...]]
    canonical: str
    digest: str

    def touched(self) -> tuple[tuple[str, str], ...]:
        """Return section and name of each record that the ticket changes, sorted."""
        names = [(s, name) for s, records in self.set.items() for name in records]
        names += [(s, name) for s, removed in self.remove.items() for name in removed]
        return tuple(sorted(names))


def parse(body: bytes | str) -> Result[Ticket, TicketInvalid]:
    """Validate ``body`` and return its ticket.

    :param body: JSON text.
    :returns: the ticket, or :class:`TicketInvalid` with every fault and its path.

    >>> parse(b'{"number": 1, "author": "ama", "set": {"models": {}}}').failure().faults
    ('set: the ticket touches nothing',)
    """
    if len(body) > MAX_TICKET_BYTES:
        fault = f"ticket: {len(body)} bytes, at most {MAX_TICKET_BYTES} are taken"
        return Failure(TicketInvalid(faults=(fault,)))
    try:
        duplicates = _duplicate_keys(body)
        document = _Document.model_validate_json(body)
    except ValidationError as exc:
        return Failure(TicketInvalid(faults=_faults(exc)))
    except (ValueError, RecursionError) as exc:
        return Failure(TicketInvalid(faults=(f"ticket: not JSON: {exc}",)))
    faults = duplicates + _document_faults(document)
    if faults:
        return Failure(TicketInvalid(faults=faults))
    return Success(_make_ticket(document))


def _duplicate_keys(body: bytes | str) -> tuple[str, ...]:
    duplicates: list[str] = []

    def collect_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) < len(pairs):
            keys = [key for key, _ in pairs]
            duplicates.extend(sorted({key for key in keys if keys.count(key) > 1}))
        return members

    json.loads(body, object_pairs_hook=collect_duplicates)
    return tuple(f"{key}: given twice" for key in duplicates)


def _faults(exc: ValidationError) -> tuple[str, ...]:
    errors = exc.errors(include_url=False, include_input=False, include_context=False)
    paths = [error["loc"] for error in errors]
    return tuple(
        f"{_path(error['loc'])}: {error['msg']}"
        for error in errors
        if not _is_implied_by_items(error["type"], error["loc"], paths)
    )


def _is_implied_by_items(kind: str, loc: tuple, paths: list[tuple]) -> bool:
    # Pydantic drops faulty items and then reports their list as too short as well.
    inner = (path for path in paths if len(path) > len(loc))
    return kind == "too_short" and any(path[: len(loc)] == loc for path in inner)


def _path(loc: tuple[int | str, ...]) -> str:
    return ".".join(str(step) for step in loc) or "ticket"


def _document_faults(document: _Document) -> tuple[str, ...]:
    faults = []
    for section in SECTIONS:
        names = getattr(document.remove, section)
        both = set(names) & set(getattr(document.set, section))
        faults += [f"remove.{section}.{name}: set too" for name in sorted(both)]
        if len(set(names)) < len(names):
            faults.append(f"remove.{section}: a name twice")
    faults += _key_digest_faults(document)
    empty = document.set == _Set() and document.remove == _Remove()
    if empty:
        faults.append("set: the ticket touches nothing")
    return tuple(faults)


def _key_digest_faults(document: _Document) -> list[str]:
    faults = []
    holders: dict[str, str] = {}
    for name, part in document.set.workspaces.items():
        for digest in part.key_digests:
            holder = holders.setdefault(digest, name)
            if holder != name or part.key_digests.count(digest) > 1:
                path = f"set.workspaces.{name}.key_digests"
                faults.append(f"{path}: also a key of {holder}")
    return faults


def _make_ticket(document: _Document) -> Ticket:
    plain = document.model_dump(mode="json", exclude_defaults=True)
    # Dump records one by one: with exclude_defaults, a record of only default values
    # would be left out of its section.
    plain["set"] = {
        section: {
            name: part.model_dump(mode="json", exclude_defaults=True)
            for name, part in getattr(document.set, section).items()
        }
        for section in SECTIONS
        if getattr(document.set, section)
    }
    canonical = json.dumps(
        plain, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return Ticket(
        number=document.number,
        author=document.author,
        note=document.note,
        set=_make_records(document.set),
        remove={s: getattr(document.remove, s) for s in SECTIONS},
        canonical=canonical,
        digest=blake2b(canonical.encode(), digest_size=DIGEST_BYTES).hexdigest(),
    )


def _make_records(parts: _Set) -> dict[str, dict[str, Any]]:
    members = {}
    for section in SECTIONS:
        factory = _RECORD_FACTORIES[section]
        items = getattr(parts, section).items()
        members[section] = {name: factory(name, dict(part)) for name, part in items}
    return members


def _make_adapter(name: str, fields: dict[str, Any]) -> Adapter:
    model, _, adapter = name.partition(":")
    assert adapter_key(model, adapter) == name
    return Adapter(adapter, model, **fields)


def _make_settlement(name: str, fields: dict[str, Any]) -> ClaimSettlement:
    workspace, _, key = name.partition("/")
    return ClaimSettlement(workspace, key, **fields)


_RECORD_FACTORIES = {
    "models": lambda name, fields: Model(name, **fields),
    "adapters": _make_adapter,
    "workspaces": lambda name, fields: Workspace(name, **fields),
    "services": lambda name, fields: Service(name, **fields),
    "target_roles": lambda name, fields: TargetRole(name, **fields),
    "data_centres": lambda name, fields: DataCentre(name, **fields),
    "control": lambda name, fields: ControlMember(name, **fields),
    "settlements": _make_settlement,
}
