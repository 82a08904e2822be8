"""Conversion of callers' HTTP requests into the requests that the system runs."""

import math
from collections.abc import Mapping

from returns.result import Failure, Result, Success
from starlette.requests import Request

from vanillabeam.answers import PromptRequest, ServiceRequest
from vanillabeam.cache import block_ids, conversation_root, cut, salt
from vanillabeam.callers.openai import ModelChoice, Prompt, choose_model
from vanillabeam.callers.servicepath import ServicePath, forwardable_headers
from vanillabeam.config import Config, Priority, Workspace
from vanillabeam.exceptions import MalformedHeader, UnknownService, VanillabeamError
from vanillabeam.targets import RouteRequest

__all__ = ["prompt_request", "service_request"]

DEADLINE_HEADER = "vanillabeam-deadline"
PRIORITY_HEADER = "vanillabeam-priority"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3_600.0
#: Ratio with which the length of a prompt in tokens is estimated.
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

    The request carries the versions of model and adapter, the ids of the
    prompt's cache blocks, the priority and the deadline.

    :param headers: headers of the caller's HTTP request.
    :returns: the request, or :class:`UnknownModel` or :class:`MalformedHeader`.
    """
    chosen = choose_model(config, workspace, prompt.model)
    limits = _parse_limits(workspace, headers)
    for result in (chosen, limits):
        if isinstance(result, Failure):
            return result
    priority, deadline_s = limits.unwrap()
    route = _prompt_route(workspace, prompt, chosen.unwrap())._replace(
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
            idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, ""),
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
    """Return the request for a call of a plain service, without its body.

    :returns: the request, or :class:`UnknownService`, :class:`MalformedHeader`
        or :class:`MalformedBody`.
    """
    service = config.services.get(path.service)
    allowed = not workspace.services or path.service in workspace.services
    if service is None or not allowed:
        return Failure(UnknownService(path.service))
    limits = _parse_limits(workspace, request.headers)
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
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            repeats=service.repeats,
            ticket_index=config.index,
        )
    )


def _prompt_route(
    workspace: Workspace, prompt: Prompt, choice: ModelChoice
) -> RouteRequest:
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


def _parse_limits(
    workspace: Workspace, headers: Mapping[str, str]
) -> Result[tuple[Priority, float], MalformedHeader]:
    priority = headers.get(PRIORITY_HEADER, str(workspace.priority))
    if priority not in list(Priority):
        return Failure(MalformedHeader(f"{PRIORITY_HEADER}: interactive or batch"))
    if workspace.priority is Priority.BATCH:
        priority = Priority.BATCH
    if len(headers.get(IDEMPOTENCY_KEY_HEADER, "")) > MAX_KEY_CHARACTERS:
        return Failure(
            MalformedHeader(
                f"{IDEMPOTENCY_KEY_HEADER}: at most {MAX_KEY_CHARACTERS} characters"
            )
        )
    deadline_s = _parse_deadline_s(
        headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_S))
    )
    if deadline_s is None:
        return Failure(
            MalformedHeader(f"{DEADLINE_HEADER}: seconds, at most {MAX_DEADLINE_S:g}")
        )
    return Success((Priority(priority), deadline_s))


def _parse_deadline_s(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_DEADLINE_S:
        return None
    return seconds
