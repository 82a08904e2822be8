"""Conversion between failures and ``application/problem+json`` answers."""

import math
from collections.abc import Iterator

from starlette.responses import Response
from typing_extensions import TypedDict

from vanillabeam import wire
from vanillabeam.exceptions import RemoteFailure, Run, VanillabeamError

__all__ = [
    "PROBLEM_TYPE",
    "RUN_HEADER",
    "Problem",
    "catalogue",
    "from_problem",
    "problem_response",
    "to_problem",
]

PROBLEM_TYPE = "application/problem+json"
RUN_HEADER = "Vanillabeam-Run"
URN = "urn:vanillabeam:"


class OpenAIError(TypedDict):
    """The ``error`` object of the OpenAI API, for clients that expect it."""

    message: str
    type: str
    code: str
    param: None


class Problem(TypedDict):
    """An ``application/problem+json`` document."""

    type: str
    title: str
    status: int
    detail: str
    run: str
    advice: str
    error: OpenAIError


def to_problem(exc: VanillabeamError) -> Problem:
    """Return the problem document for ``exc``."""
    return Problem(
        type=URN + exc.type,
        title=_title(type(exc)),
        status=int(exc.status),
        detail=exc.detail,
        run=str(exc.run),
        advice=exc.advice,
        error=OpenAIError(
            message=f"{exc.detail or _title(type(exc))} {exc.advice}".strip(),
            type=_openai_type(int(exc.status)),
            code=exc.type,
            param=None,
        ),
    )


def problem_response(exc: VanillabeamError) -> Response:
    """Return the HTTP answer for ``exc``."""
    headers = {RUN_HEADER: str(exc.run)}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after_s)))
    return Response(
        wire.encode(to_problem(exc)),
        status_code=int(exc.status),
        headers=headers,
        media_type=PROBLEM_TYPE,
    )


def from_problem(status: int, body: bytes) -> VanillabeamError:
    """Return the failure described by a peer's HTTP answer.

    :param status: HTTP status of the answer; becomes the failure's detail if
        ``body`` is not a problem document.
    :returns: an instance of the class with the document's ``type``, or a
        :class:`RemoteFailure` if this release has no such class.
    """
    decoded = wire.decode(Problem, body).value_or(None)
    if decoded is None:
        return RemoteFailure(f"status {status}")
    name = decoded["type"].removeprefix(URN)
    kind = _by_type().get(name)
    if kind is None:
        exc = RemoteFailure(f"{name}: {decoded['detail']}")
    else:
        exc = kind(decoded["detail"])
    if decoded["run"] in list(Run):
        exc.run = Run(decoded["run"])
    return exc


def catalogue() -> list[type[VanillabeamError]]:
    """Return the failure classes imported so far, sorted by type.

    A class that sets no ``type`` is left out: callers see it as its base class.
    """
    kinds = [kind for kind in _subclasses(VanillabeamError) if "type" in vars(kind)]
    return sorted(kinds, key=lambda kind: kind.type)


def _by_type() -> dict[str, type[VanillabeamError]]:
    return {kind.type: kind for kind in catalogue()}


def _subclasses(kind: type) -> Iterator[type]:
    yield kind
    for child in kind.__subclasses__():
        yield from _subclasses(child)


def _title(kind: type[VanillabeamError]) -> str:
    return (kind.__doc__ or kind.type).strip().splitlines()[0]


def _openai_type(status: int) -> str:
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    if status < 500:
        return "invalid_request_error"
    return "server_error"
