"""Paths below ``/services/``: what reaches a plain service, and what never."""

import re
from typing import NamedTuple

from returns.result import Failure, Result, Success
from starlette.types import Scope

from vanillabeam.exceptions import MalformedBody, MalformedPath, UnknownService
from vanillabeam.hopheaders import HOP_BY_HOP

__all__ = [
    "INTERNAL_PREFIX",
    "ServicePath",
    "forwardable_headers",
    "parse_service_path",
]

PREFIX = b"/services/"
INTERNAL_PREFIX = "vanillabeam-"
MAX_PATH_BYTES = 8_192

_NAME = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_SEGMENT = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})*")
_QUERY = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*")
_HIDDEN = re.compile(rb"%(?:25)*(?:2f|5c|00|2e|0d|0a)", re.IGNORECASE)
_HOP_BY_HOP = frozenset(name.decode() for name in HOP_BY_HOP)
_OWN = frozenset({"authorization", "content-length", "host", "idempotency-key"})


class ServicePath(NamedTuple):
    """A plain service and what follows its name.

    :param path: path and query behind ``/services/{name}/``.
    """

    service: str
    path: str


def parse_service_path(scope: Scope) -> Result[ServicePath, Exception]:
    """Return the service and path that a request names.

    The path goes on as it came, so anything that two readers could take for
    different paths is refused: empty, ``.`` and ``..`` segments, and encoded
    slashes, dots, backslashes and control characters.

    :param scope: the ASGI scope, whose ``raw_path`` is read.
    :returns: the path, :class:`MalformedPath` or :class:`UnknownService`.
    """
    raw = scope["raw_path"].partition(b"?")[0]
    query = scope["query_string"]
    if len(raw) + len(query) > MAX_PATH_BYTES:
        return Failure(MalformedPath(f"at most {MAX_PATH_BYTES} bytes"))
    name, _, rest = raw.removeprefix(PREFIX).partition(b"/")
    if _NAME.fullmatch(name) is None:
        return Failure(UnknownService("no service of that name"))
    if not _is_plain(rest) or _QUERY.fullmatch(query) is None:
        return Failure(MalformedPath("the path can be read in more than one way"))
    path = rest + (b"?" + query if query else b"")
    return Success(ServicePath(name.decode(), path.decode()))


def forwardable_headers(
    headers: list[tuple[bytes, bytes]],
) -> Result[tuple[tuple[str, str], ...], MalformedBody]:
    """Return the headers that a plain service gets to see.

    Hop-by-hop headers, those that ``Connection`` names, the caller's key and
    every header that the system itself sets are left out.
    """
    decoded = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]
    named = _named_by_connection(decoded)
    kept = []
    for name, value in decoded:
        if name in _HOP_BY_HOP or name in _OWN or name in named:
            continue
        if name.startswith(INTERNAL_PREFIX) or "_" in name:
            continue
        if any(character in value for character in "\r\n\0"):
            return Failure(MalformedBody(f"header {name}"))
        kept.append((name, value))
    return Success(tuple(kept))


def _is_plain(rest: bytes) -> bool:
    if _HIDDEN.search(rest):
        return False
    segments = rest.split(b"/")
    inner = segments[:-1]
    if any(segment in (b"", b".", b"..") for segment in inner):
        return False
    if segments[-1] in (b".", b".."):
        return False
    return all(_SEGMENT.fullmatch(segment) for segment in segments)


def _named_by_connection(headers: list[tuple[str, str]]) -> set[str]:
    values = [value for name, value in headers if name == "connection"]
    return {name.strip().lower() for value in values for name in value.split(",")}
