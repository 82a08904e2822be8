"""Leases that keep block imports and weight swaps of a target from overlapping.

The owner of a target grants a short lease for each import. Before it orders a
swap, it grants no further leases and waits until all granted ones were released
or have expired.
"""

import secrets
from collections.abc import Callable
from typing import TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import ImportsClosed, VanillabeamError
from vanillabeam.peercall import PeerCall, PeerRoutes

__all__ = ["ImportLeases"]

BEGIN_PATH = "/peer/imports/begin"
END_PATH = "/peer/imports/end"
LEASE_S = 10.0
#: Extra time after which the owner regards a lease as expired, so that its
#: holder always stops first.
MARGIN_S = 1.0
CALL_TIMEOUT_S = 1.0


class BeginImport(TypedDict):
    """Request to ``/peer/imports/begin``."""

    target: str
    boot_id: str


class ImportLease(TypedDict):
    """Answer to :class:`BeginImport`.

    The lease is valid for ``lasts_s`` seconds, counted from when the request was
    sent.
    """

    lease: str
    lasts_s: float


class EndImport(TypedDict):
    """Request to ``/peer/imports/end``."""

    target: str
    lease: str


class ImportLeases:
    """Grant leases for this VM's own targets and request them from other owners.

    :param call: sends requests to other entry VMs.
    :param may_import: returns whether an import may begin at a target that this
        VM owns.

    >>> leases = ImportLeases(call, orders.may_import)
    >>> lease = await leases.begin("10.0.0.2:7003", "engine-1", boot_id)
    >>> await leases.end("10.0.0.2:7003", "engine-1", lease.unwrap()["lease"])
    """

    def __init__(self, call: PeerCall, may_import: Callable[[str], bool]):
        self._call = call
        self._may_import = may_import
        self._expiries_s: dict[str, dict[str, float]] = {}
        self._draining: dict[str, int] = {}
        self._changed = trio.Event()

    def routes(self) -> PeerRoutes:
        """Return the handlers for requests of other entry VMs."""
        return {BEGIN_PATH: self._on_begin, END_PATH: self._on_end}

    async def begin(
        self, owner: str, target: str, boot_id: str
    ) -> Result[ImportLease, VanillabeamError]:
        """Request a lease from a target's owner.

        :param owner: ``host:port`` of the owner's peers' listener; empty if this
            VM is the owner.
        :returns: the lease with its remaining time, or a failure such as
            :class:`ImportsClosed`.
        """
        message = BeginImport(target=target, boot_id=boot_id)
        if not owner:
            return self._grant(message)
        sent_s = trio.current_time()
        with trio.move_on_after(CALL_TIMEOUT_S):
            answer = await self._call(owner, BEGIN_PATH, wire.encode(message))
            lease = answer.bind(lambda body: wire.decode(ImportLease, body))
            return lease.map(lambda granted: _remaining(granted, sent_s))
        return Failure(ImportsClosed(f"{owner} is silent"))

    async def end(self, owner: str, target: str, lease: str) -> None:
        """Release a lease; if the message is lost, the lease expires by itself."""
        message = EndImport(target=target, lease=lease)
        if not owner:
            self._release(message)
            return
        with trio.move_on_after(CALL_TIMEOUT_S):
            await self._call(owner, END_PATH, wire.encode(message))

    async def drain(self, target: str) -> None:
        """Refuse new imports at an own target and wait until the open ones end.

        After this method has returned, ``may_import`` alone decides on new
        imports.
        """
        self._draining[target] = self._draining.get(target, 0) + 1
        try:
            while self._count_open(target):
                last_expiry_s = max(self._expiries_s[target].values())
                with trio.move_on_at(last_expiry_s):
                    await self._changed.wait()
        finally:
            self._draining[target] -= 1
            if not self._draining[target]:
                del self._draining[target]

    def _count_open(self, target: str) -> int:
        now_s = trio.current_time()
        leases = self._expiries_s.get(target, {})
        for lease in [name for name, expires_s in leases.items() if expires_s <= now_s]:
            del leases[lease]
        if not leases:
            self._expiries_s.pop(target, None)
        return len(leases)

    def _grant(self, message: BeginImport) -> Result[ImportLease, ImportsClosed]:
        target = message["target"]
        if target in self._draining or not self._may_import(target):
            return Failure(ImportsClosed(target))
        lease = secrets.token_hex(8)
        expires_s = trio.current_time() + LEASE_S + MARGIN_S
        self._expiries_s.setdefault(target, {})[lease] = expires_s
        return Success(ImportLease(lease=lease, lasts_s=LEASE_S))

    def _release(self, message: EndImport) -> None:
        self._expiries_s.get(message["target"], {}).pop(message["lease"], None)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _on_begin(self, body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(BeginImport, body)
        return message.bind(self._grant).map(wire.encode)

    async def _on_end(self, body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(EndImport, body)
        return message.map(self._release).map(lambda _: b"{}")


def _remaining(lease: ImportLease, sent_s: float) -> ImportLease:
    lasts_s = lease["lasts_s"] - (trio.current_time() - sent_s)
    return ImportLease(lease=lease["lease"], lasts_s=lasts_s)
