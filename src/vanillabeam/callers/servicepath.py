"""Checks of the paths and headers that are forwarded to plain services."""

import re
from typing import NamedTuple

from returns.result import Failure, Result, Success
from starlette.types import Scope

from vanillabeam.exceptions import MalformedBody, MalformedPath, UnknownService
from vanillabeam.hopheaders import strip_hop_by_hop

__all__ = [
    "INTERNAL_PREFIX",
    "ServicePath",
    "forwardable_headers",
    "parse_service_path",
]

PREFIX = b"/services/"
#: Prefix of the headers that the system itself sets.
INTERNAL_PREFIX = "vanillabeam-"
MAX_PATH_BYTES = 8_192

_NAME = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_SEGMENT = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})*")
_QUERY = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*")
#: Encoded slash, backslash, dot, NUL, CR or LF, however often it is encoded.
_ENCODED_UNSAFE = re.compile(rb"%(?:25)*(?:2f|5c|00|2e|0d|0a)", re.IGNORECASE)
#: Headers that are evaluated here or replaced on the way to the service.
_CONSUMED = frozenset({"authorization", "content-length", "host", "idempotency-key"})


class ServicePath(NamedTuple):
    """Name of a plain service and the path of a request to it.

    :param path: path and query after ``/services/{name}/``.
    """

    service: str
    path: str


def parse_service_path(scope: Scope) -> Result[ServicePath, Exception]:
    """Return the service and the path that a request addresses.

    The path is forwarded unchanged. Paths that two programs could interpret
    differently are refused: those with empty, ``.`` or ``..`` segments, and
    those with encoded slashes, dots, backslashes or control characters.

    :param scope: the ASGI scope, of which ``raw_path`` and ``query_string`` are
        read.
    :returns: the path, :class:`MalformedPath` or :class:`UnknownService`.
    """
    raw = scope["raw_path"].partition(b"?")[0]
    query = scope["query_string"]
    if len(raw) + len(query) > MAX_PATH_BYTES:
        return Failure(MalformedPath(f"at most {MAX_PATH_BYTES} bytes"))
    name, _, rest = raw.removeprefix(PREFIX).partition(b"/")
    if _NAME.fullmatch(name) is None:
        return Failure(UnknownService("no service of that name"))
    if not _is_unambiguous(rest) or _QUERY.fullmatch(query) is None:
        return Failure(MalformedPath("the path can be read in more than one way"))
    path = rest + (b"?" + query if query else b"")
    return Success(ServicePath(name.decode(), path.decode()))


def forwardable_headers(
    headers: list[tuple[bytes, bytes]],
) -> Result[tuple[tuple[str, str], ...], MalformedBody]:
    """Return the headers that are forwarded to a plain service.

    Hop-by-hop headers, those that ``Connection`` lists, the caller's key and
    all headers that the system itself sets are removed, as are headers with an
    underscore in their name.

    :returns: the headers, or :class:`MalformedBody` if a value holds a line
        break or NUL.
    """
    kept = []
    for raw_name, raw_value in strip_hop_by_hop(headers):
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        if name in _CONSUMED:
            continue
        if name.startswith(INTERNAL_PREFIX) or "_" in name:
            continue
        if any(character in value for character in "\r\n\0"):
            return Failure(MalformedBody(f"header {name}"))
        kept.append((name, value))
    return Success(tuple(kept))


def _is_unambiguous(rest: bytes) -> bool:
    if _ENCODED_UNSAFE.search(rest):
        return False
    segments = rest.split(b"/")
    leading = segments[:-1]
    if any(segment in (b"", b".", b"..") for segment in leading):
        return False
    if segments[-1] in (b".", b".."):
        return False
    return all(_SEGMENT.fullmatch(segment) for segment in segments)
