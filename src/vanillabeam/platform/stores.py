"""Questions to the stores of kept KV cache."""

from typing import NotRequired, TypedDict

from vanillabeam import wire
from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import StoreEvent
from vanillabeam.fleet.stores import StoreEvents, StoreList
from vanillabeam.platform.calls import WorkerCalls, decode_answer

__all__ = ["PlatformStores"]

#: Beyond the time that the store may hold a question back.
ANSWER_MARGIN_S = 1.0


class _Events(TypedDict):
    epoch: int
    next: int
    lost: bool
    #: Number, sign, salt, part, tokens stored now, model.
    events: list[tuple[int, str, str, str, int, str]]
    clock_ms: NotRequired[float]


class _List(TypedDict):
    epoch: int
    next: int
    #: Salt, part, tokens, model.
    held: list[tuple[str, str, int, str]]


class PlatformStores:
    """Asks stores what they hold."""

    def __init__(self, calls: WorkerCalls):
        self._calls = calls

    async def read_events(
        self, store: Store, since: int, wait_s: float
    ) -> StoreEvents | None:
        """Return events after ``since``, once there are some."""
        limit_s = wait_s + ANSWER_MARGIN_S
        headers = [(b"Wait-Ms", str(int(wait_s * 1000)).encode())]
        path = b"/api/kv-events?since=" + str(since).encode()
        response = await self._calls.call(
            "GET",
            store.address,
            path,
            headers=headers,
            limit_s=limit_s,
        )
        said = decode_answer(response, _Events)
        if said is None:
            return None
        events = [
            StoreEvent(salt, part, tokens if sign == "+" or tokens else 0)
            for _, sign, salt, part, tokens, _ in said["events"]
        ]
        return StoreEvents(
            said["epoch"], said["next"], said["lost"], events, said.get("clock_ms")
        )

    async def list_parts(self, store: Store) -> StoreList | None:
        """Return all parts of the store."""
        response = await self._calls.call("GET", store.address, b"/api/kv-list")
        said = decode_answer(response, _List)
        if said is None:
            return None
        held = [
            StoreEvent(salt, part, tokens) for salt, part, tokens, _ in said["held"]
        ]
        return StoreList(said["epoch"], said["next"], held)

    async def free(
        self, store: Store, keys: list[tuple[str, str]], epoch: int, until_ms: float
    ) -> bool:
        """Free parts, unless the store has restarted or the time has passed."""
        body = wire.encode({"parts": keys, "epoch": epoch, "until_ms": int(until_ms)})
        response = await self._calls.call("POST", store.address, b"/api/kv-free", body)
        return response is not None and response.status < 300
