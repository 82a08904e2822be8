"""Orders to workers and questions to them."""

from typing import TypedDict

import httpcore
import msgspec
import trio

from vanillabeam import wire
from vanillabeam.fleet import Target
from vanillabeam.fleet.rollout import OrderReply, WeightsOrder
from vanillabeam.platform.heartbeats import Model, read_versions

__all__ = ["WorkerOrders"]

LIMIT_S = 1.0
IDLE_EXPIRY_S = 1.0
CONNECTIONS = 16

_REPLIES = {
    200: OrderReply.HOLDS,
    202: OrderReply.ACCEPTED,
    409: OrderReply.BUSY,
    412: OrderReply.FENCED,
}


class _Report(TypedDict):
    models: list[Model]
    busy: bool


class WorkerOrders:
    """Speaks with workers on behalf of the leader."""

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS, keepalive_expiry=IDLE_EXPIRY_S
        )

    async def load_weights(self, target: Target, order: WeightsOrder) -> OrderReply:
        """Order a version; runs that are under way finish first."""
        body = wire.encode(
            {
                "op": "version",
                "model": order.model,
                "version": order.version,
                "strategy": "wait",
                "holder": order.holder,
                "fence": order.fence,
            }
        )
        response = await self._call("POST", target, b"/api/order", body)
        if response is None:
            return OrderReply.UNKNOWN
        return _REPLIES.get(response.status, OrderReply.REFUSED)

    async def held_version(self, target: Target, model: str) -> int | None:
        """Return the version in use, ``None`` while an order is carried out."""
        response = await self._call("GET", target, b"/api/report", b"")
        if response is None or response.status != 200:
            return None
        try:
            report = msgspec.json.decode(response.content, type=_Report)
        except msgspec.MsgspecError:
            return None
        return None if report["busy"] else read_versions(report["models"]).get(model)

    async def _call(
        self, method: str, target: Target, path: bytes, body: bytes
    ) -> httpcore.Response | None:
        host, _, port = target.address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode(), port=int(port), target=path
        )
        headers = [
            (b"Host", target.address.encode()),
            (b"X-Vanillabeam-Expect-Instance", target.name.encode()),
        ]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        with trio.move_on_after(LIMIT_S):
            try:
                return await self._pool.request(
                    method, url, headers=headers, content=body
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return None
        return None
