"""JSON encoding, and strict decoding into typed dictionaries."""

import json
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedBody

__all__ = ["check_text", "decode", "encode"]

T = TypeVar("T")

#: Depth of nesting that is left to a later reader of a checked text. A reader has as
#: much less room as its caller's stack is deeper.
SPARE_DEPTH = 100


def encode(value: Any) -> bytes:
    """Return ``value`` as JSON.

    :param value: a ``TypedDict`` or anything that ``msgspec`` encodes.
    """
    return msgspec.json.encode(value)


def decode(kind: type[T], body: bytes) -> Result[T, MalformedBody]:
    """Decode ``body`` into a ``kind``; types are checked without coercion.

    Keys that ``kind`` does not define are dropped, so that a VM accepts the
    messages of a newer release.

    :param kind: a ``TypedDict``.
    :param body: JSON text.
    :returns: the value, or :class:`MalformedBody` with the path of the field.
    """
    try:
        return Success(msgspec.json.decode(body, type=kind, strict=True))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Failure(MalformedBody(str(exc)))


def check_text(body: bytes) -> Result[str, MalformedBody]:
    """Return a JSON document of another writer as text, if all of it can be read.

    Its strings are checked also where no field of ours is. No object may have a name
    twice: a reader would take one of the two values and drop the other. A document
    that passes is never too deep for a later reader in another process.
    """
    try:
        text = body.decode()
        msgspec.json.decode(body)
        msgspec.json.decode(b"[" * SPARE_DEPTH + body + b"]" * SPARE_DEPTH)
        json.loads(text, object_pairs_hook=_check_names)
    except (ValueError, RecursionError) as exc:
        return Failure(MalformedBody(str(exc)))
    return Success(text)


def _check_names(members: list[tuple[str, Any]]) -> None:
    if len(dict(members)) < len(members):
        names = [name for name, _ in members]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{twice!r} is given twice")
