"""Bounded background queue for calls to other VMs."""

from collections.abc import Awaitable, Callable

import trio

__all__ = ["Outbox"]

#: Jobs that wait; further ones are dropped.
MAX_QUEUED_JOBS = 4096
MAX_CONCURRENT_JOBS = 64

Job = Callable[[], Awaitable[None]]


class Outbox:
    """Runs jobs in the background, a bounded number of them at once.

    A job that is put into a full outbox is dropped and counted. This is safe, as
    the state that its message would have changed expires at the receiver, and a
    sender that awaits an answer does so for a limited time.

    :ivar dropped: number of dropped jobs.
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
        """Run jobs until cancelled."""
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
