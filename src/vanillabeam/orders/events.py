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
    """A target that this VM owns now.

    :param epoch: changes when ownership begins anew.
    :param running: runs on it, as far as is known.
    """

    announcement: Announcement
    epoch: int
    running: int


class ConfigChanged(NamedTuple):
    """A configuration came in force on this VM."""

    config: Config


class OwnedSeen(NamedTuple):
    """All targets that this VM owns, by name."""

    owned: dict[str, Owned]


class Tick(NamedTuple):
    """Time has passed."""


class ImportsEnded(NamedTuple):
    """No import is under way at the target, and none begins."""

    target: str


class LeaseGranted(NamedTuple):
    """The target may load, or be put out, for so long."""

    target: str
    lease: str
    lasts_s: float


class LeaseRefused(NamedTuple):
    """Not now.

    :param reason: type of the refusal.
    """

    target: str
    reason: str


class FreshnessProved(NamedTuple):
    """The ticket log's quorum has confirmed its last index."""

    target: str
    index: int


class FreshnessUnknown(NamedTuple):
    """No quorum answered."""

    target: str


class OrderAnswered(NamedTuple):
    """The target answered.

    :param attempt: of the order that it answers.
    """

    target: str
    attempt: int
    reply: OrderReply


class OrderFailed(NamedTuple):
    """No answer to an order; the target may have obeyed."""

    target: str
    attempt: int


class EndImports(NamedTuple):
    """Have imports at the target ended or cancelled, then say so."""

    target: str


class AskLease(NamedTuple):
    """Ask for a lease, or have one prolonged.

    :param lease: the one to prolong; empty for a new one.
    :param stores: weight stores that are loaded from.
    :param models: models with a floor that are put out meanwhile.
    """

    target: str
    stores: tuple[str, ...]
    models: tuple[str, ...]
    lease: str = ""


class ReleaseLease(NamedTuple):
    """Give a lease back."""

    lease: str


class ProveFreshness(NamedTuple):
    """Have the ticket log's quorum confirm its last index."""

    target: str


class SendOrder(NamedTuple):
    """Send an order and report the answer."""

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
