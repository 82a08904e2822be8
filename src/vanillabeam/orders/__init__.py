"""Orders to targets: desired states, load leases and minimum ready targets."""

from vanillabeam.orders.exceptions import (
    FloorReached,
    LoadsLimited,
    NotLeaseKeeper,
    OrderTimedOut,
)
from vanillabeam.orders.keeper import LeaseKeeper
from vanillabeam.orders.shell import Orders, OrderSender, TargetStatus
from vanillabeam.orders.state import OrdersSettings

__all__ = [
    "FloorReached",
    "LeaseKeeper",
    "LoadsLimited",
    "NotLeaseKeeper",
    "OrderSender",
    "OrderTimedOut",
    "Orders",
    "OrdersSettings",
    "TargetStatus",
]
