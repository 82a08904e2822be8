"""Calls to other VMs that nobody waits for: bounded, in the background."""

from collections.abc import Awaitable, Callable

import trio

__all__ = ["Outbox"]

CALLS_LIMIT = 4096
CALLS_AT_ONCE = 64

Job = Callable[[], Awaitable[None]]


class Outbox:
    """Carries out jobs, a bounded number of them at once.

    A job that finds the outbox full is dropped and counted: what it would
    have said expires by itself at the other end.
    """

    def __init__(self):
        self._send, self._receive = trio.open_memory_channel(CALLS_LIMIT)
        self.dropped = 0

    def put(self, job: Job) -> None:
        """Queue ``job`` without waiting."""
        try:
            self._send.send_nowait(job)
        except trio.WouldBlock:
            self.dropped += 1

    async def run(self) -> None:
        """Carry out jobs until cancelled."""
        limiter = trio.Semaphore(CALLS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            async for job in self._receive:
                await limiter.acquire()
                nursery.start_soon(self._carry_out, job, limiter)

    async def _carry_out(self, job: Job, limiter: trio.Semaphore) -> None:
        try:
            await job()
        finally:
            limiter.release()
