"""Members of the other data centres, fetched with bounded bandwidth."""

from collections.abc import Callable

import trio
from returns.result import Success

from vanillabeam.members import DataCentreSummary, Member, Members, ViewReply
from vanillabeam.members.shell import VIEW_PATH
from vanillabeam.peercall import PeerCall
from vanillabeam.wire import decode

__all__ = ["RemoteMembers"]

#: Shortest time between two requests to a data centre.
MIN_PERIOD_S = 5.0
#: Approximate size of one member in a reply.
MEMBER_BYTES = 250
#: Bandwidth that the replies may use on average.
MAX_RATE_BYTES_S = 1_000.0
CALL_TIMEOUT_S = 2.0
#: Failed requests in a row after which a data centre counts as unreachable.
MAX_FAILURES = 3


class RemoteMembers:
    """Cache the lists of members of all other data centres.

    The membership protocol sends only a summary of each other data centre. The
    full list is fetched from one of its VMs every few seconds. The period grows
    with the number of members, so that the bandwidth stays constant. A data
    centre that fails to answer three times in a row counts as unreachable, and
    its members are dropped.

    :param members: membership of this VM; provides the VMs to contact.
    :param call: sends requests to other VMs.
    :param on_change: called when a list has changed.

    >>> remote = RemoteMembers(members, call, on_change)
    >>> await nursery.start(remote.run)
    >>> [member.name for member in remote.members()]
    ['rw-b-entry-1', 'rw-b-entry-2']
    """

    def __init__(self, members: Members, call: PeerCall, on_change: Callable[[], None]):
        self._members = members
        self._call = call
        self._on_change = on_change
        self._members_by_data_centre: dict[str, tuple[Member, ...]] = {}
        self._failures: dict[str, int] = {}

    def members(self) -> list[Member]:
        """Return the members of all other data centres that are reachable."""
        return [
            member
            for group in self._members_by_data_centre.values()
            for member in group
        ]

    @property
    def period_s(self) -> float:
        """Time between two requests to a data centre, in seconds."""
        return max(MIN_PERIOD_S, len(self.members()) * MEMBER_BYTES / MAX_RATE_BYTES_S)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Refresh the lists until cancelled.

        They are also refreshed soon after a new data centre appears.
        """
        task_status.started()
        while True:
            await self._refresh_all()
            with trio.move_on_after(self.period_s):
                await self._wait_for_new_data_centre()

    async def _wait_for_new_data_centre(self) -> None:
        while True:
            view = self._members.view()
            if any(name not in self._members_by_data_centre for name in view.summaries):
                await trio.sleep(MIN_PERIOD_S / 10)
                return
            await self._members.view_after(view.version)

    async def _refresh_all(self) -> None:
        for summary in self._members.view().summaries.values():
            fetched = await self._fetch(summary)
            self._update(summary.data_centre, fetched)

    async def _fetch(self, summary: DataCentreSummary) -> tuple[Member, ...] | None:
        for _, address in summary.contacts:
            with trio.move_on_after(CALL_TIMEOUT_S):
                result = await self._call(address, VIEW_PATH, b"{}")
                reply = result.bind(lambda body: decode(ViewReply, body))
                if isinstance(reply, Success):
                    return tuple(sorted(reply.unwrap()["alive"]))
        return None

    def _update(self, data_centre: str, members: tuple[Member, ...] | None) -> None:
        previous = self._members_by_data_centre.get(data_centre, ())
        if members is None:
            self._failures[data_centre] = self._failures.get(data_centre, 0) + 1
            members = previous if self._failures[data_centre] < MAX_FAILURES else ()
        else:
            self._failures[data_centre] = 0
        self._members_by_data_centre[data_centre] = members
        if members != previous:
            self._on_change()
