"""How shells call other VMs: the types only.

A shell takes a :data:`PeerCall` and offers :data:`PeerHandler` values by path.
The daemon puts HTTP between the two; tests connect them directly.
"""

from collections.abc import Awaitable, Callable

from returns.result import Result

from vanillabeam.exceptions import VanillabeamError

__all__ = ["PeerCall", "PeerHandler", "PeerRoutes"]

#: ``await call(address, path, body)``: the answer's body. A typed failure of
#: the far end comes back as the same class where this release knows its type.
PeerCall = Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]]

#: ``await handler(body)``: the answer's body.
PeerHandler = Callable[[bytes], Awaitable[Result[bytes, VanillabeamError]]]

#: Handlers by path, such as ``/peer/log/tickets``.
PeerRoutes = dict[str, PeerHandler]
