"""Lookup of a prompt's blocks: one call to each preferred store."""

from typing import NamedTuple

import trio
from loguru import logger
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.peercall import PeerCall
from vanillabeam.store.messages import FIND_PATH, FindReply, FindRequest
from vanillabeam.store.placement import preferred_stores

__all__ = ["LookupResult", "StoreAddress", "StoreLookup"]

FIND_TIMEOUT_S = 0.25
#: Seconds for which a store that does not answer is skipped.
PAUSE_S = 2.0


class StoreAddress(NamedTuple):
    """Name and addresses of a live store.

    :param peers: ``host:port`` of its listener for entry VMs.
    :param blocks: ``host:port`` of its listener for engines.
    """

    name: str
    peers: str
    blocks: str


class LookupResult(NamedTuple):
    """Blocks of one prompt that the stores hold.

    :param block_ids: the prompt's blocks, parents first.
    :param store: name of the store with the most leading blocks; empty for none.
    :param lengths: sizes in bytes of the leading blocks in that store.
    :param held: ids of the blocks held, by the name of each store that answered.
    :param reuse_probability: probability that the prompt is sent again.
    """

    block_ids: tuple[str, ...] = ()
    store: str = ""
    lengths: tuple[int, ...] = ()
    held: dict[str, frozenset[str]] = {}
    reuse_probability: float = 0.5

    @property
    def blocks(self) -> int:
        """Number of leading blocks that the store can provide."""
        return len(self.lengths)


class StoreLookup:
    """Looks up blocks in the stores and skips unresponsive stores for a while.

    :param call: sends a request to a peer.
    :ivar stores: live stores by name.
    """

    def __init__(self, call: PeerCall):
        self.stores: dict[str, StoreAddress] = {}
        self._call = call
        self._paused_until_s: dict[str, float] = {}

    async def find(self, block_ids: tuple[str, ...]) -> LookupResult:
        """Return which blocks the stores hold; a failing store counts as empty.

        :param block_ids: the prompt's blocks, parents first.
        """
        if not block_ids or not self.stores:
            return LookupResult(block_ids)
        replies: dict[str, FindReply] = {}
        with trio.move_on_after(FIND_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for name in self._available_stores(block_ids):
                    nursery.start_soon(self._request, name, block_ids, replies)
        return _merge_replies(block_ids, replies)

    def _available_stores(self, block_ids: tuple[str, ...]) -> list[str]:
        now_s = trio.current_time()
        names = preferred_stores(block_ids[0], self.stores)
        paused = self._paused_until_s
        return [name for name in names if paused.get(name, now_s) <= now_s]

    async def _request(
        self, name: str, block_ids: tuple[str, ...], replies: dict[str, FindReply]
    ) -> None:
        # Concurrent lookups skip the store until it has answered this one.
        self._paused_until_s[name] = trio.current_time() + PAUSE_S
        request: FindRequest = {"blocks": list(block_ids)}
        address = self.stores[name].peers
        answer = await self._call(address, FIND_PATH, wire.encode(request))
        reply = answer.bind(lambda body: wire.decode(FindReply, body))
        if isinstance(reply, Failure):
            logger.info(
                "block lookup at a store failed", store=name, failure=reply.failure()
            )
            return
        self._paused_until_s.pop(name, None)
        if len(reply.unwrap()["lengths"]) == len(block_ids):
            replies[name] = reply.unwrap()


def _merge_replies(
    block_ids: tuple[str, ...], replies: dict[str, FindReply]
) -> LookupResult:
    store, lengths = "", ()
    held: dict[str, frozenset[str]] = {}
    for name, reply in sorted(replies.items()):
        leading = _leading_lengths(reply["lengths"])
        if len(leading) > len(lengths):
            store, lengths = name, leading
        pairs = zip(block_ids, reply["lengths"], strict=True)
        held[name] = frozenset(block_id for block_id, length in pairs if length)
    probabilities = [reply["chance"] for reply in replies.values()]
    probability = max(probabilities, default=LookupResult().reuse_probability)
    return LookupResult(block_ids, store, lengths, held, probability)


def _leading_lengths(lengths: list[int]) -> tuple[int, ...]:
    count = 0
    while count < len(lengths) and lengths[count] > 0:
        count += 1
    return tuple(lengths[:count])
