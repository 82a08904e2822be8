"""Types of calls between VMs.

A shell is constructed with a :data:`PeerCall` and provides a
:data:`PeerHandler` for each path. The daemon connects the two by HTTP; tests
connect them directly.
"""

from collections.abc import Awaitable, Callable

from returns.result import Result

from vanillabeam.exceptions import VanillabeamError

__all__ = ["PeerCall", "PeerHandler", "PeerRoutes"]

#: ``await call(address, path, body)`` returns the body of the answer. A typed
#: failure of the remote VM is returned as an instance of the same class if this
#: release defines its type.
PeerCall = Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]]

#: ``await handler(body)`` returns the body of the answer.
PeerHandler = Callable[[bytes], Awaitable[Result[bytes, VanillabeamError]]]

#: Handlers by path, such as ``/peer/log/tickets``.
PeerRoutes = dict[str, PeerHandler]
