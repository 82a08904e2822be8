"""The ASGI application of the callers' listener."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.result import Failure, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp

from vanillabeam.answers import Answer, PromptRequest, ServiceAnswer, ServiceRequest
from vanillabeam.callers.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    model_list,
    parse_prompt,
)
from vanillabeam.callers.requests import prompt_request, service_request
from vanillabeam.callers.servicepath import parse_service_path
from vanillabeam.callers.streaming import (
    StreamingAnswer,
    buffered_answer,
    client_closed_response,
    while_connected,
)
from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import (
    NotReady,
    Run,
    Unauthenticated,
    UnknownPath,
    VanillabeamError,
)
from vanillabeam.limits import read_body
from vanillabeam.peerhttp import bearer_key
from vanillabeam.problems import RUN_HEADER, problem_response
from vanillabeam.tickets.keys import key_digest

__all__ = ["REQUEST_ID_HEADER", "EntryInterface", "caller_app"]

REQUEST_ID_HEADER = "Vanillabeam-Request-Id"
REQUEST_ID_BYTES = 12
ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

Serve = Callable[[Request, Workspace, str], Awaitable[ASGIApp]]


class EntryInterface(Protocol):
    """Operations of the entry role that the callers' endpoints use.

    :ivar is_ready: whether the load balancer should send requests to this VM.
    :ivar is_serving: whether requests are served, as they also are in a drain.
    """

    is_ready: bool
    is_serving: bool

    def config(self) -> Config:
        """Return the configuration in force."""

    async def workspace_of(self, key_digest: str) -> Result[Workspace, Any]:
        """Return the workspace of the caller's key with this digest."""

    async def open_prompt(
        self, request: PromptRequest
    ) -> Result[Answer, VanillabeamError]:
        """Run a prompt and return its answer when the first bytes have arrived."""

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, VanillabeamError]:
        """Call a plain service and return its answer."""

    def request_started(self, request_id: str) -> None:
        """Track a request as open."""

    def request_ended(self, request_id: str) -> None:
        """Stop tracking a request."""

    def request_refused(
        self, request_id: str, exc: VanillabeamError, **fields: Any
    ) -> None:
        """Record a request that was refused before a permit was requested."""


def caller_app(entry: EntryInterface) -> Starlette:
    """Return the application that serves callers by means of ``entry``."""
    endpoints = _Endpoints(entry)
    return Starlette(
        routes=[
            Route("/healthz", endpoints.health),
            Route("/readyz", endpoints.readiness),
            Route("/v1/models", endpoints.authenticated(endpoints.models)),
            Route(
                CHAT_PATH, endpoints.authenticated(endpoints.prompt), methods=["POST"]
            ),
            Route(
                COMPLETIONS_PATH,
                endpoints.authenticated(endpoints.prompt),
                methods=["POST"],
            ),
            Route(
                "/services/{rest:path}",
                endpoints.authenticated(endpoints.service),
                methods=ANY_METHOD,
            ),
        ],
        exception_handlers={404: _unknown_path, 405: _unknown_path},
    )


