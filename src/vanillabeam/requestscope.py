"""Connection of a request, as its ASGI scope names it."""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

__all__ = ["CONNECTION", "ConnectionState", "connection_of"]

#: Extension of the ASGI scope.
CONNECTION = "vanillabeam.connection"


def _ignore() -> None:
    """Do nothing: the request came over no connection."""


def _stays() -> bool:
    """Return that the caller is there: the request came over no connection."""
    return False


class ConnectionState(NamedTuple):
    """The connection of a request.

    :param abort: closes it at once. It ends a send to a caller that doesn't read, which
        cancellation can't end.
    :param accepted_s: monotonic time at which it was accepted.
    :param arrived_s: monotonic time at which the request arrived, which may be before
        the connection was accepted.
    :param has_left: returns whether the caller has ended it. It asks the kernel, as the
        event loop may not yet have read the end.
    """

    abort: Callable[[], None] = _ignore
    accepted_s: float = -inf
    arrived_s: float = inf
    has_left: Callable[[], bool] = _stays


def connection_of(scope) -> ConnectionState:
    """Return the connection of a request."""
    return scope.get("extensions", {}).get(CONNECTION, ConnectionState())
