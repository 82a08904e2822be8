"""Events and effects of the spread core."""

from typing import NamedTuple

from vanillabeam.config import Config
from vanillabeam.spread.messages import (
    PageReply,
    PageRequest,
    Push,
    StepsReply,
    StepsRequest,
)
from vanillabeam.tickets import ConfigStep

__all__ = [
    "CopyOffered",
    "DigestSeen",
    "Effect",
    "Event",
    "FetchFailed",
    "FetchPage",
    "FetchSteps",
    "PageFetched",
    "PeersChanged",
    "PushReceived",
    "PutInForce",
    "Ready",
    "SendPush",
    "StepAccepted",
    "StepsFetched",
    "StoreCopy",
    "StoreSteps",
    "Tick",
]


class Tick(NamedTuple):
    """Time has passed."""


class StepAccepted(NamedTuple):
    """The ticket log of this VM has applied a ticket."""

    step: ConfigStep


class CopyOffered(NamedTuple):
    """The ticket log of this VM holds this configuration, whole."""

    config: Config
    hash: str


class PushReceived(NamedTuple):
    """Another VM has something new."""

    message: Push


class DigestSeen(NamedTuple):
    """A heartbeat said what another VM has in force."""

    address: str
    index: int
    hash: str


class StepsFetched(NamedTuple):
    """A VM answered a request for steps."""

    address: str
    reply: StepsReply


class PageFetched(NamedTuple):
    """A VM answered a request for records."""

    address: str
    reply: PageReply


class FetchFailed(NamedTuple):
    """A VM did not answer a request, or could not serve it."""

    address: str


class PeersChanged(NamedTuple):
    """The VMs to ask and to tell.

    :param near: addresses of those of this data centre.
    :param far: addresses of a few of each other one.
    """

    near: tuple[str, ...]
    far: dict[str, tuple[str, ...]]


class SendPush(NamedTuple):
    """Tell a VM; no answer is waited for."""

    address: str
    message: Push


class FetchSteps(NamedTuple):
    """Ask a VM and report steps or failure."""

    address: str
    message: StepsRequest


class FetchPage(NamedTuple):
    """Ask a VM and report records or failure."""

    address: str
    message: PageRequest


class StoreSteps(NamedTuple):
    """Have these on disk, where there is one, before going on."""

    steps: tuple[ConfigStep, ...]


class StoreCopy(NamedTuple):
    """Have the copy on disk, where there is one, before going on.

    :param after: as in :class:`ConfigCopy`.
    """

    config: Config
    hash: str
    after: list[str] | None


class PutInForce(NamedTuple):
    """From now on this VM works by this configuration.

    :param whole: whether all workspaces are in it.
    """

    config: Config
    hash: str
    whole: bool


class Ready(NamedTuple):
    """The configuration is fresh enough to serve by."""

    index: int


Event = (
    Tick
    | StepAccepted
    | CopyOffered
    | PushReceived
    | DigestSeen
    | StepsFetched
    | PageFetched
    | FetchFailed
    | PeersChanged
)
Effect = SendPush | FetchSteps | FetchPage | StoreSteps | StoreCopy | PutInForce | Ready
