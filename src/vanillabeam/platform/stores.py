"""Client of the KV cache stores."""

from typing import NotRequired, TypedDict

from vanillabeam import wire
from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import StoreEvent
from vanillabeam.fleet.stores import StoreEvents, StoreList
from vanillabeam.platform.client import Count, PlatformClient, decode_response

__all__ = ["PlatformStores"]

#: Seconds to wait for a response after the wait that the store was asked for.
RESPONSE_MARGIN_S = 1.0
#: Longest list of a store's parts or events: 100,000 of them.
MAX_LIST_BYTES = 8 * 1024 * 1024


class _Events(TypedDict):
    epoch: Count
    next: Count
    lost: bool
    #: Number, sign, salt, part, tokens stored after the event, model.
    events: list[tuple[Count, str, str, str, Count, str]]
    clock_ms: NotRequired[float]


class _List(TypedDict):
    epoch: Count
    next: Count
    #: Salt, part, tokens, model.
    held: list[tuple[str, str, Count, str]]


class PlatformStores:
    """Client with which the leader of the fleet log calls stores."""

    def __init__(self, client: PlatformClient):
        self._client = client

    async def read_events(
        self, store: Store, since: int, wait_s: float
    ) -> StoreEvents | None:
        """Return the events after number ``since``, waiting for the first of them.

        :param wait_s: maximum seconds for which the store waits for an event.
        """
        timeout_s = wait_s + RESPONSE_MARGIN_S
        headers = [(b"Wait-Ms", str(int(wait_s * 1000)).encode())]
        path = b"/api/kv-events?since=" + str(since).encode()
        response = await self._client.call(
            "GET",
            store.address,
            path,
            headers=headers,
            timeout_s=timeout_s,
            limit_bytes=MAX_LIST_BYTES,
        )
        document = decode_response(response, _Events)
        if document is None:
            return None
        events = [
            StoreEvent(salt, part, tokens if sign == "+" else 0)
            for _, sign, salt, part, tokens, _ in document["events"]
        ]
        return StoreEvents(
            document["epoch"],
            document["next"],
            document["lost"],
            events,
            document.get("clock_ms"),
        )

    async def list_parts(self, store: Store) -> StoreList | None:
        """Return the list of all parts in the store."""
        response = await self._client.call(
            "GET", store.address, b"/api/kv-list", limit_bytes=MAX_LIST_BYTES
        )
        document = decode_response(response, _List)
        if document is None:
            return None
        stored_parts = [
            StoreEvent(salt, part, tokens) for salt, part, tokens, _ in document["held"]
        ]
        return StoreList(document["epoch"], document["next"], stored_parts)

    async def free(
        self, store: Store, keys: list[tuple[str, str]], epoch: int, until_ms: float
    ) -> bool:
        """Free parts, unless the store has restarted or the time has passed.

        :param keys: salt and part id of each part.
        :param epoch: epoch of the store in which the parts were listed.
        :param until_ms: time on the store's clock after which it ignores the call.
        :returns: whether the store answered with success.
        """
        body = wire.encode({"parts": keys, "epoch": epoch, "until_ms": int(until_ms)})
        response = await self._client.call("POST", store.address, b"/api/kv-free", body)
        return response is not None and response.status < 300
