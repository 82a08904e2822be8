"""Bodies of plain answers: held while they are short, so that they can be replaced."""

from collections.abc import AsyncIterator

import trio

from vanillabeam.fleet import Target
from vanillabeam.forwarding.sending.outcomes import Whole
from vanillabeam.forwarding.sending.upstream import Broken, OpenResponse, iter_body
from vanillabeam.memory import Holding

__all__ = ["Prefix", "read_plain", "read_refusal"]

#: Longest answer that is held until it is whole. A longer one is passed on as it
#: arrives and can't be replaced by that of another target.
HELD_BYTES = 256 * 1024
#: Longest body of a refusal, and the time for it: its head says all that matters.
REFUSAL_BYTES = 64 * 1024
REFUSAL_WAIT_S = 0.1


class Prefix:
    """Begin of an answer that is too long to be held.

    :param parts: the body so far.
    :param holding: counts these bytes until they are taken.
    """

    def __init__(self, parts: list[bytes], holding: Holding):
        self._parts = parts
        self._holding = holding

    def take(self) -> bytes:
        """Return the bytes, which are no longer held."""
        data = b"".join(self._parts)
        self._parts.clear()
        self._holding.release()
        return data


async def read_plain(
    response: OpenResponse, parts: AsyncIterator[bytes | Broken], holding: Holding
) -> Whole | Prefix | Broken:
    """Return a whole answer, or its begin if it is too long to be held.

    :param parts: the parts of the body; the rest of a long answer is left there.
    :param holding: counts the bytes that are returned.
    """
    held: list[bytes] = []
    size = 0
    async for part in parts:
        if isinstance(part, Broken):
            return part
        held.append(part)
        size += len(part)
        if size > HELD_BYTES or not holding.grow(len(part)):
            return Prefix(held, holding)
    return Whole(response.status, response.headers, b"".join(held))


async def read_refusal(response: OpenResponse, target: Target) -> Whole:
    """Return a refusal, without its body if that is long, late or breaks off."""
    body = bytearray()
    with trio.move_on_after(REFUSAL_WAIT_S):
        async for part in iter_body(response, target):
            if isinstance(part, Broken) or len(body) + len(part) > REFUSAL_BYTES:
                break
            body += part
        else:
            return Whole(response.status, response.headers, bytes(body))
    return Whole(response.status, response.headers, b"", is_cut=True)
