"""The application behind the callers' listener."""

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
from vanillabeam.callerrequests import prompt_request, service_request
from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import (
    NotReady,
    Run,
    Unauthenticated,
    UnknownPath,
    VanillabeamError,
)
from vanillabeam.limits import read_body
from vanillabeam.openai import CHAT_PATH, COMPLETIONS_PATH, model_list, parse_prompt
from vanillabeam.peerhttp import bearer_key
from vanillabeam.problems import RUN_HEADER, problem_response
from vanillabeam.servicepath import parse_service_path
from vanillabeam.streaming import (
    StreamingAnswer,
    buffered_answer,
    client_closed_response,
    while_connected,
)
from vanillabeam.tickets.keys import key_digest

__all__ = ["REQUEST_ID_HEADER", "EntryInterface", "caller_app"]

REQUEST_ID_HEADER = "Vanillabeam-Request-Id"
REQUEST_ID_BYTES = 12
ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

Serve = Callable[[Request, Workspace, str], Awaitable[ASGIApp]]


class EntryInterface(Protocol):
    """What the callers' paths need of the VM."""

    is_ready: bool
    is_serving: bool

    def config(self) -> Config:
        """Return the configuration in force."""

    async def workspace_of(self, key_digest: str) -> Result[Workspace, Any]:
        """Return the workspace that a caller's key belongs to."""

    async def open_prompt(
        self, request: PromptRequest
    ) -> Result[Answer, VanillabeamError]:
        """Return a prompt's answer once its first bytes are there."""

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, VanillabeamError]:
        """Carry out a call of a plain service."""

    def request_started(self, request_id: str) -> None:
        """Count a request in."""

    def request_ended(self, request_id: str) -> None:
        """Count a request out."""

    def request_refused(
        self, request_id: str, exc: VanillabeamError, **fields: Any
    ) -> None:
        """Note that a request was answered with a failure."""


def caller_app(view: EntryInterface) -> Starlette:
    """Return the application that serves callers through ``view``."""
    paths = _Paths(view)
    return Starlette(
        routes=[
            Route("/healthz", paths.health),
            Route("/readyz", paths.readiness),
            Route("/v1/models", paths.guarded(paths.models)),
            Route(CHAT_PATH, paths.guarded(paths.prompt), methods=["POST"]),
            Route(COMPLETIONS_PATH, paths.guarded(paths.prompt), methods=["POST"]),
            Route(
                "/services/{rest:path}",
                paths.guarded(paths.service),
                methods=ANY_METHOD,
            ),
        ],
        exception_handlers={404: _unknown_path, 405: _unknown_path},
    )


class _Paths:
    def __init__(self, view: EntryInterface):
        self._view = view

    async def health(self, request: Request) -> Response:
        """Say that the process lives."""
        return PlainTextResponse("ok\n")

    async def readiness(self, request: Request) -> Response:
        """Say whether the balancer is to send requests here."""
        if self._view.is_ready:
            return PlainTextResponse("ready\n")
        return problem_response(NotReady("not ready for new requests"))

    def guarded(self, serve: Serve):
        """Return an endpoint that knows its workspace and counts its requests."""

        async def endpoint(request: Request) -> ASGIApp:
            request_id = secrets.token_hex(REQUEST_ID_BYTES)
            self._view.request_started(request_id)
            try:
                return await self._serve(request, request_id, serve)
            except BaseException:
                self._view.request_ended(request_id)
                raise

        return endpoint

    async def _serve(self, request: Request, request_id: str, serve: Serve) -> ASGIApp:
        workspace = await self._workspace(request)
        if isinstance(workspace, Failure):
            app = self._refuse(request_id, workspace.failure())
        else:
            app = await serve(request, workspace.unwrap(), request_id)
        return _Counted(app, request_id, self._view)

    async def _workspace(self, request: Request) -> Result[Workspace, Any]:
        if not self._view.is_serving:
            return Failure(NotReady("the configuration is not known yet"))
        key = bearer_key(request.headers)
        if key is None:
            return Failure(Unauthenticated("no key"))
        return await self._view.workspace_of(key_digest(key))

    def _refuse(self, request_id: str, exc: VanillabeamError, **fields) -> Response:
        self._view.request_refused(request_id, exc, **fields)
        return problem_response(exc)

    async def models(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Answer ``GET /v1/models``."""
        document = model_list(self._view.config(), workspace)
        return JSONResponse(document, headers={RUN_HEADER: str(Run.RAN)})

    async def prompt(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Run a model prompt."""
        config = self._view.config()
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
            request.receive, self._view.open_prompt, admitted.unwrap()
        )
        if opened is None:
            return client_closed_response()
        if isinstance(opened, Failure):
            return problem_response(opened.failure())
        answer = opened.unwrap()
        if answer.request.stream:
            return StreamingAnswer(answer)
        whole = await while_connected(request.receive, buffered_answer, answer)
        return whole or client_closed_response()

    async def service(
        self, request: Request, workspace: Workspace, request_id: str
    ) -> ASGIApp:
        """Carry out a call of a plain service."""
        body = await read_body(request.scope, request.receive)
        path = parse_service_path(request.scope)
        if isinstance(body, Failure) or isinstance(path, Failure):
            exc = (path if isinstance(path, Failure) else body).failure()
            return self._refuse(request_id, exc, workspace=workspace.name)
        admitted = service_request(
            self._view.config(), workspace, path.unwrap(), request, request_id
        )
        if isinstance(admitted, Failure):
            exc = admitted.failure()
            return self._refuse(request_id, exc, workspace=workspace.name)
        call = admitted.unwrap()._replace(body=body.unwrap())
        result = await while_connected(request.receive, self._view.call_service, call)
        if result is None:
            return client_closed_response()
        if isinstance(result, Failure):
            return problem_response(result.failure())
        return _service_response(result.unwrap())


class _Counted:
    """Sends an answer with its request's id and counts the request out."""

    def __init__(self, app: ASGIApp, request_id: str, view: EntryInterface):
        self._app = app
        self._request_id = request_id
        self._view = view

    async def __call__(self, scope, receive, send) -> None:
        async def send_named(message) -> None:
            if message["type"] == "http.response.start":
                name = REQUEST_ID_HEADER.lower().encode()
                header = (name, self._request_id.encode())
                message["headers"] = [*message["headers"], header]
            await send(message)

        try:
            await self._app(scope, receive, send_named)
        finally:
            self._view.request_ended(self._request_id)


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
