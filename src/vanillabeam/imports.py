"""Import leases: a swap and an import never overlap on one target.

The owner of a target gives each import a short lease. Before it orders a swap
it gives no more of them and waits until those given have ended or expired.
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
#: The owner counts a lease longer than its holder uses it.
MARGIN_S = 1.0
CALL_TIMEOUT_S = 1.0


class BeginImport(TypedDict):
    """``/peer/imports/begin``."""

    target: str
    boot_id: str


class ImportLease(TypedDict):
    """Answer to :class:`BeginImport`; holds for ``lasts_s`` from the asking."""

    lease: str
    lasts_s: float


class EndImport(TypedDict):
    """``/peer/imports/end``."""

    target: str
    lease: str


class ImportLeases:
    """The leases that this VM gives as owner, and those it asks of others.

    :param call: reaches other entries.
    :param may_import: whether an import may begin at a target owned here.

    >>> leases = ImportLeases(call, orders.may_import)
    >>> lease = await leases.begin("10.0.0.2:7003", "engine-1", boot_id)
    >>> await leases.end("10.0.0.2:7003", "engine-1", lease.unwrap()["lease"])
    """

    def __init__(self, call: PeerCall, may_import: Callable[[str], bool]):
        self._call = call
        self._may_import = may_import
        self._given: dict[str, dict[str, float]] = {}
        self._ending: dict[str, int] = {}
        self._changed = trio.Event()

    def routes(self) -> PeerRoutes:
        """Return the handlers for other entries."""
        return {BEGIN_PATH: self._on_begin, END_PATH: self._on_end}

    async def begin(
        self, owner: str, target: str, boot_id: str
    ) -> Result[ImportLease, VanillabeamError]:
        """Ask a target's owner for a lease.

        :param owner: ``host:port`` of its peers' listener; empty for this VM.
        """
        message = BeginImport(target=target, boot_id=boot_id)
        if not owner:
            return self._give(message)
        asked_s = trio.current_time()
        with trio.move_on_after(CALL_TIMEOUT_S):
            answer = await self._call(owner, BEGIN_PATH, wire.encode(message))
            lease = answer.bind(lambda body: wire.decode(ImportLease, body))
            return lease.map(lambda found: _less(found, asked_s))
        return Failure(ImportsClosed(f"{owner} is silent"))

    async def end(self, owner: str, target: str, lease: str) -> None:
        """Give a lease back; one that is lost expires by itself."""
        message = EndImport(target=target, lease=lease)
        if not owner:
            self._take_back(message)
            return
        with trio.move_on_after(CALL_TIMEOUT_S):
            await self._call(owner, END_PATH, wire.encode(message))

    async def drain(self, target: str) -> None:
        """Return once no import is under way at a target owned here."""
        self._ending[target] = self._ending.get(target, 0) + 1
        try:
            while self._open(target):
                last_s = max(self._given[target].values())
                with trio.move_on_at(last_s):
                    await self._changed.wait()
        finally:
            self._ending[target] -= 1
            if not self._ending[target]:
                del self._ending[target]

    def _open(self, target: str) -> int:
        now_s = trio.current_time()
        leases = self._given.get(target, {})
        for lease in [name for name, ends_s in leases.items() if ends_s <= now_s]:
            del leases[lease]
        if not leases:
            self._given.pop(target, None)
        return len(leases)

    def _give(self, message: BeginImport) -> Result[ImportLease, ImportsClosed]:
        target = message["target"]
        if target in self._ending or not self._may_import(target):
            return Failure(ImportsClosed(target))
        lease = secrets.token_hex(8)
        ends_s = trio.current_time() + LEASE_S + MARGIN_S
        self._given.setdefault(target, {})[lease] = ends_s
        return Success(ImportLease(lease=lease, lasts_s=LEASE_S))

    def _take_back(self, message: EndImport) -> None:
        self._given.get(message["target"], {}).pop(message["lease"], None)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _on_begin(self, body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(BeginImport, body)
        return message.bind(self._give).map(wire.encode)

    async def _on_end(self, body: bytes) -> Result[bytes, VanillabeamError]:
        message = wire.decode(EndImport, body)
        return message.map(self._take_back).map(lambda _: b"{}")


def _less(lease: ImportLease, asked_s: float) -> ImportLease:
    lasts_s = lease["lasts_s"] - (trio.current_time() - asked_s)
    return ImportLease(lease=lease["lease"], lasts_s=lasts_s)