class _Endpoints:
    def __init__(self, entry: EntryInterface):
        self._entry = entry

    async def health(self, request: Request) -> Response:
        """Answer ``GET /healthz``: the process is running."""
        return PlainTextResponse("ok\n")

    async def readiness(self, request: Request) -> Response:
        """Answer ``GET /readyz``: whether the load balancer should send requests."""
        if self._entry.is_ready:
            return PlainTextResponse("ready\n")
        return problem_response(NotReady("not ready for new requests"))

    def authenticated(self, serve: Serve):
        """Return an endpoint that authenticates callers and tracks open requests.

        :param serve: called with the request, its workspace and its id.
        """

        async def endpoint(request: Request) -> ASGIApp:
            request_id = secrets.token_hex(REQUEST_ID_BYTES)
            self._entry.request_started(request_id)
            try:
                return await self._serve(request, request_id, serve)
            except BaseException:
                self._entry.request_ended(request_id)
                raise

        return endpoint

    async def _serve(self, request: Request, request_id: str, serve: Serve) -> ASGIApp:
        workspace = await self._authenticate(request)
        if isinstance(workspace, Failure):
            app = self._refuse(request_id, workspace.failure())
        else:
            app = await serve(request, workspace.unwrap(), request_id)
        return _TrackedResponse(app, request_id, self._entry)

    async def _authenticate(self, request: Request) -> Result[Workspace, Any]:
        if not self._entry.is_serving:
            return Failure(NotReady("the configuration is not known yet"))
        key = bearer_key(request.headers)
        if key is None:
            return Failure(Unauthenticated("no key"))
        return await self._entry.workspace_of(key_digest(key))

    def _refuse(self, request_id: str, exc: VanillabeamError, **fields) -> Response:
        self._entry.request_refused(request_id, exc, **fields)
        return problem_response(exc)

    async def models(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Answer ``GET /v1/models``."""
        document = model_list(self._entry.config(), workspace)
        return JSONResponse(document, headers={RUN_HEADER: str(Run.RAN)})

    async def prompt(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Answer a chat completion or a completion."""
        config = self._entry.config()
        body = await read_body(request.scope, request.receive)
        admitted = body.bind(lambda data: parse_prompt(request.url.path, data)).bind(
            lambda prompt: prompt_request(
                config, workspace, prompt, request.headers, request_id
            )
        )
        if isinstance(admitted, Failure):
            exc = admitted.failure()
            return self._refuse(request_id, exc, workspace=workspace.name)
        opened = await while_connected(
            request.receive, self._entry.open_prompt, admitted.unwrap()
        )
        if opened is None:
            return client_closed_response()
        if isinstance(opened, Failure):
            return problem_response(opened.failure())
        answer = opened.unwrap()
        if answer.request.stream:
            return StreamingAnswer(answer)
        response = await while_connected(request.receive, buffered_answer, answer)
        return response or client_closed_response()

    async def service(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Forward a call of a plain service below ``/services/``."""
        body = await read_body(request.scope, request.receive)
        path = parse_service_path(request.scope)
        if isinstance(body, Failure) or isinstance(path, Failure):
            exc = (path if isinstance(path, Failure) else body).failure()
            return self._refuse(request_id, exc, workspace=workspace.name)
        admitted = service_request(
            self._entry.config(), workspace, path.unwrap(), request, request_id
        )
        if isinstance(admitted, Failure):
            exc = admitted.failure()
            return self._refuse(request_id, exc, workspace=workspace.name)
        call = admitted.unwrap()._replace(body=body.unwrap())
        result = await while_connected(request.receive, self._entry.call_service, call)
        if result is None:
            return client_closed_response()
        if isinstance(result, Failure):
            return problem_response(result.failure())
        return _service_response(result.unwrap())


class _TrackedResponse:
    """Add the request id to the response and stop tracking the request at its end."""

    def __init__(self, app: ASGIApp, request_id: str, entry: EntryInterface):
        self._app = app
        self._request_id = request_id
        self._entry = entry

    async def __call__(self, scope, receive, send) -> None:
        async def send_with_id(message) -> None:
            if message["type"] == "http.response.start":
                name = REQUEST_ID_HEADER.lower().encode()
                header = (name, self._request_id.encode())
                message["headers"] = [*message["headers"], header]
            await send(message)

        try:
            await self._app(scope, receive, send_with_id)
        finally:
            self._entry.request_ended(self._request_id)


def _service_response(answer: ServiceAnswer) -> Response:
    response = Response(answer.body, status_code=answer.status)
    for name, value in answer.headers:
        if name.lower() not in ("content-length", "date"):
            response.headers.append(name, value)
    response.headers[RUN_HEADER] = str(answer.run)
    if answer.replayed:
        response.headers["Vanillabeam-Replayed"] = "true"
    return response


async def _unknown_path(request: Request, exc: Exception) -> Response:
    return problem_response(UnknownPath(f"{request.method} {request.url.path}"))
