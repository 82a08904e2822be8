"""Messages between targets and the system, in their wire format."""

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
    """``POST /target/announce``: a target's description, sent every few seconds.

    :param boot_id: id that is new at each start of the target.
    :param address: ``host:port`` at which the target serves requests and orders.
    :param kind: ``engine`` runs models, ``service`` is a plain service.
    :param service: the plain service's name; only for ``service``.
    :param models: weight version loaded, by model.
    :param adapters: adapter version loaded, by ``model:adapter``.
    :param capacity: number of concurrent requests when warm.
    :param cold_capacity: number of concurrent requests just after a start.
    :param checks_fencing: whether the target refuses orders with an old fencing
        number.
    :param order_index: fencing number of the last order that was obeyed.
    :param cached_tokens: size of the prefix cache in tokens.
    :param leaving: whether the target asks for no new work.
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
    """``POST /target/load``: a slightly outdated report of a target's load.

    :param sequence: number of the report, counted from the target's start.
    :param running: requests in the batch.
    :param queued: requests in the target's queue.
    :param queued_prefill_tokens: prompt tokens that are not computed yet.
    :param cached_tokens: prompt tokens in the prefix cache.
    :param age_s: seconds since the values were read.
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
    """``POST /target/events``: numbered cache events; numbers may be missing.

    :param first: number of the first event in ``events``.
    :param summary: whether ``events`` lists the whole content of the cache.
    """

    target: str
    boot_id: str
    first: int
    events: list[CacheEvent]
    summary: NotRequired[bool]


class Order(TypedDict):
    """``PUT /order`` at a target: the target's complete desired state.

    :param index: ticket index, which is the fencing number.
    :param owner: name of the VM that sends the order.
    :param epoch: ownership epoch of that VM.
    :param boot_id: boot that the order is meant for; a target that checks
        fencing numbers answers ``stale`` if its boot id differs.
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

    :param transfer: id of the transfer; repeating it has no further effect.
    :param boot_id: boot that the order is valid for.
    :param version: weight version that the order is valid for.
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
    """A target's answer to a block order.

    :param blocks: ids of the blocks that were transferred.
    :param bytes: number of bytes that were transferred.
    :param seconds: duration of the transfer.
    """

    transfer: str
    status: Literal["done", "partial", "stale", "failed"]
    blocks: list[str]
    bytes: int
    seconds: float
