"""Events and effects of the core that disseminates the configuration."""

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
    """Time has passed; the shell sends one at a fixed interval."""


class StepAccepted(NamedTuple):
    """The ticket log on this VM has applied a ticket."""

    step: ConfigStep


class CopyOffered(NamedTuple):
    """The complete configuration of the ticket log on this VM."""

    config: Config
    hash: str


class PushReceived(NamedTuple):
    """Another VM has pushed a new index, with its steps if they are small."""

    message: Push


class DigestSeen(NamedTuple):
    """A heartbeat carried the index and hash in force on another VM."""

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
    """A VM did not answer a request, or refused it."""

    address: str


class PeersChanged(NamedTuple):
    """The set of VMs to fetch from and push to has changed.

    :param local_peers: addresses of the live VMs of this data centre.
    :param remote_peers: addresses of a few VMs of each other data centre, by the
        data centre's name.
    """

    local_peers: tuple[str, ...]
    remote_peers: dict[str, tuple[str, ...]]


class SendPush(NamedTuple):
    """Push an index to a VM without waiting for an answer."""

    address: str
    message: Push


class FetchSteps(NamedTuple):
    """Request steps from a VM; answered by StepsFetched or FetchFailed."""

    address: str
    message: StepsRequest


class FetchPage(NamedTuple):
    """Request records from a VM; answered by PageFetched or FetchFailed."""

    address: str
    message: PageRequest


class StoreSteps(NamedTuple):
    """Write steps to disk, if the VM has one, before the next effect."""

    steps: tuple[ConfigStep, ...]


class StoreCopy(NamedTuple):
    """Write the copy to disk, if the VM has one, before the next effect.

    :param cursor: as in :class:`ConfigCopy`.
    """

    config: Config
    hash: str
    cursor: list[str] | None


class PutInForce(NamedTuple):
    """Make this the configuration in force on this VM.

    :param is_complete: whether it has all workspaces.
    """

    config: Config
    hash: str
    is_complete: bool


class Ready(NamedTuple):
    """The configuration is recent enough for this VM to start serving."""

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
