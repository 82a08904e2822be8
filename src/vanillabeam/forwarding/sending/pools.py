"""Connection pools, one for each incarnation of a target."""

import re
from collections import Counter

from vanillabeam.connecting import CheckedPool, open_pool
from vanillabeam.fleet import Target

__all__ = ["Pools"]

#: Idle time of connections until a target of the service has sent Keep-Alive.
DEFAULT_EXPIRY_S = 1.0
#: Subtracted from the timeout in Keep-Alive, to allow for the round trip.
EXPIRY_MARGIN_S = 0.75
MAX_EXPIRY_S = 30.0
MIN_CONNECTIONS = 2
#: Share of a pool's maximum at which it is replaced by a smaller one.
REMAKE_SHARE = 0.5
#: Limit where the service's record sets none.
DEFAULT_CONNECTIONS = 64

_TIMEOUT = re.compile(rb"timeout=(\d+)", re.IGNORECASE)


class Pools:
    """Connection pools by target incarnation.

    The idle time of connections follows the ``Keep-Alive`` headers of a service's
    targets.
    """

    def __init__(self):
        self._pools: dict[tuple[str, int], CheckedPool] = {}
        #: Maximum number of connections of each pool.
        self._limits: dict[tuple[str, int], int] = {}
        self._expiry_s: dict[str, float] = {}

    def pool(self, target: Target, connections: int) -> CheckedPool:
        """Return the pool of a target.

        It is replaced when this VM's share has become much smaller, as more entry VMs
        are known; requests on the old pool complete there.

        :param connections: maximum number of connections; 0 if the service sets none.
        """
        limit = max(MIN_CONNECTIONS, connections or DEFAULT_CONNECTIONS)
        pool = self._pools.get(target.incarnation)
        made_with = self._limits.get(target.incarnation, limit)
        if pool is None or limit <= REMAKE_SHARE * made_with:
            self._limits[target.incarnation] = limit
            pool = open_pool(
                max_connections=limit,
                max_keepalive_connections=limit,
                keepalive_expiry=self._expiry_s.get(target.service, DEFAULT_EXPIRY_S),
            )
            self._pools[target.incarnation] = pool
        return pool

    def apply_keep_alive(self, target: Target, keep_alive: bytes) -> None:
        """Apply a ``Keep-Alive`` header of a target.

        If it changes the idle time of the service, the target's pool is replaced
        by one with the new idle time; requests on the old pool complete there.
        """
        match = _TIMEOUT.search(keep_alive)
        if match is None:
            return
        expiry_s = max(0.1, min(int(match[1]) - EXPIRY_MARGIN_S, MAX_EXPIRY_S))
        if self._expiry_s.get(target.service) == expiry_s:
            return
        self._expiry_s[target.service] = expiry_s
        self._pools.pop(target.incarnation, None)
        self._limits.pop(target.incarnation, None)

    def counts(self) -> dict[tuple[str, str], int]:
        """Return the number of connections by target and state."""
        totals = Counter()
        for (target, _), pool in self._pools.items():
            for state, count in pool.counts().items():
                totals[target, state] += count
        return dict(totals)

    async def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Close the pools of all other incarnations, once they are idle."""
        for incarnation in [
            incarnation
            for incarnation in self._pools
            if incarnation not in incarnations
        ]:
            pool = self._pools[incarnation]
            if any(not conn.is_idle() for conn in pool.connections):
                continue
            del self._pools[incarnation]
            self._limits.pop(incarnation, None)
            await pool.aclose()
