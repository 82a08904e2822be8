"""Connects shells in one process and counts what goes between them."""

import trio
from returns.result import Failure, Result

from vanillabeam.exceptions import PeerUnreachable, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes

__all__ = ["Traffic"]

DELAY_S = 0.0005


class Traffic:
    """Connects shells directly and counts what goes between them.

    :ivar calls: calls by the address of either end.
    :ivar body_bytes: bytes of bodies, there and back, likewise.
    """

    def __init__(self) -> None:
        self.routes: dict[str, PeerRoutes] = {}
        self.calls: dict[str, int] = {}
        self.body_bytes: dict[str, int] = {}

    def call_from(self, source: str) -> PeerCall:
        """Return what the shell at ``source`` calls others with."""

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
        """Begin to count anew."""
        self.calls.clear()
        self.body_bytes.clear()
