"""Messages between targets and the system, as targets send them."""

from typing import Literal, NotRequired, TypedDict

__all__ = [
    "Announcement",
    "BlockOrder",
    "CacheEvent",
    "CacheEvents",
    "LoadReport",
    "Order",
    "OrderReply",
    "TransferReply",
]


class Announcement(TypedDict):
    """``POST /target/announce``: what a target is, sent every few seconds.

    :param boot_id: new at each start of the target.
    :param address: ``host:port`` at which it serves requests and orders.
    :param kind: ``engine`` runs models, ``service`` is a plain service.
    :param service: the plain service's name; only for ``service``.
    :param models: weight version loaded, by model.
    :param adapters: adapter version loaded, by ``model:adapter``.
    :param capacity: requests that it can run at once when warm.
    :param cold_capacity: requests that it can run at once just after a start.
    :param checks_fencing: whether it refuses orders with an old number.
    :param order_index: fencing number of the last order obeyed.
    :param cached_tokens: size of its prefix cache in tokens.
    :param leaving: it wants no new work.
    """

    target: str
    boot_id: str
    data_centre: str
    address: str
    kind: Literal["engine", "service"]
    service: NotRequired[str]
    models: dict[str, str]
    adapters: NotRequired[dict[str, str]]
    capacity: int
    cold_capacity: int
    checks_fencing: bool
    order_index: NotRequired[int]
    cached_tokens: NotRequired[int]
    leaving: NotRequired[bool]


class LoadReport(TypedDict):
    """``POST /target/load``: a lagged view of what the target does.

    :param sequence: counts this boot's reports.
    :param running: requests in the batch.
    :param queued: requests that wait.
    :param queued_prefill_tokens: prompt tokens not computed yet.
    :param cached_tokens: prompt tokens in the prefix cache.
    :param age_s: seconds since the values were true.
    """

    target: str
    boot_id: str
    sequence: int
    running: int
    queued: int
    queued_prefill_tokens: int
    cached_tokens: int
    age_s: float


class CacheEvent(TypedDict):
    """One change of a target's prefix cache."""

    kind: Literal["stored", "evicted", "cleared"]
    blocks: list[str]


class CacheEvents(TypedDict):
    """``POST /target/events``: numbered cache events; gaps are possible.

    :param first: number of the first event in ``events``.
    :param summary: if true, ``events`` is everything that is held now.
    """

    target: str
    boot_id: str
    first: int
    events: list[CacheEvent]
    summary: NotRequired[bool]


class Order(TypedDict):
    """``PUT /order`` at a target: its whole desired state.

    :param index: ticket index; the fencing number.
    :param owner: name of the VM that orders.
    :param epoch: ownership epoch of that VM.
    :param boot_id: boot that it is meant for; a target that checks numbers
        answers ``stale`` at any other.
    :param models: ``{model: {"version": ..., "weights": ...}}``.
    """

    index: int
    owner: str
    epoch: int
    boot_id: NotRequired[str]
    role: Literal["serving", "draining", "standby"]
    models: dict[str, dict[str, str]]
    adapters: dict[str, dict[str, str]]


class OrderReply(TypedDict):
    """A target's answer to an order."""

    status: Literal["obeyed", "in-progress", "stale", "failed"]
    order_index: int
    detail: NotRequired[str]


class BlockOrder(TypedDict):
    """``POST /blocks/export`` or ``/blocks/import`` at a target.

    :param transfer: id of the transfer; a repeat of it is idempotent.
    :param boot_id: void at any other boot.
    :param version: weight version; void at any other.
    :param store: ``host:port`` of the store.
    :param blocks: block ids, parents first.
    """

    transfer: str
    boot_id: str
    index: int
    model: str
    version: str
    store: str
    blocks: list[str]


class TransferReply(TypedDict):
    """A target's answer to a block order: what was moved and how fast."""

    transfer: str
    status: Literal["done", "partial", "stale", "failed"]
    blocks: list[str]
    bytes: int
    seconds: float
