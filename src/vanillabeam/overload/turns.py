"""Turns of new requests, so that answers under way go first."""

from collections.abc import Callable

import trio

__all__ = ["Turns"]


class Turns:
    """Lets at most one new request begin in each turn of the event loop.

    A turn runs every task that can go on, those of answers among them. Many requests
    that begin in one turn would hold up all answers for as long as they take together.

    :param is_overloaded: asked whether this applies now; otherwise nobody waits.

    >>> turns = Turns(lambda: True)
    >>> await turns.take()
    """

    def __init__(self, is_overloaded: Callable[[], bool]):
        self._is_overloaded = is_overloaded
        self._lock = trio.Lock()

    async def take(self) -> None:
        """Wait for the turn of a new request, in the order of the calls."""
        if not self._is_overloaded():
            return
        async with self._lock:
            await trio.lowlevel.checkpoint()
