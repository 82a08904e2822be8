"""Proof that a configuration is fresh: a ticket index confirmed by a quorum."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import NotReady, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.tickets.machine import TicketMachine
from vanillabeam.wire import decode, encode

__all__ = ["FreshIndex", "FreshReply"]

FRESH_PATH = "/peer/tickets/fresh"
CALL_TIMEOUT_S = 1.0


class FreshReply(TypedDict):
    """Answer to ``POST /peer/tickets/fresh``.

    :param index: index of the newest accepted ticket, confirmed by a quorum.
    """

    index: int


class FreshIndex:
    """Source of the newest ticket index that a quorum confirms.

    A control VM reads it from its own log and answers the requests of other VMs;
    the others ask the control VMs.

    :param control: addresses of the control VMs.
    :param call: sends a message to another VM.
    :param machine: this VM's ticket machine, if it is a control VM.
    :param read: linearizable read of the log: when it returns, the machine has
        applied everything that was accepted before the call.

    >>> fresh = FreshIndex(control, call)
    >>> await fresh.prove()
    <Success: 12>
    """

    def __init__(
        self,
        control: Iterable[str],
        call: PeerCall,
        machine: TicketMachine | None = None,
        read: Callable[[], Awaitable[Result[Any, VanillabeamError]]] | None = None,
    ):
        self._control = list(control)
        self._call = call
        self._machine = machine
        self._read = read

    def routes(self) -> PeerRoutes:
        """Return the handlers for the peers' listener."""
        return {FRESH_PATH: self._on_request}

    async def prove(self) -> Result[int, VanillabeamError]:
        """Return the index of the newest accepted ticket, confirmed by a quorum.

        :returns: the index, or a failure if no quorum is reached.
        """
        if self._read is not None:
            return await self._confirmed_index()
        for address in list(self._control):
            result = await self._call_vm(address)
            if isinstance(result, Success):
                return result.map(lambda reply: reply["index"])
            # Move a VM that failed to the end, so that a working one is asked first.
            self._control.remove(address)
            self._control.append(address)
        return Failure(NotReady("no control VM has a quorum"))

    async def _call_vm(self, address: str) -> Result[FreshReply, VanillabeamError]:
        with trio.move_on_after(CALL_TIMEOUT_S):
            result = await self._call(address, FRESH_PATH, encode({}))
            return result.bind(lambda body: decode(FreshReply, body))
        return Failure(NotReady(f"{address} is silent"))

    async def _confirmed_index(self) -> Result[int, VanillabeamError]:
        result = await self._read()
        return result.map(lambda _: self._machine.config.index)

    async def _on_request(self, body: bytes) -> Result[bytes, VanillabeamError]:
        if self._read is None:
            return Failure(NotReady("not a control VM"))
        return (await self._confirmed_index()).map(
            lambda index: encode(FreshReply(index=index))
        )
