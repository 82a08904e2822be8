"""Forwarding of requests by an entry VM to a target, byte for byte."""

from vanillabeam.forwarding.app import ForwardingApp
from vanillabeam.forwarding.dialect import (
    AnswerKind,
    Dialect,
    ForwardingContext,
    RequestMetadata,
)

__all__ = [
    "AnswerKind",
    "Dialect",
    "ForwardingApp",
    "ForwardingContext",
    "RequestMetadata",
]
