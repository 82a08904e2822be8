"""Calls between shells in one process, with counts of calls and bytes."""

import trio
from returns.result import Failure, Result

from vanillabeam.exceptions import PeerUnreachable, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes

__all__ = ["Traffic"]

DELAY_S = 0.0005


class Traffic:
    """Direct connection of shells that counts their calls.

    A call counts at both of its ends.

    :ivar routes: handlers by address.
    :ivar calls: number of calls by address.
    :ivar body_bytes: bytes of the bodies in both directions, by address.
    """

    def __init__(self) -> None:
        self.routes: dict[str, PeerRoutes] = {}
        self.calls: dict[str, int] = {}
        self.body_bytes: dict[str, int] = {}

    def call_from(self, source: str) -> PeerCall:
        """Return the function with which the shell at ``source`` calls others."""

        async def call(
            address: str, path: str, body: bytes
        ) -> Result[bytes, VanillabeamError]:
            await trio.sleep(DELAY_S)
            handler = self.routes.get(address, {}).get(path)
            if handler is None:
                return Failure(PeerUnreachable(address))
            answer = await handler(body)
            size = len(body)
            if not isinstance(answer, Failure):
                size += len(answer.unwrap())
            for end in (source, address):
                self.calls[end] = self.calls.get(end, 0) + 1
                self.body_bytes[end] = self.body_bytes.get(end, 0) + size
            return answer

        return call

    def clear(self) -> None:
        """Reset the counters."""
        self.calls.clear()
        self.body_bytes.clear()
