"""Connections to targets, a pool for each life of a target."""

import re

import httpcore

from vanillabeam.fleet import Target

__all__ = ["Pools"]

#: Idle time before a target has said how long it keeps connections.
FIRST_EXPIRY_S = 1.0
#: Taken off what a target says, for the way there and back.
EXPIRY_MARGIN_S = 0.75
MOST_EXPIRY_S = 30.0
FEWEST_CONNECTIONS = 2
#: Where a service's record sets no bound.
DEFAULT_CONNECTIONS = 64

_TIMEOUT = re.compile(rb"timeout=(\d+)", re.IGNORECASE)


class Pools:
    """Pools by target life; what a service's targets keep open is learned."""

    def __init__(self):
        self._pools: dict[tuple[str, int], httpcore.AsyncConnectionPool] = {}
        self._expiry_s: dict[str, float] = {}

    def pool(self, target: Target, connections: int) -> httpcore.AsyncConnectionPool:
        """Return the pool of a target.

        :param connections: most connections; 0 is no bound of the service's.
        """
        found = self._pools.get(target.incarnation)
        if found is None:
            most = max(FEWEST_CONNECTIONS, connections or DEFAULT_CONNECTIONS)
            found = httpcore.AsyncConnectionPool(
                max_connections=most,
                max_keepalive_connections=most,
                keepalive_expiry=self._expiry_s.get(target.service, FIRST_EXPIRY_S),
            )
            self._pools[target.incarnation] = found
        return found

    def learn(self, target: Target, keep_alive: bytes) -> None:
        """Take a target's ``Keep-Alive`` header into account.

        A pool that was made before its service's time was known gives way to
        one that keeps connections as long; its open ones end as they are.
        """
        match = _TIMEOUT.search(keep_alive)
        if match is None:
            return
        expiry_s = max(0.1, min(int(match[1]) - EXPIRY_MARGIN_S, MOST_EXPIRY_S))
        if self._expiry_s.get(target.service) == expiry_s:
            return
        self._expiry_s[target.service] = expiry_s
        self._pools.pop(target.incarnation, None)

    async def keep_only(self, lives: set[tuple[str, int]]) -> None:
        """Close the idle connections of every target that is gone."""
        for life in [life for life in self._pools if life not in lives]:
            pool = self._pools[life]
            if any(not each.is_idle() for each in pool.connections):
                continue
            del self._pools[life]
            await pool.aclose()
