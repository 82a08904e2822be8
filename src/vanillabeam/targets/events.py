"""Events and effects of the owner's core."""

from typing import NamedTuple

from returns.result import Result

from vanillabeam.config import Config
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.grants import Grant
from vanillabeam.targets.records import Entry, Outcome, PermitRequest
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = [
    "Announced",
    "Answer",
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
    """A target announced itself, here or through another entry."""

    announcement: Announcement


class LoadReported(NamedTuple):
    """A target reported its load."""

    report: LoadReport


class BlocksChanged(NamedTuple):
    """A target's prefix cache changed."""

    events: CacheEvents


class ConfigChanged(NamedTuple):
    """A configuration came into force on this VM."""

    config: Config


class MembersChanged(NamedTuple):
    """The view of the live entries changed."""

    live: tuple[Entry, ...]


class PermitRequested(NamedTuple):
    """An entry asks for a permit, or asks again after a wait."""

    request: PermitRequest


class Withdrawn(NamedTuple):
    """An entry no longer wants a permit that it asked for."""

    permit_id: str
    target: str


class Renewal(NamedTuple):
    """A permit whose run goes on, as its holder knows it."""

    target: str
    boot_id: str
    grant: Grant


class Renewed(NamedTuple):
    """A holder prolongs a permit."""

    renewal: Renewal


class Released(NamedTuple):
    """A permitted run ended."""

    permit_id: str
    target: str
    outcome: Outcome


class Handover(NamedTuple):
    """What a predecessor knows of a target.

    :param epoch: its epoch; 0 if it never owned the target.
    :param window: size of the window.
    :param grants: permits that are out.
    :param sure: whether it knows all of them.
    """

    target: str
    boot_id: str
    epoch: int
    window: int
    grants: tuple[Grant, ...] = ()
    sure: bool = True


class HandoverRequested(NamedTuple):
    """A new owner asks its predecessor for a target."""

    target: str
    entry: Entry


class HandoverReceived(NamedTuple):
    """A predecessor handed a target over, asked or on leaving.

    :param leaving: whether the predecessor ends after this.
    """

    handover: Handover
    entry: str
    leaving: bool = False


class HandoverFailed(NamedTuple):
    """The predecessor did not answer."""

    target: str


class Stopping(NamedTuple):
    """This VM leaves: hand over what it owns."""


class Tick(NamedTuple):
    """Time has passed."""


class GrantedPermit(NamedTuple):
    """A permit with what its holder needs to use it."""

    grant: Grant
    target: str
    boot_id: str
    address: str
    data_centre: str
    version: str


class Answer(NamedTuple):
    """The final answer to an ask."""

    permit_id: str
    target: str
    result: Result[GrantedPermit, VanillabeamError]


class RequestHandover(NamedTuple):
    """Ask ``entry`` for what it knows of ``target``."""

    target: str
    entry: Entry


class SendHandover(NamedTuple):
    """Give ``entry`` a target, as it asked or because this VM leaves."""

    handover: Handover
    entry: Entry
    leaving: bool = False


class FetchCacheSummary(NamedTuple):
    """Ask a target for everything in its prefix cache."""

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
Effect = Answer | RequestHandover | SendHandover | FetchCacheSummary
