"""Calls to other VMs that nobody waits for: bounded, in the background."""

from collections.abc import Awaitable, Callable

import trio

__all__ = ["Outbox"]

MAX_QUEUED_JOBS = 4096
MAX_CONCURRENT_JOBS = 64

Job = Callable[[], Awaitable[None]]


class Outbox:
    """Carries out jobs, a bounded number of them at once.

    A job that finds the outbox full is dropped and counted: what it would
    have said expires by itself at the other end.
    """

    def __init__(self):
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED_JOBS)
        self.dropped = 0

    def put(self, job: Job) -> None:
        """Queue ``job`` without waiting."""
        try:
            self._send.send_nowait(job)
        except trio.WouldBlock:
            self.dropped += 1

    async def run(self) -> None:
        """Carry out jobs until cancelled."""
        limiter = trio.Semaphore(MAX_CONCURRENT_JOBS)
        async with trio.open_nursery() as nursery:
            async for job in self._receive:
                await limiter.acquire()
                nursery.start_soon(self._run_job, job, limiter)

    async def _run_job(self, job: Job, limiter: trio.Semaphore) -> None:
        try:
            await job()
        finally:
            limiter.release()
