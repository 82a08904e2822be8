"""Orders to workers and questions to them."""

from typing import TypedDict

from vanillabeam import wire
from vanillabeam.fleet import Target
from vanillabeam.fleet.rollout import OrderReply, WeightsOrder
from vanillabeam.platform.calls import WorkerCalls, decode_answer
from vanillabeam.platform.heartbeats import Model, read_versions

__all__ = ["WorkerOrders"]

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

    def __init__(self, calls: WorkerCalls):
        self._calls = calls

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
        report = decode_answer(response, _Report)
        if report is None or report["busy"]:
            return None
        return read_versions(report["models"]).get(model)

    async def _call(self, method: str, target: Target, path: bytes, body: bytes):
        headers = [(b"X-Vanillabeam-Expect-Instance", target.name.encode())]
        return await self._calls.call(method, target.address, path, body, headers)
