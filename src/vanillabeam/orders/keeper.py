"""Granting load leases, and requests for them to the responsible VM."""

from collections.abc import Callable, Iterable
from typing import Any, TypedDict

import trio
from returns.result import Failure, Result, Success

from vanillabeam.config import Config
from vanillabeam.exceptions import PeerSilent, VanillabeamError
from vanillabeam.members import Members, Status
from vanillabeam.orders.exceptions import FloorReached, LoadsLimited, NotLeaseKeeper
from vanillabeam.orders.leases import (
    LOADS_PER_STORE,
    LOADS_PER_STORE_ISOLATED,
    LeaseReply,
    LeaseRequest,
    LeaseTable,
    ReadyReport,
)
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.wire import decode, encode

__all__ = ["LeaseKeeper", "LeaseRelease"]

LEASE_PATH = "/peer/orders/lease"
LOCAL_LEASE_PATH = "/peer/orders/local-lease"
RELEASE_PATH = "/peer/orders/release"
READY_PATH = "/peer/orders/ready"
TOTAL_PATH = "/peer/orders/total"
CALL_TIMEOUT_S = 1.0


class LeaseRelease(TypedDict):
    """``POST /peer/orders/release``: end of a lease by its owner."""

    lease: str


class LeaseKeeper:
    """Lease tables that this VM keeps, and calls to the keepers on other VMs.

    The ticket log's leader keeps the leases of the whole fleet. While no control
    VM can be reached, the first VM of the data centre by name keeps leases for
    its data centre, with a lower limit.

    :param name: this VM's name.
    :param address: this VM's own address, as peers call it.
    :param control: addresses of the control VMs.
    :param members: membership of the data centre, which decides its keeper.
    :param call: sends a message to another VM.
    :param is_leader: returns whether this VM leads the ticket log now.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: Iterable[str],
        members: Members,
        call: PeerCall,
        is_leader: Callable[[], bool],
    ):
        self._name = name
        self._address = address
        self._control = list(control)
        self._members = members
        self._call = call
        self._is_leader = is_leader
        self._fleet: LeaseTable | None = None
        self._local: LeaseTable | None = None
        self._config = Config()
        self._granted_by: dict[str, str] = {}
        self._sequence = 0

    def routes(self) -> PeerRoutes:
        """Return the handlers for the peers' listener."""
        return {
            LEASE_PATH: self._fleet_lease,
            LOCAL_LEASE_PATH: self._local_lease,
            RELEASE_PATH: self._release_here,
            READY_PATH: self._ready,
            TOTAL_PATH: self._total,
        }

    def config_changed(self, config: Config) -> None:
        """Enforce the ``min_ready`` values of ``config`` from now on."""
        self._config = config

    def _fleet_table(self) -> LeaseTable | None:
        if not self._is_leader():
            self._fleet = None
        elif self._fleet is None:
            started_s = trio.current_time()
            self._fleet = LeaseTable(self._name, LOADS_PER_STORE, started_s)
        return self._with_config(self._fleet)

    def _local_table(self) -> LeaseTable | None:
        if self._local_keeper() != self._address:
            self._local = None
        elif self._local is None:
            started_s = trio.current_time()
            name = f"{self._name}-local"
            self._local = LeaseTable(name, LOADS_PER_STORE_ISOLATED, started_s)
        return self._with_config(self._local)

    def _with_config(self, table: LeaseTable | None) -> LeaseTable | None:
        if table is not None:
            table.config = self._config
        return table

    def _local_keeper(self) -> str:
        alive = self._members.view().alive
        confirmed = [member for member in alive if member.status is Status.ALIVE]
        return confirmed[0].address if confirmed else self._address

    async def request_lease(
        self, request: LeaseRequest
    ) -> Result[LeaseReply, VanillabeamError]:
        """Request a lease from the ticket log's leader.

        The data centre's keeper is asked if no control VM can be reached.

        :returns: the lease; the keeper's refusal; or :class:`NotLeaseKeeper` if
            control VMs answer and none of them grants leases now.
        """
        isolated = True
        for address in list(self._control):
            result = await self._call_vm(address, LEASE_PATH, request, LeaseReply)
            if isinstance(result, Success):
                self._granted_by[result.unwrap()["lease"]] = address
                return result
            if isinstance(result.failure(), LoadsLimited | FloorReached):
                return result
            isolated = isolated and not isinstance(result.failure(), NotLeaseKeeper)
            self._control.remove(address)
            self._control.append(address)
        if not isolated:
            return Failure(NotLeaseKeeper("no control VM leads the ticket log"))
        return await self._request_local_lease(request)

    async def _request_local_lease(
        self, request: LeaseRequest
    ) -> Result[LeaseReply, VanillabeamError]:
        keeper = self._local_keeper()
        local_request: LeaseRequest = {**request, "reporter": request["owner"]}
        result = await self._call_vm(
            keeper, LOCAL_LEASE_PATH, local_request, LeaseReply
        )
        if isinstance(result, Success):
            self._granted_by[result.unwrap()["lease"]] = keeper
        return result

    async def release(self, lease: str) -> None:
        """Release a lease at the VM that granted it.

        If the call fails, the lease expires by itself.
        """
        address = self._granted_by.pop(lease, None)
        if address is not None:
            body = LeaseRelease(lease=lease)
            await self._call_vm(address, RELEASE_PATH, body, dict)

    async def report(self, ready: dict[str, int], leases: list[str]) -> None:
        """Send this owner's ready counts to the data centre's keeper.

        If this VM is that keeper, also send the data centre's total to the leader.

        :param ready: number of ready targets by model.
        :param leases: leases that ``ready`` takes into account.
        """
        self._sequence += 1
        report: ReadyReport = {
            "reporter": self._name,
            "sequence": self._sequence,
            "ready": ready,
            "leases": leases,
        }
        await self._call_vm(self._local_keeper(), READY_PATH, report, dict)
        table = self._local_table()
        if table is None:
            return
        data_centre = self._members.view().data_centre
        total = table.total(data_centre, self._sequence, trio.current_time())
        for address in list(self._control):
            result = await self._call_vm(address, TOTAL_PATH, total, dict)
            if isinstance(result, Success):
                return

    async def _call_vm(
        self, address: str, path: str, message: Any, reply_type: type
    ) -> Result[Any, VanillabeamError]:
        with trio.move_on_after(CALL_TIMEOUT_S):
            if address == self._address:
                result = await self.routes()[path](encode(message))
            else:
                result = await self._call(address, path, encode(message))
            return result.bind(lambda body: decode(reply_type, body))
        return Failure(PeerSilent(address))

    async def _fleet_lease(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return _grant_from(self._fleet_table(), body)

    async def _local_lease(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return _grant_from(self._local_table(), body)

    async def _release_here(self, body: bytes) -> Result[bytes, VanillabeamError]:
        def release(message: LeaseRelease) -> bytes:
            for table in (self._fleet_table(), self._local_table()):
                if table is not None:
                    table.release(message["lease"], trio.current_time())
            return encode({})

        return decode(LeaseRelease, body).map(release)

    async def _ready(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return _record_report(self._local_table(), body)

    async def _total(self, body: bytes) -> Result[bytes, VanillabeamError]:
        return _record_report(self._fleet_table(), body)


def _grant_from(
    table: LeaseTable | None, body: bytes
) -> Result[bytes, VanillabeamError]:
    if table is None:
        return Failure(NotLeaseKeeper())
    return (
        decode(LeaseRequest, body)
        .bind(lambda request: table.grant(request, trio.current_time()))
        .map(encode)
    )


def _record_report(
    table: LeaseTable | None, body: bytes
) -> Result[bytes, VanillabeamError]:
    if table is None:
        return Failure(NotLeaseKeeper())

    def record(report: ReadyReport) -> bytes:
        table.report(report, trio.current_time())
        return encode({})

    return decode(ReadyReport, body).map(record)
