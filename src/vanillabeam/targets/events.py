"""Events and effects of the core that owns targets."""

from typing import NamedTuple

from returns.result import Result

from vanillabeam.config import Config
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.grants import Grant
from vanillabeam.targets.records import EntryVm, Outcome, PermitRequest
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = [
    "Announced",
    "PermitAnswer",
    "RequestHandover",
    "FetchCacheSummary",
    "PermitRequested",
    "BlocksChanged",
    "ConfigChanged",
    "GrantedPermit",
    "Effect",
    "Event",
    "Handover",
    "HandoverRequested",
    "HandoverFailed",
    "HandoverReceived",
    "LoadReported",
    "MembersChanged",
    "Released",
    "Renewal",
    "Renewed",
    "SendHandover",
    "Stopping",
    "Tick",
    "Withdrawn",
]


class Announced(NamedTuple):
    """A target announced itself, to this VM or to another entry."""

    announcement: Announcement


class LoadReported(NamedTuple):
    """A target reported its load."""

    report: LoadReport


class BlocksChanged(NamedTuple):
    """The contents of a target's prefix cache changed."""

    events: CacheEvents


class ConfigChanged(NamedTuple):
    """A configuration came into force on this VM."""

    config: Config


class MembersChanged(NamedTuple):
    """The set of live entries, as seen by this VM, changed."""

    live: tuple[EntryVm, ...]


class PermitRequested(NamedTuple):
    """An entry requested a permit, or repeated its request after a wait."""

    request: PermitRequest


class Withdrawn(NamedTuple):
    """An entry cancelled its request for a permit."""

    permit_id: str
    target: str


class Renewal(NamedTuple):
    """A permit to renew, with the holder's copy of its grant."""

    target: str
    boot_id: str
    grant: Grant


class Renewed(NamedTuple):
    """A holder renewed a permit."""

    renewal: Renewal


class Released(NamedTuple):
    """A holder released a permit after its run."""

    permit_id: str
    target: str
    outcome: Outcome


class Handover(NamedTuple):
    """State of a target at its previous owner.

    :param epoch: epoch of the previous owner; 0 if it never owned the target.
    :param window: size of the target's window.
    :param grants: permits in use.
    :param complete: whether ``grants`` holds every permit in use.
    """

    target: str
    boot_id: str
    epoch: int
    window: int
    grants: tuple[Grant, ...] = ()
    complete: bool = True


class HandoverRequested(NamedTuple):
    """A new owner requested a target from its previous owner."""

    target: str
    entry: EntryVm


class HandoverReceived(NamedTuple):
    """The previous owner handed a target over, on request or because it drains.

    :param entry: name of the previous owner.
    :param leaving: whether the previous owner stops after the handover.
    """

    handover: Handover
    entry: str
    leaving: bool = False


class HandoverFailed(NamedTuple):
    """The previous owner did not answer the request for a handover."""

    target: str


class Stopping(NamedTuple):
    """This VM drains and hands over every target that it owns."""


class Tick(NamedTuple):
    """The periodic timer fired."""


class GrantedPermit(NamedTuple):
    """A permit with the address and version that its holder needs to use it."""

    grant: Grant
    target: str
    boot_id: str
    address: str
    data_centre: str
    version: str


class PermitAnswer(NamedTuple):
    """Final answer to a permit request: a permit or the reason for its refusal."""

    permit_id: str
    target: str
    result: Result[GrantedPermit, VanillabeamError]


class RequestHandover(NamedTuple):
    """Request the handover of ``target`` from ``entry``."""

    target: str
    entry: EntryVm


class SendHandover(NamedTuple):
    """Hand a target over to ``entry``, on request or because this VM drains."""

    handover: Handover
    entry: EntryVm
    leaving: bool = False


class FetchCacheSummary(NamedTuple):
    """Fetch the summary of a target's prefix cache."""

    target: str
    address: str


Event = (
    Announced
    | LoadReported
    | BlocksChanged
    | ConfigChanged
    | MembersChanged
    | PermitRequested
    | Withdrawn
    | Renewed
    | Released
    | HandoverRequested
    | HandoverReceived
    | HandoverFailed
    | Stopping
    | Tick
)
Effect = PermitAnswer | RequestHandover | SendHandover | FetchCacheSummary
