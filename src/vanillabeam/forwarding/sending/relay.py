"""Relay of a target's event stream to the caller."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from vanillabeam.fleet import Target
from vanillabeam.forwarding.exceptions import AnswerBroken, StreamNotResumed
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.events import EventCutter
from vanillabeam.forwarding.sending.readahead import read_ahead
from vanillabeam.forwarding.sending.upstream import (
    Broken,
    Framing,
    OpenResponse,
    iter_body,
)
from vanillabeam.memory import Holding, MemoryBudget

__all__ = ["StreamRelay"]

#: Longest event, which bounds what is held of a stream.
MAX_EVENT_BYTES = 1024 * 1024
#: Longest stream that is collected for a caller whose HTTP version has no chunks.
MAX_COLLECTED_BYTES = 4 * 1024 * 1024


class StreamRelay:
    """Passes one target's stream on to the caller as its parts arrive.

    A resumable stream is passed on in whole events, so that it can be resumed at
    another target after a break. Whether a stream is whole is told by its events: a
    connection that ends in order is no evidence.

    :param cutter: cuts a stream into whole events, over all attempts.
    :param record_activity: called whenever data arrives.
    :param holding: counts the bytes that are held; ``None`` counts them nowhere.
    :param memory: bytes that may be held for slow callers; ``None`` holds none.
    :param on_whole: awaited once the target has sent all of the body.
    :ivar partial_bytes: bytes after the last complete event when the stream ended.
    """

    def __init__(
        self,
        response: OpenResponse,
        target: Target,
        cutter: EventCutter,
        writer: ResponseWriter,
        resumable: bool,
        record_activity: Callable[[], None],
        holding: Holding | None = None,
        memory: MemoryBudget | None = None,
        on_whole: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
    ):
        self.partial_bytes = 0
        self._response = response
        self._target = target
        self._cutter = cutter
        self._writer = writer
        self._resumable = resumable
        self._record_activity = record_activity
        self._holding = holding
        self._memory = memory
        self._on_whole = on_whole

    async def run(self) -> Broken | None:
        """Pass the stream on; return its failure if it broke off.

        If a stream has begun, the answer must go on with it.
        """
        if self._writer.has_begun:
            self._cutter.resume()
        broken = await self._pass_on()
        self.partial_bytes = self._cutter.partial_bytes
        if broken is not None:
            self._cutter.drop_partial()
            return broken
        await self._start()
        rest = self._cutter.finish()
        if self._resumable:
            await self._writer.send(rest)
        await self._writer.finish()
        return None

    async def _pass_on(self) -> Broken | None:
        parts = iter_body(self._response, self._target)
        async with read_ahead(
            parts, self._memory, self._on_whole, self._record_activity
        ) as ahead:
            return await self._pass_on_parts(ahead)

    async def _pass_on_parts(self, parts: AsyncIterator) -> Broken | None:
        is_empty = True
        async for part in parts:
            if isinstance(part, Broken):
                return part
            is_empty = False
            whole = self._cutter.feed(part)
            if self._cutter.is_misplaced:
                return self._misplaced()
            if self._cutter.partial_bytes > MAX_EVENT_BYTES:
                return self._broken("sent an event that is too large")
            if not self._may_hold(len(whole)):
                return self._broken("sent more than can be held")
            data = whole if self._resumable else part
            if data:
                await self._start()
                await self._writer.send(data)
        if self._cutter.is_inside_event:
            return self._broken("ended inside an event")
        if is_empty and self._response.framing is Framing.CLOSE:
            return self._broken("ended without an event")
        return self._misplaced() if self._cutter.lacks_events else None

    def _may_hold(self, more_bytes: int) -> bool:
        """Return whether the memory allows what is held, and these bytes."""
        collected = self._writer.collected_bytes
        if collected > MAX_COLLECTED_BYTES:
            return False
        held = self._cutter.partial_bytes + collected + more_bytes
        return self._holding is None or self._holding.resize(held)

    async def _start(self) -> None:
        await self._writer.start_stream(self._response.status, self._response.headers)

    def _misplaced(self) -> Broken:
        return Broken(StreamNotResumed(f"{self._target.name}: other events"))

    def _broken(self, reason: str) -> Broken:
        return Broken(AnswerBroken(f"{self._target.name}: {reason}"))
