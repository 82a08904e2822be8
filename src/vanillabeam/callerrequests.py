"""From a caller's words to a request: model, version, blocks, class, deadline."""

import math
from collections.abc import Mapping

from returns.result import Failure, Result, Success
from starlette.requests import Request

from vanillabeam.answers import PromptRequest, ServiceRequest
from vanillabeam.cache import block_ids, conversation_root, cut, salt
from vanillabeam.config import Config, Priority, Workspace
from vanillabeam.exceptions import MalformedHeader, UnknownService, VanillabeamError
from vanillabeam.openai import ModelChoice, Prompt, choose_model
from vanillabeam.servicepath import ServicePath, forwardable_headers
from vanillabeam.targets import RouteRequest

__all__ = ["prompt_request", "service_request"]

DEADLINE_HEADER = "vanillabeam-deadline"
PRIORITY_HEADER = "vanillabeam-priority"
KEY_HEADER = "idempotency-key"
DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3_600.0
CHARACTERS_PER_TOKEN = 4
MAX_KEY_CHARACTERS = 255


def prompt_request(
    config: Config,
    workspace: Workspace,
    prompt: Prompt,
    headers: Mapping[str, str],
    request_id: str,
) -> Result[PromptRequest, VanillabeamError]:
    """Return the request for a prompt, bound to the configuration in force.

    :param headers: the caller's.
    """
    chosen = choose_model(config, workspace, prompt.model)
    limits = _limits(workspace, headers)
    for result in (chosen, limits):
        if isinstance(result, Failure):
            return result
    priority, deadline_s = limits.unwrap()
    route = _route(workspace, prompt, chosen.unwrap())._replace(
        request_id=request_id, priority=priority, deadline_s=deadline_s
    )
    choice = chosen.unwrap()
    release = (choice.model.name, choice.model.version, choice.adapter_release)
    return Success(
        PromptRequest(
            route=route,
            path=prompt.path,
            body=prompt.body,
            stream=prompt.stream,
            cache_salt=salt(workspace, *release),
            idempotency_key=headers.get(KEY_HEADER, ""),
            ticket_index=config.index,
        )
    )


def service_request(
    config: Config,
    workspace: Workspace,
    path: ServicePath,
    request: Request,
    request_id: str,
) -> Result[ServiceRequest, VanillabeamError]:
    """Return the request for a call of a plain service, without its body."""
    service = config.services.get(path.service)
    allowed = not workspace.services or path.service in workspace.services
    if service is None or not allowed:
        return Failure(UnknownService(path.service))
    limits = _limits(workspace, request.headers)
    headers = forwardable_headers(request.scope["headers"])
    for result in (limits, headers):
        if isinstance(result, Failure):
            return result
    priority, deadline_s = limits.unwrap()
    return Success(
        ServiceRequest(
            route=RouteRequest(
                request_id=request_id,
                workspace=workspace.name,
                priority=priority,
                deadline_s=deadline_s,
                service=path.service,
            ),
            method=request.method,
            path=path.path,
            headers=headers.unwrap(),
            idempotency_key=request.headers.get(KEY_HEADER, ""),
            repeats=service.repeats,
            ticket_index=config.index,
        )
    )


def _route(workspace: Workspace, prompt: Prompt, choice: ModelChoice) -> RouteRequest:
    release = (choice.model.name, choice.model.version, choice.adapter_release)
    characters = sum(len(str(part)) for part in prompt.content)
    adapter = choice.adapter
    return RouteRequest(
        request_id="",
        workspace=workspace.name,
        model=choice.model.name,
        version=choice.model.version,
        prompt_tokens=characters // CHARACTERS_PER_TOKEN,
        adapter="" if adapter is None else prompt.model,
        adapter_version="" if adapter is None else adapter.version,
        blocks=block_ids(workspace, *release, cut(prompt.content)),
        conversation_root=conversation_root(
            workspace, choice.model.name, prompt.content
        ),
    )


def _limits(
    workspace: Workspace, headers: Mapping[str, str]
) -> Result[tuple[Priority, float], MalformedHeader]:
    priority = headers.get(PRIORITY_HEADER, str(workspace.priority))
    if priority not in list(Priority):
        return Failure(MalformedHeader(f"{PRIORITY_HEADER}: interactive or batch"))
    if workspace.priority is Priority.BATCH:
        priority = Priority.BATCH
    if len(headers.get(KEY_HEADER, "")) > MAX_KEY_CHARACTERS:
        return Failure(
            MalformedHeader(f"{KEY_HEADER}: at most {MAX_KEY_CHARACTERS} characters")
        )
    deadline_s = _seconds(headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_S)))
    if deadline_s is None:
        return Failure(
            MalformedHeader(f"{DEADLINE_HEADER}: seconds, at most {MAX_DEADLINE_S:g}")
        )
    return Success((Priority(priority), deadline_s))


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_DEADLINE_S:
        return None
    return seconds
