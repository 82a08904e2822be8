"""Messages between entries about targets and permits, and their conversion."""

from typing import TypedDict

from vanillabeam.config import Priority
from vanillabeam.routing.records import TargetView
from vanillabeam.targets.events import Handover, Renewal
from vanillabeam.targets.grants import Grant
from vanillabeam.targets.records import Outcome, OutcomeKind, PermitRequest

__all__ = [
    "PermitRequestMessage",
    "PermitReply",
    "GrantMessage",
    "HandoverMessage",
    "HandoverQuery",
    "ReleaseMessage",
    "RenewMessage",
    "RenewReply",
    "RenewalMessage",
    "SummaryMessage",
    "ViewMessage",
    "WithdrawMessage",
]


class PermitRequestMessage(TypedDict):
    """``/peer/targets/ask``: request a permit.

    :class:`~vanillabeam.targets.records.PermitRequest` describes the fields.
    """

    permit_id: str
    target: str
    holder: str
    workspace: str
    model: str
    version: str
    adapter: str
    adapter_version: str
    service: str
    priority: Priority
    deadline_s: float
    prompt_tokens: int
    blocks: tuple[str, ...]
    delay_limit_s: float | None


class GrantMessage(TypedDict):
    """A permit as recorded by its owner.

    :param granted_ago_s: seconds since the grant.
    :param expires_in_s: seconds until the permit expires.
    """

    permit_id: str
    holder: str
    workspace: str
    priority: Priority
    epoch: int
    granted_ago_s: float
    expires_in_s: float
    tokens: float
    work_tokens: float
    first_token_s: float
    cached_tokens: int


class ViewMessage(TypedDict):
    """State of a target as published by its owner."""

    target: str
    boot_id: str
    address: str
    data_centre: str
    owner: str
    epoch: int
    models: dict[str, str]
    adapters: dict[str, str]
    service: str
    limit: int
    in_use: int
    queued: int
    run_s: float
    pending_tokens: int
    prefill_tokens_s: float
    link_bytes_s: float
    open: bool
    cold: bool


class PermitReply(TypedDict):
    """Answer to a permit request.

    :param status: ``granted``, ``waiting`` or the ``type`` of the refusal.
    :param grant: the permit; ``None`` unless the status is ``granted``.
    :param view: present state of the target; ``None`` if the VM that answers does
        not own it.
    """

    status: str
    grant: GrantMessage | None
    version: str
    retry_after_s: float
    view: ViewMessage | None


class WithdrawMessage(TypedDict):
    """``/peer/targets/withdraw``: cancel a permit request."""

    permit_id: str
    target: str


class RenewalMessage(TypedDict):
    """One permit to renew."""

    target: str
    boot_id: str
    grant: GrantMessage


class RenewMessage(TypedDict):
    """``/peer/targets/renew``: renew all permits of a holder at one owner."""

    renewals: list[RenewalMessage]


class RenewReply(TypedDict):
    """Answer to a renewal: ids of the permits that were renewed."""

    renewed: list[str]


class ReleaseMessage(TypedDict):
    """``/peer/targets/release``: release a permit after its run."""

    permit_id: str
    target: str
    kind: OutcomeKind
    first_token_s: float | None
    prompt_tokens: int
    cached_tokens: int
    imported_bytes: int
    import_s: float


class HandoverQuery(TypedDict):
    """``/peer/targets/handover/ask``: request the handover of a target."""

    target: str
    entry: str
    data_centre: str
    address: str


class HandoverMessage(TypedDict):
    """``/peer/targets/handover``: state of a target at its previous owner."""

    target: str
    boot_id: str
    epoch: int
    window: int
    grants: list[GrantMessage]
    sure: bool
    entry: str
    leaving: bool


class SummaryMessage(TypedDict):
    """``/peer/targets/summary``: present state of all targets of an owner."""

    vm: str
    views: list[ViewMessage]


def pack_permit_request(request: PermitRequest) -> PermitRequestMessage:
    """Return ``request`` as a message."""
    return PermitRequestMessage(**request._asdict())


def unpack_permit_request(message: PermitRequestMessage) -> PermitRequest:
    """Return the permit request in ``message``."""
    return PermitRequest(**message)


def pack_grant(grant: Grant, now_s: float) -> GrantMessage:
    """Return ``grant`` as a message, with times relative to ``now_s``."""
    values = grant._asdict()
    del values["adopted"]
    values["granted_ago_s"] = now_s - values.pop("granted_s")
    values["expires_in_s"] = values.pop("expires_s") - now_s
    return GrantMessage(**values)


def unpack_grant(message: GrantMessage, now_s: float) -> Grant:
    """Return the grant in ``message``, with times in this VM's monotonic time."""
    values = dict(message)
    values["granted_s"] = now_s - values.pop("granted_ago_s")
    values["expires_s"] = now_s + values.pop("expires_in_s")
    return Grant(**values)


def pack_view(view: TargetView) -> ViewMessage:
    """Return ``view`` as a message."""
    values = view._asdict()
    del values["seen_s"]
    return ViewMessage(**values)


def unpack_view(message: ViewMessage, now_s: float) -> TargetView:
    """Return the view in ``message``, marked as received at ``now_s``."""
    return TargetView(**message, seen_s=now_s)


def pack_handover(
    handover: Handover, entry: str, leaving: bool, now_s: float
) -> HandoverMessage:
    """Return ``handover`` as a message, with times relative to ``now_s``."""
    return HandoverMessage(
        target=handover.target,
        boot_id=handover.boot_id,
        epoch=handover.epoch,
        window=handover.window,
        grants=[pack_grant(grant, now_s) for grant in handover.grants],
        sure=handover.complete,
        entry=entry,
        leaving=leaving,
    )


def unpack_handover(message: HandoverMessage, now_s: float) -> Handover:
    """Return the handover in ``message``, with times in this VM's monotonic time."""
    return Handover(
        target=message["target"],
        boot_id=message["boot_id"],
        epoch=message["epoch"],
        window=message["window"],
        grants=tuple(unpack_grant(grant, now_s) for grant in message["grants"]),
        complete=message["sure"],
    )


def unpack_renewal(message: RenewalMessage, now_s: float) -> Renewal:
    """Return the renewal in ``message``, with times in this VM's monotonic time."""
    grant = unpack_grant(message["grant"], now_s)
    return Renewal(message["target"], message["boot_id"], grant)


def unpack_outcome(message: ReleaseMessage) -> Outcome:
    """Return the outcome in ``message``."""
    return Outcome(
        kind=message["kind"],
        first_token_s=message["first_token_s"],
        prompt_tokens=message["prompt_tokens"],
        cached_tokens=message["cached_tokens"],
        imported_bytes=message["imported_bytes"],
        import_s=message["import_s"],
    )
