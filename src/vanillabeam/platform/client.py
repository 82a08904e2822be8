"""HTTP client for calls to workers and KV cache stores."""

from typing import Annotated, TypeVar

import httpcore
import trio
from msgspec import Meta

from vanillabeam import wire
from vanillabeam.addresses import is_address, split_address
from vanillabeam.connecting import BROKEN, open_pool
from vanillabeam.fleet.deployments import MAX_NUMBER
from vanillabeam.httpread import request_bounded

__all__ = ["Count", "PlatformClient", "decode_response"]

TIMEOUT_S = 1.0
IDLE_EXPIRY_S = 1.0
MAX_CONNECTIONS = 64
#: Longest answer of a worker to a call.
MAX_ANSWER_BYTES = 1024 * 1024

#: A number in an answer. What VMs tell each other holds no larger ones.
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]

Document = TypeVar("Document")

Headers = list[tuple[bytes, bytes]]


class PlatformClient:
    """HTTP client for the system's own calls, as opposed to forwarded requests.

    A worker or store may send an extra answer late, and its answers to these calls name
    no call. So each call that changes something has a connection of its own; what is
    read is asked again soon.
    """

    def __init__(self):
        self._reading_pool = open_pool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_EXPIRY_S
        )
        self._changing_pool = open_pool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
        )

    async def call(
        self,
        method: str,
        address: str,
        path: bytes,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float = TIMEOUT_S,
        limit_bytes: int = MAX_ANSWER_BYTES,
    ) -> httpcore.Response | None:
        """Send a request and return the complete response.

        :param address: ``host:port`` of the worker or store.
        :param timeout_s: seconds for the whole call.
        :param limit_bytes: longest body that is read.
        :returns: ``None`` if no complete response of that size came in time, or
            without an address.
        """
        if not is_address(address):
            return None
        host, port = split_address(address)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=path)
        all_headers = [(b"Host", address.encode()), *(headers or [])]
        if body:
            all_headers.append((b"Content-Type", b"application/json"))
            all_headers.append((b"Content-Length", str(len(body)).encode()))
        pool = self._reading_pool if method == "GET" else self._changing_pool
        with trio.move_on_after(timeout_s):
            try:
                return await request_bounded(
                    pool,
                    method,
                    url,
                    limit_bytes,
                    headers=all_headers,
                    content=body,
                )
            except BROKEN:
                return None
        return None


def decode_response(
    response: httpcore.Response | None, kind: type[Document]
) -> Document | None:
    """Return the decoded JSON body of a response.

    :param kind: type of the document.
    :returns: ``None`` without a response, if its status isn't 200, or if its body
        doesn't match ``kind``.
    """
    if response is None or response.status != 200:
        return None
    return wire.decode(kind, response.content).value_or(None)
