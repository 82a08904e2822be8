"""JSON encoding, and strict decoding into typed dictionaries."""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedBody

__all__ = ["decode", "encode"]

T = TypeVar("T")


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
