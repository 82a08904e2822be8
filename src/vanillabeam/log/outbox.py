"""Sending of messages: one bounded queue and a few calls per replica."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Failure, Success

from vanillabeam.log.messages import (
    Envelope,
    decode_message_batch,
    encode_message_batch,
)
from vanillabeam.log.requests import messages_path
from vanillabeam.peercall import PeerCall
from vanillabeam.tasks import keep_running

__all__ = ["Outbox"]

QUEUE_MESSAGES = 256
#: Calls to one replica at a time, so that messages go on while answers are awaited.
CONCURRENT_CALLS = 12

Receive = Callable[[list[Envelope]], Awaitable[None]]


class Outbox:
    """Sends messages to other replicas, without retries.

    Messages are lost if the queue is full or a call fails. The replica's
    heartbeats trigger replication again, so nothing needs to be resent here.

    :param group: name of the group.
    :param call: sends a request to another VM.
    :param nursery: nursery that runs the sending tasks.
    :param receive: handles the messages in the response to a call.
    :param timeout_s: timeout in seconds of a call with a small message.
    :param slowest_bytes_s: rate in bytes a second; a call has as much more time as its
        messages take at it.
    """

    def __init__(
        self,
        group: str,
        call: PeerCall,
        nursery: trio.Nursery,
        receive: Receive,
        timeout_s: float,
        slowest_bytes_s: int,
    ):
        self._path = messages_path(group)
        self._call = call
        self._nursery = nursery
        self._receive = receive
        self._timeout_s = timeout_s
        self._slowest_bytes_s = slowest_bytes_s
        self._queues: dict[str, trio.MemorySendChannel[Envelope]] = {}

    def put(self, address: str, envelope: Envelope) -> None:
        """Queue a message for the replica at ``address``, or drop it if full."""
        queue = self._queues.get(address)
        if queue is None:
            queue, messages = trio.open_memory_channel[Envelope](QUEUE_MESSAGES)
            self._queues[address] = queue
            for _ in range(CONCURRENT_CALLS):
                self._nursery.start_soon(
                    keep_running, "outbox", self._send, address, messages
                )
        try:
            queue.send_nowait(envelope)
        except trio.WouldBlock:
            return

    async def _send(
        self, address: str, messages: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        async for first in messages:
            envelopes = [first, *_drain(messages)]
            body = encode_message_batch(envelopes)
            timeout_s = self._timeout_s + len(body) / self._slowest_bytes_s
            with trio.move_on_after(timeout_s):
                await self._exchange(address, body)

    async def _exchange(self, address: str, body: bytes) -> None:
        answer = await self._call(address, self._path, body)
        if isinstance(answer, Failure):
            return
        decoded = decode_message_batch(answer.unwrap())
        if isinstance(decoded, Success) and decoded.unwrap():
            await self._receive(decoded.unwrap())


def _drain(messages: trio.MemoryReceiveChannel[Envelope]) -> list[Envelope]:
    envelopes: list[Envelope] = []
    while True:
        try:
            envelopes.append(messages.receive_nowait())
        except trio.WouldBlock:
            return envelopes
