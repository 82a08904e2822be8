"""Requests, answers and callbacks of the runner."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from returns.result import Result

from vanillabeam.config import Repeats
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.notices import Notice
from vanillabeam.targets import Outcome, Permit, RouteRequest

__all__ = [
    "Acquire",
    "IgnoredNotices",
    "NoticeBoard",
    "PromptRequest",
    "Release",
    "ServiceAnswer",
    "ServiceRequest",
    "TraceSink",
]

#: ``await acquire(request)`` returns a permit or the reason why there is none. The
#: issuer renews the permit until it is released.
Acquire = Callable[[RouteRequest], Awaitable[Result[Permit, VanillabeamError]]]

#: ``release(permit, outcome)`` returns a permit.
Release = Callable[[Permit, Outcome], None]

#: ``trace(request_id, record)`` receives the trace of a finished request.
TraceSink = Callable[[str, dict[str, Any]], None]


class NoticeBoard(Protocol):
    """Notices of targets, such as ``Targets`` keeps them."""

    def record_notice(self, permit: Permit, notice: Notice) -> None:
        """Record what the target of a permit said in an answer."""

    def may_send(self, permit: Permit) -> bool:
        """Return whether the target of a permit still takes a request."""


class IgnoredNotices:
    """Notices of targets that are chosen elsewhere."""

    def record_notice(self, permit: Permit, notice: Notice) -> None:
        """Do nothing."""

    def may_send(self, permit: Permit) -> bool:
        """Return true."""
        return True


class PromptRequest(NamedTuple):
    """A model prompt.

    :param route: input of routing; its ``deadline_s`` is the time from now in
        which the answer must be complete.
    :param path: ``/v1/chat/completions`` or ``/v1/completions``.
    :param body: the caller's body, decoded.
    :param stream: whether the caller asked for a stream of events.
    :param cache_salt: separates the engine's cache by workspace and version.
    :param idempotency_key: the caller's key, or empty.
    :param ticket_index: index of the configuration that admitted the prompt.
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

    :param route: input of routing, with ``service`` set; ``deadline_s`` as in
        :class:`PromptRequest`.
    :param path: path and query after ``/services/{name}/``.
    :param headers: the caller's headers without hop-by-hop headers and without
        those that the system sets itself.
    :param idempotency_key: the caller's key, or empty.
    :param repeats: the service's configured policy on repeats.
    :param ticket_index: index of the configuration that admitted the call.
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
    :param run: always ``ran``; goes into the header ``Vanillabeam-Run``.
    :param replayed: whether this is the recorded answer of an earlier call.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    run: Run = Run.RAN
    replayed: bool = False
