"""Checks whether targets whose answers broke off have ended."""

import trio

from vanillabeam.addresses import split_address
from vanillabeam.decisions import log_record
from vanillabeam.fleet import Directory, Target
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.refusals import is_refusal

__all__ = ["EndProbe"]

#: Time from the break of an answer to the check: all connections of a process end
#: before its address refuses new ones.
DELAY_S = 0.02
CONNECT_TIMEOUT_S = 0.4
PERIOD_S = 0.25
#: Targets that wait for their check; more are told by their later starts.
MAX_QUEUED = 64


class EndProbe:
    """Task that opens a connection to each target whose answers broke off.

    A process that has ended leaves an address that refuses connections. Where it is not
    refused, a later start of the target tells that it has ended, and a later
    announcement that it has not.

    :param directory: the known targets.
    """

    def __init__(self, ends: TargetEnds, directory: Directory, chooser: Chooser):
        self._ends = ends
        self._directory = directory
        self._chooser = chooser
        self._send, self._receive = trio.open_memory_channel[Target](MAX_QUEUED)
        self._queued: set[tuple[str, int]] = set()

    def check(self, target: Target) -> None:
        """Have a target checked soon, once for all answers that break with it."""
        if target.incarnation in self._queued:
            return
        try:
            self._send.send_nowait(target)
        except trio.WouldBlock:
            return
        self._queued.add(target.incarnation)

    async def run(self) -> None:
        """Check targets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_restarts)
            while True:
                target = await self._receive.receive()
                nursery.start_soon(self._check, target)

    async def _check(self, target: Target) -> None:
        try:
            await trio.sleep(DELAY_S)
            refused = await _refuses(target.address)
        finally:
            self._queued.discard(target.incarnation)
        if refused:
            self._record_end(target.incarnation, "refused")

    async def _watch_restarts(self) -> None:
        while True:
            await trio.sleep(PERIOD_S)
            self._ends.expire(trio.current_time())
            for incarnation in self._ends.settle(self._directory):
                self._record_end(incarnation, "restarted")

    def _record_end(self, incarnation: tuple[str, int], evidence: str) -> None:
        for line in self._ends.record_end(incarnation, evidence, trio.current_time()):
            log_record(line)
        self._chooser.record_end(incarnation)


async def _refuses(address: str) -> bool:
    """Return whether an address refuses connections."""
    host, port = split_address(address)
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(host, port)
        except OSError as exc:
            return is_refusal(exc)
        await stream.aclose()
    return False
