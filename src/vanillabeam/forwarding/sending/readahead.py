"""Reading of a target's body while the caller is slow to take it."""

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from vanillabeam.forwarding.sending.upstream import Broken
from vanillabeam.memory import Holding, MemoryBudget

__all__ = ["AHEAD_BYTES", "ReadAhead", "read_ahead"]

#: Time that a caller takes for one part after which the body is read ahead. Targets
#: abort responses that remain unread for some seconds.
STALL_S = 0.25
#: Most bytes that are held for one slow caller: several times the longest answers of
#: models, as text of some thousand events.
AHEAD_BYTES = 1024 * 1024
#: Share of the VM's budget up to which bodies are read ahead. The rest stays for bodies
#: of requests, which are refused where it is used up.
AHEAD_SHARE = 0.5


class ReadAhead:
    """Parts of a body, read ahead once their receiver is slow.

    A receiver that keeps up reads the body itself, at no cost. When it has been busy
    with one part for :data:`STALL_S`, a task reads on for it, up to the bounds of the
    connection and of the VM.

    :param parts: the parts of the body; a break yields ``Broken`` last.
    :param memory: bytes that all requests of this VM may hold; ``None`` reads nothing
        ahead.
    :param on_whole: awaited once the target has sent all of the body.
    :param on_part: called when a part arrives.
    """

    def __init__(
        self,
        parts: AsyncIterator[bytes | Broken],
        memory: MemoryBudget | None,
        on_whole: Callable[[], Awaitable[None]],
        on_part: Callable[[], None] | None = None,
    ):
        self._parts = parts
        self._on_part = on_part
        self._memory = memory
        self._on_whole = on_whole
        self._holding: Holding | None = memory.open() if memory else None
        self._held: deque[bytes | Broken] = deque()
        self._held_bytes = 0
        self._is_ahead = False
        self._is_read = False
        self._is_broken = False
        #: Time since which the receiver has been busy with a part; infinity while it
        #: waits for one.
        self._busy_since_s = trio.current_time()
        self._changed = trio.Event()

    def __aiter__(self) -> "ReadAhead":
        return self

    async def __anext__(self) -> bytes | Broken:
        self._busy_since_s = float("inf")
        if self._is_ahead:
            part = await self._take()
        else:
            part = await self._read()
        self._busy_since_s = trio.current_time()
        if part is None:
            raise StopAsyncIteration
        return part

    async def watch(self) -> None:
        """Read ahead as soon as the receiver is slow."""
        if self._memory is None:
            return
        while True:
            busy_s = trio.current_time() - self._busy_since_s
            if busy_s >= STALL_S:
                break
            await trio.sleep(STALL_S - max(0.0, busy_s))
        if self._is_read:
            return
        self._is_ahead = True
        while (part := await self._read()) is not None:
            self._held.append(part)
            self._held_bytes += 0 if isinstance(part, Broken) else len(part)
            self._notify()
            while not self._may_read():
                await self._changed.wait()
        self._notify()

    def release(self) -> None:
        """Drop what is held."""
        self._held.clear()
        if self._holding is not None:
            self._holding.release()

    async def _read(self) -> bytes | Broken | None:
        """Return the next part of the target; ``None`` at the end."""
        if self._is_read:
            return None
        try:
            part = await anext(self._parts)
        except StopAsyncIteration:
            self._is_read = True
            if not self._is_broken:
                await self._on_whole()
            return None
        self._is_broken = isinstance(part, Broken)
        if self._on_part is not None and not self._is_broken:
            self._on_part()
        return part

    async def _take(self) -> bytes | Broken | None:
        """Return the next part that is held; ``None`` at the end."""
        while not self._held:
            if self._is_read:
                return None
            await self._changed.wait()
        part = self._held.popleft()
        self._held_bytes -= 0 if isinstance(part, Broken) else len(part)
        self._holding.resize(self._held_bytes)
        self._notify()
        return part

    def _may_read(self) -> bool:
        """Return whether the bounds allow one more part, which is held then."""
        if not self._held:
            return True
        limit_bytes = AHEAD_SHARE * self._memory.limit_bytes
        is_within = self._holding.resize(self._held_bytes)
        is_within = is_within and self._memory.used_bytes < limit_bytes
        return is_within and self._held_bytes < AHEAD_BYTES

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


@asynccontextmanager
async def read_ahead(
    parts: AsyncIterator[bytes | Broken],
    memory: MemoryBudget | None,
    on_whole: Callable[[], Awaitable[None]],
    on_part: Callable[[], None] | None = None,
) -> AsyncIterator[ReadAhead]:
    """Open a body that is read ahead while its receiver is slow."""
    ahead = ReadAhead(parts, memory, on_whole, on_part)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ahead.watch)
            yield ahead
            nursery.cancel_scope.cancel()
    finally:
        ahead.release()
