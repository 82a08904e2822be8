"""Which store holds how much of a prompt: one call to each likely store."""

from typing import NamedTuple

import trio
from loguru import logger
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.cache.placement import preferred_stores
from vanillabeam.peercall import PeerCall
from vanillabeam.store.messages import FIND_PATH, FindReply, FindRequest

__all__ = ["StoreLookup", "LookupResult", "StoreAddress"]

FIND_TIMEOUT_S = 0.25
PAUSE_S = 2.0


class StoreAddress(NamedTuple):
    """A live store.

    :param peers: ``host:port`` at which it answers entries.
    :param blocks: ``host:port`` at which it answers engines.
    """

    name: str
    peers: str
    blocks: str


class LookupResult(NamedTuple):
    """What the stores say of one prompt.

    :param block_ids: the prompt's blocks, parents first.
    :param store: name of the store that gives most; empty for none.
    :param lengths: bytes there of the leading blocks that it holds.
    :param held: by store that answered, which blocks it holds.
    :param chance: chance that the prompt returns.
    """

    block_ids: tuple[str, ...] = ()
    store: str = ""
    lengths: tuple[int, ...] = ()
    held: dict[str, frozenset[str]] = {}
    chance: float = 0.5

    @property
    def blocks(self) -> int:
        """How many leading blocks a store can give."""
        return len(self.lengths)


class StoreLookup:
    """Asks the stores; one that does not answer is left alone for a while."""

    def __init__(self, call: PeerCall):
        self.stores: dict[str, StoreAddress] = {}
        self._call = call
        self._paused_until_s: dict[str, float] = {}

    async def find(self, block_ids: tuple[str, ...]) -> LookupResult:
        """Return what is held; a store that fails counts as empty."""
        if not block_ids or not self.stores:
            return LookupResult(block_ids)
        replies: dict[str, FindReply] = {}
        with trio.move_on_after(FIND_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for name in self._askable(block_ids):
                    nursery.start_soon(self._ask, name, block_ids, replies)
        return _best(block_ids, replies)

    def _askable(self, block_ids: tuple[str, ...]) -> list[str]:
        now_s = trio.current_time()
        names = preferred_stores(block_ids[0], self.stores)
        paused = self._paused_until_s
        return [name for name in names if paused.get(name, now_s) <= now_s]

    async def _ask(
        self, name: str, block_ids: tuple[str, ...], replies: dict[str, FindReply]
    ) -> None:
        # Until it has answered, others need not wait for it as well.
        self._paused_until_s[name] = trio.current_time() + PAUSE_S
        request: FindRequest = {"blocks": list(block_ids)}
        address = self.stores[name].peers
        answer = await self._call(address, FIND_PATH, wire.encode(request))
        reply = answer.bind(lambda body: wire.decode(FindReply, body))
        if isinstance(reply, Failure):
            logger.info("a store did not answer", store=name, failure=reply.failure())
            return
        self._paused_until_s.pop(name, None)
        if len(reply.unwrap()["lengths"]) == len(block_ids):
            replies[name] = reply.unwrap()


def _best(block_ids: tuple[str, ...], replies: dict[str, FindReply]) -> LookupResult:
    store, lengths = "", ()
    held: dict[str, frozenset[str]] = {}
    for name, reply in sorted(replies.items()):
        leading = _leading(reply["lengths"])
        if len(leading) > len(lengths):
            store, lengths = name, leading
        pairs = zip(block_ids, reply["lengths"], strict=True)
        held[name] = frozenset(block_id for block_id, length in pairs if length)
    chances = [reply["chance"] for reply in replies.values()]
    chance = max(chances, default=LookupResult().chance)
    return LookupResult(block_ids, store, lengths, held, chance)


def _leading(lengths: list[int]) -> tuple[int, ...]:
    count = 0
    while count < len(lengths) and lengths[count] > 0:
        count += 1
    return tuple(lengths[:count])
