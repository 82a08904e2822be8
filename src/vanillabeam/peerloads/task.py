"""Exchange of loads between the entry VMs of a group, in datagrams."""

import secrets
from collections.abc import Callable

import trio
from returns.result import Failure

from vanillabeam import wire
from vanillabeam.decisions import LoadsExchanged, log_record
from vanillabeam.fleet import Follower
from vanillabeam.fleet.loads import EntryLoad
from vanillabeam.fleet.polling import is_large
from vanillabeam.peerloads.core import LoadNotice, PeerLoads, describe
from vanillabeam.peerloads.groups import belongs_to, group_bits, group_of
from vanillabeam.tasks import keep_running

__all__ = ["PeerLoadTask"]

#: Seconds between two messages at least: changes in between are sent together.
MIN_PERIOD_S = 0.02
#: Bytes a second that are sent: a tenth of a link of 5 Mbit/s, as more delays answers.
BYTES_S = 62_500
#: Seconds after which work that has ended is told.
SHRUNK_PERIOD_S = 0.1
#: Seconds after which open work is sent again, in case the last message was lost.
REPEAT_S = 0.3
#: Seconds between two looks at the members of the group.
MEMBERS_PERIOD_S = 0.5
#: Longest message. A longer load is left to the reports to control VMs.
MAX_BYTES = 8 * 1024
BOOT_BYTES = 6


class PeerLoadTask:
    """Sends this VM's open work to the others of its group, and receives theirs.

    Only a fleet whose entry VMs are too many to report to each control VM exchanges
    loads: in a smaller one the reports are as fresh.

    :param host: IP address of this VM.
    :param port: UDP port of the exchange, the same on every VM.
    :param own: returns the open work of this VM.
    :ivar loads: what the others have sent.

    >>> task = PeerLoadTask("front-1", "dc-a", "10.0.0.1", 7420, follower, own)
    >>> nursery.start_soon(task.run)
    >>> task.notify(has_grown=True)
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        host: str,
        port: int,
        follower: Follower,
        own: Callable[[], EntryLoad],
    ):
        self.loads = PeerLoads()
        self._vm = vm
        self._data_centre = data_centre
        self._host = host
        self._port = port
        self._follower = follower
        self._own = own
        self._boot = secrets.token_hex(BOOT_BYTES)
        self._sequence = 0
        self._changed = trio.Event()
        self._has_shrunk = False
        self._is_idle = True
        #: Group and number of members in the last log line.
        self._logged = ("", 0)

    @property
    def group(self) -> str:
        """Group whose loads are exchanged; empty while none is."""
        return self._follower.peers.group

    @property
    def total(self) -> EntryLoad:
        """Open work of the others; not to be changed."""
        return self.loads.total

    def is_near(self, target: str, data_centre: str) -> bool:
        """Return whether the VMs of the group are those that send most to a target."""
        return bool(self.group) and belongs_to(self.group, target, data_centre)

    def notify(self, has_grown: bool) -> None:
        """Have the open work sent, at once if it has grown.

        Work that ends is told a little later, with other changes: until then the target
        only seems busier than it is.
        """
        if has_grown:
            self._changed.set()
        else:
            self._has_shrunk = True

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
            await sock.bind((self._host, self._port))
            async with trio.open_nursery() as nursery:
                for task in (self._receive, self._send):
                    nursery.start_soon(keep_running, task.__name__, task, sock)
                nursery.start_soon(keep_running, "members", self._update_group)

    async def _update_group(self) -> None:
        while True:
            group = self._wanted_group()
            if group != self.group:
                self.loads.clear()
                self._follower.peers.join(group)
            self.loads.drop_silent(trio.current_time())
            self._log_members()
            await trio.sleep(MEMBERS_PERIOD_S)

    def _wanted_group(self) -> str:
        follower = self._follower
        if not is_large(len(follower.entry_vms)):
            return ""
        bits = group_bits(follower.peers.nearby)
        return group_of(self._vm, self._data_centre, bits)

    def _log_members(self) -> None:
        """Log the members of the group when they change."""
        members = (self.group, len(self._follower.peers.addresses))
        if members != self._logged:
            self._logged = members
            heard = len(self.loads.vms())
            log_record(LoadsExchanged(*members, heard))

    async def _send(self, sock) -> None:
        while True:
            await self._wait_for_change()
            sent_bytes = await self._send_load(sock) if self.group else 0
            await trio.sleep(max(MIN_PERIOD_S, sent_bytes / BYTES_S))

    async def _wait_for_change(self) -> None:
        with trio.move_on_after(SHRUNK_PERIOD_S if self._has_shrunk else REPEAT_S):
            await self._changed.wait()
        self._changed = trio.Event()
        self._has_shrunk = False

    async def _send_load(self, sock) -> int:
        """Send the open work, unless there is none still; return the bytes sent."""
        load = self._own()
        is_idle = not load["work"] and not load["room"]
        if is_idle and self._is_idle:
            return 0
        self._is_idle = is_idle
        self._sequence += 1
        notice = LoadNotice(
            vm=self._vm,
            boot=self._boot,
            sequence=self._sequence,
            group=self.group,
            targets=describe(load),
        )
        message = wire.encode(notice)
        if len(message) > MAX_BYTES:
            return 0
        for address in self._follower.peers.addresses.values():
            host, _, port = address.rpartition(":")
            try:
                await sock.sendto(message, (host, int(port)))
            except OSError:
                # A lost message is replaced by the next one; the peer may be down.
                continue
        return len(message) * len(self._follower.peers.addresses)

    async def _receive(self, sock) -> None:
        while True:
            try:
                message, _ = await sock.recvfrom(MAX_BYTES + 1)
            except OSError:
                # An earlier datagram met a closed port.
                continue
            notice = wire.decode(LoadNotice, message)
            if isinstance(notice, Failure):
                continue
            notice = notice.unwrap()
            if notice["group"] == self.group and notice["vm"] != self._vm:
                self.loads.update(notice, trio.current_time())
