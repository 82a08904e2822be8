"""What operators see of the whole system through one VM."""

from typing import TYPE_CHECKING, Any, TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.burn import BurnSummary, report
from vanillabeam.exceptions import PeerUnreachable, UnknownTrace, VanillabeamError
from vanillabeam.peercall import PeerRoutes
from vanillabeam.spread.status import find_missing

if TYPE_CHECKING:
    from vanillabeam.vm import Vm

__all__ = ["Overview"]

APPLY_PATH = "/peer/tickets/apply"
SHOW_PATH = "/peer/tickets/show"
TRACE_PATH = "/peer/traces/get"
BURN_PATH = "/peer/burn/summary"
ASK_TIMEOUT_S = 3.0

Answer = Result[Any, VanillabeamError]


class ShowRequest(TypedDict):
    """``/peer/tickets/show``."""

    number: int


class TraceRequest(TypedDict):
    """``/peer/traces/get``."""

    request_id: str


class Overview:
    """Answers operators, from this VM and from those it asks.

    :param vm: the VM that is asked.
    """

    def __init__(self, vm: "Vm"):
        self._vm = vm
        self._parts = vm.parts

    def routes(self) -> PeerRoutes:
        """Return the handlers with which other VMs ask this one."""
        routes: PeerRoutes = {
            TRACE_PATH: self._on_trace,
            BURN_PATH: self._on_burn,
        }
        if self._parts.is_control:
            routes[APPLY_PATH] = self._on_apply
            routes[SHOW_PATH] = self._on_show
        return routes

    async def apply_ticket(self, body: bytes) -> Answer:
        """Put a ticket into force, here or through a control VM."""
        if self._parts.is_control:
            accepted = await self._parts.control.ticket_service.apply(body)
            return accepted.map(lambda found: found._asdict())
        return await self._ask_control(APPLY_PATH, body)

    async def show_ticket(self, number: int) -> Answer:
        """Return the accepted ticket of this number."""
        if self._parts.is_control:
            confirmed = await self._parts.control.tickets.read()
            shown = self._parts.control.ticket_service.show(number)
            return shown.map(
                lambda found: (
                    found._asdict() | {"confirmed": isinstance(confirmed, Success)}
                )
            )
        return await self._ask_control(SHOW_PATH, wire.encode({"number": number}))

    async def ticket_vms(self, number: int) -> Answer:
        """Return which VMs have the ticket of this number in force."""
        shown = await self.show_ticket(number)
        if isinstance(shown, Failure):
            return shown
        index = shown.unwrap()["index"]
        status = await self._parts.spread.status()
        behind = find_missing(status, index)
        return Success(
            {
                "number": number,
                "index": index,
                "in_force": not behind,
                "missing": behind,
                "vms": [vm._asdict() for vm in status.vms],
            }
        )

    async def status(self) -> Answer:
        """Return what this VM knows of itself and of the others."""
        parts = self._parts
        fleet = await parts.spread.status()
        targets = parts.targets.status()
        logs = parts.control.status() if parts.is_control else []
        return Success(
            {
                "vm": self._vm.cfg["vm"],
                "data_centre": self._vm.cfg["data_centre"],
                "phase": str(self._vm.lifecycle.phase),
                "index": parts.config().index,
                "open_requests": self._vm.lifecycle.open_requests,
                "logs": logs,
                "vms": [vm._asdict() for vm in fleet.vms],
                "cut_off": [place._asdict() for place in fleet.unreachable],
                "targets": targets.pop("owned"),
                "routing": targets,
            }
        )

    async def trace(self, request_id: str) -> Answer:
        """Return a request's trace, from whichever VM has it."""
        found = self._vm.traces.get(request_id)
        if isinstance(found, Success):
            return found
        body = wire.encode(TraceRequest(request_id=request_id))
        for answer in await self._ask_all(TRACE_PATH, body):
            if isinstance(answer, Success):
                return wire.decode(dict, answer.unwrap())
        return Failure(UnknownTrace(request_id))

    async def burn(self) -> Answer:
        """Return the report on service-level burn of all VMs reached."""
        summaries = [self._summary()]
        for answer in await self._ask_all(BURN_PATH, b"{}"):
            summary = answer.bind(lambda body: wire.decode(BurnSummary, body))
            if isinstance(summary, Success):
                summaries.append(summary.unwrap())
        return Success(report(summaries))

    def _summary(self) -> BurnSummary:
        return self._vm.burn.summary(trio.current_time())

    async def _on_apply(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return (await self.apply_ticket(body)).map(wire.encode)

    async def _on_show(self, body: bytes) -> Result[bytes, VanillabeamError]:
        request = wire.decode(ShowRequest, body)
        if isinstance(request, Failure):
            return request
        shown = await self.show_ticket(request.unwrap()["number"])
        return shown.map(wire.encode)

    async def _on_trace(self, body: bytes) -> Result[bytes, VanillabeamError]:
        request = wire.decode(TraceRequest, body)
        if isinstance(request, Failure):
            return request
        found = self._vm.traces.get(request.unwrap()["request_id"])
        return found.map(wire.encode)

    async def _on_burn(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return Success(wire.encode(self._summary()))

    async def _ask_control(self, path: str, body: bytes) -> Answer:
        last: Answer = Failure(PeerUnreachable("no control VM"))
        for member in self._parts.control_addresses():
            last = await self._parts.call(member.address, path, body)
            reached = isinstance(last, Success) or last.failure().type not in (
                "peer-unreachable",
                "unknown-path",
            )
            if reached:
                break
        return last.bind(lambda answer: wire.decode(dict, answer))

    async def _ask_all(
        self, path: str, body: bytes
    ) -> list[Result[bytes, VanillabeamError]]:
        answers: list[Result[bytes, VanillabeamError]] = []
        own = self._parts.addresses["peers"]

        async def ask(address: str) -> None:
            with trio.move_on_after(ASK_TIMEOUT_S):
                answers.append(await self._parts.call(address, path, body))

        async with trio.open_nursery() as nursery:
            for address in self._parts.known_addresses() - {own}:
                nursery.start_soon(ask, address)
        return answers
