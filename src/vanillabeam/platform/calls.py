"""Calls to workers and stores: one client for all of them."""

from typing import TypeVar

import httpcore
import msgspec
import trio

from vanillabeam.addresses import split_address

__all__ = ["WorkerCalls", "decode_answer"]

LIMIT_S = 1.0
IDLE_EXPIRY_S = 1.0
CONNECTIONS = 64

Said = TypeVar("Said")

Headers = list[tuple[bytes, bytes]]


class WorkerCalls:
    """Calls that carry no client's request."""

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS, keepalive_expiry=IDLE_EXPIRY_S
        )

    async def call(
        self,
        method: str,
        address: str,
        path: bytes,
        body: bytes = b"",
        headers: Headers | None = None,
        limit_s: float = LIMIT_S,
    ) -> httpcore.Response | None:
        """Return the whole answer, ``None`` without one in time.

        :param address: ``host:port``.
        :param limit_s: for the whole call, in seconds.
        """
        host, port = split_address(address)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=path)
        sent = [(b"Host", address.encode()), *(headers or [])]
        if body:
            sent.append((b"Content-Type", b"application/json"))
            sent.append((b"Content-Length", str(len(body)).encode()))
        with trio.move_on_after(limit_s):
            try:
                return await self._pool.request(method, url, headers=sent, content=body)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return None
        return None


def decode_answer(response: httpcore.Response | None, kind: type[Said]) -> Said | None:
    """Return what an answer says, ``None`` if it is no sound one."""
    if response is None or response.status != 200:
        return None
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.MsgspecError:
        return None
