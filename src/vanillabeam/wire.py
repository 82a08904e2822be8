"""JSON encoding, and strict decoding into typed dictionaries."""

import json
from collections import Counter
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedBody

__all__ = ["check_text", "convert", "decode", "encode", "read"]

T = TypeVar("T")

#: Depth of nesting that is left to a later reader of a checked text. A reader has as
#: much less room as its caller's stack is deeper.
SPARE_DEPTH = 100
#: Characters of a name that a failure describes.
MAX_NAME_LENGTH = 100
#: Magnitude up to which a number with a fraction part holds each whole number.
MAX_WHOLE = 2.0**53


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
        counts = Counter(name for name, _ in members)
        twice, _ = counts.most_common(1)[0]
        raise ValueError(f"{twice[:MAX_NAME_LENGTH]!r} is given twice")


def read(kind: type[T], body: bytes) -> Result[T, MalformedBody]:
    """Check and convert a document of another writer."""
    text = check_text(body)
    if isinstance(text, Failure):
        return text
    try:
        return Success(convert(kind, text.unwrap()))
    except ValueError as exc:
        return Failure(MalformedBody(str(exc)))


def convert(kind: type[T], text: str) -> T:
    """Return the JSON document of another writer as a ``kind``.

    A writer may give ``null`` for a value that is missing, and any notation of a
    number for a whole one.

    :raises ValueError: if a field is missing or of another type.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError:
        # It has another notation, or is invalid.
        pass
    document = json.loads(
        text, object_pairs_hook=_drop_missing, parse_float=_parse_number
    )
    return msgspec.convert(document, kind)


def _drop_missing(members: list[tuple[str, Any]]) -> dict[str, Any]:
    return {name: value for name, value in members if value is not None}


def _parse_number(digits: str) -> float:
    number = float(digits)
    return int(number) if number.is_integer() and abs(number) < MAX_WHOLE else number
