"""HTTP paths for operators: tickets, status, traces and reports."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from vanillabeam import wire
from vanillabeam.exceptions import AuthorDiffers, MalformedBody, VanillabeamError
from vanillabeam.limits import read_body
from vanillabeam.operators.auth import Operators
from vanillabeam.peerhttp import bearer_key
from vanillabeam.problems import problem_response
from vanillabeam.tickets import parse

__all__ = ["OperatorApi", "operator_routes"]

Answer = Result[Any, VanillabeamError]


class OperatorApi(Protocol):
    """Operations of a VM that the operators' paths call."""

    async def apply_ticket(self, body: bytes) -> Answer:
        """Apply a ticket and return its number and index."""

    async def show_ticket(self, number: int) -> Answer:
        """Return the accepted ticket with a number."""

    async def ticket_vms(self, number: int) -> Answer:
        """Return which VMs have the ticket with a number in force."""

    async def status(self) -> Answer:
        """Return the status of this VM and of the system as it sees it."""

    async def trace(self, request_id: str) -> Answer:
        """Return the trace of a request, from this VM or another."""

    async def burn(self) -> Answer:
        """Return the report on service-level burn of all reachable VMs."""


def operator_routes(api: OperatorApi, operators: Operators) -> list[Route]:
    """Return the routes for operators.

    :param api: serves the requests.
    :param operators: authenticates operators by their keys.
    """
    authenticated = _AuthenticatedRoutes(operators)

    async def apply_ticket(request: Request, operator: str) -> Answer:
        body = await read_body(request.scope, request.receive)
        if isinstance(body, Failure):
            return body
        refusal = _check_author(body.unwrap(), operator)
        if refusal is not None:
            return Failure(refusal)
        return await api.apply_ticket(body.unwrap())

    async def show_ticket(request: Request, operator: str) -> Answer:
        return await _call_with_number(request, api.show_ticket)

    async def ticket_vms(request: Request, operator: str) -> Answer:
        return await _call_with_number(request, api.ticket_vms)

    async def status(request: Request, operator: str) -> Answer:
        return await api.status()

    async def trace(request: Request, operator: str) -> Answer:
        return await api.trace(request.path_params["request_id"])

    async def burn(request: Request, operator: str) -> Answer:
        return await api.burn()

    return [
        authenticated.route("/operator/tickets", apply_ticket, "POST"),
        authenticated.route("/operator/tickets/{number}", show_ticket),
        authenticated.route("/operator/tickets/{number}/vms", ticket_vms),
        authenticated.route("/operator/status", status),
        authenticated.route("/operator/traces/{request_id}", trace),
        authenticated.route("/operator/burn", burn),
    ]


class _AuthenticatedRoutes:
    def __init__(self, operators: Operators):
        self._operators = operators

    def route(
        self,
        path: str,
        handler: Callable[[Request, str], Awaitable[Answer]],
        method: str = "GET",
    ) -> Route:
        async def endpoint(request: Request) -> Response:
            operator = self._operators.authenticate(bearer_key(request.headers))
            if isinstance(operator, Failure):
                return problem_response(operator.failure())
            answer = await handler(request, operator.unwrap())
            if isinstance(answer, Failure):
                return problem_response(answer.failure())
            return Response(wire.encode(answer.unwrap()), media_type="application/json")

        return Route(path, endpoint, methods=[method])


async def _call_with_number(
    request: Request, handler: Callable[[int], Awaitable[Answer]]
) -> Answer:
    number = request.path_params["number"]
    if not number.isdigit() or len(number) > 16:
        return Failure(MalformedBody(f"{number} is not a ticket's number"))
    return await handler(int(number))


def _check_author(body: bytes, operator: str) -> VanillabeamError | None:
    ticket = parse(body)
    if isinstance(ticket, Success) and ticket.unwrap().author != operator:
        return AuthorDiffers(f"author: {ticket.unwrap().author} is not {operator}")
    return None
