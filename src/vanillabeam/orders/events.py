"""Events and effects of the orders core."""

from typing import NamedTuple

from vanillabeam.config import Config
from vanillabeam.targetwire import Announcement, Order, OrderReply

__all__ = [
    "AskLease",
    "ConfigChanged",
    "Effect",
    "EndImports",
    "Event",
    "FreshnessProved",
    "FreshnessUnknown",
    "ImportsEnded",
    "LeaseGranted",
    "LeaseRefused",
    "OrderAnswered",
    "OrderFailed",
    "Owned",
    "OwnedSeen",
    "ProveFreshness",
    "ReleaseLease",
    "SendOrder",
    "Tick",
]


class Owned(NamedTuple):
    """Target that this VM owns now.

    :param epoch: number of the ownership; changes whenever ownership is gained.
    :param running: number of runs on the target, by the latest information.
    """

    announcement: Announcement
    epoch: int
    running: int


class ConfigChanged(NamedTuple):
    """A new configuration is in force on this VM."""

    config: Config


class OwnedSeen(NamedTuple):
    """All targets that this VM owns were read.

    :param owned: the targets by name.
    """

    owned: dict[str, Owned]


class Tick(NamedTuple):
    """Timer event: a tick interval has passed."""


class ImportsEnded(NamedTuple):
    """No import runs at the target, and none will begin."""

    target: str


class LeaseGranted(NamedTuple):
    """The target may load weights or be out of service for ``lasts_s`` seconds."""

    target: str
    lease: str
    lasts_s: float


class LeaseRefused(NamedTuple):
    """A request for a lease was refused or failed.

    :param reason: type and detail of the failure.
    """

    target: str
    reason: str


class FreshnessProved(NamedTuple):
    """A quorum of the ticket log has confirmed the newest ticket index."""

    target: str
    index: int


class FreshnessUnknown(NamedTuple):
    """No quorum of the ticket log has confirmed an index."""

    target: str


class OrderAnswered(NamedTuple):
    """The target answered an order.

    :param attempt: number of the order that it answers.
    """

    target: str
    attempt: int
    reply: OrderReply


class OrderFailed(NamedTuple):
    """An order got no answer; the target may have obeyed.

    :param attempt: number of the order.
    """

    target: str
    attempt: int


class EndImports(NamedTuple):
    """End or cancel all imports at the target, then report :class:`ImportsEnded`."""

    target: str


class AskLease(NamedTuple):
    """Request a lease, or renew one.

    :param stores: weight stores from which the target loads.
    :param models: models with a ``min_ready`` that the target stops serving
        during the lease.
    :param lease: the lease to renew; empty for a new one.
    :param failures: number of failed orders to the target.
    """

    target: str
    stores: tuple[str, ...]
    models: tuple[str, ...]
    lease: str = ""
    failures: int = 0


class ReleaseLease(NamedTuple):
    """Release a lease at the VM that granted it."""

    lease: str


class ProveFreshness(NamedTuple):
    """Let a quorum of the ticket log confirm the newest ticket index."""

    target: str


class SendOrder(NamedTuple):
    """Send an order to a target and report the answer.

    :param address: ``host:port`` of the target.
    :param attempt: number of the order, which the answer carries.
    """

    target: str
    address: str
    order: Order
    attempt: int


Event = (
    ConfigChanged
    | OwnedSeen
    | Tick
    | ImportsEnded
    | LeaseGranted
    | LeaseRefused
    | FreshnessProved
    | FreshnessUnknown
    | OrderAnswered
    | OrderFailed
)
Effect = EndImports | AskLease | ReleaseLease | ProveFreshness | SendOrder
