"""Operators' requests, answered by one VM for the whole system."""

from typing import Any, TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.burn import BurnSummary, report
from vanillabeam.exceptions import PeerUnreachable, UnknownTrace, VanillabeamError
from vanillabeam.operators.observedvm import ObservedVm
from vanillabeam.peercall import PeerRoutes
from vanillabeam.spread.status import find_missing

__all__ = ["OperatorService"]

APPLY_PATH = "/peer/tickets/apply"
SHOW_PATH = "/peer/tickets/show"
TRACE_PATH = "/peer/traces/get"
BURN_PATH = "/peer/burn/summary"
CALL_TIMEOUT_S = 3.0

Answer = Result[Any, VanillabeamError]


class ShowRequest(TypedDict):
    """Body of ``/peer/tickets/show``."""

    number: int


class TraceRequest(TypedDict):
    """Body of ``/peer/traces/get``."""

    request_id: str


class OperatorService:
    """Serves operators' requests from this VM and by requests to other VMs.

    :param vm: the VM that received the request; its components must be made.
    """

    def __init__(self, vm: ObservedVm):
        self._vm = vm
        self._components = vm.components

    def routes(self) -> PeerRoutes:
        """Return the handlers of messages from other VMs."""
        routes: PeerRoutes = {
            TRACE_PATH: self._on_trace,
            BURN_PATH: self._on_burn,
        }
        if self._components.is_control:
            routes[APPLY_PATH] = self._on_apply
            routes[SHOW_PATH] = self._on_show
        return routes

    async def apply_ticket(self, body: bytes) -> Answer:
        """Apply a ticket, on this VM or through a control VM."""
        if self._components.is_control:
            accepted = await self._components.control.ticket_service.apply(body)
            return accepted.map(lambda result: result._asdict())
        return await self._call_control(APPLY_PATH, body)

    async def show_ticket(self, number: int) -> Answer:
        """Return the accepted ticket with a number."""
        if self._components.is_control:
            confirmed = await self._components.control.tickets.read()
            shown = self._components.control.ticket_service.show(number)
            return shown.map(
                lambda result: (
                    result._asdict() | {"confirmed": isinstance(confirmed, Success)}
                )
            )
        return await self._call_control(SHOW_PATH, wire.encode({"number": number}))

    async def ticket_vms(self, number: int) -> Answer:
        """Return which VMs have the ticket with a number in force."""
        shown = await self.show_ticket(number)
        if isinstance(shown, Failure):
            return shown
        index = shown.unwrap()["index"]
        status = await self._components.spread.status()
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
        """Return the status of this VM and of the system as it sees it."""
        components = self._components
        fleet = await components.spread.status()
        targets = components.targets.status()
        logs = components.control.status() if components.is_control else []
        return Success(
            {
                "vm": self._vm.cfg["vm"],
                "data_centre": self._vm.cfg["data_centre"],
                "phase": str(self._vm.lifecycle.phase),
                "index": components.config().index,
                "open_requests": self._vm.lifecycle.open_requests,
                "logs": logs,
                "vms": [vm._asdict() for vm in fleet.vms],
                "cut_off": [place._asdict() for place in fleet.unreachable],
                "targets": targets.pop("owned"),
                "routing": targets,
            }
        )

    async def trace(self, request_id: str) -> Answer:
        """Return the trace of a request, from this VM or another."""
        result = self._vm.traces.get(request_id)
        if isinstance(result, Success):
            return result
        body = wire.encode(TraceRequest(request_id=request_id))
        for answer in await self._call_all(TRACE_PATH, body):
            if isinstance(answer, Success):
                return wire.decode(dict, answer.unwrap())
        return Failure(UnknownTrace(request_id))

    async def burn(self) -> Answer:
        """Return the report on service-level burn of all reachable VMs."""
        summaries = [self._summary()]
        for answer in await self._call_all(BURN_PATH, b"{}"):
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
        result = self._vm.traces.get(request.unwrap()["request_id"])
        return result.map(wire.encode)

    async def _on_burn(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return Success(wire.encode(self._summary()))

    async def _call_control(self, path: str, body: bytes) -> Answer:
        result: Answer = Failure(PeerUnreachable("no control VM"))
        for member in self._components.control_addresses():
            result = await self._components.call(member.address, path, body)
            reached = isinstance(result, Success) or result.failure().type not in (
                "peer-unreachable",
                "unknown-path",
            )
            if reached:
                break
        return result.bind(lambda answer: wire.decode(dict, answer))

    async def _call_all(
        self, path: str, body: bytes
    ) -> list[Result[bytes, VanillabeamError]]:
        answers: list[Result[bytes, VanillabeamError]] = []
        own = self._components.addresses["peers"]

        async def call_one(address: str) -> None:
            with trio.move_on_after(CALL_TIMEOUT_S):
                answers.append(await self._components.call(address, path, body))

        async with trio.open_nursery() as nursery:
            for address in self._components.known_addresses() - {own}:
                nursery.start_soon(call_one, address)
        return answers
