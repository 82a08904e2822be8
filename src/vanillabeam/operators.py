"""What operators ask of a VM: tickets, status, traces, reports."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from vanillabeam import wire
from vanillabeam.auth import Operators
from vanillabeam.exceptions import AuthorDiffers, MalformedBody, VanillabeamError
from vanillabeam.limits import read_body
from vanillabeam.peerhttp import bearer_key
from vanillabeam.problems import problem_response
from vanillabeam.tickets import parse

__all__ = ["OperatorsView", "operator_routes"]

Answer = Result[Any, VanillabeamError]


class OperatorsView(Protocol):
    """What the operators' paths need of the VM."""

    async def apply_ticket(self, body: bytes) -> Answer:
        """Put a ticket into force and return where it stands."""

    async def show_ticket(self, number: int) -> Answer:
        """Return the accepted ticket of this number."""

    async def ticket_vms(self, number: int) -> Answer:
        """Return which VMs have the ticket of this number in force."""

    async def status(self) -> Answer:
        """Return what this VM knows."""

    async def trace(self, request_id: str) -> Answer:
        """Return the trace of a request, of this VM or another."""

    async def burn(self) -> Answer:
        """Return the report on service-level burn of all VMs reached."""


def operator_routes(view: OperatorsView, operators: Operators) -> list[Route]:
    """Return the operators' paths.

    :param operators: who may use them.
    """
    gate = _Gate(operators)

    async def apply_ticket(request: Request, operator: str) -> Answer:
        body = await read_body(request.scope, request.receive)
        if isinstance(body, Failure):
            return body
        refusal = _check_author(body.unwrap(), operator)
        if refusal is not None:
            return Failure(refusal)
        return await view.apply_ticket(body.unwrap())

    async def show_ticket(request: Request, operator: str) -> Answer:
        return await _with_number(request, view.show_ticket)

    async def ticket_vms(request: Request, operator: str) -> Answer:
        return await _with_number(request, view.ticket_vms)

    async def status(request: Request, operator: str) -> Answer:
        return await view.status()

    async def trace(request: Request, operator: str) -> Answer:
        return await view.trace(request.path_params["request_id"])

    async def burn(request: Request, operator: str) -> Answer:
        return await view.burn()

    return [
        gate.route("/operator/tickets", apply_ticket, "POST"),
        gate.route("/operator/tickets/{number}", show_ticket),
        gate.route("/operator/tickets/{number}/vms", ticket_vms),
        gate.route("/operator/status", status),
        gate.route("/operator/traces/{request_id}", trace),
        gate.route("/operator/burn", burn),
    ]


class _Gate:
    def __init__(self, operators: Operators):
        self._operators = operators

    def route(
        self,
        path: str,
        serve: Callable[[Request, str], Awaitable[Answer]],
        method: str = "GET",
    ) -> Route:
        async def endpoint(request: Request) -> Response:
            operator = self._operators.authenticate(bearer_key(request.headers))
            if isinstance(operator, Failure):
                return problem_response(operator.failure())
            answer = await serve(request, operator.unwrap())
            if isinstance(answer, Failure):
                return problem_response(answer.failure())
            return Response(wire.encode(answer.unwrap()), media_type="application/json")

        return Route(path, endpoint, methods=[method])


async def _with_number(
    request: Request, serve: Callable[[int], Awaitable[Answer]]
) -> Answer:
    number = request.path_params["number"]
    if not number.isdigit() or len(number) > 16:
        return Failure(MalformedBody(f"{number} is not a ticket's number"))
    return await serve(int(number))


def _check_author(body: bytes, operator: str) -> VanillabeamError | None:
    ticket = parse(body)
    if isinstance(ticket, Success) and ticket.unwrap().author != operator:
        return AuthorDiffers(f"author: {ticket.unwrap().author} is not {operator}")
    return None
