"""Messages to other replicas: one bounded queue and a few calls for each."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from returns.result import Failure, Success

from vanillabeam.log.messages import (
    Envelope,
    decode_message_batch,
    encode_message_batch,
)
from vanillabeam.log.requests import messages_path
from vanillabeam.peercall import PeerCall

__all__ = ["Outbox"]

QUEUE_MESSAGES = 256
CONCURRENT_CALLS = 3

Receive = Callable[[list[Envelope]], Awaitable[None]]


class Outbox:
    """Sends messages; those that find no place or no answer are lost.

    The replica's heartbeats make up for losses, so nothing is sent again.

    :param nursery: where the senders run.
    :param receive: takes the messages that come back in an answer.
    :param timeout_s: a call that is silent for longer is given up.
    """

    def __init__(
        self,
        group: str,
        call: PeerCall,
        nursery: trio.Nursery,
        receive: Receive,
        timeout_s: float,
    ):
        self._path = messages_path(group)
        self._call = call
        self._nursery = nursery
        self._receive = receive
        self._timeout_s = timeout_s
        self._queues: dict[str, trio.MemorySendChannel[Envelope]] = {}

    def put(self, address: str, envelope: Envelope) -> None:
        """Queue a message for the replica at ``address``."""
        queue = self._queues.get(address)
        if queue is None:
            queue, messages = trio.open_memory_channel[Envelope](QUEUE_MESSAGES)
            self._queues[address] = queue
            for _ in range(CONCURRENT_CALLS):
                self._nursery.start_soon(partial(self._send, address, messages))
        try:
            queue.send_nowait(envelope)
        except trio.WouldBlock:
            return

    async def _send(
        self, address: str, messages: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        async for first in messages:
            envelopes = [first, *_drain(messages)]
            with trio.move_on_after(self._timeout_s):
                await self._exchange(address, envelopes)

    async def _exchange(self, address: str, envelopes: list[Envelope]) -> None:
        answer = await self._call(address, self._path, encode_message_batch(envelopes))
        if isinstance(answer, Failure):
            return
        decoded = decode_message_batch(answer.unwrap())
        if isinstance(decoded, Success) and decoded.unwrap():
            await self._receive(decoded.unwrap())


def _drain(messages: trio.MemoryReceiveChannel[Envelope]) -> list[Envelope]:
    found: list[Envelope] = []
    while True:
        try:
            found.append(messages.receive_nowait())
        except trio.WouldBlock:
            return found
