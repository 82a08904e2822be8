"""What the runner is asked and what it needs from routing."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from returns.result import Result

from vanillabeam.config import Repeats
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.targets import Outcome, Permit, RouteRequest

__all__ = [
    "Acquire",
    "PromptRequest",
    "Release",
    "ServiceAnswer",
    "ServiceRequest",
    "TraceSink",
]

#: ``await acquire(request)``: a permit, or why there is none. Whoever gives it
#: renews it until it is released.
Acquire = Callable[[RouteRequest], Awaitable[Result[Permit, VanillabeamError]]]

#: ``release(permit, outcome)``: gives a permit back.
Release = Callable[[Permit, Outcome], None]

#: ``trace(request_id, record)``: takes the record of a finished request.
TraceSink = Callable[[str, dict[str, Any]], None]


class PromptRequest(NamedTuple):
    """A model prompt.

    :param route: what routing needs to know; its ``deadline_s`` is the time
        from now by which the answer must be whole.
    :param path: ``/v1/chat/completions`` or ``/v1/completions``.
    :param body: the caller's body, decoded.
    :param stream: whether the caller wants events.
    :param cache_salt: binds the engine's cache to workspace and version.
    :param ticket_index: index of the configuration that admitted it.
    """

    route: RouteRequest
    path: str
    body: dict[str, Any]
    stream: bool = False
    cache_salt: str = ""
    idempotency_key: str = ""
    ticket_index: int = 0


class ServiceRequest(NamedTuple):
    """A call of a plain service.

    :param route: its ``service`` is set; ``deadline_s`` as with prompts.
    :param path: path and query behind ``/services/{name}/``.
    :param headers: the caller's, without hop-by-hop headers and without any
        that the system sets itself.
    """

    route: RouteRequest
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotency_key: str = ""
    repeats: Repeats = Repeats.NEVER
    ticket_index: int = 0


class ServiceAnswer(NamedTuple):
    """A plain service's answer.

    :param headers: without hop-by-hop headers.
    :param run: always ``ran``; for the header ``Vanillabeam-Run``.
    :param replayed: whether it is the recorded answer of an earlier call.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    run: Run = Run.RAN
    replayed: bool = False
