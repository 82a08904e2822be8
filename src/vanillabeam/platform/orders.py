"""Client that orders weight versions from workers and queries their state."""

from collections.abc import Callable
from typing import NotRequired, TypedDict

import trio

from vanillabeam import wire
from vanillabeam.fleet import Target
from vanillabeam.fleet.orderrun import OrderReply, WeightsReport
from vanillabeam.fleet.rollout import OnLimit, WeightsOrder
from vanillabeam.platform.client import Count, PlatformClient, decode_response
from vanillabeam.platform.headers import MISDIRECTED_REQUEST, read_notice
from vanillabeam.platform.heartbeats import read_versions

__all__ = ["WorkerOrders"]

_REPLY_OF_STATUS = {
    200: OrderReply.HOLDS,
    202: OrderReply.ACCEPTED,
    409: OrderReply.BUSY,
    412: OrderReply.FENCED,
}


class _Model(TypedDict):
    name: str
    version: Count


class _Report(TypedDict):
    models: list[_Model]
    busy: bool
    #: Number of orders that the worker has accepted since its start.
    seq: NotRequired[Count]
    running: NotRequired[Count]


class WorkerOrders:
    """Client with which the leader of the fleet log calls workers.

    :ivar on_leaving: called with a worker that says in an answer that it leaves.
    :ivar on_limit: called with a worker that names a limit in an answer.
    """

    def __init__(self, client: PlatformClient):
        self._client = client
        self.on_leaving: Callable[[Target], None] = lambda target: None
        self.on_limit: OnLimit = lambda target, texts, sent_s: None

    async def load_weights(
        self, target: Target, order: WeightsOrder, sequence: int | None
    ) -> OrderReply:
        """Order a worker to load a version."""
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "strategy": str(order.strategy),
            "holder": order.holder,
            "fence": order.fence,
        }
        if sequence is not None:
            document["precondition"] = sequence
        body = wire.encode(document)
        response = await self._call("POST", target, b"/api/order", body)
        if response is None:
            return OrderReply.UNKNOWN
        return _REPLY_OF_STATUS.get(response.status, OrderReply.REFUSED)

    async def report(self, target: Target, model: str) -> WeightsReport | None:
        """Return a worker's report on a model; ``None`` without a valid answer."""
        response = await self._call("GET", target, b"/api/report", b"")
        report = decode_response(response, _Report)
        if report is None:
            return None
        version = read_versions(report["models"]).get(model)
        return WeightsReport(
            None if report["busy"] else version,
            report["busy"],
            report.get("seq"),
            report.get("running"),
        )

    async def _call(self, method: str, target: Target, path: bytes, body: bytes):
        headers = [(b"X-Vanillabeam-Expect-Instance", target.name.encode())]
        sent_s = trio.current_time()
        response = await self._client.call(method, target.address, path, body, headers)
        if response is None or response.status == MISDIRECTED_REQUEST:
            return response
        notice = read_notice(response.status, response.headers)
        if notice.leaving:
            self.on_leaving(target)
        if notice.limits:
            self.on_limit(target, notice.limits, sent_s)
        return response
